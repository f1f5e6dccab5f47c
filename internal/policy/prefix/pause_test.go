package prefix

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestPause(t *testing.T) {
	const second = time.Second
	// assertSlow fails unless a server counts as slow as expected at an instant, after a call
	// there has begun that usually takes 2 s and was paused in the given time.
	assertSlow := func(t *testing.T, at, from, to time.Duration, want bool) {
		t.Helper()
		r := newRouter(1)
		for i := range 50 {
			runCall(t, r, startTime, newNeed(i), normalSpeed)
		}
		need := newNeed(100)
		pickAndStart(t, r, startTime, need)
		if at > from {
			r.RecordPause(startTime.Add(from), address(0), need.Call, true)
		}
		if at > to {
			r.RecordPause(startTime.Add(to), address(0), need.Call, false)
		}
		s, ok := r.servers.Get(address(0))
		assert.True(t, ok, "no server")
		slowness := s.snapshot(startTime.Add(at)).slowness
		assert.True(t, slowness > 2 == want, "slowness %f", slowness)
	}
	t.Run("guards against a server that counts as slow while a client does not read its answer", func(t *testing.T) {
		assertSlow(t, 20*second, second, time.Minute, false)
	})
	t.Run("guards against a server that counts as slow after a client has read on", func(t *testing.T) {
		assertSlow(t, 20*second, second, 19*second, false)
	})
	t.Run("guards against a slow server that is not noticed as its answer was paused once", func(t *testing.T) {
		assertSlow(t, 20*second, second, 2*second, true)
	})
	t.Run("guards against a slow server that is not noticed", func(t *testing.T) {
		assertSlow(t, 20*second, time.Minute, time.Minute, true)
	})
}
