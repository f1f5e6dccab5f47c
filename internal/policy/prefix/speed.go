package prefix

import (
	"sync"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// promptOverhead is added to each prompt, in tokens, so that a fully cached
	// prompt does not have an expected time of zero.
	promptOverhead = 64
	// quantileStep is the relative change of a time per token by one
	// observation.
	quantileStep = 0.02
	// unloadedQuantile is the quantile of the observed times per token that is
	// taken as the time on an unloaded server.
	unloadedQuantile = 0.25
)

// minPrefillWeight is the least weight of the prefill of a prompt's uncached
// part in the expected cost: a prefill delays the requests beside it and those
// that arrive during it.
const minPrefillWeight = 8

// latencyModel estimates the pool's times per token, in nanoseconds, as
// observed on its faster servers.
type latencyModel struct {
	mu              sync.Mutex
	prefillPerToken float64
	decodePerToken  float64
	generatedShare  float64 // mean share of the token limit (MaxGenerated) that is generated
}

func (s *latencyModel) observe(observation zinniapond.Observation, most zinniapond.Tokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	uncached := float64(max(observation.Usage.Prompt-observation.Usage.Cached, 0) + promptOverhead)
	adjustQuantile(&s.prefillPerToken, float64(observation.TimeToFirstByte)/uncached)
	if observation.Usage.Generated > 0 {
		adjustQuantile(&s.decodePerToken, float64(observation.Duration-observation.TimeToFirstByte)/float64(observation.Usage.Generated))
	}
	if most > 0 {
		share := min(float64(observation.Usage.Generated)/float64(most), 1)
		if s.generatedShare == 0 {
			s.generatedShare = share
		}
		s.generatedShare += quantileStep * (share - s.generatedShare)
	}
}

// adjustQuantile moves the estimate towards the unloadedQuantile of the values
// passed to successive calls.
func adjustQuantile(estimate *float64, value float64) {
	switch {
	case value <= 0:
	case *estimate == 0:
		*estimate = value
	case value < *estimate:
		*estimate -= quantileStep * (1 - unloadedQuantile) * *estimate
	default:
		*estimate += quantileStep * unloadedQuantile * *estimate
	}
}

// hasObservations tells whether any latency was observed.
func (s *latencyModel) hasObservations() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.prefillPerToken > 0
}

// unloadedNanos returns the expected time, in nanoseconds, of prefilling and
// generating the given numbers of tokens without load.
func (s *latencyModel) unloadedNanos(uncached, generated float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.prefillPerToken*(uncached+promptOverhead) + s.decodePerToken*generated
}

// expectedCost returns the cost of a call, in nanoseconds, on a server with the
// given load that has the given part of the prompt cached: the call's own time
// and the time by which it delays the requests beside it. Its prefill stops all
// of them, and each running request slows the others by about one slot's share.
func (s *latencyModel) expectedCost(need zinniapond.PickInfo, cached zinniapond.Tokens, load, slots float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefill := s.prefillPerToken * float64(max(need.PromptTokens-cached, 0)+promptOverhead)
	generation := s.decodePerToken * s.generatedShare * float64(need.MaxGenerated)
	if need.MaxGenerated == 0 {
		// A call of a plain service generates no tokens: all of its time is the
		// time to its answer, and counts like generation.
		prefill, generation = 0, prefill
	}
	running, waiting := min(load, slots)/slots, max(load-slots+1, 0)/slots
	return prefill*max(1+min(load, slots), minPrefillWeight) + generation*(1+2*running+queueDelayFactor*waiting)
}

// expectedTime returns the time that a call is expected to take on a server: its time
// without load, times the slowness of the server's recent answers, and the wait for the
// calls in the server's queue.
func (s *latencyModel) expectedTime(need zinniapond.PickInfo, o *candidate) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	uncached := float64(max(need.PromptTokens-o.cachedTokens, 0) + promptOverhead)
	unloaded := s.prefillPerToken*uncached + s.decodePerToken*s.generatedShare*float64(need.MaxGenerated)
	waiting := max(o.state.load-o.state.slots+1, 0) / o.state.slots
	return time.Duration(unloaded*max(o.state.slowness, 1)*(1+waiting) + o.openNanos())
}

func (s *latencyModel) estimate(need zinniapond.PickInfo, cached zinniapond.Tokens) time.Duration {
	return time.Duration(s.expectedCost(need, cached, 0, defaultSlots))
}
