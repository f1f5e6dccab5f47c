package runner

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/sample"
	"zinniapond.example/zinniapond/internal/core/vars"
	"zinniapond.example/zinniapond/internal/routes/table"
)

const (
	// rejectionPause is the least time between two lines about rejected keys. Clients with
	// a wrong key send many requests.
	rejectionPause = 10 * time.Second
	// decisionInterval is the least time between two lines about decisions of one queue.
	decisionInterval = time.Second
)

var _ zinniapond.OverviewSource = (*Runner)(nil)

// exportOverview adds the runner to the overview of its host.
func (r *Runner) exportOverview(k *kernel.Kernel) error {
	o, err := kernel.Find[*vars.Overview](k)
	if err == nil {
		o.Add(r)
	}
	return err
}

// AddOverview adds the queues and the replicas that ramp up.
func (r *Runner) AddOverview(now time.Time, o *zinniapond.HostOverview) {
	r.pools.Each(func(name zinniapond.PoolName, p *pool) bool {
		s, d := p.waiters.queue.State(now), &p.waiters.decisions
		o.Queues = append(o.Queues, zinniapond.QueueOverview{
			Pool: name, Length: s.Length, LongestWait: zinniapond.Milliseconds(s.LongestWait), FreedPerS: s.FreedPerS,
			Refused: d.refused.Load(), Expired: d.expired.Load(),
		})
		return true
	})
	slices.SortFunc(o.Queues, func(x, y zinniapond.QueueOverview) int { return cmp.Compare(x.Pool, y.Pool) })
	if r.Pace != nil {
		o.PaceEnabled = true
		o.RampUps = append(o.RampUps, r.Pace.RampUps(now)...)
	}
}

// leaseLog logs when the lease for checking keys expires and returns. Requests check it
// at the same time as readiness does.
type leaseLog struct {
	expired atomic.Bool

	mu      sync.Mutex
	changed time.Time
}

// recordLease logs a change of the lease. A check that began before the last change is
// not used, so that requests which saw the older state do not log another change.
func (r *Runner) recordLease(now, confirmedAt time.Time, valid bool) {
	l := &r.lease
	if l.expired.Load() != valid {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.expired.Load() != valid || now.Before(l.changed) {
		return
	}
	l.expired.Store(!valid)
	l.changed = now
	r.Logger.Info("lease for checking keys", "valid", valid, "confirmed", confirmedAt, "age", now.Sub(confirmedAt).Round(time.Millisecond))
}

// recordRejectedKey counts a rejected key, and logs one of them in each interval. The line
// has neither the key nor its hash.
func (r *Runner) recordRejectedKey(now time.Time, t *table.Table, route *zinniapond.Route, present bool) {
	r.Stats.Add("front.unauthorised", 1)
	if others, ok := r.rejectedKeys.Take(now); ok {
		r.Logger.Info("key rejected", "route", route.Name, "present", present, "version", t.Routing().Version, "others", others)
	}
}

// decisions counts and samples the decisions of one queue.
type decisions struct {
	refused, expired atomic.Int64
	sampler          sample.Sampler
}

// waitOutcome is the result of a wait, as it is logged.
type waitOutcome string

const (
	waitRefused waitOutcome = "refused at once"
	waitRemoved waitOutcome = "refused, queue is full"
	waitExpired waitOutcome = "refused, no room in time"
	waitWoken   waitOutcome = "woken"
	waitGone    waitOutcome = "client has gone"
)

// waitKnown is what was known when a request entered the queue.
type waitKnown struct {
	// observed is false if no line was due then. The state costs a pass over the queue.
	observed bool
	state    zinniapond.WaitState
	expected time.Duration
	ok       bool // the expected wait is known
	at       time.Time
}

// observe returns what is known about the wait of a request.
func (w *waitState) observe(now time.Time) waitKnown {
	if !w.waiters.decisions.sampler.IsDue(now) {
		return waitKnown{}
	}
	known := waitKnown{observed: true, state: w.waiters.queue.State(now), at: now}
	known.expected, known.ok = w.waiters.queue.EstimateWait(now, w.state)
	return known
}

// decide counts the outcome of a wait, and logs one of them in each interval.
func (w *waitState) decide(now time.Time, known waitKnown, outcome waitOutcome) {
	d := &w.waiters.decisions
	switch outcome {
	case waitRefused, waitRemoved:
		d.refused.Add(1)
	case waitExpired:
		d.expired.Add(1)
	}
	if !known.observed {
		d.sampler.Skip()
		return
	}
	others, ok := d.sampler.Take(now)
	if !ok {
		return
	}
	expected := "unknown"
	if known.ok {
		expected = known.expected.Round(time.Millisecond).String()
	}
	w.Logger.Info("queue decision", "pool", w.poolName, "id", w.request.ID, "outcome", string(outcome), "waiting", known.state.Length,
		"freed-per-s", fmt.Sprintf("%.1f", known.state.FreedPerS), "expected", expected, "left", w.deadline.Sub(known.at).Round(time.Millisecond),
		"waited", now.Sub(known.at).Round(time.Millisecond), "begins", w.state.Begins, "others", others)
}
