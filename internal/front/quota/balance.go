package quota

import (
	"slices"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// maxRefusalAge is the time for which requests are refused because of the last reply.
	maxRefusalAge = 250 * time.Millisecond
	// likelyMargin is how much later than first answered a token may be likely.
	likelyMargin = 100 * time.Millisecond
	// forgetTime is the time without requests after which a plan is forgotten.
	forgetTime = 10 * time.Second
)

// kind distinguishes requests that begin programs from others.
type kind int

const (
	kindBegin kind = iota
	kindOther
	kinds
)

func kindOf(begins bool) kind {
	if begins {
		return kindBegin
	}
	return kindOther
}

// balance has the tokens of one plan.
type balance struct {
	mu       sync.Mutex
	plan     zinniapond.PlanName
	rule     zinniapond.PlanLimit
	lifetime time.Duration
	batches  []batch   // in the order of their grants
	reserves []reserve // in the order of their grants
	waiting  []*waiter
	// demand has the mean numbers of requests a second at demandAt.
	demand   [kinds]float64
	demandAt time.Time
	used     time.Time // time of the last request
	// refusedUntil is the end of the time in which requests are refused without a message
	// that cannot wait until roomAt, when one is likely to be allowed.
	refusedUntil [kinds]time.Time
	roomAt       [kinds]time.Time
	refusedAt    time.Time // time of the last reply that has refused requests
	// filledAt is the end of the time in which the buckets of a count that has begun a
	// short time ago fill.
	filledAt time.Time
	// nextOwn is the time of the next request that no control host counts.
	nextOwn time.Time
}

// batch are tokens that were granted together.
type batch struct {
	mark    zinniapond.QuotaMark
	expires time.Time
	tokens  [kinds]int
}

// reserve are tokens for the failure of control hosts.
type reserve struct {
	count   int
	expires time.Time
}

// waiter is a request that waits for a token.
type waiter struct {
	begins   bool
	until    time.Time
	answered bool // a control host has answered since the request waits
	// likelyAt is the time at which a token was likely by the first answer of a control host.
	likelyAt time.Time
	result   chan outcome
}

// isAllowedBy reports whether the request waits for a token that is likely at the given
// time. Unless the count is new, it waits for what the first answer named: if there was
// no token then, the plan is above its limit.
func (w *waiter) isAllowedBy(at time.Time, isNewCount bool) bool {
	if w.likelyAt.IsZero() {
		w.likelyAt = at
	}
	return at.Before(w.until) && (isNewCount || !at.After(w.likelyAt.Add(likelyMargin)))
}

// refusal returns the time until a request of a kind is likely to be allowed if it is
// refused without a message, as it cannot wait for as long as that.
func (b *balance) refusal(now time.Time, w *waiter) (wait time.Duration, refused bool) {
	k := kindOf(w.begins)
	if !now.Before(b.refusedUntil[k]) || b.roomAt[k].Before(w.until) {
		return 0, false
	}
	return b.roomAt[k].Sub(now), true
}

// outcome is the expiry of a token, or the time until one is likely if expires is zero.
type outcome struct {
	expires time.Time
	wait    time.Duration
}

func (b *balance) setLimit(policy zinniapond.AllowancePolicy, limit zinniapond.PlanLimit) {
	if b.rule != limit {
		b.rule, b.lifetime = limit, policy.Lifetime(limit)
	}
}

// take takes a token. A request of a program that was begun uses a token for any request
// only if there is no other.
func (b *balance) take(now time.Time, begins bool) (expires time.Time, ok bool) {
	for k := kindOf(begins); k >= 0; k-- {
		for i := range b.batches {
			if p := &b.batches[i]; p.tokens[k] > 0 && now.Before(p.expires) {
				p.tokens[k]--
				return p.expires, true
			}
		}
	}
	return time.Time{}, false
}

// takeOwn takes a token of the reserves, or of this host's share of the limit.
func (b *balance) takeOwn(now time.Time, interval time.Duration) (expires time.Time, ok bool) {
	for i := range b.reserves {
		if p := &b.reserves[i]; p.count > 0 && now.Before(p.expires) {
			p.count--
			return earlier(p.expires, now.Add(ownValidity)), true
		}
	}
	if interval == 0 || now.Before(b.nextOwn) {
		return time.Time{}, false
	}
	b.nextOwn = now.Add(interval)
	return now.Add(ownValidity), true
}

func earlier(x, y time.Time) time.Time {
	if x.Before(y) {
		return x
	}
	return y
}

// giveBack gives a token back to the batch with the given expiry.
func (b *balance) giveBack(now, expires time.Time) {
	for i := range b.batches {
		if b.batches[i].expires.Equal(expires) {
			b.batches[i].tokens[kindOther]++
			b.serve(now)
			return
		}
	}
}

// held returns the number of valid tokens of a kind.
func (b *balance) held(now time.Time, k kind) int {
	count := 0
	for i := range b.batches {
		if now.Before(b.batches[i].expires) {
			count += b.batches[i].tokens[k]
		}
	}
	return count
}

// apply adds the tokens of a grant that was asked for at sentAt, and decides on the
// requests that wait. It returns the time of the next message that is needed for them;
// zero if none is.
func (b *balance) apply(now, sentAt time.Time, reply *zinniapond.QuotaReply, grant zinniapond.QuotaGrant) time.Time {
	b.lifetime = max(grant.Lifetime, 0)
	b.filledAt = now.Add(reply.FilledIn)
	if grant.Beginning+grant.Continuing > 0 {
		b.batches = append(b.batches, batch{reply.Mark, sentAt.Add(grant.Lifetime), [kinds]int{grant.Beginning, grant.Continuing}})
	}
	if grant.Reserve > 0 {
		b.reserves = append(b.reserves, reserve{grant.Reserve, sentAt.Add(zinniapond.ReserveLifetime)})
	}
	waits := [kinds]time.Duration{grant.BeginWait, grant.OtherWait}
	for k, wait := range waits {
		b.refusedUntil[k], b.roomAt[k] = time.Time{}, now.Add(wait)
		if wait > minWait {
			b.refusedUntil[k] = now.Add(min(wait, maxRefusalAge))
			b.refusedAt = now
		}
	}
	b.serve(now)
	var next time.Time
	b.waiting = slices.DeleteFunc(b.waiting, func(w *waiter) bool {
		w.answered = !grant.Unknown
		wait := waits[kindOf(w.begins)]
		if again := now.Add(wait); w.isAllowedBy(again, now.Before(b.filledAt)) {
			if next.IsZero() || again.Before(next) {
				next = again
			}
			return false
		}
		// A shorter time has turned out to be wrong.
		w.result <- outcome{wait: max(wait, minWait)}
		return true
	})
	return next
}

// serve gives tokens to the requests that wait, those of programs that were begun first.
func (b *balance) serve(now time.Time) {
	for _, begins := range []bool{false, true} {
		b.waiting = slices.DeleteFunc(b.waiting, func(w *waiter) bool {
			if w.begins != begins {
				return false
			}
			expires, ok := b.take(now, begins)
			if ok {
				w.result <- outcome{expires: expires}
			}
			return ok
		})
	}
}

// serveOwn gives tokens to the requests that wait while no control host answers, those of
// programs that were begun first. It reports whether some still wait.
func (b *balance) serveOwn(now time.Time, interval time.Duration) (served int, remain bool) {
	for _, begins := range []bool{false, true} {
		b.waiting = slices.DeleteFunc(b.waiting, func(w *waiter) bool {
			if w.begins != begins {
				return false
			}
			expires, ok := b.takeOwn(now, interval)
			if ok {
				served++
				w.result <- outcome{expires: expires}
			}
			return ok
		})
	}
	return served, len(b.waiting) > 0
}

// isAhead reports whether a request waits that is served before one that arrives now.
func (b *balance) isAhead(begins bool) bool {
	return slices.ContainsFunc(b.waiting, func(w *waiter) bool { return begins || !w.begins })
}

func (b *balance) remove(w *waiter) {
	b.waiting = slices.DeleteFunc(b.waiting, func(x *waiter) bool { return x == w })
}

// isIdle reports whether the plan can be forgotten.
func (b *balance) isIdle(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.waiting) == 0 && now.Sub(b.used) > forgetTime
}

// hasUnused reports whether the plan has tokens that have expired.
func (b *balance) hasUnused(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.ContainsFunc(b.batches, func(p batch) bool {
		return p.tokens != [kinds]int{} && !now.Before(p.expires)
	})
}
