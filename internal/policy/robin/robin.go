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
func (r *Router) Pick(_ time.Time, need zinniapond.PickInfo, free func(netip.AddrPort) bool) (zinniapond.Choice, bool) {
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

// AttemptStarted does nothing: the turn does not depend on load.
func (r *Router) AttemptStarted(time.Time, netip.AddrPort, zinniapond.PickInfo) {}

// AttemptFinished does nothing: the turn does not depend on latency.
func (r *Router) AttemptFinished(time.Time, netip.AddrPort, zinniapond.PickInfo, zinniapond.Observation) {
}

// UpdateLoad does nothing: the turn does not depend on load.
func (r *Router) UpdateLoad(time.Time, zinniapond.LoadReport) {}

// ApplyCacheEvent does nothing: the turn does not depend on caches.
func (r *Router) ApplyCacheEvent(time.Time, zinniapond.CacheEvent) {}

// EstimateDuration returns zero: no latency is observed.
func (r *Router) EstimateDuration(zinniapond.PickInfo) time.Duration { return 0 }
