package quotas

import (
	"slices"
	"time"

	"zinniapond.example/zinniapond"
)

var _ zinniapond.OverviewSource = (*Counter)(nil)

// AddOverview adds the plans at their limits and the control host that counts.
func (c *Counter) AddOverview(now time.Time, o *zinniapond.HostOverview) {
	limited := c.Limited()
	slices.Sort(limited)
	o.Limits.AtLimitCount, o.Limits.Counted = len(limited), c.plans.Len()
	o.Limits.AtLimit = append(o.Limits.AtLimit, limited[:min(len(limited), zinniapond.MaxLimitedPlans)]...)
	if _, ok := c.tenure.at(now); ok {
		o.Limits.Counter, o.Limits.IsCounter = c.Address, true
	} else if counter, ok := c.vote.current(now, c.Address); ok {
		o.Limits.Counter = counter
	}
}
