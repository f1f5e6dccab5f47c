// Package place decides which replicas hold which model.
package place

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

const (
	// usage is the share of a model's replicas that should be busy.
	usage = 0.7
	// growAfter and shrinkAfter are how long a need must last. Loading
	// takes minutes of a replica's time, so a short swing is not followed.
	growAfter   = 20 * time.Second
	shrinkAfter = 5 * time.Minute
	// defaultPace is the span between two orders when the settings give none.
	defaultPace = 10 * time.Second
	// queued is the number of waiting calls that count as one busy replica.
	queued = 16
)

func init() {
	kernel.Register[zinniapond.Placer]("default", func(k *kernel.Kernel) (zinniapond.Placer, error) {
		return &Placer{Pace: k.Settings.Platform.Weights}, nil
	})
}

// Placer follows demand with hysteresis. Its zero value is ready for use.
type Placer struct {
	// Pace is the least span between two orders, by the weight store's rate
	// limit. Set it before the first use.
	Pace time.Duration

	mu     sync.Mutex
	last   time.Time
	models map[zinniapond.PoolName]*model
}

type model struct {
	high time.Time // since when more replicas are needed; zero if not
	low  time.Time // since when fewer are needed
}

var _ zinniapond.Placer = (*Placer)(nil)

// need is what one model has and should have.
type need struct {
	zinniapond.Demand
	have, want int
}

// Place returns at most one order: to load the model that needs a replica most
// onto an empty replica or onto one of the model that can best spare it.
func (p *Placer) Place(now time.Time, demand []zinniapond.Demand, held map[netip.AddrPort]zinniapond.PoolName) []zinniapond.Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	needs := p.needs(now, demand, held)
	pace := p.Pace
	if pace <= 0 {
		pace = defaultPace
	}
	if !p.last.IsZero() && now.Sub(p.last) < pace {
		return nil
	}
	taker := p.taker(now, needs)
	if taker == nil {
		return nil
	}
	address, ok := p.giver(now, taker.Model, needs, held)
	if !ok {
		return nil
	}
	p.last = now
	return []zinniapond.Order{{Backend: address, Kind: zinniapond.OrderLoad, Model: taker.Model}}
}

func (p *Placer) needs(now time.Time, demand []zinniapond.Demand, held map[netip.AddrPort]zinniapond.PoolName) map[zinniapond.PoolName]*need {
	if p.models == nil {
		p.models = make(map[zinniapond.PoolName]*model)
	}
	needs := make(map[zinniapond.PoolName]*need)
	for _, d := range demand {
		n := &need{Demand: d}
		load := d.Busy + float64(d.Waiting)/queued
		n.want = int(math.Ceil(load / usage))
		needs[d.Model] = n
	}
	for _, m := range held {
		if m == "" {
			continue
		}
		if needs[m] == nil {
			needs[m] = &need{Demand: zinniapond.Demand{Model: m}}
		}
		needs[m].have++
	}
	for name, n := range needs {
		m := p.models[name]
		if m == nil {
			m = &model{}
			p.models[name] = m
		}
		since(&m.high, now, n.want > n.have)
		// One replica of slack between growing and shrinking is the
		// hysteresis.
		since(&m.low, now, n.want < n.have-1 || n.want == 0)
	}
	maps.DeleteFunc(p.models, func(name zinniapond.PoolName, _ *model) bool { return needs[name] == nil })
	return needs
}

func since(at *time.Time, now time.Time, holds bool) {
	switch {
	case !holds:
		*at = time.Time{}
	case at.IsZero():
		*at = now
	}
}

// taker returns the model with the greatest lack that has lasted. A model
// without any replica does not wait.
func (p *Placer) taker(now time.Time, needs map[zinniapond.PoolName]*need) *need {
	var best *need
	for _, name := range slices.Sorted(maps.Keys(needs)) {
		n := needs[name]
		high := p.models[name].high
		if high.IsZero() || (n.have > 0 && now.Sub(high) < growAfter) {
			continue
		}
		if best == nil || lack(n) > lack(best) {
			best = n
		}
	}
	return best
}

func lack(n *need) float64 { return float64(n.want) / float64(max(n.have, 1)) * float64(n.want-n.have) }

// giver returns an empty replica, or one of the model with the most to spare.
func (p *Placer) giver(now time.Time, taker zinniapond.PoolName, needs map[zinniapond.PoolName]*need, held map[netip.AddrPort]zinniapond.PoolName) (netip.AddrPort, bool) {
	addresses := slices.SortedFunc(maps.Keys(held), func(a, b netip.AddrPort) int { return a.Compare(b) })
	var from zinniapond.PoolName
	spare := 0
	for _, a := range addresses {
		m := held[a]
		if m == "" {
			return a, true
		}
		low := p.models[m].low
		if m == taker || low.IsZero() || now.Sub(low) < shrinkAfter {
			continue
		}
		if s := needs[m].have - needs[m].want; s > spare {
			from, spare = m, s
		}
	}
	// The last address: routers fill the first ones when all are equal.
	for _, a := range slices.Backward(addresses) {
		if spare > 0 && held[a] == from {
			return a, true
		}
	}
	return netip.AddrPort{}, false
}
