// Package allow decides how many requests of a plan may run. It answers a load of one
// plan far above its limit, over many hosts: the number of requests in each sliding
// window is bounded exactly, and programs that were begun are finished before others
// begin.
package allow

import (
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

func init() {
	kernel.Register("default", func(k *kernel.Kernel) (zinniapond.AllowancePolicy, error) {
		return Policy{Access: k.Settings.Access}, nil
	})
}

const (
	// minLifetime and maxLifetime bound the lifetime of tokens: a shorter one would end
	// before a token arrives, and a longer one delays the effect of a lower limit.
	minLifetime = 100 * time.Millisecond
	maxLifetime = 2 * time.Second
	// shareLatency is the time that a request may take from its permit to the replica.
	shareLatency = 250 * time.Millisecond
)

// Policy implements zinniapond.AllowancePolicy. Its exported field is set before use.
type Policy struct {
	Access zinniapond.AccessSettings
}

var _ zinniapond.AllowancePolicy = Policy{}

// Limit adds half of the slack to the burst of a plan. The smallest plans may begin hardly
// a program with their burst: one of a rate of 6 and a burst of 6 would be refused half of
// the programs that its rate allows, as they come in bursts of many requests.
func (p Policy) Limit(plan *zinniapond.Plan) zinniapond.PlanLimit {
	limit := zinniapond.PlanLimit{Rate: plan.RequestRate, Burst: plan.RequestBurst}
	if limit.Rate > 0 {
		limit.Burst += p.Access.QuotaSlack / 2
	}
	return limit
}

// excess returns half of the requests above the limit that are accepted in a window.
func (p Policy) excess(limit zinniapond.PlanLimit) float64 {
	return p.Access.QuotaOverage / 2 * (float64(limit.Rate)*p.Access.QuotaWindow.Seconds() + float64(limit.Burst))
}

// Lifetime returns the time in which the rate refills half of the accepted excess. A
// window contains requests with tokens that were granted up to this time before it.
func (p Policy) Lifetime(limit zinniapond.PlanLimit) time.Duration {
	if limit.Rate <= 0 {
		return maxLifetime
	}
	lifetime := p.excess(limit) / float64(limit.Rate)
	return time.Duration(min(max(lifetime, minLifetime.Seconds()), maxLifetime.Seconds()) * float64(time.Second))
}

// OwnInterval divides the other half of the accepted excess by the number of hosts. The
// half of the slack that is not part of the burst is left for requests that reach a replica
// after their token has expired, as the process was suspended while it sent them.
func (p Policy) OwnInterval(limit zinniapond.PlanLimit, hosts int) time.Duration {
	if hosts <= 0 {
		return 0
	}
	tokens := int(p.excess(limit) / float64(hosts))
	if tokens == 0 {
		return 0
	}
	return (p.Access.QuotaWindow+shareLatency)/time.Duration(tokens) + time.Millisecond
}

// FilledAt returns the time from which no window contains requests with tokens of the count
// that ended at since.
func (p Policy) FilledAt(since time.Time) time.Time {
	return since.Add(p.Access.QuotaWindow + max(maxLifetime, zinniapond.ReserveLifetime))
}

// NewBucket returns the bucket of a plan for which no token was granted since the given
// instant. It is empty if counting has just begun, and has the tokens of a bucket that was
// full then as soon as no window contains requests with earlier tokens.
func (p Policy) NewBucket(now, since time.Time, limit zinniapond.PlanLimit) zinniapond.AllowanceBucket {
	b := &bucket{limit: limit, since: since, updated: since, entered: since, slot: slotOf(since)}
	b.fullAt = p.FilledAt(since)
	b.surplus = b.capacity()
	b.advance(now)
	return b
}
