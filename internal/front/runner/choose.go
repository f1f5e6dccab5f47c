package runner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// maxPermitRequests is the number of limited replicas whose permissions are
	// compared for one request.
	maxPermitRequests = 4
	// earlyPermit is the wait for a permission that is accepted without comparing it
	// with others.
	earlyPermit = 50 * time.Millisecond
	// cachedWait is how long a conversation waits for the permission of the replica
	// that has it in its cache; reading it again takes another replica as long.
	cachedWait = 150 * time.Millisecond
	// unusedTime is the time for which a permission has to be unused before it is
	// taken by a prompt that the replica does not have in its cache: the next turns
	// of that conversation would need permissions too.
	unusedTime = 400 * time.Millisecond
	// maxTimeShare is the share of the remaining time that a request may be expected
	// to take at an unlimited replica. What exceeds the limits of the others would
	// else fill the few unlimited ones until nothing ends in time there.
	maxTimeShare = 0.5
)

// chooseReplica chooses a replica and, if the replica limits its requests, obtains the
// permission to send one. It prefers replicas that take the request soon; if there is
// none it waits for the permission of a limited replica until waitUntil at the latest.
// The error wraps ErrOverload if no limited replica takes the request in that time, and
// ErrUnavailable if there is no replica at all that was not tried.
func (u *run) chooseReplica(ctx context.Context, p *pool, need zinniapond.PickInfo, waitUntil time.Time) (candidate, error) {
	now := u.Clock()
	if u.suspected {
		c, ok := u.pickApart(p, now, need, func(b zinniapond.Backend) bool {
			_, limited := u.Throttle.Limited(now, b)
			return !limited
		})
		if ok {
			return c, nil
		}
	}
	c, ok := p.pickReplica(now, need, func(b zinniapond.Backend) bool {
		wait, limited := u.Throttle.Limited(now, b)
		return !limited || wait <= u.acceptedWait(need, b)
	})
	if ok {
		if _, limited := u.Throttle.Limited(now, c.Backend); limited {
			validUntil, err := u.obtainPermit(ctx, p, c.Backend, u.acceptedWait(need, c.Backend))
			if err == nil {
				c.permitUntil = validUntil
				return c, nil
			}
			// One refused permission is enough: a request does not ask for all
			// limited replicas in turn.
			c, ok = p.pickReplica(now, need, func(b zinniapond.Backend) bool {
				_, limited := u.Throttle.Limited(now, b)
				return !limited
			})
		}
	}
	timeLeft := u.deadline.Sub(u.Clock())
	if ok && float64(c.choice.ExpectedTime) <= maxTimeShare*float64(timeLeft) {
		return c, nil
	}
	if len(need.Exclude) > 0 {
		// Replicas that were full may have capacity sooner than limited ones.
		waitUntil = earlier(waitUntil, u.Clock().Add(fullRetryDelay))
	}
	limited, err := u.awaitPermit(ctx, p, need, waitUntil)
	if ok && err != nil && (errors.Is(err, zinniapond.ErrUnavailable) || c.choice.ExpectedTime <= u.deadline.Sub(u.Clock())) {
		return c, nil
	}
	return limited, err
}

// acceptedWait returns the longest wait for the permission of a limited replica while
// other replicas take the request at once. A conversation waits for the replica that has
// it in its cache, and others leave that replica's permissions to such conversations.
func (u *run) acceptedWait(need zinniapond.PickInfo, b zinniapond.Backend) time.Duration {
	switch {
	case b.Address == need.PrefixBackend:
		return cachedWait
	case need.PromptTokens > 0:
		return -unusedTime
	}
	return 0
}

// obtainPermit obtains the permission of a replica and waits until it may be used. It
// returns when the permission expires; zero if the replica needs none.
func (u *run) obtainPermit(ctx context.Context, p *pool, replica zinniapond.Backend, maxWait time.Duration) (validUntil time.Time, err error) {
	permit, err := u.Throttle.Acquire(ctx, u.Clock(), replica, maxWait)
	if err != nil || permit.SendAt.IsZero() {
		return time.Time{}, err
	}
	start := u.Clock()
	err = sleepUntil(ctx, start, permit.SendAt)
	now := u.Clock()
	u.limitTime += now.Sub(start)
	if err != nil {
		return time.Time{}, err
	}
	if _, live := (*p.replicas.Load())[replica.Address]; !live {
		return time.Time{}, fmt.Errorf("replica %s began to leave: %w", replica.ID, zinniapond.ErrUnavailable)
	}
	if now.After(permit.ExpiresAt) {
		return time.Time{}, fmt.Errorf("permission of replica %s has expired: %w", replica.ID, zinniapond.ErrUnavailable)
	}
	return permit.ExpiresAt, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// awaitPermit waits for the permission of the limited replica that grants one first.
func (u *run) awaitPermit(ctx context.Context, p *pool, need zinniapond.PickInfo, waitUntil time.Time) (candidate, error) {
	for asked := 1; ; asked++ {
		now := u.Clock()
		replica, wait, ok := u.soonestLimited(now, p, need)
		if !ok {
			return candidate{}, zinniapond.ErrUnavailable
		}
		if ctx.Err() != nil || wait > waitUntil.Sub(now) {
			return candidate{}, limitError(wait)
		}
		// The first replicas are asked for an early permission, as one that was not
		// asked lately may have many requests waiting.
		maxWait := waitUntil.Sub(now)
		if asked < maxPermitRequests {
			maxWait = min(maxWait, max(wait, 0)+earlyPermit)
		}
		if validUntil, err := u.obtainPermit(ctx, p, replica, maxWait); err == nil {
			return candidate{Backend: replica, permitUntil: validUntil}, nil
		}
	}
}

// soonestLimited returns the limited replica that may grant a permission first, and the
// time until then.
func (u *run) soonestLimited(now time.Time, p *pool, need zinniapond.PickInfo) (replica zinniapond.Backend, wait time.Duration, ok bool) {
	for _, b := range *p.replicas.Load() {
		w, limited := u.Throttle.Limited(now, b)
		if !limited || !need.Fits(b) || slices.Contains(need.Exclude, b.Address) {
			continue
		}
		if !ok || w < wait {
			replica, wait, ok = b, w, true
		}
	}
	return replica, wait, ok
}

// limitError returns the error for a request that no limited replica takes in time.
// The time to retry has a random part, so that the clients do not return together.
func limitError(wait time.Duration) error {
	after := max(wait, shortRetryAfter)
	return &zinniapond.Error{Step: "wait for a limited replica", RetryAfter: after + rand.N(after), Err: zinniapond.ErrOverload}
}

func sleepUntil(ctx context.Context, now, until time.Time) error {
	if !until.After(now) {
		return nil
	}
	timer := time.NewTimer(until.Sub(now))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errors.Join(zinniapond.ErrOverload, ctx.Err())
	case <-timer.C:
		return nil
	}
}
