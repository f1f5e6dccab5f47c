// Package robin implements a round-robin router. It is a baseline with which
// package prefix is compared.
package robin

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

func init() {
	kernel.Register[zinniapond.Router]("robin", func(*kernel.Kernel) (zinniapond.Router, error) {
		return &Router{}, nil
	})
}

// Router chooses the servers in turn. Its zero value is ready for use.
type Router struct {
	mu      sync.Mutex
	servers []zinniapond.Backend
	next    int
}

var _ zinniapond.Router = (*Router)(nil)

// Update sets the servers that may receive new work.
func (r *Router) Update(_ time.Time, servers []zinniapond.Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servers = slices.Clone(servers)
}

// Pick returns the next server in turn that is free and not excluded.
func (r *Router) Pick(_ time.Time, need zinniapond.Need, free func(netip.AddrPort) bool) (zinniapond.Choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.servers {
		at := (r.next + i) % len(r.servers)
		a := r.servers[at].Address
		if slices.Contains(need.Exclude, a) || !free(a) {
			continue
		}
		r.next = at + 1
		return zinniapond.Choice{Backend: a, Reason: "next in turn"}, true
	}
	return zinniapond.Choice{}, false
}

// Started does nothing: the turn does not depend on load.
func (r *Router) Started(time.Time, netip.AddrPort, zinniapond.Need) {}

// Finished does nothing: the turn does not depend on latency.
func (r *Router) Finished(time.Time, netip.AddrPort, zinniapond.Need, zinniapond.Observation) {}

// Report does nothing: the turn does not depend on load.
func (r *Router) Report(time.Time, zinniapond.LoadReport) {}

// Event does nothing: the turn does not depend on caches.
func (r *Router) Event(time.Time, zinniapond.CacheEvent) {}

// Estimate returns zero: no latency is observed.
func (r *Router) Estimate(zinniapond.Need) time.Duration { return 0 }
