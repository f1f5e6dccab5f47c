package prefix

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
)

const (
	// answerWindow is the age up to which the answers of a server are shared with other
	// hosts, and maxAnswers the number of them.
	answerWindow = 2 * time.Second
	maxAnswers   = 16
	// suspicionTime is the time for which a server may be slow after an answer or a
	// report that shows it. Hosts share the answers of such servers only.
	suspicionTime = 3 * time.Second
	// minSharedAnswers is the number of answers from which the hosts together judge a
	// server. At 50 hosts, of which each has one request at a server at a time, each of
	// them would need seconds to see two slow answers of it.
	minSharedAnswers = 3
	// probeSpread is the time over which hosts spread their first probes of a server that
	// they know to be slow from other hosts.
	probeSpread = 4 * time.Second
	// sharedProbeTime is the time for which hosts leave probes of a slow server to each
	// other: with spread probes, some of them come within it.
	sharedProbeTime = 2 * (minProbeInterval + probeSpread)
)

// measuredSpeed has the recent answers of a server.
type measuredSpeed struct {
	answers        []measuredAnswer // oldest first
	suspectedUntil time.Time
	// isAdopted is set if the slowness of the server was measured by other hosts.
	isAdopted bool
	// slowUntil is the end of the time for which other hosts have shown the server to be
	// slow. A request of any host is then enough as a probe.
	slowUntil time.Time
}

type measuredAnswer struct {
	at       time.Time
	slowness float64
}

func (m *measuredSpeed) add(now time.Time, slowness float64) {
	if len(m.answers) == maxAnswers {
		m.answers = append(m.answers[:0], m.answers[1:]...)
	}
	m.answers = append(m.answers, measuredAnswer{now, slowness})
	if slowness >= equalSlowness {
		m.suspectedUntil = now.Add(suspicionTime)
	}
}

var _ zinniapond.SpeedMeter = (*Router)(nil)

// RecentAnswers returns the number of recent answers of a server and the sum of their
// times as multiples of the usual one. It returns zero unless the server may be slow.
func (r *Router) RecentAnswers(now time.Time, address netip.AddrPort) (answers int, slowness float64) {
	s, ok := r.servers.Get(address)
	if !ok {
		return 0, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.inFlight {
		// A request in flight for longer than expected counts as an answer.
		if slowdown := float64(f.elapsed(now)) / max(f.expectedMaxNanos, 1); f.expectedMaxNanos > 0 && slowdown >= equalSlowness {
			s.measured.suspectedUntil = now.Add(suspicionTime)
			answers, slowness = answers+1, slowness+min(slowdown, maxSlowness)
		}
	}
	if !now.Before(s.measured.suspectedUntil) {
		return 0, 0
	}
	for _, a := range s.measured.answers {
		if now.Sub(a.at) < answerWindow {
			answers, slowness = answers+1, slowness+min(a.slowness, maxSlowness)
		}
	}
	return answers, slowness
}

// adoptSlowness takes over the slowness that all hosts together have measured. jitter
// delays the next probe. The caller holds the lock.
func (s *server) adoptSlowness(now time.Time, report zinniapond.LoadReport, jitter time.Duration) {
	if report.Answers == 0 {
		return
	}
	s.measured.suspectedUntil = now.Add(suspicionTime)
	// One answer confirms what is known already.
	isConfirmed := now.Before(s.measured.slowUntil) && report.Slowness >= ejectionSlowness
	switch {
	case report.Answers < minSharedAnswers && !isConfirmed:
	case report.Slowness >= equalSlowness:
		if s.slowness < report.Slowness {
			s.slowness, s.measured.isAdopted = report.Slowness, true
		}
		s.observedAt, s.measured.slowUntil = now, now.Add(sharedProbeTime)
		if next := now.Add(minProbeInterval + jitter); report.Slowness >= ejectionSlowness && s.nextProbe.Before(next) {
			// The answers of other hosts are as good as a probe.
			s.nextProbe = next
		}
	case s.measured.isAdopted:
		// The server answers other hosts in the usual time.
		s.slowness, s.observedAt, s.measured.isAdopted = report.Slowness, now, false
	}
}

// probeJitter returns the delay of this host's next probe of a server.
func (r *Router) probeJitter(address netip.AddrPort) time.Duration {
	return time.Duration((xxhash.Sum64String(address.String()) ^ r.Seed) * 0x9e3779b97f4a7c15 % uint64(probeSpread))
}
