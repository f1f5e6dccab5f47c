// Package least implements a router that chooses the backend server with the
// fewest of this host's own requests in flight. It is a baseline with which
// package prefix is compared.
package least

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

func init() {
	kernel.Register[zinniapond.Router]("least", func(*kernel.Kernel) (zinniapond.Router, error) {
		return &Router{}, nil
	})
}

// Router chooses the server with the fewest requests in flight. Its zero value
// is ready for use.
type Router struct {
	mu       sync.Mutex
	servers  []zinniapond.Backend
	inFlight map[netip.AddrPort]int
}

var _ zinniapond.Router = (*Router)(nil)

// Update sets the servers that may receive new work.
func (r *Router) Update(_ time.Time, servers []zinniapond.Backend) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.servers = slices.Clone(servers)
}

// Pick returns the free server with the fewest requests in flight. The search
// starts at an index derived from the call, so that hosts with equal counts do
// not all choose the first server.
func (r *Router) Pick(_ time.Time, need zinniapond.PickInfo, free func(netip.AddrPort) bool) (zinniapond.Choice, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := uint64(len(r.servers))
	if count == 0 {
		return zinniapond.Choice{}, false
	}
	start := xxhash.Sum64String(string(need.Call)) % count
	var best netip.AddrPort
	for i := range count {
		a := r.servers[(start+i)%count].Address
		if slices.Contains(need.Exclude, a) || !free(a) {
			continue
		}
		if !best.IsValid() || r.inFlight[a] < r.inFlight[best] {
			best = a
		}
	}
	return zinniapond.Choice{Backend: best, Reason: "fewest in flight"}, best.IsValid()
}

// AttemptStarted counts a request in flight at the server.
func (r *Router) AttemptStarted(_ time.Time, server netip.AddrPort, _ zinniapond.PickInfo) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight == nil {
		r.inFlight = make(map[netip.AddrPort]int)
	}
	r.inFlight[server]++
}

// AttemptFinished removes a request in flight from the count of the server.
func (r *Router) AttemptFinished(_ time.Time, server netip.AddrPort, _ zinniapond.PickInfo, _ zinniapond.Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight[server] > 1 {
		r.inFlight[server]--
	} else {
		delete(r.inFlight, server)
	}
}

// UpdateLoad does nothing: only own requests count.
func (r *Router) UpdateLoad(time.Time, zinniapond.LoadReport) {}

// ApplyCacheEvent does nothing: the choice does not depend on caches.
func (r *Router) ApplyCacheEvent(time.Time, zinniapond.CacheEvent) {}

// EstimateDuration returns zero: no latency is observed.
func (r *Router) EstimateDuration(zinniapond.PickInfo) time.Duration { return 0 }
