package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"zinniapond.example/zinniapond"
)

// waitState is the state of one request in and outside of the queue of its pool.
type waitState struct {
	*run
	waiters *waiters
	state   zinniapond.WaitingRequest
	since   time.Time // when the current tries of replicas began
	// only is the replica with room that the request was woken for; not valid for any.
	only netip.AddrPort
	// passes is the number of requests that have not used that room.
	passes int
	// isWoken is set once the request has been in the queue, unless it has run since.
	isWoken bool
	// isUnused is set until an attempt is made at that replica.
	isUnused bool
	// triesLeft is the number of replicas to try before waiting again; negative if it is
	// not bounded.
	triesLeft int
}

// newWait returns the state of a request that arrives. If others wait that go before it,
// it waits too.
func (u *run) newWait(p *pool, now, leaveAt time.Time) *waitState {
	s := zinniapond.WaitingRequest{
		Ticket: p.waiters.ticket(), RoutePriority: u.route.Priority, IsTurn: u.route.IsStream(),
		EnteredAt: now, LeaveAt: leaveAt, Deadline: u.deadline,
	}
	if u.plan != nil {
		s.PlanPriority = u.plan.Priority
	}
	s.Begins = s.IsTurn && u.request.PreviousTurn == "" && u.request.LastEventID == "" && u.spend.CacheLocation.TurnNumber <= 1
	if u.request.FinishWithin != 0 {
		s.FinishBy = u.request.ReceivedAt.Add(u.request.FinishWithin)
	}
	if u.request.ClientTimeout > 0 {
		s.ClientDeadline = u.request.ReceivedAt.Add(u.request.ClientTimeout)
	}
	w := &waitState{run: u, waiters: p.waiters, state: s, since: now, triesLeft: -1}
	if p.waiters.queue.Len() == 0 {
		return w
	}
	if _, _, limited := u.soonestLimited(now, p, zinniapond.PickInfo{}); limited || p.waiters.queue.IsFirst(now, s) {
		w.triesLeft = scanTries
	} else {
		w.triesLeft, w.since = 0, time.Time{}
	}
	return w
}

// isOver reports whether the request has to wait before it tries another replica.
func (w *waitState) isOver() bool { return w.triesLeft == 0 }

// begin records that an attempt uses the room that the request was woken for.
func (w *waitState) begin() { w.isUnused = false }

// declines reports whether a request that was woken does not use the room that it has
// found, as it would end too late there. Room that it was woken for is offered to the next
// request.
func (w *waitState) declines(now time.Time, expected time.Duration) bool {
	if !w.isWoken || now.Add(expected).Before(w.deadline) {
		return false
	}
	w.Stats.Add("front.wait.declined", 1)
	w.triesLeft = 0
	if w.isUnused {
		w.isUnused = false
		w.waiters.pass(now, wake{replica: w.only, passes: w.passes})
	}
	return true
}

// end passes room on that the request was woken for and has not used, such as after its
// key was revoked.
func (w *waitState) end() {
	if w.isUnused {
		w.waiters.offer(w.Clock(), w.only, 1)
	}
}

// recordRefusal records that a replica was full.
func (w *waitState) recordRefusal(now time.Time, replica netip.AddrPort) {
	w.waiters.recordRefusal(now, replica)
	w.triesLeft = max(w.triesLeft-1, min(w.triesLeft, 0))
}

// recordRun lifts the bound on tries for a request that has run at a replica, as it is to
// be continued at any other. It returns those of the excluded replicas that have been
// tried.
func (w *waitState) recordRun(excluded []netip.AddrPort) []netip.AddrPort {
	if w.triesLeft >= 0 {
		excluded = nil
	}
	w.only, w.triesLeft, w.isWoken = netip.AddrPort{}, -1, false
	return excluded
}

// await waits until a replica has room. The returned error wraps ErrOverload if the
// request is refused instead; it is nil if ctx is done.
func (w *waitState) await(ctx context.Context, p *pool) error {
	now := w.Clock()
	known := w.observe(now)
	if expected, isHopeless := w.waiters.isHopeless(now, w.state); isHopeless {
		w.Stats.Add("front.wait.refused", 1)
		w.decide(now, known, waitRefused)
		return fmt.Errorf("expected wait of %s: %w", expected.Round(time.Millisecond), zinniapond.ErrOverload)
	}
	w.isUnused = false
	until := w.state.LeaveAt
	// Limited replicas give permissions at known times, whether or not others have room.
	if _, permitWait, ok := w.soonestLimited(now, p, zinniapond.PickInfo{}); ok {
		until = earlier(until, now.Add(max(permitWait, fullRetryDelay)))
	}
	w.Stats.Add("front.wait.entered", 1)
	woken := w.waiters.enter(now, w.since, w.state)
	timer := time.NewTimer(until.Sub(now))
	defer timer.Stop()
	reason := wake{}
	select {
	case reason = <-woken:
	case <-timer.C:
		w.waiters.leave(w.Clock(), w.state.Ticket, woken)
	case <-ctx.Done():
		left := w.Clock()
		w.waiters.leave(left, w.state.Ticket, woken)
		w.decide(left, known, waitGone)
		return nil
	}
	w.since = w.Clock()
	switch {
	case reason.isRemoved:
		w.Stats.Add("front.wait.removed", 1)
		w.decide(w.since, known, waitRemoved)
		return fmt.Errorf("too many requests wait: %w", zinniapond.ErrOverload)
	case !w.since.Before(w.state.LeaveAt):
		w.Stats.Add("front.wait.expired", 1)
		w.decide(w.since, known, waitExpired)
		return fmt.Errorf("no replica had room within %s: %w", w.since.Sub(w.state.EnteredAt).Round(time.Millisecond), zinniapond.ErrOverload)
	}
	w.decide(w.since, known, waitWoken)
	w.isWoken = true
	w.only, w.passes, w.triesLeft = reason.replica, reason.passes, scanTries
	if w.only.IsValid() {
		w.triesLeft, w.isUnused = 1, true
	}
	return nil
}

// retryAfter returns the time after which the client of a refused request is to return.
func (w *waitState) retryAfter(now time.Time) time.Duration {
	return w.waiters.queue.RetryAfter(now, w.state, rand.Float64())
}

// excluded returns the replicas that the request does not try now.
func (w *waitState) excluded(now time.Time, p *pool) []netip.AddrPort {
	switch {
	case w.only.IsValid():
		var list []netip.AddrPort
		for a := range *p.replicas.Load() {
			if a != w.only {
				list = append(list, a)
			}
		}
		return list
	case w.triesLeft > 0:
		return w.waiters.refusedLately(now, len(*p.replicas.Load()))
	}
	return nil
}
