// Package leave decides when a stream leaves a replica at which it will not end in time.
// It answers replicas that become slow or hang while turns run there: on one day 67 of 72
// failures were turns that were still running when their clients' time ended, most of
// them at slow replicas. It also tells streams that have stalled from slow ones.
package leave

import (
	"sync"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

const (
	// minStreams is the number of streams from which the usual times are known. The
	// targets of the route stand in for them before.
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
	share   float64 // mean share of the token limit that is generated; zero if unknown
	// spent is the number of streams that have left because they had stalled, less what
	// the streams that have ended since allow.
	spent float64
}

var _ zinniapond.Migration = (*Policy)(nil)

// ObserveEnd records a stream that has come from one replica.
func (p *Policy) ObserveEnd(_ time.Time, s zinniapond.StreamProgress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spent = max(p.spent-leavesPerStream, 0)
	if s.Events < minEvents {
		return
	}
	p.streams++
	adjust(&p.first, highQuantile, float64(s.FirstEventAt.Sub(s.StartedAt)))
	adjust(&p.gap, highQuantile, float64(meanGap(s)))
	if s.MaxGenerated <= 0 || s.Generated <= 0 {
		return
	}
	share := min(float64(s.Generated)/float64(s.MaxGenerated), 1)
	if p.share == 0 {
		p.share = share
	}
	p.share += shareGain * (share - p.share)
}

// adjust moves an estimate towards a quantile of the observed values.
func adjust(estimate *float64, quantile, value float64) {
	switch {
	case value <= 0:
	case *estimate == 0:
		*estimate = value
	case value < *estimate:
		*estimate -= quantileStep * (1 - quantile) * *estimate
	default:
		*estimate += quantileStep * quantile * *estimate
	}
}

func meanGap(s zinniapond.StreamProgress) time.Duration {
	return s.LastEventAt.Sub(s.FirstEventAt) / time.Duration(max(s.Events-1, 1))
}

// usual returns the times that the next replica is expected to take to the first event and
// between two events; zero if neither the pool's times nor the route's targets are known.
func (p *Policy) usual(s zinniapond.StreamProgress) (first, gap time.Duration) {
	if p.streams < minStreams {
		return s.TargetLatency, s.TargetGap
	}
	return time.Duration(p.first), time.Duration(p.gap)
}

// remainingEvents returns the number of events that a stream is expected to have left, at
// least one, if streams generate a share of their token limits.
func remainingEvents(s zinniapond.StreamProgress, share float64) float64 {
	if s.TokensPerEvent <= 0 {
		return 1
	}
	return max((share*float64(s.MaxGenerated)-float64(s.Generated))/float64(s.TokensPerEvent), 1)
}

// expectedShare returns the share of its token limit that a stream is expected to
// generate; zero if unknown, as another replica may then be able to end it in time.
func (p *Policy) expectedShare() float64 {
	if p.streams < minStreams {
		return 0
	}
	return p.share
}

// silentSince returns since when neither the header of the answer nor an event has come that
// this host could have read.
func silentSince(s zinniapond.StreamProgress) time.Time {
	since := s.StartedAt
	for _, at := range []time.Time{s.AnsweredAt, s.LastEventAt, s.ResumedAt} {
		if at.After(since) {
			since = at
		}
	}
	return since
}

// ShouldLeave reports whether the stream has stalled or is expected to end too late at its
// replica, and is expected to end in time at another one. A silent replica whose stream has
// not stalled is left at the last instant at which another one can still end the stream,
// because the next event may come at any time.
func (p *Policy) ShouldLeave(now time.Time, s zinniapond.StreamProgress) (leave bool, askAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	first, gap := p.usual(s)
	if first <= 0 || gap <= 0 {
		return false, time.Time{}
	}
	remaining := remainingEvents(s, p.expectedShare())
	lastChance := s.Deadline.Add(-leaveTime - first - time.Duration(remaining*float64(gap)))
	if now.After(lastChance) {
		return false, time.Time{}
	}
	if s.Events >= minEvents && now.Add(time.Duration(remaining*float64(meanGap(s)))).After(s.Deadline) {
		return true, time.Time{}
	}
	stallsAt := p.stallsAt(s)
	// Rounding leaves sums of leavesPerStream just beside a whole number.
	if !stallsAt.IsZero() && p.spent < maxLeaves-1+1e-9 {
		if !now.Before(stallsAt) {
			p.spent++
			return true, time.Time{}
		}
	} else {
		stallsAt = time.Time{}
	}
	if askAt = lastChance.Add(-askMargin); now.Before(askAt) {
		if !stallsAt.IsZero() && stallsAt.Before(askAt) {
			askAt = stallsAt
		}
		return false, askAt
	}
	usual := first
	if s.Events > 0 {
		usual = gap
	}
	return now.Sub(silentSince(s)) > silenceRatio*usual, time.Time{}
}

// askMargin is the time before the last instant to leave a silent replica at which it is
// left, as timers fire late.
const askMargin = 20 * time.Millisecond
