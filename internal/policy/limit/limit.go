// Package limit bounds the calls in flight to each backend server by the
// latency observed on them.
package limit

import (
	"math"
	"net/netip"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/shard"
)

const (
	// minLimit leaves one call at each server, so that its latency stays
	// observed.
	minLimit = 1
	// maxLimit is above the batch size of the largest engines in use.
	maxLimit = 256
	// initialLimit is small, as all hosts start with it at the same server.
	initialLimit = 4
	// latencyTolerance is the ratio of the latency to its baseline that does
	// not count as queueing; prompts and batches differ by as much.
	latencyTolerance = 2.5
	// headroomFactor, times the square root of the limit, is tried beyond the
	// limit. With it a server whose latency has doubled beyond the tolerance
	// keeps one call for each host.
	headroomFactor = 0.5
	// growthWeight and shrinkWeight are the weights of a new limit in the
	// moving average of the limits. A limit that is too high makes calls wait
	// in the engine, where the shares of the plans do not count.
	growthWeight = 0.1
	shrinkWeight = 0.3
	// latencyGain is the weight of one observation in the mean latency.
	latencyGain = 0.2
	// baselineGrowth is the relative growth of the baseline in a minute, so
	// that it follows when the ordinary latency of a server rises, yet not
	// during a peak.
	baselineGrowth = 0.05
	// promptOverhead is added to the tokens of a prompt, so that a fully cached
	// prompt does not have an unbounded time per token.
	promptOverhead = 256
)

func init() {
	kernel.Register[zinniapond.Limiter]("default", func(*kernel.Kernel) (zinniapond.Limiter, error) {
		return &Limiter{}, nil
	})
}

// Limiter bounds the calls in flight by the gradient of the latency: while the
// latency stays near its baseline, the limit grows by its square root; when it
// rises, the limit shrinks in proportion. Its zero value is ready for use.
type Limiter struct {
	servers shard.Map[netip.AddrPort, *server]
}

type server struct {
	inFlight        int
	limit           float64
	baseline        float64 // least mean latency for each uncached prompt token, in nanoseconds
	meanLatency     float64
	baselineUpdated time.Time // when the baseline was last adjusted
}

var _ zinniapond.Limiter = (*Limiter)(nil)

// Acquire takes a place at the server, or reports that there is none.
func (l *Limiter) Acquire(_ time.Time, address netip.AddrPort) bool {
	var ok bool
	l.withServer(address, func(s *server) {
		if ok = s.hasCapacity(); ok {
			s.inFlight++
		}
	})
	return ok
}

// CanAcquire reports whether Acquire would succeed.
func (l *Limiter) CanAcquire(_ time.Time, address netip.AddrPort) bool {
	var ok bool
	l.withServer(address, func(s *server) { ok = s.hasCapacity() })
	return ok
}

// Release gives the place back and adjusts the limit to the observation.
func (l *Limiter) Release(now time.Time, address netip.AddrPort, seen zinniapond.Observation) {
	l.withServer(address, func(s *server) {
		inFlight := s.inFlight
		s.inFlight = max(s.inFlight-1, 0)
		switch {
		case seen.Cancelled:
		case seen.Failed:
			s.limit = max(s.limit*0.9, minLimit)
		case seen.TimeToFirstByte > 0:
			uncached := max(seen.Usage.Prompt-seen.Usage.Cached, 0) + promptOverhead
			s.adjustLimit(now, float64(seen.TimeToFirstByte)/float64(uncached), inFlight)
		}
	})
}

func (l *Limiter) withServer(address netip.AddrPort, work func(*server)) {
	l.servers.Update(address, func(values map[netip.AddrPort]*server) {
		s, ok := values[address]
		if !ok {
			s = &server{limit: initialLimit}
			values[address] = s
		}
		work(s)
	})
}

func (s *server) hasCapacity() bool { return float64(s.inFlight)+1 <= s.limit }

func (s *server) adjustLimit(now time.Time, latency float64, inFlight int) {
	if s.meanLatency == 0 {
		s.meanLatency, s.baseline, s.baselineUpdated = latency, latency, now
	}
	s.meanLatency += latencyGain * (latency - s.meanLatency)
	grownBaseline := s.baseline * (1 + baselineGrowth*min(now.Sub(s.baselineUpdated).Minutes(), 1))
	s.baseline, s.baselineUpdated = min(grownBaseline, s.meanLatency), now
	gradient := min(max(latencyTolerance*s.baseline/s.meanLatency, 0.5), 1)
	next := s.limit*gradient + headroomFactor*math.Sqrt(s.limit)
	weight := shrinkWeight
	if next > s.limit {
		// A limit that is not in use must not grow: no observation shows that
		// the server can sustain it.
		if float64(inFlight) < s.limit/2 {
			return
		}
		weight = growthWeight
	}
	s.limit = min(max(s.limit+weight*(next-s.limit), minLimit), maxLimit)
}
