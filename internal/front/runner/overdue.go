package runner

import (
	"context"
	"time"
)

// newOverdue begins to watch an attempt of a request that may be repeated. A replica may
// run a request and lose its answer; without another attempt the request then fails at its
// deadline, although other replicas answer at once. The attempt ends when the pool's usual
// time and the route's target have passed without an answer.
func (u *run) newOverdue(ctx context.Context, p *pool, now time.Time) (context.Context, *departure) {
	if u.possibleRuns+2 > u.route.MaxAttempts {
		return ctx, nil
	}
	usual, isKnown := p.retrier.HedgeDelay(now, u.poolName)
	if !isKnown {
		return ctx, nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	d := &departure{run: u, pool: p, ctx: ctx, cancel: cancel, mayRunAgain: true}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.awaitAnswer(now, u.possibleRuns+1, max(usual, u.route.TargetLatency), usual)
	return ctx, d
}

// awaitAnswer ends the attempt after a time without an answer, if another replica can
// still answer in its usual time. While the budget allows no further attempt, or requests
// wait for room, it asks again after the usual time. The caller holds the lock.
func (d *departure) awaitAnswer(now time.Time, tries int, after, usual time.Duration) {
	if d.deadline.Sub(now) <= after+usual {
		return
	}
	d.timer = time.AfterFunc(after, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.isOver {
			return
		}
		now := d.Clock()
		// The request has waited for longer than a pause between attempts.
		if d.pool.waiters.queue.Len() == 0 {
			if _, isAllowed := d.pool.retrier.AllowRetry(now, tries); isAllowed {
				d.Stats.Add("front.overdue", 1)
				d.endAttempt(errLeft)
				return
			}
		}
		d.awaitAnswer(now, tries, usual, usual)
	})
}

// recordWholeAnswer records that an answer that is not a stream has begun. It is not ended
// any more.
func (d *departure) recordWholeAnswer() {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isOver = true
}
