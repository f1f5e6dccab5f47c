package runner

import (
	"context"
	"errors"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
)

// errLeft is the cause of the end of an attempt whose request runs at another replica
// instead.
var errLeft = errors.New("request leaves a replica at which it will not end in time")

// departure ends an attempt whose stream will not end in time at its replica, or whose
// answer is overdue. It does nothing if the request must not run again.
type departure struct {
	*run
	pool   *pool
	cancel context.CancelCauseFunc
	// isFirst is set for the first run of the stream, and mayRunAgain if the route allows
	// another one.
	isFirst, mayRunAgain bool

	mu       sync.Mutex
	progress zinniapond.StreamProgress
	timer    *time.Timer
	isOver   bool
	hasLeft  bool
	isSlow   bool // the client is slow
}

// newDeparture begins to watch an attempt. The attempt uses the returned context. The
// caller calls end after the attempt.
func (u *run) newDeparture(ctx context.Context, p *pool, now time.Time) (context.Context, *departure) {
	if u.route.IsRepeatable() && !u.route.IsStream() {
		return u.newOverdue(ctx, p, now)
	}
	if !u.route.IsStream() || !u.route.Resumable || u.service == nil || u.service.Engine == nil || u.request.MaxGenerated <= 0 {
		return ctx, nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	isFirst, mayRunAgain := u.possibleRuns == 0 && u.request.LastEventID == "", u.possibleRuns+2 <= u.route.MaxAttempts
	d := &departure{run: u, pool: p, cancel: cancel, isFirst: isFirst, mayRunAgain: mayRunAgain, progress: zinniapond.StreamProgress{
		StartedAt: now, Generated: u.stream.generated, MaxGenerated: u.request.MaxGenerated, TokensPerEvent: u.service.Engine.TokensPerEvent, Deadline: u.deadline,
	}}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.check(now)
	return ctx, d
}

// record records the events that have come from all replicas so far.
func (d *departure) record(now time.Time) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stream.generated == d.progress.Generated {
		return
	}
	if d.progress.Events == 0 {
		d.progress.FirstEventAt = now
	}
	d.progress.Events += int((d.stream.generated - d.progress.Generated) / max(d.progress.TokensPerEvent, 1))
	d.progress.Generated, d.progress.LastEventAt = d.stream.generated, now
	d.check(now)
}

// check ends the attempt, or sets the timer for the next check. A stream stays where it is
// while requests wait, because no other replica has room then. The caller holds the lock.
func (d *departure) check(now time.Time) {
	if d.timer != nil {
		d.timer.Stop()
	}
	if d.isOver || d.hasLeft || !d.mayRunAgain {
		return
	}
	leave, askAt := d.pool.migration.ShouldLeave(now, d.progress)
	switch {
	case leave && d.pool.waiters.queue.Len() == 0:
		d.hasLeft = true
		d.Stats.Add("front.left", 1)
		d.cancel(errLeft)
	case !leave && !askAt.IsZero():
		d.timer = time.AfterFunc(askAt.Sub(now), func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.check(d.Clock())
		})
	}
}

// stay keeps the stream at its replica, and its times from being learned. Its events are
// recorded once the client has taken them, so that a slow client looks like a slow replica.
func (d *departure) stay() {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isOver, d.isSlow = true, true
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

// left reports whether the stream has left its replica.
func (d *departure) left() bool {
	if d == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hasLeft
}
