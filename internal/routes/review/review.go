// Package review examines a configuration before operators send it: it finds what would
// be refused, what can never be used and limits that contradict each other, and what
// differs from the configuration in force. It does no I/O.
package review

import (
	"fmt"
	"net/netip"
	"strings"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/routes/table"
)

func init() {
	kernel.Register("default", func(*kernel.Kernel) (zinniapond.RoutingReviewer, error) { return Reviewer{}, nil })
}

// Reviewer implements zinniapond.RoutingReviewer.
type Reviewer struct{}

var _ zinniapond.RoutingReviewer = Reviewer{}

// Review returns all findings of a configuration and what differs from the one in force.
func (Reviewer) Review(next, current *zinniapond.Routing) zinniapond.RoutingReview {
	var w warnings
	for i := range next.Routes {
		route := &next.Routes[i]
		place := zinniapond.Place{Kind: zinniapond.EntryRoute, Number: i + 1, Name: route.Name}
		w.checkUse(place, route)
		w.checkLimits(place, route)
	}
	w.checkServices(next)
	w.checkPlans(next)
	var changes *zinniapond.RoutingChanges
	if current != nil {
		changes = compare(next, current)
		w.checkVersion(changes)
	}
	return zinniapond.RoutingReview{Findings: append(table.Faults(next), w.list...), Changes: changes}
}

// warnings collects the findings that do not have a configuration refused.
type warnings struct {
	list []zinniapond.Finding
}

func (w *warnings) add(place zinniapond.Place, code, format string, args ...any) {
	w.list = append(w.list, zinniapond.Finding{
		Severity: zinniapond.SeverityWarning, Code: code, Place: place, Problem: fmt.Sprintf(format, args...),
	})
}

// checkUse finds routes that match no request and splits that get none.
func (w *warnings) checkUse(place zinniapond.Place, r *zinniapond.Route) {
	if r.Host != "" && !isRequestHost(r.Host) {
		w.add(place, "route-unmatched", "no request has the host %q: hosts are compared in lower case and without a port", r.Host)
	}
	if strings.ContainsFunc(r.PathPrefix, func(c rune) bool { return c <= ' ' || c >= 0x7f || c == '?' || c == '#' }) {
		w.add(place, "route-unmatched", "no request has the prefix %q: paths are compared in their escaped form", r.PathPrefix)
	}
	for _, s := range r.Splits {
		if s.Weight == 0 {
			w.add(place, "split-unused", "the split to service %q has the weight 0", s.Service)
		}
	}
}

func isRequestHost(host string) bool {
	if _, err := netip.ParseAddr(host); err == nil {
		return true
	}
	return host == strings.ToLower(host) && !strings.ContainsAny(host, ":/?# \t")
}

// checkLimits finds limits of a route that contradict each other.
func (w *warnings) checkLimits(place zinniapond.Place, r *zinniapond.Route) {
	switch {
	case r.Timeout <= 0 || r.TargetLatency <= 0:
	case r.Timeout < r.TargetLatency:
		w.add(place, "timeout-below-target", "the timeout of %s is shorter than the target latency of %s", r.Timeout, r.TargetLatency)
	case r.MaxAttempts > 1 && int64(r.MaxAttempts) > int64(r.Timeout/r.TargetLatency):
		w.add(place, "attempts-above-timeout", "%d attempts at the target latency of %s take longer than the timeout of %s", r.MaxAttempts, r.TargetLatency, r.Timeout)
	}
	if r.Retained && !r.IsStream() {
		w.add(place, "retention-without-stream", "turns are kept of streams only, and the route is none")
	}
	if r.Resumable && !r.IsStream() {
		w.add(place, "resumable-without-stream", "only streams can be resumed, and the route is none")
	}
}

// checkServices finds services that get no requests.
func (w *warnings) checkServices(r *zinniapond.Routing) {
	named := make(map[zinniapond.PoolName]bool, len(r.Services))
	for i := range r.Routes {
		for _, s := range r.Routes[i].Splits {
			named[s.Service] = true
		}
	}
	for i, s := range r.Services {
		if s.Name != "" && !named[s.Name] {
			w.add(zinniapond.Place{Kind: zinniapond.EntryService, Number: i + 1, Name: string(s.Name)}, "service-unused", "no route names it")
		}
	}
}

// checkPlans finds plans that no client can use, and limits under which no program runs.
func (w *warnings) checkPlans(r *zinniapond.Routing) {
	if r.HasPlans && len(r.Plans) == 0 {
		w.add(zinniapond.Place{Kind: zinniapond.EntryConfiguration}, "plans-empty", "the list of plans is empty: all routes that are not public answer 401")
	}
	for i := range r.Plans {
		p := &r.Plans[i]
		place := zinniapond.Place{Kind: zinniapond.EntryPlan, Number: i + 1, Name: string(p.Name)}
		if len(p.Customers) == 0 {
			w.add(place, "plan-without-keys", "no keys: no client can use it")
		}
		switch {
		case p.RequestRate > 0 && p.RequestRate < 1 && p.RequestBurst < 1:
			w.add(place, "limit-below-program", "a rate of %v requests a second and a burst of %d are below the one request that a program needs", p.RequestRate, p.RequestBurst)
		case p.RequestRate == 0 && p.RequestBurst > 0:
			w.add(place, "burst-without-rate", "a rate of 0 is no limit, so the burst of %d has no effect", p.RequestBurst)
		}
	}
}

// checkVersion finds a change that would be accepted without effect.
func (w *warnings) checkVersion(c *zinniapond.RoutingChanges) {
	if c.To < c.From || c.To == c.From && !c.IsEmpty() {
		w.add(zinniapond.Place{Kind: zinniapond.EntryConfiguration}, "version-not-higher", "version %d is not above version %d in force: it would be accepted without effect", c.To, c.From)
	}
}
