// Package cache decides which KV caches to pin on engines across the pauses of
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
	// breakEvenPause is the pause for which holding a token costs as much as
	// prefilling it again on an engine whose memory is half free. Longer pauses
	// are not worth the memory.
	breakEvenPause = 2 * time.Minute
	// minExpiry is the least time until a pin expires: a pause is seldom
	// shorter than a tool call and the return of its result.
	minExpiry = 5 * time.Second
	// runningExpiry is the time until the pins of a program expire while one of
	// its calls runs.
	runningExpiry = 5 * time.Minute
	// expiryPauseRatio is the ratio of the time until a pin expires to the
	// expected pause.
	expiryPauseRatio = 4
	// pinCapacity is the share of an engine's memory, in tokens, that the pins
	// of this host may take. The more of it is taken, the shorter are the
	// pauses for which cache is pinned.
	pinCapacity = 400_000
	// pauseGain is the weight of one pause in the mean pause.
	pauseGain = 0.2
	// sweepGrace is how long a program must be reported without a pin before
	// FindUnpinned returns it. Load reports lag, so the first one may be older
	// than the pin.
	sweepGrace = 5 * time.Second
)

func init() {
	kernel.Register[zinniapond.CacheLeases]("default", func(*kernel.Kernel) (zinniapond.CacheLeases, error) {
		return &Leases{}, nil
	})
}

// Leases keeps the pins of this host's programs. Its zero value is ready for
// use.
type Leases struct {
	programs shard.Map[zinniapond.ProgramID, *program]
	servers  shard.Map[netip.AddrPort, *server]

	mu        sync.Mutex
	meanPause time.Duration // over all programs
	expiries  expiryQueue
}

// program has the pins of one program.
type program struct {
	pins      []zinniapond.Pin
	meanPause time.Duration // zero if not known
	pausedAt  time.Time     // start of the present pause; zero while a call runs
}

// server has the pinned memory of one backend server.
type server struct {
	pinnedTokens zinniapond.Tokens
	// unpinned has the programs reported without a pin, with the time of the
	// first such report.
	unpinned map[zinniapond.ProgramID]time.Time
}

var _ zinniapond.CacheLeases = (*Leases)(nil)

// Retain records the cache left by a call and decides whether to pin it. A
// pin is worth its memory while the expected pause is shorter than the time
// in which holding the cache costs as much as prefilling it again; the fuller
// the server, the shorter this time.
func (l *Leases) Retain(now time.Time, id zinniapond.ProgramID, address netip.AddrPort, held zinniapond.Tokens) (time.Time, bool) {
	maxPause := l.maxPause(address)
	var expires time.Time
	var pinnedDelta zinniapond.Tokens
	l.programs.Update(id, func(values map[zinniapond.ProgramID]*program) {
		p := values[id]
		if p == nil {
			p = &program{}
			values[id] = p
		}
		p.pausedAt = now
		index := slices.IndexFunc(p.pins, func(n zinniapond.Pin) bool { return n.Backend == address })
		if index >= 0 {
			pinnedDelta = -p.pins[index].Tokens
			p.pins = slices.Delete(p.pins, index, index+1)
		}
		// The caches of other servers lack this call's answer, so their pins
		// expire soon.
		for i := range p.pins {
			p.pins[i].Expires = earliest(p.pins[i].Expires, now.Add(minExpiry))
			l.scheduleExpiry(p.pins[i])
		}
		pause := l.expectedPause(p.meanPause)
		if pause >= maxPause || held <= 0 {
			return
		}
		expires = now.Add(max(min(expiryPauseRatio*pause, maxPause), minExpiry))
		pin := zinniapond.Pin{Program: id, Backend: address, Tokens: held, Expires: expires}
		p.pins = append(p.pins, pin)
		l.scheduleExpiry(pin)
		pinnedDelta += held
	})
	l.addPinned(address, pinnedDelta)
	return expires, !expires.IsZero()
}

// PauseEnded updates the mean pause with the length of the one that has ended.
// The program's pins outlast the call that begins, up to runningExpiry.
func (l *Leases) PauseEnded(now time.Time, id zinniapond.ProgramID) {
	l.programs.Update(id, func(values map[zinniapond.ProgramID]*program) {
		p := values[id]
		if p == nil || p.pausedAt.IsZero() {
			return
		}
		pause := now.Sub(p.pausedAt)
		p.pausedAt = time.Time{}
		updateMean(&p.meanPause, pause)
		l.mu.Lock()
		updateMean(&l.meanPause, pause)
		l.mu.Unlock()
		for i := range p.pins {
			p.pins[i].Expires = now.Add(runningExpiry)
			l.scheduleExpiry(p.pins[i])
		}
	})
}

// RemoveProgram removes and returns the pins of a program.
func (l *Leases) RemoveProgram(id zinniapond.ProgramID) []zinniapond.Pin {
	var pins []zinniapond.Pin
	l.programs.Update(id, func(values map[zinniapond.ProgramID]*program) {
		if p := values[id]; p != nil {
			pins = p.pins
			delete(values, id)
		}
	})
	l.subtractPinned(pins)
	return pins
}

// RemoveExpired removes and returns the pins that have expired.
func (l *Leases) RemoveExpired(now time.Time) []zinniapond.Pin {
	l.mu.Lock()
	expired := l.expiries.popUntil(now)
	l.mu.Unlock()
	var pins []zinniapond.Pin
	for _, e := range expired {
		l.programs.Update(e.program, func(values map[zinniapond.ProgramID]*program) {
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
	l.subtractPinned(pins)
	return pins
}

// FindUnpinned returns the programs in a server's load report that have had
// no pin for sweepGrace. Programs of other hosts and programs with a call in
// flight are among them; the caller skips these.
func (l *Leases) FindUnpinned(_ time.Time, report zinniapond.LoadReport) []zinniapond.Pin {
	unpinned := make(map[zinniapond.ProgramID]bool)
	for _, id := range report.Programs {
		pinned := slices.ContainsFunc(l.ProgramPins(id), func(n zinniapond.Pin) bool { return n.Backend == report.Backend })
		unpinned[id] = !pinned
	}
	var pins []zinniapond.Pin
	l.servers.Update(report.Backend, func(values map[netip.AddrPort]*server) {
		s := serverState(values, report.Backend)
		for id := range s.unpinned {
			if !unpinned[id] {
				delete(s.unpinned, id)
			}
		}
		for _, id := range report.Programs {
			if !unpinned[id] {
				continue
			}
			firstReported, ok := s.unpinned[id]
			if !ok {
				s.unpinned[id] = report.TakenAt
			} else if report.TakenAt.Sub(firstReported) >= sweepGrace {
				pins = append(pins, zinniapond.Pin{Program: id, Backend: report.Backend})
			}
		}
	})
	return pins
}

// ProgramPins returns the pins of a program.
func (l *Leases) ProgramPins(id zinniapond.ProgramID) []zinniapond.Pin {
	var pins []zinniapond.Pin
	l.programs.Update(id, func(values map[zinniapond.ProgramID]*program) {
		if p := values[id]; p != nil {
			pins = slices.Clone(p.pins)
		}
	})
	return pins
}

// maxPause returns the longest pause for which holding cache on the server is
// worth its memory.
func (l *Leases) maxPause(address netip.AddrPort) time.Duration {
	var usedShare float64
	l.servers.Update(address, func(values map[netip.AddrPort]*server) {
		usedShare = float64(serverState(values, address).pinnedTokens) / pinCapacity
	})
	return time.Duration(2 * float64(breakEvenPause) * max(1-usedShare, 0))
}

func (l *Leases) expectedPause(programMean time.Duration) time.Duration {
	if programMean > 0 {
		return programMean
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.meanPause, time.Second)
}

// scheduleExpiry queues the instant at which RemoveExpired checks the pin.
func (l *Leases) scheduleExpiry(pin zinniapond.Pin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expiries.add(expiry{at: pin.Expires, program: pin.Program})
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (l *Leases) addPinned(address netip.AddrPort, delta zinniapond.Tokens) {
	l.servers.Update(address, func(values map[netip.AddrPort]*server) {
		serverState(values, address).pinnedTokens += delta
	})
}

func (l *Leases) subtractPinned(pins []zinniapond.Pin) {
	for _, n := range pins {
		l.addPinned(n.Backend, -n.Tokens)
	}
}

func serverState(values map[netip.AddrPort]*server, address netip.AddrPort) *server {
	s := values[address]
	if s == nil {
		s = &server{unpinned: make(map[zinniapond.ProgramID]time.Time)}
		values[address] = s
	}
	return s
}

func updateMean(mean *time.Duration, value time.Duration) {
	if *mean == 0 {
		*mean = value
		return
	}
	*mean += time.Duration(pauseGain * float64(value-*mean))
}
