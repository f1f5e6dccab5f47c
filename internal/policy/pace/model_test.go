package pace

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/stats"
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
	total    map[netip.AddrPort]zinniapond.Load
	homes    []*modelReplica // replicas at which conversations ran last
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
	m := &model{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, uint64(hosts))), paced: paced, total: make(map[netip.AddrPort]zinniapond.Load)}
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
		m.sums, m.history = append(m.sums, maps.Clone(m.total)), append(m.history, slices.Clone(m.reports))
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
	last := m.reports[host]
	m.reports[host] = make(map[netip.AddrPort]zinniapond.Load)
	for _, l := range m.hosts[host].Report(m.now, loads) {
		m.reports[host][l.Replica] = l
	}
	for _, r := range m.replicas {
		sum, old := m.total[r.Address], last[r.Address]
		sum.Add(m.reports[host][r.Address])
		sum.Add(zinniapond.Load{Count: -old.Count, Good: -old.Good, Bad: -old.Bad})
		m.total[r.Address] = sum
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
