package prefix

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestRestartedServer(t *testing.T) {
	// newRestarted returns a router with one server that was slow and has started again.
	newRestarted := func(t *testing.T) *Router {
		t.Helper()
		r := newRouter(1)
		r.Update(startTime, []zinniapond.Backend{{Address: address(0), ID: "first"}})
		for i := range 20 {
			runCall(t, r, startTime, newNeed(i), normalSpeed)
		}
		need := newNeed(100)
		c := pickAndStart(t, r, startTime, need)
		r.AttemptFinished(startTime, c.Backend, need, zinniapond.Observation{Failed: true})
		r.UpdateLoad(startTime, zinniapond.LoadReport{Backend: address(0), TakenAt: startTime, Answers: 9, Slowness: 9})
		r.Update(startTime, []zinniapond.Backend{{Address: address(0), ID: "second"}})
		return r
	}
	now := startTime.Add(time.Millisecond)
	t.Run("guards against answers of the one before that are reported for a server that has started again", func(t *testing.T) {
		answers, _ := newRestarted(t).RecentAnswers(now, address(0))
		assert.Equal(t, answers, 0)
	})
	t.Run("guards against a server that one answer shows to be slow because the one before was", func(t *testing.T) {
		r := newRestarted(t)
		r.UpdateLoad(now, zinniapond.LoadReport{Backend: address(0), TakenAt: now, Answers: 1, Slowness: 9})
		s, ok := r.servers.Get(address(0))
		assert.True(t, ok, "no server")
		assert.Equal(t, s.snapshot(now).slowness, 1.0)
	})
}
