// Package leave decides when a stream leaves a replica at which it will not end in time.
// It answers replicas that become slow or hang while turns run there: on one day 67 of 72
// failures were turns that were still running when their clients' time ended, most of
// them at slow replicas.
package leave

import (
	"sync"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

const (
	// minStreams is the number of streams from which the usual times are known.
	minStreams = 20
	// minEvents is the number of events from which the speed of a run is known.
	minEvents = 4
	// silenceRatio is the time without an event, as a multiple of the usual one, from
	// which a replica is taken to be slow or to hang.
	silenceRatio = 4
	// leaveTime is the time from leaving a replica until the request is sent to another
	// one: reports of running requests are up to 400 ms old and are read each 150 ms.
	leaveTime = 550 * time.Millisecond
	// quantileStep is the relative change of an estimate by one observation, and
	// highQuantile the quantile of the times that another replica is expected to take.
	quantileStep = 0.05
	highQuantile = 0.9
	// shareGain is the weight of an observation in the mean share of the token limit that
	// is generated.
	shareGain = 0.05
)

func init() {
	kernel.Register("default", func(*kernel.Kernel) (zinniapond.Migration, error) { return new(Policy), nil })
}

// Policy implements zinniapond.Migration by the usual times of complete streams. Its zero
// value is ready for use.
type Policy struct {
	mu      sync.Mutex
	streams int
	first   float64 // high quantile of the time to the first event, in nanoseconds
	gap     float64 // high quantile of the mean time between events, in nanoseconds
	share   float64 // mean share of the token limit that is generated
}

var _ zinniapond.Migration = (*Policy)(nil)

// ObserveEnd records a stream that has come from one replica.
func (p *Policy) ObserveEnd(_ time.Time, s zinniapond.StreamProgress) {
	if s.Events < minEvents || s.MaxGenerated <= 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streams++
	adjust(&p.first, float64(s.FirstEventAt.Sub(s.StartedAt)))
	adjust(&p.gap, float64(meanGap(s)))
	share := min(float64(s.Generated)/float64(s.MaxGenerated), 1)
	if p.share == 0 {
		p.share = share
	}
	p.share += shareGain * (share - p.share)
}

// adjust moves an estimate towards the high quantile of the observed values.
func adjust(estimate *float64, value float64) {
	switch {
	case value <= 0:
	case *estimate == 0:
		*estimate = value
	case value < *estimate:
		*estimate -= quantileStep * (1 - highQuantile) * *estimate
	default:
		*estimate += quantileStep * highQuantile * *estimate
	}
}

func meanGap(s zinniapond.StreamProgress) time.Duration {
	return s.LastEventAt.Sub(s.FirstEventAt) / time.Duration(max(s.Events-1, 1))
}

// ShouldLeave reports whether the stream is expected to end too late at its replica and
// in time at another one. A silent replica is left at the last instant at which another
// one can still end the stream, because the next event may come at any time.
func (p *Policy) ShouldLeave(now time.Time, s zinniapond.StreamProgress) (leave bool, askAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.streams < minStreams || s.TokensPerEvent <= 0 {
		return false, time.Time{}
	}
	remaining := (p.share*float64(s.MaxGenerated) - float64(s.Generated)) / float64(s.TokensPerEvent)
	if remaining <= 0 {
		return false, time.Time{}
	}
	lastChance := s.Deadline.Add(-leaveTime - time.Duration(p.first+remaining*p.gap))
	if now.After(lastChance) {
		return false, time.Time{}
	}
	if s.Events >= minEvents && now.Add(time.Duration(remaining*float64(meanGap(s)))).After(s.Deadline) {
		return true, time.Time{}
	}
	silentSince, usual := s.StartedAt, p.first
	if s.Events > 0 {
		silentSince, usual = s.LastEventAt, p.gap
	}
	if now.Before(lastChance.Add(-askMargin)) {
		return false, lastChance.Add(-askMargin)
	}
	return float64(now.Sub(silentSince)) > silenceRatio*usual, time.Time{}
}

// askMargin is the time before the last instant to leave a silent replica at which it is
// left, as timers fire late.
const askMargin = 20 * time.Millisecond
