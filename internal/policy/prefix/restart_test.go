package prefix

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestRestartedServer(t *testing.T) {
	t.Run("guards against a server that counts as slow because the one before it was", func(t *testing.T) {
		r := newRouter(1)
		r.Update(startTime, []zinniapond.Backend{{Address: address(0), ID: "first"}})
		for i := range 20 {
			runCall(t, r, startTime, newNeed(i), normalSpeed)
		}
		need := newNeed(100)
		c := pickAndStart(t, r, startTime, need)
		r.AttemptFinished(startTime, c.Backend, need, zinniapond.Observation{Failed: true})
		r.Update(startTime, []zinniapond.Backend{{Address: address(0), ID: "second"}})
		s, ok := r.servers.Get(address(0))
		assert.True(t, ok, "no server")
		assert.Equal(t, s.snapshot(startTime.Add(time.Millisecond)).slowness, 1.0)
	})
}
