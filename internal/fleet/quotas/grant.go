package quotas

import (
	"sync"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// pruneInterval is the interval at which idle plans are removed, and unusedTime the
	// time without requests after which a plan is removed. Its bucket is full then.
	pruneInterval = time.Second
	unusedTime    = 10 * time.Second
	// underLimitTime is the time without a refusal after which a plan counts as under its
	// limit.
	underLimitTime = 5 * time.Second
	// quietTime is the time after the beginning of a term in which refusals do not show
	// that a plan is at its limit, as its bucket has been empty.
	quietTime = 2 * time.Second
	// maxCounters is the number of plans that get counters of their own.
	maxCounters = 32
)

// account has the bucket of one plan.
type account struct {
	mu     sync.Mutex
	term   uint64
	bucket zinniapond.AllowanceBucket
	queue  queue
	used   time.Time
	// refused is the time of the last refusal while the plan is at its limit; else zero.
	refused time.Time
}

// grant grants tokens for one need of a host.
func (c *Counter) grant(now time.Time, t term, sender zinniapond.HostName, need *zinniapond.QuotaNeed) zinniapond.QuotaGrant {
	limit, ok := c.limit(need.Plan)
	if !ok {
		return zinniapond.QuotaGrant{Unknown: true}
	}
	grant := zinniapond.QuotaGrant{Lifetime: c.Policy.Lifetime(limit)}
	if limit.Rate <= 0 {
		grant.Beginning, grant.Continuing = need.Beginning, need.Continuing
		return grant
	}
	a := c.lock(now, t, need.Plan, limit)
	defer a.mu.Unlock()
	for _, u := range need.Unused {
		if u.Mark.Counter == t.number {
			a.bucket.Return(now, t.since.Add(u.Mark.At), u.Count)
		}
	}
	a.bucket.SetWaiting(a.queue.others(now, sender))
	grant.Beginning, grant.Continuing = a.bucket.Take(now, max(need.Beginning, 0), max(need.Continuing, 0))
	grant.Reserve = a.bucket.Reserve(now, max(need.Reserve, 0))
	missing := need.Beginning - grant.Beginning + need.Continuing - grant.Continuing
	if missing > 0 {
		grant.BeginWait, grant.OtherWait = a.bucket.Wait(now)
		c.recordRefusal(now, t, a, need.Plan, missing)
	}
	a.queue.record(now, sender, need, &grant)
	return grant
}

// lock returns the account of a plan, locked.
func (c *Counter) lock(now time.Time, t term, plan zinniapond.PlanName, limit zinniapond.PlanLimit) *account {
	var a *account
	// The account is locked before prune can remove it.
	c.plans.Update(plan, func(values map[zinniapond.PlanName]*account) {
		if a = values[plan]; a == nil {
			a = &account{queue: make(queue)}
			values[plan] = a
		}
		a.mu.Lock()
	})
	if a.bucket == nil || a.term != t.number {
		clear(a.queue)
		a.term, a.bucket = t.number, c.Policy.NewBucket(now, t.since, limit)
	}
	a.bucket.SetLimit(now, limit)
	a.used = now
	return a
}

// recordRefusal logs that a plan has reached its limit, and counts its refusals.
func (c *Counter) recordRefusal(now time.Time, t term, a *account, plan zinniapond.PlanName, count int) {
	c.Stats.Add("quotas.refused", int64(count))
	if now.Sub(t.since) < quietTime {
		return
	}
	if a.refused.IsZero() {
		c.Logger.Info("plan has reached its request limit", "plan", plan)
	}
	a.refused = now
	if _, ok := c.counters.Get(plan); ok || c.counters.Len() < maxCounters {
		c.counters.Set(plan, struct{}{})
		c.Stats.Add("quotas.refused."+string(plan), int64(count))
	}
}

// Limited returns the plans that are at their limit.
func (c *Counter) Limited() []zinniapond.PlanName {
	var list []zinniapond.PlanName
	c.plans.Each(func(plan zinniapond.PlanName, a *account) bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		if !a.refused.IsZero() {
			list = append(list, plan)
		}
		return true
	})
	return list
}

// prune removes plans without requests, and logs plans that are under their limit again.
func (c *Counter) prune(now time.Time) {
	c.plans.Each(func(plan zinniapond.PlanName, a *account) bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		if !a.refused.IsZero() && now.Sub(a.refused) > underLimitTime {
			a.refused = time.Time{}
			c.Logger.Info("plan is under its request limit again", "plan", plan)
		}
		return true
	})
	var unused []zinniapond.PlanName
	c.plans.Each(func(plan zinniapond.PlanName, a *account) bool {
		if a.isUnused(now) {
			unused = append(unused, plan)
		}
		return true
	})
	for _, plan := range unused {
		c.plans.Update(plan, func(values map[zinniapond.PlanName]*account) {
			if a := values[plan]; a != nil && a.isUnused(now) {
				delete(values, plan)
			}
		})
	}
}

// isUnused reports whether a new bucket would be the same as the one of the plan.
func (a *account) isUnused(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return now.Sub(a.used) > unusedTime && a.refused.IsZero() && a.bucket.IsFull(now)
}
