// Package limit bounds the calls in flight to each backend server by the
// latency that they see.
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
	// floor keeps a call at a server, so that its latency stays observed.
	floor = 1
	// ceiling is above the batch of the largest engines in use.
	ceiling = 256
	// start is small, as all hosts start with it at the same server.
	start = 4
	// tolerance is the ratio of latency to its least value that does not
	// count as queueing; prompts and batches differ by as much.
	tolerance = 2.5
	// headroom, times the square root of the limit, is tried beyond the limit.
	// With it a server whose latency has doubled beyond the tolerance keeps
	// one call for each host.
	headroom = 0.5
	// up and down are the weights of one new limit. A limit that is too high
	// makes calls wait in the engine, where the plans' shares do not count.
	up   = 0.1
	down = 0.3
	// recent is the weight of one observation in the latency.
	recent = 0.2
	// rise is the growth of the least latency in a minute, so that it follows
	// when a server's ordinary latency rises, yet not during a peak.
	rise = 0.05
	// overhead is added to the tokens of a prompt, so that wholly cached
	// prompts do not have an endless time for each token.
	overhead = 256
)

func init() {
	kernel.Register[zinniapond.Limiter]("default", func(*kernel.Kernel) (zinniapond.Limiter, error) {
		return &Limiter{}, nil
	})
}

// Limiter bounds the calls in flight by the gradient of the latency: while the
// latency stays near its least value, the limit grows by its square root; when
// it rises, the limit shrinks in proportion. Its zero value is ready for use.
type Limiter struct {
	servers shard.Map[netip.AddrPort, *server]
}

type server struct {
	flying int
	limit  float64
	least  float64 // time for each prompt token, in nanoseconds
	mean   float64
	seen   time.Time // when least was last adjusted
}

var _ zinniapond.Limiter = (*Limiter)(nil)

// Acquire takes a place at the server, or reports that there is none.
func (l *Limiter) Acquire(_ time.Time, address netip.AddrPort) bool {
	var ok bool
	l.do(address, func(s *server) {
		if ok = s.free(); ok {
			s.flying++
		}
	})
	return ok
}

// Free tells whether Acquire would succeed.
func (l *Limiter) Free(_ time.Time, address netip.AddrPort) bool {
	var ok bool
	l.do(address, func(s *server) { ok = s.free() })
	return ok
}

// Release gives the place back and adjusts the limit.
func (l *Limiter) Release(now time.Time, address netip.AddrPort, seen zinniapond.Observation) {
	l.do(address, func(s *server) {
		busy := s.flying
		s.flying = max(s.flying-1, 0)
		switch {
		case seen.Cancelled:
		case seen.Failed:
			s.limit = max(s.limit*0.9, floor)
		case seen.First > 0:
			fresh := max(seen.Usage.Prompt-seen.Usage.Cached, 0) + overhead
			s.adjust(now, float64(seen.First)/float64(fresh), busy)
		}
	})
}

func (l *Limiter) do(address netip.AddrPort, work func(*server)) {
	l.servers.Do(address, func(values map[netip.AddrPort]*server) {
		s, ok := values[address]
		if !ok {
			s = &server{limit: start}
			values[address] = s
		}
		work(s)
	})
}

func (s *server) free() bool { return float64(s.flying)+1 <= s.limit }

func (s *server) adjust(now time.Time, latency float64, busy int) {
	if s.mean == 0 {
		s.mean, s.least, s.seen = latency, latency, now
	}
	s.mean += recent * (latency - s.mean)
	grown := s.least * (1 + rise*min(now.Sub(s.seen).Minutes(), 1))
	s.least, s.seen = min(grown, s.mean), now
	gradient := min(max(tolerance*s.least/s.mean, 0.5), 1)
	next := s.limit*gradient + headroom*math.Sqrt(s.limit)
	weight := down
	if next > s.limit {
		// A limit that is not in use must not grow: nothing shows that it holds.
		if float64(busy) < s.limit/2 {
			return
		}
		weight = up
	}
	s.limit = min(max(s.limit+weight*(next-s.limit), floor), ceiling)
}
