package quota

import (
	"math"
	"slices"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// demandTime is the time over which the demand of a plan is averaged.
	demandTime = 2 * time.Second
	// minPrefetch is the least number of requests that are expected within the lifetime
	// of a token, and minRefill that of tokens that the limit allows in this time, for
	// which tokens are obtained in advance. With 0.3 requests and without minRefill,
	// tokens that several hosts held in advance used up the burst of small plans, and a
	// model of 7 hosts refused twice as many requests below the limit.
	minPrefetch = 1.2
	minRefill   = 2
	// maxRefusalAge is the time for which requests are refused because of the last reply.
	maxRefusalAge = 250 * time.Millisecond
	// returnTime is the time after their expiry for which tokens are still returned.
	returnTime = time.Second
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
	limit    zinniapond.PlanLimit
	lifetime time.Duration
	batches  []batch   // in the order of their grants
	reserves []reserve // in the order of their grants
	waiting  []*waiter
	// demand has the mean numbers of requests a second at demandAt.
	demand   [kinds]float64
	demandAt time.Time
	used     time.Time // time of the last request
	// refusedUntil is the end of the time in which requests are refused without a message.
	refusedUntil [kinds]time.Time
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
	result   chan outcome
}

// outcome is the expiry of a token, or the time until one is likely if expires is zero.
type outcome struct {
	expires time.Time
	wait    time.Duration
}

func (b *balance) setLimit(policy zinniapond.AllowancePolicy, limit zinniapond.PlanLimit) {
	if b.limit != limit {
		b.limit, b.lifetime = limit, policy.Lifetime(limit)
	}
}

// decayDemand brings the demand to the present time.
func (b *balance) decayDemand(now time.Time) {
	if elapsed := now.Sub(b.demandAt); elapsed > 0 {
		f := math.Exp(-elapsed.Seconds() / demandTime.Seconds())
		b.demand[kindBegin] *= f
		b.demand[kindOther] *= f
		b.demandAt = now
	}
}

func (b *balance) recordDemand(now time.Time, begins bool) {
	b.decayDemand(now)
	b.used = now
	b.demand[kindOf(begins)] += 1 / demandTime.Seconds()
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

// isLow reports whether a busy plan has few tokens left.
func (b *balance) isLow(now time.Time) bool {
	demand := b.demand[kindBegin] + b.demand[kindOther]
	held := float64(b.held(now, kindBegin) + b.held(now, kindOther))
	return demand*b.lifetime.Seconds() >= 2 && held < demand*min(messageInterval, b.lifetime/2).Seconds()
}

// need returns what is needed of the plan's allowance. ok is false if nothing is.
func (b *balance) need(now time.Time) (need zinniapond.QuotaNeed, ok bool) {
	b.decayDemand(now)
	need = zinniapond.QuotaNeed{Plan: b.plan, Unused: b.collectUnused(now)}
	var waiting [kinds]int
	for _, w := range b.waiting {
		waiting[kindOf(w.begins)]++
	}
	need.Beginning = waiting[kindBegin] + b.prefetch(now, kindBegin)
	need.Continuing = waiting[kindOther] + b.prefetch(now, kindOther)
	if need.Beginning+need.Continuing == 0 {
		return need, len(need.Unused) > 0
	}
	if len(b.reserves) == 0 || b.reserves[len(b.reserves)-1].expires.Sub(now) < zinniapond.ReserveLifetime/2 {
		// Half of the demand in the lifetime of a reserve.
		need.Reserve = int((b.demand[kindBegin] + b.demand[kindOther]) * zinniapond.ReserveLifetime.Seconds() / 2)
	}
	return need, true
}

// prefetch returns the number of tokens to obtain in advance: those for half of their
// lifetime.
func (b *balance) prefetch(now time.Time, k kind) int {
	expected := b.demand[k] * b.lifetime.Seconds()
	if expected < minPrefetch || float64(b.limit.Rate)*b.lifetime.Seconds() < minRefill {
		return 0
	}
	return max(int(expected/2+0.5)-b.held(now, k), 0)
}

// collectUnused returns the tokens that have expired, and removes old batches and
// reserves.
func (b *balance) collectUnused(now time.Time) []zinniapond.UnusedTokens {
	var unused []zinniapond.UnusedTokens
	b.batches = slices.DeleteFunc(b.batches, func(p batch) bool { return now.Sub(p.expires) > returnTime })
	b.reserves = slices.DeleteFunc(b.reserves, func(r reserve) bool { return !now.Before(r.expires) })
	for i := range b.batches {
		p := &b.batches[i]
		if count := p.tokens[kindBegin] + p.tokens[kindOther]; count > 0 && !now.Before(p.expires) {
			unused = append(unused, zinniapond.UnusedTokens{Mark: p.mark, Count: count})
			p.tokens = [kinds]int{}
		}
	}
	return unused
}

// apply adds the tokens of a grant that was asked for at sentAt, and decides on the
// requests that wait. It returns the time of the next message that is needed for them;
// zero if none is.
func (b *balance) apply(now, sentAt time.Time, mark zinniapond.QuotaMark, grant zinniapond.QuotaGrant) time.Time {
	b.lifetime = max(grant.Lifetime, 0)
	if grant.Beginning+grant.Continuing > 0 {
		b.batches = append(b.batches, batch{mark, sentAt.Add(grant.Lifetime), [kinds]int{grant.Beginning, grant.Continuing}})
	}
	if grant.Reserve > 0 {
		b.reserves = append(b.reserves, reserve{grant.Reserve, sentAt.Add(zinniapond.ReserveLifetime)})
	}
	waits := [kinds]time.Duration{grant.BeginWait, grant.OtherWait}
	for k, wait := range waits {
		b.refusedUntil[k] = time.Time{}
		if wait > waitTime {
			b.refusedUntil[k] = now.Add(min(wait, maxRefusalAge))
		}
	}
	b.serve(now)
	var next time.Time
	b.waiting = slices.DeleteFunc(b.waiting, func(w *waiter) bool {
		w.answered = !grant.Unknown
		wait := waits[kindOf(w.begins)]
		if again := now.Add(wait); again.Before(w.until) {
			if next.IsZero() || again.Before(next) {
				next = again
			}
			return false
		}
		w.result <- outcome{wait: wait}
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

// serveOwn gives tokens to the requests that wait while no control host answers. It
// reports whether some still wait.
func (b *balance) serveOwn(now time.Time, interval time.Duration) (served int, remain bool) {
	b.waiting = slices.DeleteFunc(b.waiting, func(w *waiter) bool {
		expires, ok := b.takeOwn(now, interval)
		if ok {
			served++
			w.result <- outcome{expires: expires}
		}
		return ok
	})
	return served, len(b.waiting) > 0
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
