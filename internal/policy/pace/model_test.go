package pace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/stats"
	"zinniapond.example/zinniapond/internal/test/assert"
)

const (
	modelTick  = 10 * time.Millisecond
	modelSlots = 12
	// modelQueue is the number of requests that a replica takes beyond its slots.
	modelQueue = 4
	// prefill is the time of a prompt that is not cached; a replica prefills one prompt
	// after the other. A turn then generates for about a second.
	prefill    = 30 * time.Millisecond
	generation = 900 * time.Millisecond
	coldFor    = time.Second
	coldFactor = 5
	// exchangeEvery is the interval of the exchanges of one host. Sums are up to as much
	// and sumDelay older.
	exchangeEvery = 100 * time.Millisecond
	sumDelay      = 150 * time.Millisecond
	dataCentres   = 4
	// continued is the share of requests that continue a conversation, whose cache one
	// replica has.
	continued = 0.75
	// modelTimeout is the client's time.
	modelTimeout = 3 * time.Second
)

// modelReplica is one replica of the model.
type modelReplica struct {
	zinniapond.Backend
	live       bool
	startAt    time.Time
	failing    func(now time.Time) bool
	dataCentre int
	count      int // requests that it has received since its start
	running    int
	prefills   time.Time // when the prompts that were received are prefilled
}

// modelRequest is a request at a replica.
type modelRequest struct {
	host     int
	replica  *modelReplica
	backend  zinniapond.Backend
	sentAt   time.Time
	firstAt  time.Time
	endAt    time.Time
	failed   bool
	answered bool
}

// model has the hosts and replicas of one pool.
type model struct {
	now      time.Time
	random   *rand.Rand
	rate     float64 // requests a second
	paced    bool    // the hosts observe the bounds
	hosts    []*Book
	views    []map[netip.AddrPort]int // per host: sums, and own requests since
	reports  []map[netip.AddrPort]zinniapond.Load
	history  [][]map[netip.AddrPort]zinniapond.Load // reports by tick
	sums     []map[netip.AddrPort]zinniapond.Load   // their sums
	homes    []*modelReplica                        // replicas at which conversations ran last
	replicas []*modelReplica
	running  []*modelRequest
	arrivals float64
	// first are the times to the first byte, and failed the number of requests, at
	// replicas in the first 10 s of their lifetimes; allFirst and allFailed those at all
	// replicas. refused is the number in the first 3 s: later ones are due to the load.
	first, allFirst            []time.Duration
	failed, refused, allFailed int
	waits                      int // requests that no replica took at once
}

func newModel(hosts, replicas int, load float64, paced bool) *model {
	m := &model{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, uint64(hosts))), paced: paced}
	m.rate = load * float64(replicas*modelSlots) / (generation + prefill).Seconds()
	for i := range hosts {
		b := &Book{Seed: uint64(i+1) * 0x9e3779b97f4a7c15, Logger: hclog.NewNullLogger(), Stats: new(stats.Set[string])}
		b.SetHostCount(hosts)
		m.hosts = append(m.hosts, b)
		m.views = append(m.views, make(map[netip.AddrPort]int))
		m.reports = append(m.reports, nil)
	}
	for i := range replicas {
		m.replicas = append(m.replicas, &modelReplica{live: true, dataCentre: i % dataCentres, Backend: zinniapond.Backend{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), ID: "a", Pool: "pool", Slots: modelSlots, State: zinniapond.BackendLive,
		}})
	}
	m.publish()
	m.run(3 * time.Second)
	m.first, m.allFirst, m.failed, m.refused, m.allFailed, m.waits = nil, nil, 0, 0, 0, 0
	return m
}

// publish passes the list to all hosts.
func (m *model) publish() {
	var list []zinniapond.Backend
	for _, r := range m.replicas {
		if r.live {
			list = append(list, r.Backend)
		}
	}
	for _, b := range m.hosts {
		b.SetReplicas(m.now, "pool", list)
	}
}

// stop ends replicas with their requests.
func (m *model) stop(replicas ...*modelReplica) {
	for _, r := range replicas {
		r.live, r.running = false, 0
		for _, q := range m.running {
			if q.replica == r && q.endAt.After(m.now) {
				q.endAt, q.failed = m.now, true
			}
		}
	}
	m.publish()
}

// start starts replicas in a new lifetime.
func (m *model) start(replicas ...*modelReplica) {
	for _, r := range replicas {
		r.live, r.startAt, r.ID, r.prefills = true, m.now, r.ID+"a", m.now
	}
	m.publish()
}

// run runs the model for a time.
func (m *model) run(duration time.Duration) {
	for until := m.now.Add(duration); m.now.Before(until); m.now = m.now.Add(modelTick) {
		tick := int(m.now.UnixNano() / int64(modelTick))
		m.finish()
		sum := make(map[netip.AddrPort]zinniapond.Load)
		for _, r := range m.reports {
			for a, l := range r {
				total := sum[a]
				total.Add(l)
				sum[a] = total
			}
		}
		m.sums, m.history = append(m.sums, sum), append(m.history, slices.Clone(m.reports))
		for i := range m.hosts {
			if every := int(exchangeEvery / modelTick); (tick+i)%every == 0 {
				m.exchange(i)
			}
		}
		for m.arrivals += m.rate * modelTick.Seconds() * 2 * m.random.Float64(); m.arrivals >= 1; m.arrivals-- {
			m.send(m.random.IntN(len(m.hosts)))
		}
		if tick%100 == 0 {
			m.publish() // the runner applies the list each second
		}
	}
}

// exchange reports the loads of a host, and applies sums that lag.
func (m *model) exchange(host int) {
	counts := make(map[netip.AddrPort]int)
	for _, q := range m.running {
		if q.host == host {
			counts[q.backend.Address]++
		}
	}
	var loads []zinniapond.Load
	for a, n := range counts {
		loads = append(loads, zinniapond.Load{Replica: a, Count: n})
	}
	m.reports[host] = make(map[netip.AddrPort]zinniapond.Load)
	for _, l := range m.hosts[host].Report(m.now, loads) {
		m.reports[host][l.Replica] = l
	}
	// A control host has the reports of the others late, but that of the host itself.
	tick := max(len(m.sums)-1-int(sumDelay/modelTick), 0)
	own, before := m.reports[host], m.history[tick][host]
	var sums []zinniapond.Load
	m.views[host] = make(map[netip.AddrPort]int)
	for _, r := range m.replicas {
		a := r.Address
		l, o, b := m.sums[tick][a], own[a], before[a]
		l = zinniapond.Load{Replica: a, Count: l.Count + o.Count - b.Count, Good: l.Good + o.Good - b.Good, Bad: l.Bad + o.Bad - b.Bad}
		m.views[host][a] = l.Count
		sums = append(sums, l)
	}
	m.hosts[host].SetLoads(m.now, sums)
}

// finish ends requests and passes their answers to their hosts.
func (m *model) finish() {
	m.running = slices.DeleteFunc(m.running, func(q *modelRequest) bool {
		b := m.hosts[q.host]
		if !q.answered && !q.failed && !q.firstAt.After(m.now) {
			q.answered = true
			first := q.firstAt.Sub(q.sentAt)
			m.allFirst = append(m.allFirst, first)
			if m.isYoung(q) {
				m.first = append(m.first, first)
			}
			b.RecordAnswer(m.now, q.backend, zinniapond.PaceAnswer{TimeToFirstByte: first, Uncached: 1000})
		}
		if q.endAt.After(m.now) {
			return false
		}
		if q.backend.ID == q.replica.ID && q.replica.live {
			q.replica.running--
		}
		b.RecordFinish(m.now, q.backend)
		if q.failed {
			m.allFailed++
			if m.isYoung(q) {
				m.failed++
			}
			b.RecordAnswer(m.now, q.backend, zinniapond.PaceAnswer{Failed: true})
		}
		m.views[q.host][q.backend.Address]--
		if m.random.Float64() < continued {
			m.homes = append(m.homes, q.replica)
		}
		return true
	})
}

func (m *model) isYoung(q *modelRequest) bool {
	return q.backend.ID == q.replica.ID && !q.replica.startAt.IsZero() && q.sentAt.Sub(q.replica.startAt) < 10*time.Second
}

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

// result is what callers see of one run of the model.
type result struct {
	first95, all95             time.Duration
	failed, refused, allFailed int
	waits                      int
	allowed                    time.Duration
	part                       float64
}

func (m *model) result() result {
	return result{quantile(m.first, 0.95), quantile(m.allFirst, 0.95), m.failed, m.refused, m.allFailed, m.waits, 0, 0}
}

// compare runs a case with and without the decision, in several sizes, and passes both
// results to check.
func compare(t *testing.T, play func(m *model) result, check func(t *testing.T, with, without result)) {
	t.Helper()
	for _, size := range []struct {
		hosts, replicas int
		load            float64
	}{{50, 12, 0.45}, {70, 12, 0.65}, {60, 48, 0.65}} {
		t.Run(fmt.Sprintf("%d hosts, %d replicas, load %.1f", size.hosts, size.replicas, size.load), func(t *testing.T) {
			with := play(newModel(size.hosts, size.replicas, size.load, true))
			without := play(newModel(size.hosts, size.replicas, size.load, false))
			t.Logf("with    %+v", with)
			t.Logf("without %+v", without)
			check(t, with, without)
		})
	}
}

// The limits leave room to the worst of six seeds: 2.96 and 3.71 s until a new or repaired
// replica is not held back, 0.73 of its share in the 5 s that follow.
func TestRampUp(t *testing.T) {
	t.Run("guards against flooding a replica that has started with a cold cache", func(t *testing.T) {
		compare(t, func(m *model) result {
			r := m.replicas[3]
			m.stop(r)
			m.run(2 * time.Second)
			m.start(r)
			allowed, part := m.watch(r)
			seen := m.result()
			seen.allowed, seen.part = allowed, part
			return seen
		}, func(t *testing.T, with, without result) {
			assert.True(t, with.refused == 0, "%d requests refused", with.refused)
			assert.True(t, with.first95 < without.first95/2, "times to the first byte are %s", with.first95)
			assert.True(t, with.allowed <= 3500*time.Millisecond, "the replica is held back for %s", with.allowed)
			assert.True(t, with.part >= 0.5, "the replica has %.2f of its share", with.part)
		})
	})
	t.Run("guards against a new replica that fails every second request", func(t *testing.T) {
		compare(t, func(m *model) result {
			r := m.replicas[3]
			m.stop(r)
			m.run(2 * time.Second)
			r.failing = func(time.Time) bool { return r.count%2 == 0 }
			m.start(r)
			m.run(10 * time.Second)
			return m.result()
		}, func(t *testing.T, with, without result) {
			assert.True(t, with.failed < without.failed/2, "%d requests failed", with.failed)
		})
	})
	t.Run("guards against a replica that works again and is left idle", func(t *testing.T) {
		compare(t, func(m *model) result {
			r := m.replicas[3]
			r.failing = func(time.Time) bool { return true }
			m.run(3 * time.Second)
			r.failing = nil
			allowed, part := m.watch(r)
			seen := m.result()
			seen.allowed, seen.part = allowed, part
			return seen
		}, func(t *testing.T, with, without result) {
			assert.True(t, with.allFailed < without.allFailed/2, "%d requests failed", with.allFailed)
			assert.True(t, with.allowed <= 4500*time.Millisecond, "the replica is held back for %s", with.allowed)
			assert.True(t, with.part >= 0.5, "the replica has %.2f of its share", with.part)
		})
	})
	for name, stopped := range map[string]int{"all": 1, "half of the": 2} {
		t.Run(fmt.Sprintf("guards against callers that wait where %s replicas return together", name), func(t *testing.T) {
			compare(t, func(m *model) result {
				gone := m.replicas[:len(m.replicas)/stopped]
				m.stop(gone...)
				m.run(2 * time.Second)
				m.allFirst, m.allFailed, m.waits = nil, 0, 0
				m.start(gone...)
				m.run(10 * time.Second)
				return m.result()
			}, func(t *testing.T, with, without result) {
				assert.True(t, with.waits <= without.waits, "%d requests found no replica", with.waits)
				assert.True(t, with.all95 <= without.all95*11/10, "times to the first byte are %s", with.all95)
			})
		})
	}
	t.Run("guards against a release that replaces the replicas one after the other", func(t *testing.T) {
		compare(t, func(m *model) result {
			for _, r := range m.replicas[:8] {
				m.stop(r)
				m.run(time.Second)
				m.start(r)
				m.run(2 * time.Second)
			}
			return m.result()
		}, func(t *testing.T, with, without result) {
			assert.True(t, with.refused <= without.refused/4, "%d requests refused", with.refused)
			assert.True(t, with.first95 < without.first95/2, "times to the first byte are %s", with.first95)
			assert.True(t, with.waits == 0, "%d requests found no replica", with.waits)
		})
	})
}
