package prefix

import (
	"net/netip"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
)

// candidate is a server considered for a call.
type candidate struct {
	*server
	state        serverSnapshot
	cachedTokens zinniapond.Tokens
	// relativeSlowness is the server's slowness divided by the pool's median.
	relativeSlowness float64
	score            float64
	ejected          bool
	needsConnection  bool // this host has no idle connection to the server
}

// gatherCandidates reads the state of the servers to compare: all servers of a
// small pool; in a large one, the servers with a cached prefix, the server that
// last prefilled the beginning of the prompt, and a random sample of the free ones.
func (r *Router) gatherCandidates(now time.Time, need zinniapond.PickInfo, eligible []*server, free func(netip.AddrPort) bool, random uint64, candidates []candidate) []candidate {
	var buffer [maxHolders]cacheHit
	hits := r.cacheIndex().find(need, buffer[:0])
	local := r.localServers(need, len(eligible))
	appendCandidate := func(s *server, h *cacheHit) {
		o := candidate{server: s, state: s.snapshot(now)}
		if len(local) > 0 && s.dataCentre == need.DataCentre {
			o.cachedTokens = need.SharedTokens
		}
		if h != nil && h.cacheGeneration == o.state.cacheGeneration {
			o.cachedTokens = max(o.cachedTokens, h.cached)
		}
		if s.address == need.PrefixBackend {
			o.cachedTokens = max(o.cachedTokens, need.PrefixTokens)
		}
		o.needsConnection = need.HasIdleConnection != nil && !need.HasIdleConnection(s.address)
		candidates = append(candidates, o)
	}
	if len(eligible) <= sampleSize {
		for _, s := range eligible {
			appendCandidate(s, findHit(hits, s.address))
		}
		return candidates
	}
	for i := range hits {
		if s, ok := r.servers.Get(hits[i].server); ok && s.eligible.Load() {
			appendCandidate(s, &hits[i])
		}
	}
	if s, ok := r.servers.Get(need.PrefixBackend); ok && s.eligible.Load() && findHit(hits, need.PrefixBackend) == nil {
		appendCandidate(s, nil)
	}
	sample := func(servers []*server, size int) {
		// Consecutive free servers from a random start are a sample without repetitions.
		count := uint64(len(servers))
		for i := uint64(0); i < count && size > 0; i++ {
			s := servers[(random+i)%count]
			if !free(s.address) {
				continue
			}
			size--
			if !containsCandidate(candidates, s) {
				appendCandidate(s, nil)
			}
		}
	}
	sample(local, localSampleSize)
	sample(eligible, sampleSize-min(len(local), localSampleSize))
	return candidates
}

func containsCandidate(candidates []candidate, s *server) bool {
	return slices.ContainsFunc(candidates, func(o candidate) bool { return o.server == s })
}

func findHit(hits []cacheHit, server netip.AddrPort) *cacheHit {
	for i := range hits {
		if hits[i].server == server {
			return &hits[i]
		}
	}
	return nil
}

// markEjected marks slow servers as ejected, at most a third of the candidates:
// when more are slow, the cause is load, and ejecting them would overload the
// others.
func markEjected(candidates []candidate) {
	var buffer [maxCandidates]float64
	sorted := buffer[:0]
	for i := range candidates {
		sorted = append(sorted, candidates[i].state.slowness)
	}
	slices.Sort(sorted)
	median := max(sorted[(len(sorted)-1)/2], 0.1)
	protectedSlowness := sorted[len(sorted)-1-len(sorted)/3] // servers up to it are never ejected
	for i := range candidates {
		o := &candidates[i]
		o.ejected = o.state.slowness > ejectionSlowness*max(median, 1) && o.state.slowness > protectedSlowness
		o.relativeSlowness = o.state.slowness / median
		if o.relativeSlowness < equalSlowness {
			o.relativeSlowness = 1
		}
	}
}
