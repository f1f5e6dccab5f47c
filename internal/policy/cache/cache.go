// Package cache decides which KV cache to keep on engines across the pauses of
// programs.
package cache

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/shard"
)

const (
	// breakEven is how long holding a token costs as much as prefilling it
	// again on an engine whose memory is half free. Longer pauses are not
	// worth their memory.
	breakEven = 2 * time.Minute
	// shortest is the least expiry: a pause is seldom shorter than a tool
	// call and the way back.
	shortest = 5 * time.Second
	// running is the expiry of a program's pins while a call of it runs.
	running = 5 * time.Minute
	// patience is the ratio of the expiry to the expected pause.
	patience = 4
	// capacity is the share of an engine's memory, in tokens, that this host's
	// pins may take before they are thinned out.
	capacity = 400_000
	// learn is the weight of one pause in the expected pause.
	learn = 0.2
	// grace is how long a program must be reported without a pin before Sweep
	// returns it. Reports lag, so the first may be older than the pin.
	grace = 5 * time.Second
)

func init() {
	kernel.Register[zinniapond.CacheLeases]("default", func(*kernel.Kernel) (zinniapond.CacheLeases, error) {
		return &Leases{}, nil
	})
}

// Leases has the pins of this host's programs. Its zero value is ready for use.
type Leases struct {
	programs shard.Map[zinniapond.ProgramID, *program]
	servers  shard.Map[netip.AddrPort, *server]

	mu    sync.Mutex
	pause time.Duration // expected pause of all programs
	due   expiries
}

// program has the pins of one program.
type program struct {
	pins   []zinniapond.Pin
	pause  time.Duration // expected; zero if not known
	paused time.Time     // since when; zero while it runs
}

// server has the pinned memory of one server.
type server struct {
	held zinniapond.Tokens
	// strange are programs reported without a pin, with the first report.
	strange map[zinniapond.ProgramID]time.Time
}

var _ zinniapond.CacheLeases = (*Leases)(nil)

// Keep records the cache left by a call. It is worth holding while the
// expected pause is shorter than the time in which holding it costs as much as
// prefilling it again; the fuller the server, the shorter this time.
func (l *Leases) Keep(now time.Time, id zinniapond.ProgramID, address netip.AddrPort, held zinniapond.Tokens) (time.Time, bool) {
	worth := l.worth(address)
	var until time.Time
	var change zinniapond.Tokens
	l.programs.Do(id, func(values map[zinniapond.ProgramID]*program) {
		p := values[id]
		if p == nil {
			p = &program{}
			values[id] = p
		}
		p.paused = now
		at := slices.IndexFunc(p.pins, func(n zinniapond.Pin) bool { return n.Backend == address })
		if at >= 0 {
			change = -p.pins[at].Tokens
			p.pins = slices.Delete(p.pins, at, at+1)
		}
		// What other servers hold is out of date with this call's answer.
		for i := range p.pins {
			p.pins[i].Expires = earlier(p.pins[i].Expires, now.Add(shortest))
			l.remind(p.pins[i])
		}
		pause := l.expect(p.pause)
		if pause >= worth || held <= 0 {
			return
		}
		until = now.Add(max(min(patience*pause, worth), shortest))
		pin := zinniapond.Pin{Program: id, Backend: address, Tokens: held, Expires: until}
		p.pins = append(p.pins, pin)
		l.remind(pin)
		change += held
	})
	l.hold(address, change)
	return until, !until.IsZero()
}

// Returned learns from the length of the pause. The pins outlast the call that
// begins, up to a bound.
func (l *Leases) Returned(now time.Time, id zinniapond.ProgramID) {
	l.programs.Do(id, func(values map[zinniapond.ProgramID]*program) {
		p := values[id]
		if p == nil || p.paused.IsZero() {
			return
		}
		pause := now.Sub(p.paused)
		p.paused = time.Time{}
		follow(&p.pause, pause)
		l.mu.Lock()
		follow(&l.pause, pause)
		l.mu.Unlock()
		for i := range p.pins {
			p.pins[i].Expires = now.Add(running)
			l.remind(p.pins[i])
		}
	})
}

// End removes and returns the pins of a program.
func (l *Leases) End(id zinniapond.ProgramID) []zinniapond.Pin {
	var pins []zinniapond.Pin
	l.programs.Do(id, func(values map[zinniapond.ProgramID]*program) {
		if p := values[id]; p != nil {
			pins = p.pins
			delete(values, id)
		}
	})
	l.release(pins)
	return pins
}

// Expired removes and returns the pins that are over.
func (l *Leases) Expired(now time.Time) []zinniapond.Pin {
	l.mu.Lock()
	over := l.due.until(now)
	l.mu.Unlock()
	var pins []zinniapond.Pin
	for _, e := range over {
		l.programs.Do(e.program, func(values map[zinniapond.ProgramID]*program) {
			p := values[e.program]
			if p == nil {
				return
			}
			p.pins = slices.DeleteFunc(p.pins, func(n zinniapond.Pin) bool {
				if n.Expires.After(now) {
					return false
				}
				pins = append(pins, n)
				return true
			})
		})
	}
	l.release(pins)
	return pins
}

// Sweep returns the programs in a server's report that have had no pin for the
// grace time. Programs of other hosts and programs with a call in flight are
// among them; the caller passes them over.
func (l *Leases) Sweep(_ time.Time, report zinniapond.LoadReport) []zinniapond.Pin {
	bare := make(map[zinniapond.ProgramID]bool)
	for _, id := range report.Programs {
		held := slices.ContainsFunc(l.Held(id), func(n zinniapond.Pin) bool { return n.Backend == report.Backend })
		bare[id] = !held
	}
	var pins []zinniapond.Pin
	l.servers.Do(report.Backend, func(values map[netip.AddrPort]*server) {
		s := of(values, report.Backend)
		for id := range s.strange {
			if !bare[id] {
				delete(s.strange, id)
			}
		}
		for _, id := range report.Programs {
			if !bare[id] {
				continue
			}
			first, ok := s.strange[id]
			if !ok {
				s.strange[id] = report.Taken
			} else if report.Taken.Sub(first) >= grace {
				pins = append(pins, zinniapond.Pin{Program: id, Backend: report.Backend})
			}
		}
	})
	return pins
}

// Held returns the pins of a program.
func (l *Leases) Held(id zinniapond.ProgramID) []zinniapond.Pin {
	var pins []zinniapond.Pin
	l.programs.Do(id, func(values map[zinniapond.ProgramID]*program) {
		if p := values[id]; p != nil {
			pins = slices.Clone(p.pins)
		}
	})
	return pins
}

// worth is the longest pause worth holding cache for on the server.
func (l *Leases) worth(address netip.AddrPort) time.Duration {
	var used float64
	l.servers.Do(address, func(values map[netip.AddrPort]*server) {
		used = float64(of(values, address).held) / capacity
	})
	return time.Duration(2 * float64(breakEven) * max(1-used, 0))
}

func (l *Leases) expect(own time.Duration) time.Duration {
	if own > 0 {
		return own
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.pause, time.Second)
}

// remind notes when to look at a pin again.
func (l *Leases) remind(pin zinniapond.Pin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.due.add(expiry{at: pin.Expires, program: pin.Program})
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (l *Leases) hold(address netip.AddrPort, change zinniapond.Tokens) {
	l.servers.Do(address, func(values map[netip.AddrPort]*server) {
		of(values, address).held += change
	})
}

func (l *Leases) release(pins []zinniapond.Pin) {
	for _, n := range pins {
		l.hold(n.Backend, -n.Tokens)
	}
}

func of(values map[netip.AddrPort]*server, address netip.AddrPort) *server {
	s := values[address]
	if s == nil {
		s = &server{strange: make(map[zinniapond.ProgramID]time.Time)}
		values[address] = s
	}
	return s
}

func follow(mean *time.Duration, value time.Duration) {
	if *mean == 0 {
		*mean = value
		return
	}
	*mean += time.Duration(learn * float64(value-*mean))
}
