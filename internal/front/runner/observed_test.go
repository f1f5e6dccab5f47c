package runner

import (
	"io"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/quota"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// answerOf returns what the router observes of an attempt that is answered with a whole
// stream.
func answerOf(t *testing.T, change func(w *testRunner)) (zinniapond.Observation, *testRunner) {
	t.Helper()
	w := newTestRunner(t, zinniapond.Route{Kind: zinniapond.RequestStream, MaxAttempts: 1, Retained: true, Retention: time.Minute}, answersWith(200, wholeText, true, nil))
	p, ok := w.pools.Get("pool")
	assert.True(t, ok, "no pool")
	router := &observingRouter{p.router, make(chan zinniapond.Observation, 1)}
	p.router = router
	change(w)
	w.forward(zinniapond.Request{Program: "p", TokenBudget: 100, MaxGenerated: 10})
	return <-router.seen, w
}

func TestObservedFailures(t *testing.T) {
	t.Run("guards against a replica that counts as failed because disks do not store its turn", func(t *testing.T) {
		got, w := answerOf(t, func(w *testRunner) {
			w.turns.keepErr = zinniapond.ErrNoQuorum
			w.gone = map[netip.AddrPort]bool{w.list[0].Address: true, w.list[1].Address: true, w.list[2].Address: true}
		})
		assert.True(t, !got.Failed && !got.Cancelled, "observed as %+v", got)
		assert.Equal(t, w.Stats.Value("front.ended"), 0)
	})
	t.Run("guards against a replica that counts as failed because this host lacks memory", func(t *testing.T) {
		got, w := answerOf(t, func(w *testRunner) { w.Memory = &quota.Quota{Bytes: 1} })
		assert.Equal(t, w.Stats.Value("front.memory"), 1)
		assert.True(t, !got.Failed && got.Cancelled, "observed as %+v", got)
	})
	t.Run("guards against a replica whose stream breaks off and that counts as working", func(t *testing.T) {
		got, _ := answerOf(t, func(w *testRunner) { w.replies[0] = answersWith(200, wholeText, true, errBroken) })
		assert.True(t, got.Failed, "observed as %+v", got)
	})
}

// pauseRouter notes the pauses of calls in flight.
type pauseRouter struct {
	zinniapond.Router
	mu     sync.Mutex
	pauses []bool
}

func (r *pauseRouter) RecordPause(_ time.Time, replica netip.AddrPort, call zinniapond.CallID, isPaused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if replica.IsValid() && call == "id" {
		r.pauses = append(r.pauses, isPaused)
	}
}

func (r *pauseRouter) all() []bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.pauses)
}

func TestPauses(t *testing.T) {
	t.Run("guards against a replica that counts as slow while a client does not read what fills the buffer", func(t *testing.T) {
		body := &partsBody{err: io.EOF}
		for range 100 {
			body.parts = append(body.parts, "data: "+strings.Repeat("x", 4000)+"\n\n")
		}
		w, to := newSlowRunner(t, zinniapond.Route{Kind: zinniapond.RequestStream}, body), newSlowClient()
		p, ok := w.pools.Get("pool")
		assert.True(t, ok, "no pool")
		router := &pauseRouter{Router: p.router}
		p.router = router
		wait := w.start(t.Context(), zinniapond.Request{ClientTimeout: time.Second}, to)
		assert.Eventually(t, 800*time.Millisecond, "the pause is recorded", func() bool { return slices.Equal(router.all(), []bool{true}) })
		close(to.release)
		wait()
		assert.True(t, to.ended, "the stream is broken off")
		assert.True(t, len(router.all())%2 == 0, "pauses %v", router.all())
	})
}
