// Package prefix implements a router that sends each call to the backend server
// with the least expected time. This is usually the server whose KV cache holds
// the longest prefix of the prompt.
package prefix

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/shard"
)

const (
	// ejectionSlowness is the slowness, relative to the pool's median, above
	// which a server is ejected and receives only probes.
	ejectionSlowness = 3
	// loadBoundRatio is the load of a server, as a multiple of the mean load,
	// up to which it is preferred for its cache.
	loadBoundRatio = 1.25
	// loadBoundSlack is added to the load bound. A host has only one or two
	// requests at a server, and a bound rounded to such small counts sends
	// calls away from the server that has their prefix cached.
	loadBoundSlack = 3
	// defaultSlots is the number of requests that a server is taken to run at
	// once if its list entry does not give one.
	defaultSlots = 16
	// queueDelayFactor is the weight of the requests that wait at a server, by
	// its slots, in the expected generation time of a call. Running requests
	// have the weight 2.
	queueDelayFactor = 4
	// nearEqualRatio is the ratio of expected times up to which candidates
	// count as equal.
	nearEqualRatio = 1.1
	// lateViewRatio takes the place of nearEqualRatio in large pools. Dozens of hosts
	// send several calls to each server between two exchanges of loads; if all took the
	// servers with the least load at the last one, these would be overloaded until the
	// next.
	lateViewRatio = 1.5
	// reserveDivisor divides the size of a pool to give the largest number of
	// free servers that lower classes have to leave to the first class. Without
	// a reserve, a short urgent call waits for the end of a long one.
	reserveDivisor = 2
	// equalSlowness is the slowness, relative to the pool's median, below which
	// servers count as equally fast; the latencies of single answers differ by
	// as much.
	equalSlowness = 2
	// sampleSize bounds the servers that are compared for one call, beside
	// those with a cached prefix. Pools of up to this size are compared as a
	// whole; larger ones are sampled.
	sampleSize = 16
	// maxHolders bounds the servers with a cached prefix that are compared.
	maxHolders = 6
	// maxCandidates is the usual number of servers that are compared.
	maxCandidates = sampleSize + maxHolders + 1
)

func init() {
	kernel.Register[zinniapond.Router]("prefix", func(k *kernel.Kernel) (zinniapond.Router, error) {
		return &Router{Seed: xxhash.Sum64String(string(k.Settings.Host))}, nil
	})
}

// Router routes by expected time. The state of each server is guarded by a lock
// of its own.
type Router struct {
	// Seed differs between hosts, so that hosts with the same view do not make
	// the same random choices. It must be set before the first use.
	Seed uint64

	eligible            atomic.Pointer[[]*server]
	byDataCentre        atomic.Pointer[map[zinniapond.DataCentre][]*server] // eligible servers
	servers             shard.Map[netip.AddrPort, *server]
	index               atomic.Pointer[cacheIndex]
	latency             latencyModel
	inFlight            atomic.Int64
	inFlightInteractive atomic.Int64 // requests of ClassInteractive
}

var _ zinniapond.Router = (*Router)(nil)

func (r *Router) cacheIndex() *cacheIndex {
	if v := r.index.Load(); v != nil {
		return v
	}
	r.index.CompareAndSwap(nil, newCacheIndex())
	return r.index.Load()
}

// Update sets the servers that may receive new work. The state of another
// server is dropped by the first update at which it has no request in flight.
func (r *Router) Update(_ time.Time, servers []zinniapond.Backend) {
	eligible := make([]*server, 0, len(servers))
	present := make(map[netip.AddrPort]bool, len(servers))
	for _, b := range servers {
		present[b.Address] = true
		s := r.servers.GetOrCreate(b.Address, func() *server {
			return &server{address: b.Address, dataCentre: b.DataCentre, slots: defaultSlots}
		})
		s.setEntry(b)
		s.eligible.Store(true)
		eligible = append(eligible, s)
	}
	r.eligible.Store(&eligible)
	r.storeByDataCentre(eligible)
	var removed []netip.AddrPort
	r.servers.Each(func(a netip.AddrPort, s *server) bool {
		if !present[a] {
			s.eligible.Store(false)
			if s.snapshot(time.Time{}).inFlight == 0 {
				removed = append(removed, a)
			}
		}
		return true
	})
	for _, a := range removed {
		r.servers.Delete(a)
	}
}

// Pick chooses the free server with the least expected time.
func (r *Router) Pick(now time.Time, need zinniapond.PickInfo, free func(netip.AddrPort) bool) (zinniapond.Choice, bool) {
	eligible := r.eligible.Load()
	if eligible == nil || len(*eligible) == 0 {
		return zinniapond.Choice{}, false
	}
	random := xxhash.Sum64String(string(need.Call)) ^ r.Seed + uint64(len(need.Exclude))*0x9e3779b97f4a7c15
	var buffer [maxCandidates]candidate
	candidates := r.gatherCandidates(now, need, *eligible, free, random, buffer[:0])
	markEjected(candidates)
	if need.Class > zinniapond.ClassInteractive && !r.hasUnreservedServer(candidates, free) {
		return zinniapond.Choice{}, false
	}
	if c, ok := r.pickProbe(now, need, candidates, free); ok {
		return c, true
	}
	meanLoad := float64(r.inFlight.Load()+1) / float64(len(*eligible))
	loadLimit := math.Ceil(loadBoundRatio*meanLoad) + loadBoundSlack
	// The first pass considers the servers within the load bound, the second
	// all that are not ejected, and the third all servers. The three passes before
	// them consider only servers at which the call can end before its deadline.
	for pass := range 6 {
		if pass < 3 && need.RemainingTime <= 0 {
			continue
		}
		best := r.selectFastest(need, candidates, random, func(o *candidate) bool {
			switch {
			case slices.Contains(need.Exclude, o.address) || !free(o.address):
				return false
			case pass < 3 && !r.endsInTime(need, o):
				return false
			case pass%3 == 0:
				return !o.ejected && float64(o.state.inFlight+1) <= loadLimit
			case pass%3 == 1:
				return !o.ejected
			}
			return true
		})
		if best == nil {
			continue
		}
		reason := "least expected time"
		switch {
		case best.cachedTokens > 0:
			reason = "cached prefix"
		case best.ejected:
			reason = "only slow servers are free"
		}
		return zinniapond.Choice{
			Backend: best.address, CachedTokens: best.cachedTokens, ExpectedTime: r.latency.expectedTime(need, best), Reason: reason,
		}, true
	}
	return zinniapond.Choice{}, false
}

// endsInTime reports whether a call is expected to end at a server before its deadline.
func (r *Router) endsInTime(need zinniapond.PickInfo, o *candidate) bool {
	return need.RemainingTime <= 0 || r.latency.expectedTime(need, o) <= need.RemainingTime
}

// hasUnreservedServer tells whether more servers are free than are reserved for
// the first class: twice the square root of the number of its calls in flight,
// as this number fluctuates by about as much.
func (r *Router) hasUnreservedServer(candidates []candidate, free func(netip.AddrPort) bool) bool {
	reserved := int(math.Ceil(2 * math.Sqrt(float64(r.inFlightInteractive.Load()+1))))
	reserved = min(reserved, len(candidates)/reserveDivisor)
	for i := range candidates {
		if o := &candidates[i]; !o.ejected && free(o.address) {
			if reserved == 0 {
				return true
			}
			reserved--
		}
	}
	return false
}

// pickProbe chooses an ejected server whose probe is due, and claims the probe
// for the call.
func (r *Router) pickProbe(now time.Time, need zinniapond.PickInfo, candidates []candidate, free func(netip.AddrPort) bool) (zinniapond.Choice, bool) {
	for i := range candidates {
		o := &candidates[i]
		if !o.state.probeOverdue && !r.endsInTime(need, o) {
			continue
		}
		if o.ejected && o.state.probeDue && !slices.Contains(need.Exclude, o.address) && free(o.address) {
			o.claimProbe(now)
			return zinniapond.Choice{Backend: o.address, CachedTokens: o.cachedTokens, Reason: "probe of a slow server"}, true
		}
	}
	return zinniapond.Choice{}, false
}

// selectFastest returns the allowed candidate with the least expected time.
// Among near-equal candidates it takes the less loaded of two random ones, so
// that hosts with the same view do not all choose the same server.
func (r *Router) selectFastest(need zinniapond.PickInfo, candidates []candidate, random uint64, allowed func(*candidate) bool) *candidate {
	var buffer [maxCandidates]*candidate
	eligible := buffer[:0]
	shortest := math.Inf(1)
	for i := range candidates {
		o := &candidates[i]
		if !allowed(o) {
			continue
		}
		o.score = o.relativeSlowness*r.latency.expectedCost(need, o.cachedTokens, o.state.load, o.state.slots) + o.openNanos()
		if !r.latency.hasObservations() {
			// Without observations: fewest in flight, and twice as many count as equal
			// where the whole prompt is cached.
			o.score = (1 + o.state.load) * (2 - float64(o.cachedTokens)/float64(max(need.PromptTokens, 1)))
		}
		if need.SharedTokens > 0 && o.dataCentre != need.DataCentre {
			o.score *= remoteRatio
		}
		eligible = append(eligible, o)
		shortest = min(shortest, o.score)
	}
	cached := zinniapond.Tokens(0)
	for _, o := range eligible {
		if o.score == shortest {
			cached = max(cached, o.cachedTokens)
		}
	}
	isLateView := len(r.localServers(need, len(*r.eligible.Load()))) > 0
	eligible = slices.DeleteFunc(eligible, func(o *candidate) bool {
		if isLateView && o.cachedTokens >= cached {
			return o.score > lateViewRatio*shortest
		}
		return o.score > nearEqualRatio*shortest
	})
	if len(eligible) == 0 {
		return nil
	}
	if need.SharedTokens > 0 {
		// A conversation moves far more bytes than a new connection.
		eligible = filterOrAll(eligible, func(o *candidate) bool { return o.dataCentre == need.DataCentre })
	}
	if need.HasIdleConnection != nil {
		eligible = filterOrAll(eligible, func(o *candidate) bool { return !o.needsConnection })
	}
	eligible = filterOrAll(eligible, func(o *candidate) bool { return o.dataCentre == need.DataCentre })
	count := uint64(len(eligible))
	// The candidates are in an order that depends on the lowest bits.
	a, b := eligible[(random>>16)%count], eligible[(random>>40)%count]
	if b.state.load < a.state.load {
		return b
	}
	return a
}

// filterOrAll returns the candidates for which preferred is true, or all of
// them if there are none.
func filterOrAll(candidates []*candidate, preferred func(*candidate) bool) []*candidate {
	if matching := slices.DeleteFunc(slices.Clone(candidates), func(o *candidate) bool { return !preferred(o) }); len(matching) > 0 {
		return matching
	}
	return candidates
}

// AttemptStarted records a request in flight at a server.
func (r *Router) AttemptStarted(now time.Time, address netip.AddrPort, need zinniapond.PickInfo) {
	if s, ok := r.servers.Get(address); ok {
		r.inFlight.Add(1)
		if need.Class == zinniapond.ClassInteractive {
			r.inFlightInteractive.Add(1)
		}
		s.addRequest(request{call: need.Call, started: now, expectedMaxNanos: r.latency.unloadedNanos(float64(need.PromptTokens), float64(need.MaxGenerated))})
	}
}

// AttemptFinished removes a request in flight and updates the server's
// slowness, the latency model and the cache index with the observation.
func (r *Router) AttemptFinished(now time.Time, address netip.AddrPort, need zinniapond.PickInfo, observation zinniapond.Observation) {
	s, ok := r.servers.Get(address)
	if !ok {
		return
	}
	f, ok := s.removeRequest(need.Call)
	if !ok {
		return
	}
	r.inFlight.Add(-1)
	if need.Class == zinniapond.ClassInteractive {
		r.inFlightInteractive.Add(-1)
	}
	switch {
	case observation.Cancelled:
		// The time until the cancellation is a lower bound of the latency. The duration is
		// shorter if the client of the answer did not read.
		if slowdown := float64(cmp.Or(observation.Duration, now.Sub(f.started))) / max(f.expectedMaxNanos, 1); slowdown > ejectionSlowness {
			s.observeSlowness(now, slowdown)
		} else {
			s.postponeProbe(now)
		}
	case observation.Failed:
		s.observeSlowness(now, failureSlowness)
	default:
		uncached := float64(max(observation.Usage.Prompt-observation.Usage.Cached, 0))
		if expected := r.latency.unloadedNanos(uncached, float64(observation.Usage.Generated)); expected > 0 {
			s.observeSlowness(now, float64(observation.Duration)/expected)
		}
		r.latency.observe(observation, need.MaxGenerated)
		r.cacheIndex().add(need.PrefixHashes, holder{address, s.currentCacheGeneration()})
	}
}

// UpdateLoad stores a load report, which for a few seconds adds to the known
// load of its server.
func (r *Router) UpdateLoad(_ time.Time, report zinniapond.LoadReport) {
	if s, ok := r.servers.Get(report.Backend); ok {
		s.setReport(report)
	}
}

// ApplyCacheEvent removes a dropped block from the cache index. A gap in the
// sequence numbers invalidates all entries of the server.
func (r *Router) ApplyCacheEvent(_ time.Time, event zinniapond.CacheEvent) {
	s, ok := r.servers.Get(event.Backend)
	if ok && s.acceptEvent(event.Sequence) && event.Dropped {
		r.cacheIndex().drop(event.Block, event.Backend)
	}
}

// EstimateDuration returns the time that the call would take on an unloaded
// server that has the longest known cached prefix of its prompt; zero if
// nothing was observed yet.
func (r *Router) EstimateDuration(need zinniapond.PickInfo) time.Duration {
	if !r.latency.hasObservations() {
		return 0
	}
	var buffer [1]cacheHit
	var cached zinniapond.Tokens
	if hits := r.cacheIndex().find(need, buffer[:0]); len(hits) > 0 {
		cached = hits[0].cached
	}
	return r.latency.estimate(need, cached)
}
