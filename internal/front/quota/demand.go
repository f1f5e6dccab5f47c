package quota

import (
	"math"
	"slices"
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
	minRefill   = 4
	// returnTime is the time after their expiry for which tokens are still returned.
	returnTime = time.Second
)

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
// lifetime. A count that is new has no tokens but for requests that wait.
func (b *balance) prefetch(now time.Time, k kind) int {
	expected := b.demand[k] * b.lifetime.Seconds()
	if now.Before(b.filledAt) || expected < minPrefetch || float64(b.rule.Rate)*b.lifetime.Seconds() < minRefill {
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
