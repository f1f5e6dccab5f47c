package runner

import (
	"io"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

// findPace finds the pace that the settings name. Without one no replica is bounded.
func (r *Runner) findPace(k *kernel.Kernel) error {
	if k.Settings.Plugins["pace"] == "" {
		return nil
	}
	return kernel.FindInto(k, &r.Pace)
}

// setPaced passes the live replicas of a pool to the pace.
func (r *Runner) setPaced(now time.Time, name zinniapond.PoolName, list []zinniapond.Backend) {
	if r.Pace != nil {
		r.Pace.SetReplicas(now, name, slices.DeleteFunc(slices.Clone(list), func(b zinniapond.Backend) bool { return b.State != zinniapond.BackendLive }))
	}
}

func (r *Runner) setLoads(now time.Time, sums []zinniapond.Load) {
	if r.Pace != nil {
		r.Pace.SetLoads(now, sums)
	}
}

// reportAnswers adds the answers of bounded and failing replicas to the loads.
func (r *Runner) reportAnswers(loads []zinniapond.Load) []zinniapond.Load {
	if r.Pace == nil {
		return loads
	}
	return r.Pace.Report(r.Clock(), loads)
}

// pickPaced picks a live replica for which allowed returns true. One that has reached its
// bound is picked only if the others are full or there is no other.
func (p *pool) pickPaced(now time.Time, need zinniapond.PickInfo, allowed func(zinniapond.Backend) bool) (candidate, bool) {
	if p.pace == nil {
		return p.pickAllowed(now, need, allowed)
	}
	heldBack := false
	pick := func(noOther bool) (candidate, bool) {
		return p.pickAllowed(now, need, func(b zinniapond.Backend) bool {
			if !allowed(b) {
				return false
			}
			admitted := p.pace.Admits(now, b, noOther)
			heldBack = heldBack || !admitted
			return admitted
		})
	}
	c, ok := pick(false)
	if !heldBack || ok && !p.pace.IsFull(now, c.Backend) {
		return c, ok
	}
	if other, found := pick(true); found && (!ok || !p.pace.IsFull(now, other.Backend)) {
		return other, true
	}
	if ok {
		return c, true
	}
	return p.pickAllowed(now, need, allowed)
}

// pacedAttempt records a request at a replica for the pace. The answer counts at its first
// byte, as a turn takes too long for the bound to wait for its end.
type pacedAttempt struct {
	pace     zinniapond.Pace
	clock    func() time.Time
	replica  zinniapond.Backend
	start    time.Time
	uncached zinniapond.Tokens // part of the prompt that the replica has to prefill
	answered atomic.Bool
}

// beginPaced records that a request begins at a replica; it returns nil if replicas are
// not bounded.
func (u *run) beginPaced(p *pool, start time.Time, replica zinniapond.Backend, cached zinniapond.Tokens) *pacedAttempt {
	if p.pace == nil {
		return nil
	}
	p.pace.RecordStart(start, replica)
	return &pacedAttempt{pace: p.pace, clock: u.Clock, replica: replica, start: start, uncached: max(u.request.PromptTokens-cached, 0)}
}

// observe records the answer when the first byte of its body is read.
func (a *pacedAttempt) observe(answer *zinniapond.ReplicaAnswer) {
	if a != nil {
		answer.Body = &pacedBody{ReadCloser: answer.Body, attempt: a, failed: answer.Status >= http.StatusInternalServerError}
	}
}

func (a *pacedAttempt) recordAnswer(failed, unfinished bool) {
	if a.answered.CompareAndSwap(false, true) {
		now := a.clock()
		a.pace.RecordAnswer(now, a.replica, zinniapond.PaceAnswer{TimeToFirstByte: now.Sub(a.start), Uncached: a.uncached, Failed: failed, Unfinished: unfinished})
	}
}

// end records the end of the request.
func (a *pacedAttempt) end(now time.Time, v verdict, seen zinniapond.Observation) {
	if a == nil {
		return
	}
	a.pace.RecordFinish(now, a.replica)
	switch {
	case seen.Failed:
		a.pace.RecordAnswer(now, a.replica, zinniapond.PaceAnswer{Failed: true})
	case v == verdictNotRun:
		a.pace.RecordAnswer(now, a.replica, zinniapond.PaceAnswer{Refused: true})
	default:
		a.recordAnswer(false, seen.Cancelled)
	}
}

// pacedBody is the body of an answer that records its first byte.
type pacedBody struct {
	io.ReadCloser
	attempt *pacedAttempt
	failed  bool
}

func (b *pacedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.attempt.recordAnswer(b.failed, false)
	}
	return n, err
}
