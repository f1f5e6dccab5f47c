package prefix

import (
	"sync"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// overhead is added to each prompt, in tokens, so that a wholly cached
	// prompt does not have an expected time of zero.
	overhead = 64
	// step is the relative change of the speeds by one observation.
	step = 0.02
	// rank is the quantile of the observed speeds that is taken as unloaded.
	rank = 0.25
)

// shared is the least weight of a prompt's uncached part: a prefill delays the
// requests beside it, and those that come during it.
const shared = 8

// speed has the pool's times for each token, in nanoseconds, as seen on its
// faster servers.
type speed struct {
	mu      sync.Mutex
	prefill float64
	decode  float64
	filled  float64 // mean share of Most that is generated
}

func (s *speed) observe(seen zinniapond.Observation, most zinniapond.Tokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fresh := float64(max(seen.Usage.Prompt-seen.Usage.Cached, 0) + overhead)
	follow(&s.prefill, float64(seen.First)/fresh)
	if seen.Usage.Generated > 0 {
		follow(&s.decode, float64(seen.Total-seen.First)/float64(seen.Usage.Generated))
	}
	if most > 0 {
		part := min(float64(seen.Usage.Generated)/float64(most), 1)
		if s.filled == 0 {
			s.filled = part
		}
		s.filled += step * (part - s.filled)
	}
}

// follow moves a towards the quantile of the values that it is called with.
func follow(a *float64, value float64) {
	switch {
	case value <= 0:
	case *a == 0:
		*a = value
	case value < *a:
		*a -= step * (1 - rank) * *a
	default:
		*a += step * rank * *a
	}
}

// known tells whether anything was observed.
func (s *speed) known() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.prefill > 0
}

// cost returns the expected time, in nanoseconds, of prefilling and generating.
func (s *speed) cost(fresh, generated float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.prefill*(fresh+overhead) + s.decode*generated
}

// expected returns what a call costs on a server with the given load, of which
// the given part is cached: its own time and the time by which it delays the
// requests beside it. Its prefill stops all of them, and each request that runs
// makes the others slower by about one slot's share.
func (s *speed) expected(need zinniapond.Need, cached zinniapond.Tokens, load, slots float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefill := s.prefill * float64(max(need.Prompt-cached, 0)+overhead)
	work := s.decode * s.filled * float64(need.Most)
	if need.Most == 0 {
		// A call of a plain service: all of its time is that to its answer.
		prefill, work = 0, prefill
	}
	running, waiting := min(load, slots)/slots, max(load-slots+1, 0)/slots
	return prefill*max(1+min(load, slots), shared) + work*(1+2*running+queued*waiting)
}

func (s *speed) estimate(need zinniapond.Need, cached zinniapond.Tokens) time.Duration {
	return time.Duration(s.expected(need, cached, 0, usualSlots))
}
