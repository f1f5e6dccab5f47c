package pace

import (
	"math"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
)

// send sends a request of a host to one replica after another until one takes it.
func (m *model) send(host int) {
	b, tried := m.hosts[host], make(map[*modelReplica]bool)
	var home *modelReplica
	if n := len(m.homes); n > 0 && m.random.Float64() < continued {
		home, m.homes = m.homes[0], m.homes[1:]
	}
	for {
		r := m.pick(host, home, tried)
		if r == nil {
			m.waits++
			return
		}
		tried[r] = true
		q := &modelRequest{host: host, replica: r, backend: r.Backend, sentAt: m.now}
		b.RecordStart(m.now, r.Backend)
		m.views[host][r.Address]++
		if r.running >= modelSlots+modelQueue {
			if m.isYoung(q) && m.now.Sub(r.startAt) < 3*time.Second {
				m.refused++
			}
			b.RecordFinish(m.now, r.Backend)
			m.views[host][r.Address]--
			b.RecordAnswer(m.now, r.Backend, zinniapond.PaceAnswer{Refused: true})
			continue
		}
		r.take(m.now, q, time.Duration(float64(generation)*(0.5+m.random.Float64())))
		m.running = append(m.running, q)
		return
	}
}

// take runs a request: it is prefilled after those before it, and generates the more
// slowly the more of them run.
func (r *modelReplica) take(now time.Time, q *modelRequest, generates time.Duration) {
	r.running++
	r.count++
	if r.failing != nil && r.failing(now) {
		q.failed, q.endAt, q.firstAt = true, now.Add(prefill), now.Add(modelTimeout)
		return
	}
	cost := prefill
	if now.Sub(r.startAt) < coldFor {
		cost *= coldFactor
	}
	if r.prefills.Before(now) {
		r.prefills = now
	}
	r.prefills = r.prefills.Add(cost)
	q.firstAt = r.prefills
	q.endAt = q.firstAt.Add(generates)
}

// cost is the expected time of a request, as of the prefix router.
func (m *model) cost(host int, home, r *modelReplica) float64 {
	load := float64(m.views[host][r.Address])
	uncached := 0.5
	if home == r {
		uncached = 0
	}
	return 1 + uncached + 2*min(load, modelSlots)/modelSlots + 4*max(load-modelSlots+1, 0)/modelSlots
}

// pick does what the runner and the prefix router do: of a sample of replicas, one with
// nearly the least expected time that is below its bound; if that one is full, any with a
// free slot; then all.
func (m *model) pick(host int, home *modelReplica, tried map[*modelReplica]bool) *modelReplica {
	b := m.hosts[host]
	least := func(allowed func(*modelReplica) bool) *modelReplica {
		var near []*modelReplica
		shortest := math.Inf(1)
		start := m.random.IntN(len(m.replicas))
		for i := -1; i < len(m.replicas) && len(near) < 16; i++ {
			r := home
			if i >= 0 {
				r = m.replicas[(start+i)%len(m.replicas)]
			}
			if r != nil && !slices.Contains(near, r) && r.live && !tried[r] && allowed(r) {
				near = append(near, r)
				shortest = min(shortest, m.cost(host, home, r))
			}
		}
		if len(near) == 0 {
			return nil
		}
		near = slices.DeleteFunc(near, func(r *modelReplica) bool { return m.cost(host, home, r) > 1.1*shortest })
		if local := slices.DeleteFunc(slices.Clone(near), func(r *modelReplica) bool { return r.dataCentre != host%dataCentres }); len(local) > 0 {
			near = local
		}
		one, two := near[m.random.IntN(len(near))], near[m.random.IntN(len(near))]
		if m.views[host][two.Address] < m.views[host][one.Address] {
			return two
		}
		return one
	}
	heldBack := false
	admitted := func(noOther bool) func(*modelReplica) bool {
		return func(r *modelReplica) bool {
			ok := !m.paced || b.Admits(m.now, r.Backend, noOther)
			heldBack = heldBack || !ok
			return ok
		}
	}
	first := least(admitted(false))
	if !heldBack || first != nil && !b.IsFull(m.now, first.Backend) {
		return first
	}
	if r := least(admitted(true)); r != nil && (first == nil || !b.IsFull(m.now, r.Backend)) {
		return r
	}
	if first != nil {
		return first
	}
	return least(func(*modelReplica) bool { return true })
}

// watch runs the model for 9 s from the start of a replica or its repair. It returns the
// time until no host holds it below the mean load of the others, and its requests in the
// last 5 s as a share of their mean.
func (m *model) watch(r *modelReplica) (allowed time.Duration, part float64) {
	counts := func() (own, others float64) {
		for _, o := range m.replicas {
			if o == r {
				own = float64(o.count)
			} else {
				others += float64(o.count) / float64(len(m.replicas)-1)
			}
		}
		return own, others
	}
	start := m.now
	var own, others float64
	for m.now.Sub(start) < 9*time.Second {
		if m.now.Sub(start) == 4*time.Second {
			own, others = counts()
		}
		if m.run(modelTick); m.isHeldBack(r) {
			allowed = m.now.Sub(start)
		}
	}
	ownLater, othersLater := counts()
	return allowed, (ownLater - own) / (othersLater - others)
}

// isHeldBack reports whether a tenth of the hosts have a bound below the mean load.
func (m *model) isHeldBack(r *modelReplica) bool {
	if !m.paced {
		return false
	}
	running, held := 0, 0
	for _, o := range m.replicas {
		running += o.running
	}
	for _, b := range m.hosts {
		if bound, bounded := b.Bound(m.now, r.Backend); bounded && bound < running/len(m.replicas) {
			held++
		}
	}
	return held > len(m.hosts)/10
}

func quantile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(share*float64(len(sorted)-1))]
}
