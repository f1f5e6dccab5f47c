package prefix

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestCancelled(t *testing.T) {
	const late = 20 * time.Second
	// slownessAfter returns the slowness of a server after a call that was cancelled late.
	slownessAfter := func(t *testing.T, duration time.Duration) float64 {
		t.Helper()
		r := newRouter(3)
		for i := range 50 {
			runCall(t, r, startTime, newNeed(i), normalSpeed)
		}
		need := newNeed(100)
		c := pickAndStart(t, r, startTime, need)
		r.AttemptFinished(startTime.Add(late), c.Backend, need, zinniapond.Observation{Cancelled: true, Duration: duration})
		s, ok := r.servers.Get(c.Backend)
		assert.True(t, ok, "no server")
		return s.slowness
	}
	t.Run("guards against a server that counts as slow because its client did not read", func(t *testing.T) {
		slowness := slownessAfter(t, time.Second)
		assert.True(t, slowness < 1.1, "slowness %f", slowness)
	})
	t.Run("guards against a slow server that is not noticed because calls are cancelled there", func(t *testing.T) {
		for _, duration := range []time.Duration{0, late} {
			slowness := slownessAfter(t, duration)
			assert.True(t, slowness > 2, "slowness %f", slowness)
		}
	})
}
