package prefix

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
)

const (
	// slownessGain is the weight of a new observation in the mean slowness of a
	// server. At a half, two slow answers show that a server has become ten
	// times slower.
	slownessGain = 0.5
	// maxSlowness bounds the slowness of one answer.
	maxSlowness = 100
	// failureSlowness is the slowness that a failed attempt counts as.
	failureSlowness = 6
	// minProbeInterval and maxProbeInterval bound the interval between probes
	// of an ejected server. It doubles with each probe that finds the server
	// slow.
	minProbeInterval = 2 * time.Second
	maxProbeInterval = time.Minute
	// slownessExpiry is how long a slowness below the ejection bound counts
	// without a new answer. A server with such a slowness is not probed and
	// would otherwise never get work again.
	slownessExpiry = 10 * time.Second
	// maxReportAge is how long a load report is used. Load reports lag, and an
	// old one would send the calls of all hosts to the same server.
	maxReportAge = 3 * time.Second
)

// request is a request in flight at a server.
type request struct {
	call             zinniapond.CallID
	started          time.Time
	expectedMaxNanos float64   // longest expected duration, in nanoseconds
	pausedAt         time.Time // zero while the answer is read
}

// server is the state of one backend server.
type server struct {
	address    netip.AddrPort
	dataCentre zinniapond.DataCentre

	eligible atomic.Bool // may receive new work

	mu       sync.Mutex
	id       string  // distinguishes successive starts at the address
	slots    float64 // requests that run at once
	inFlight []request
	// slowness is the moving average of the ratio of observed to expected time;
	// zero if nothing was observed.
	slowness      float64
	observedAt    time.Time // time of the last observation of slowness
	nextProbe     time.Time // earliest time of the next probe while ejected
	probeInterval time.Duration
	report        zinniapond.LoadReport
	// inFlightAtReport is the number of own requests in flight when the report
	// arrived.
	inFlightAtReport int
	// cacheGeneration is incremented when cache events were lost, which
	// invalidates the server's entries in the cache index.
	cacheGeneration uint64
	eventSequence   uint64
}

// serverSnapshot is a consistent copy of a server's state.
type serverSnapshot struct {
	inFlight        int
	slots           float64
	load            float64 // own requests in flight, with those in a recent load report
	slowness        float64
	probeDue        bool // nothing in flight and the probe interval is over
	probeOverdue    bool // the probe has been due for another interval
	cacheGeneration uint64
}

func (s *server) snapshot(now time.Time) serverSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := serverSnapshot{inFlight: len(s.inFlight), slots: s.slots, load: float64(len(s.inFlight)), slowness: max(s.slowness, 0.1), cacheGeneration: s.cacheGeneration}
	if s.slowness == 0 || (s.slowness < ejectionSlowness && now.Sub(s.observedAt) > slownessExpiry) {
		g.slowness = 1
	}
	for _, f := range s.inFlight {
		// A request in flight for longer than expected shows slowness before
		// its answer arrives.
		if slowdown := float64(f.elapsed(now)) / max(f.expectedMaxNanos, 1); slowdown > g.slowness {
			g.slowness = slowdown
		}
	}
	if now.Sub(s.report.TakenAt) < maxReportAge {
		g.load = max(g.load, float64(s.report.RunningCalls+s.report.WaitingCalls+len(s.inFlight)-s.inFlightAtReport))
	}
	g.probeDue = len(s.inFlight) == 0 && !now.Before(s.nextProbe)
	g.probeOverdue = g.probeDue && !now.Before(s.nextProbe.Add(max(s.probeInterval, minProbeInterval)))
	return g
}

// setEntry applies the server's entry of the list. A server that was started again has
// neither the cache nor the speed of the one before.
func (s *server) setEntry(b zinniapond.Backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.Slots > 0 {
		s.slots = float64(b.Slots)
	}
	if b.ID != s.id {
		s.id, s.cacheGeneration = b.ID, xxhash.Sum64String(b.ID)
		s.slowness, s.nextProbe, s.probeInterval, s.eventSequence = 0, time.Time{}, 0, 0
	}
}

func (s *server) addRequest(f request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight = append(s.inFlight, f)
}

// removeRequest removes the request of a call and returns it.
func (s *server) removeRequest(call zinniapond.CallID) (request, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, f := range s.inFlight {
		if f.call == call {
			s.inFlight = append(s.inFlight[:i], s.inFlight[i+1:]...)
			return f, true
		}
	}
	return request{}, false
}

// observeSlowness adds an observation to the mean slowness and sets the time of
// the next probe.
func (s *server) observeSlowness(now time.Time, value float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slowness == 0 {
		s.slowness = 1
	}
	s.observedAt = now
	s.slowness += slownessGain * (min(value, maxSlowness) - s.slowness)
	if value < ejectionSlowness {
		// The next probe may follow at once: a few good answers readmit the
		// server.
		s.probeInterval, s.nextProbe = 0, now
		return
	}
	s.probeInterval = min(max(2*s.probeInterval, minProbeInterval), maxProbeInterval)
	s.nextProbe = now.Add(s.probeInterval)
}

// postponeProbe lengthens the probe interval of an ejected server after a
// cancelled request. A cancelled probe shows nothing in favour of the server,
// and each probe costs a hedge.
func (s *server) postponeProbe(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slowness >= ejectionSlowness {
		s.probeInterval = min(max(2*s.probeInterval, minProbeInterval), maxProbeInterval)
		s.nextProbe = now.Add(s.probeInterval)
	}
}

// claimProbe reserves the due probe for the caller by moving the time of the
// next one.
func (s *server) claimProbe(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextProbe = now.Add(max(s.probeInterval, minProbeInterval))
}

func (s *server) setReport(report zinniapond.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if report.TakenAt.After(s.report.TakenAt) {
		s.report = report
		s.report.Programs = nil
		s.inFlightAtReport = len(s.inFlight)
	}
}

// acceptEvent checks the sequence number of a cache event and returns false for
// an old event. After a gap it invalidates the server's entries in the cache
// index.
func (s *server) acceptEvent(sequence uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sequence <= s.eventSequence {
		return false
	}
	if s.eventSequence > 0 && sequence != s.eventSequence+1 {
		s.cacheGeneration++
	}
	s.eventSequence = sequence
	return true
}

func (s *server) currentCacheGeneration() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cacheGeneration
}
