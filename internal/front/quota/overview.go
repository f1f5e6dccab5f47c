package quota

import (
	"slices"
	"time"

	"zinniapond.example/zinniapond"
)

// atLimitTime is the time after the last refusal for which a plan is shown at its limit.
// It is the one of the control host that counts.
const atLimitTime = 5 * time.Second

var _ zinniapond.OverviewSource = (*Client)(nil)

// AddOverview adds the plans of which this host had requests lately, those that were
// refused, and the control host that this host asks. A control host that is part of the
// same process knows better.
func (c *Client) AddOverview(now time.Time, o *zinniapond.HostOverview) {
	if o.Limits.Counter.IsValid() {
		return
	}
	var limited []zinniapond.PlanName
	c.plans.Each(func(plan zinniapond.PlanName, b *balance) bool {
		if b.isAtLimit(now) {
			limited = append(limited, plan)
		}
		return true
	})
	slices.Sort(limited)
	o.Limits.AtLimitCount, o.Limits.Counted = len(limited), c.Plans()
	o.Limits.AtLimit = append(o.Limits.AtLimit, limited[:min(len(limited), zinniapond.MaxLimitedPlans)]...)
	c.mu.Lock()
	defer c.mu.Unlock()
	o.Limits.Counter = c.counter
}

// isAtLimit reports whether a reply has refused requests of the plan a short time ago.
// Replies to a plan at its limit grant and refuse in turn.
func (b *balance) isAtLimit(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.refusedAt.IsZero() && now.Sub(b.refusedAt) < atLimitTime
}
