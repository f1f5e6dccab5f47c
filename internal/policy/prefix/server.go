package prefix

import (
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// gain is the weight of one new observation of a server's slowness. At a
	// half, two slow answers show a server that has slowed ten times.
	gain = 0.5
	// failure is the slowness that a failed attempt counts as.
	failure = 6
	// firstProbe and lastProbe bound the span between probes of an ejected
	// server; the span doubles with each probe that finds it slow.
	firstProbe = 2 * time.Second
	lastProbe  = time.Minute
	// stale is how long slowness below the bound of ejection counts without a
	// new answer. Such a server is not probed, and would never get work again.
	stale = 10 * time.Second
	// hintAge is how long a load report is used. Reports lag, and an old one
	// would send all hosts to the same server.
	hintAge = 3 * time.Second
)

// flight is one request in flight.
type flight struct {
	call    zinniapond.CallID
	started time.Time
	most    float64 // longest expected time, in nanoseconds
}

// server is what is known of one backend server.
type server struct {
	address    netip.AddrPort
	dataCentre zinniapond.DataCentre

	listed atomic.Bool // may receive new work

	mu      sync.Mutex
	slots   float64 // requests that run at once
	flights []flight
	// slowness is the mean of observed by expected time.
	slowness float64
	learned  time.Time // when slowness was last observed
	probe    time.Time // when it may be probed while ejected
	span     time.Duration
	report   zinniapond.LoadReport
	// reported is the number of own requests when the report arrived.
	reported int
	// round is raised when the view of the server's cache is lost.
	round    uint64
	sequence uint64
}

// glance is a consistent reading of a server.
type glance struct {
	own      int
	slots    float64
	load     float64 // own requests and those that the report tells of
	slowness float64
	probe    bool // may be probed
	round    uint64
}

func (s *server) look(now time.Time) glance {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := glance{own: len(s.flights), slots: s.slots, load: float64(len(s.flights)), slowness: max(s.slowness, 0.1), round: s.round}
	if s.slowness == 0 || (s.slowness < ejectAt && now.Sub(s.learned) > stale) {
		g.slowness = 1
	}
	for _, f := range s.flights {
		// A request that takes longer than expected shows slowness before
		// its answer does.
		if late := float64(now.Sub(f.started)) / max(f.most, 1); late > g.slowness {
			g.slowness = late
		}
	}
	if now.Sub(s.report.Taken) < hintAge {
		g.load = max(g.load, float64(s.report.Running+s.report.Waiting+len(s.flights)-s.reported))
	}
	g.probe = len(s.flights) == 0 && !now.Before(s.probe)
	return g
}

func (s *server) size(slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots = float64(slots)
}

func (s *server) start(f flight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flights = append(s.flights, f)
}

// finish removes the flight and returns it.
func (s *server) finish(call zinniapond.CallID) (flight, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, f := range s.flights {
		if f.call == call {
			s.flights = append(s.flights[:i], s.flights[i+1:]...)
			return f, true
		}
	}
	return flight{}, false
}

// learn adds one observation of slowness.
func (s *server) learn(now time.Time, value float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slowness == 0 {
		s.slowness = 1
	}
	s.learned = now
	s.slowness += gain * (min(value, 100) - s.slowness)
	if value < ejectAt {
		// The next probe may follow at once: a few good answers bring the
		// server back.
		s.span, s.probe = 0, now
		return
	}
	s.span = min(max(2*s.span, firstProbe), lastProbe)
	s.probe = now.Add(s.span)
}

// cancelled lets an ejected server wait longer for its next probe. A cancelled
// probe shows nothing for the server, and probes each cost a hedge.
func (s *server) cancelled(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slowness >= ejectAt {
		s.span = min(max(2*s.span, firstProbe), lastProbe)
		s.probe = now.Add(s.span)
	}
}

// probed takes the right to probe.
func (s *server) probed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.probe = now.Add(max(s.span, firstProbe))
}

func (s *server) hint(report zinniapond.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if report.Taken.After(s.report.Taken) {
		s.report = report
		s.report.Programs = nil
		s.reported = len(s.flights)
	}
}

// next checks the sequence of cache events. After a gap the view of the cache
// is dropped.
func (s *server) next(sequence uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sequence <= s.sequence {
		return false
	}
	if s.sequence > 0 && sequence != s.sequence+1 {
		s.round++
	}
	s.sequence = sequence
	return true
}

func (s *server) current() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.round
}
