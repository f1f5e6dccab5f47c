package runner

import (
	"context"
	"errors"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
)

var (
	// errLeft is the cause of the end of an attempt whose request runs at another replica
	// instead.
	errLeft = errors.New("request leaves a replica at which it has stalled or will not end in time")
	// errStalled is the cause of the end of an attempt whose replica has dropped the run.
	errStalled = errors.New("stream has stalled and its replica no longer runs it")
)

// maxTimerDelay is how late a timer fires on a busy host. If it fires later, the host was
// held up, and what has come meanwhile may be unread.
const maxTimerDelay = 100 * time.Millisecond

// departure ends an attempt whose stream will not end in time at its replica, or has
// stalled there, or whose answer is overdue. If the request must not run again, the attempt
// goes on until its deadline, unless the replica no longer runs it.
type departure struct {
	*run
	pool    *pool
	replica zinniapond.Backend
	ctx     context.Context // of the attempt
	cancel  context.CancelCauseFunc
	// isFirst is set for the first run of the stream, and mayRunAgain if the route allows
	// another one.
	isFirst, mayRunAgain bool

	mu       sync.Mutex
	progress zinniapond.StreamProgress
	timer    *time.Timer
	isOver   bool
	hasLeft  bool
	isPaused bool // a write to the client is slow
	isSlow   bool // some write to the client was slow
	// isAsking is set while the replica is asked whether the run goes on, and isGone once
	// it has said that it does not.
	isAsking, isGone bool
}

// newDeparture begins to watch an attempt. The attempt uses the returned context. The
// caller calls end after the attempt.
func (u *run) newDeparture(ctx context.Context, p *pool, replica zinniapond.Backend, now time.Time) (context.Context, *departure) {
	if u.route.IsRepeatable() && !u.route.IsStream() {
		return u.newOverdue(ctx, p, now)
	}
	if !u.route.IsStream() {
		return ctx, nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	isFirst, mayRunAgain := u.possibleRuns == 0 && u.request.LastEventID == "", u.repeatable() && u.possibleRuns+2 <= u.route.MaxAttempts
	d := &departure{run: u, pool: p, replica: replica, ctx: ctx, cancel: cancel, isFirst: isFirst, mayRunAgain: mayRunAgain, progress: zinniapond.StreamProgress{
		StartedAt: now, Generated: u.stream.generated, MaxGenerated: u.request.MaxGenerated, Deadline: u.deadline,
		TargetLatency: u.route.TargetLatency, TargetGap: u.route.TargetGap,
	}}
	if u.service != nil && u.service.Engine != nil {
		d.progress.TokensPerEvent = u.service.Engine.TokensPerEvent
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.check(now)
	return ctx, d
}

// recordAnswer records that the header of the answer has come.
func (d *departure) recordAnswer(now time.Time) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.progress.AnsweredAt = now
	d.check(now)
}

// record records the events with data that the replica has sent, and the tokens that all
// replicas have generated.
func (d *departure) record(now time.Time, events int, generated zinniapond.Tokens) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isPaused {
		// The speed of the replica is measured anew.
		d.isPaused, d.progress.ResumedAt, d.progress.Events = false, now, 0
	} else if events == 0 {
		return
	}
	if d.progress.Events == 0 {
		d.progress.FirstEventAt = now
	}
	d.progress.Events += events
	d.progress.Generated, d.progress.LastEventAt = generated, now
	d.isGone = false
	d.check(now)
}

// check ends the attempt, or sets the timer for the next check. The caller holds the lock.
func (d *departure) check(now time.Time) {
	if d.timer != nil {
		d.timer.Stop()
	}
	if d.isOver || d.isPaused || d.hasLeft || d.isAsking {
		return
	}
	leave, askAt := d.shouldLeave(now)
	if leave {
		d.Stats.Add("front.left", 1)
		d.endAttempt(errLeft)
		return
	}
	stall := d.pool.migration.Stall(now, d.progress)
	if stall.IsStalled {
		d.isAsking = true
		d.inBackground("ask replica", d.askReplica)
		return
	}
	if at := soonest(askAt, stall.AskAt); !at.IsZero() {
		d.checkAt(now, at)
	}
}

// shouldLeave reports whether the stream goes on at another replica, and when to ask
// again. A stream stays where it is while requests wait, because no other replica has room
// then.
func (d *departure) shouldLeave(now time.Time) (leave bool, askAt time.Time) {
	if !d.mayRunAgain || d.pool.waiters.queue.Len() > 0 || !d.pool.hasOtherOf(d.replica) {
		return false, time.Time{}
	}
	return d.pool.migration.ShouldLeave(now, d.progress)
}

// checkAt sets the timer for the next check. The caller holds the lock.
func (d *departure) checkAt(now, at time.Time) {
	d.timer = time.AfterFunc(at.Sub(now), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		now := d.Clock()
		if now.Sub(at) > maxTimerDelay {
			d.progress.ResumedAt = now
		}
		d.check(now)
	})
}

// endAttempt ends the attempt. The caller holds the lock.
func (d *departure) endAttempt(cause error) {
	d.hasLeft = true
	d.cancel(cause)
}

// askReplica asks the replica of a stalled stream whether it still works on it. The attempt
// ends if the replica has said twice that it does not: its last events may have been on
// the way the first time. A preempted run waits in the replica's queue.
func (d *departure) askReplica() {
	isGone := d.isRunGone(d.ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock()
	d.isAsking = false
	if d.isOver || d.isPaused || d.hasLeft {
		return
	}
	if !d.pool.migration.Stall(now, d.progress).IsStalled {
		d.check(now) // events have come
		return
	}
	wasGone := d.isGone
	d.isGone = isGone
	if isGone && wasGone {
		d.Stats.Add("front.stalled", 1)
		if d.mayRunAgain {
			d.endAttempt(errLeft)
		} else {
			d.endAttempt(errStalled)
		}
		return
	}
	d.checkAt(now, now.Add(reportAge+runEndInterval))
}

// isRunGone reports whether the replica does not have the request any more; false if that
// is not known.
func (d *departure) isRunGone(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	state, err := d.Client.RunState(callCtx, d.replica, d.request.ID)
	if err != nil {
		d.Logger.Debug("run of a stalled stream not known", "id", d.request.ID, "replica", d.replica.Address, "error", err)
		return d.ended.Has(ctx, d.Clock(), d.replica)
	}
	return state == zinniapond.RunEnded
}

// soonest returns the earlier of two instants, of which zero ones are ignored.
func soonest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// stay keeps the stream at its replica while a write to the client is slow, and its times
// from being learned. Its events are recorded once the client has taken them, so that a slow
// client looks like a slow replica.
func (d *departure) stay() {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isPaused, d.isSlow = true, true
}

// end ends the watch. isDone is set if the attempt has completed the stream.
func (d *departure) end(now time.Time, isDone bool) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
	}
	d.isOver = true
	d.cancel(nil)
	if isDone && d.isFirst && !d.isSlow {
		d.pool.migration.ObserveEnd(now, d.progress)
	}
}

// cause returns why the attempt was ended; nil if it was not.
func (d *departure) cause() error {
	if d == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.hasLeft {
		return nil
	}
	return context.Cause(d.ctx)
}

// left reports whether the stream has left its replica.
func (d *departure) left() bool { return d.cause() != nil }
