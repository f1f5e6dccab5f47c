package pace

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestRampUps(t *testing.T) {
	t.Run("guards against a ramp-up that operators do not see", func(t *testing.T) {
		b, replica := withNew(60)
		b.SetLoads(start, []zinniapond.Load{{Replica: replica.Address, Count: 2}})
		b.RecordStart(start, replica)
		assert.Equal(t, b.RampUps(start), []zinniapond.RampUp{{Replica: replica.Address, ID: replica.ID, Pool: "pool", Bound: 3, Load: 3, Since: start}})
	})
	t.Run("guards against an old sum that is shown as the present load", func(t *testing.T) {
		b, replica := withNew(60)
		b.SetLoads(start, []zinniapond.Load{{Replica: replica.Address, Count: 2}})
		assert.Equal(t, b.RampUps(start.Add(2 * time.Second))[0].Load, 0)
	})
	t.Run("guards against a replica that is shown after its ramp-up", func(t *testing.T) {
		b, _ := withNew(60)
		later := start.Add(longestRamp + time.Second)
		b.SetReplicas(later, "pool", poolOf(12))
		assert.Equal(t, len(b.RampUps(later)), 0)
	})
}
