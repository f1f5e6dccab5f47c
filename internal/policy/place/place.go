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
	// targetUtilisation is the share of a model's replicas that should be busy.
	targetUtilisation = 0.7
	// growAfter and shrinkAfter are how long a shortage or a surplus of
	// replicas must last. Loading takes minutes of a replica's time, so a short
	// swing is not followed.
	growAfter   = 20 * time.Second
	shrinkAfter = 5 * time.Minute
	// defaultOrderInterval is the least time between two orders if the settings
	// give none.
	defaultOrderInterval = 10 * time.Second
	// waitingPerReplica is the number of waiting calls that count as one busy
	// replica.
	waitingPerReplica = 16
)

func init() {
	kernel.Register[zinniapond.Placer]("default", func(k *kernel.Kernel) (zinniapond.Placer, error) {
		return &Placer{MinOrderInterval: k.Settings.Platform.MinWeightLoadInterval}, nil
	})
}

// Placer follows demand with hysteresis. Its zero value is ready for use.
type Placer struct {
	// MinOrderInterval is the least time between two orders, which follows from
	// the weight store's rate limit. It must be set before the first use.
	MinOrderInterval time.Duration

	mu        sync.Mutex
	lastOrder time.Time
	models    map[zinniapond.PoolName]*model
}

type model struct {
	shortageSince time.Time // since when more replicas are needed; zero if not
	surplusSince  time.Time // since when fewer are needed; zero if not
}

var _ zinniapond.Placer = (*Placer)(nil)

// modelNeed is the number of replicas that a model has and should have.
type modelNeed struct {
	zinniapond.Demand
	held, wanted int
}

// Place returns at most one order: to load the model with the greatest shortage
// onto an empty replica or, if there is none, onto one of the model with the
// greatest surplus.
func (p *Placer) Place(now time.Time, demand []zinniapond.Demand, held map[netip.AddrPort]zinniapond.PoolName) []zinniapond.Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	needs := p.computeNeeds(now, demand, held)
	interval := p.MinOrderInterval
	if interval <= 0 {
		interval = defaultOrderInterval
	}
	if !p.lastOrder.IsZero() && now.Sub(p.lastOrder) < interval {
		return nil
	}
	recipient := p.neediestModel(now, needs)
	if recipient == nil {
		return nil
	}
	address, ok := p.chooseReplica(now, recipient.Model, needs, held)
	if !ok {
		return nil
	}
	p.lastOrder = now
	return []zinniapond.Order{{Backend: address, Kind: zinniapond.OrderLoad, Model: recipient.Model}}
}

func (p *Placer) computeNeeds(now time.Time, demand []zinniapond.Demand, held map[netip.AddrPort]zinniapond.PoolName) map[zinniapond.PoolName]*modelNeed {
	if p.models == nil {
		p.models = make(map[zinniapond.PoolName]*model)
	}
	needs := make(map[zinniapond.PoolName]*modelNeed)
	for _, d := range demand {
		n := &modelNeed{Demand: d}
		load := d.BusyReplicas + float64(d.WaitingCalls)/waitingPerReplica
		n.wanted = int(math.Ceil(load / targetUtilisation))
		needs[d.Model] = n
	}
	for _, m := range held {
		if m == "" {
			continue
		}
		if needs[m] == nil {
			needs[m] = &modelNeed{Demand: zinniapond.Demand{Model: m}}
		}
		needs[m].held++
	}
	for name, n := range needs {
		m := p.models[name]
		if m == nil {
			m = &model{}
			p.models[name] = m
		}
		updateOnset(&m.shortageSince, now, n.wanted > n.held)
		// A surplus of one replica does not count unless none is needed; this
		// is the hysteresis between growing and shrinking.
		updateOnset(&m.surplusSince, now, n.wanted < n.held-1 || n.wanted == 0)
	}
	maps.DeleteFunc(p.models, func(name zinniapond.PoolName, _ *model) bool { return needs[name] == nil })
	return needs
}

func updateOnset(onset *time.Time, now time.Time, holds bool) {
	switch {
	case !holds:
		*onset = time.Time{}
	case onset.IsZero():
		*onset = now
	}
}

// neediestModel returns the model with the greatest shortage that has lasted
// for growAfter. A model without any replica does not wait.
func (p *Placer) neediestModel(now time.Time, needs map[zinniapond.PoolName]*modelNeed) *modelNeed {
	var best *modelNeed
	for _, name := range slices.Sorted(maps.Keys(needs)) {
		n := needs[name]
		since := p.models[name].shortageSince
		if since.IsZero() || (n.held > 0 && now.Sub(since) < growAfter) {
			continue
		}
		if best == nil || shortage(n) > shortage(best) {
			best = n
		}
	}
	return best
}

func shortage(n *modelNeed) float64 {
	return float64(n.wanted) / float64(max(n.held, 1)) * float64(n.wanted-n.held)
}

// chooseReplica returns an empty replica, or one of the model with the greatest
// lasting surplus.
func (p *Placer) chooseReplica(now time.Time, recipient zinniapond.PoolName, needs map[zinniapond.PoolName]*modelNeed, held map[netip.AddrPort]zinniapond.PoolName) (netip.AddrPort, bool) {
	addresses := slices.SortedFunc(maps.Keys(held), func(a, b netip.AddrPort) int { return a.Compare(b) })
	var donor zinniapond.PoolName
	surplus := 0
	for _, a := range addresses {
		m := held[a]
		if m == "" {
			return a, true
		}
		since := p.models[m].surplusSince
		if m == recipient || since.IsZero() || now.Sub(since) < shrinkAfter {
			continue
		}
		if s := needs[m].held - needs[m].wanted; s > surplus {
			donor, surplus = m, s
		}
	}
	// The last address is chosen, as routers fill the first ones when all are
	// equal.
	for _, a := range slices.Backward(addresses) {
		if surplus > 0 && held[a] == donor {
			return a, true
		}
	}
	return netip.AddrPort{}, false
}
