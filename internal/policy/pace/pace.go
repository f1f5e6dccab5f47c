// Package pace bounds the requests of all hosts together at a replica that is new or
// that has failed. It answers the load of 50 to 70 hosts that see the same idle replica
// at once: each of them sends it a few requests before the first sums of their loads
// arrive, and these wait for each other behind a cold cache or are refused. The bound
// follows the answers that all hosts have seen, so that a replica which answers well is
// full within seconds, and a failing one keeps a single request that shows when it works
// again. docs/design/pace.md has the reasons.
package pace

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/shard"
	"zinniapond.example/zinniapond/internal/core/stats"
)

func init() {
	kernel.Register("default", func(k *kernel.Kernel) (zinniapond.Pace, error) {
		b := &Book{Seed: xxhash.Sum64String(string(k.Settings.Host)), Logger: k.Logger.Named("pace")}
		return b, kernel.FindInto(k, &b.Stats)
	})
}

const (
	// absenceTime is the time out of the list after which a replica counts as new when
	// it returns under the same id. Lists that are read at different hosts may alternate
	// for a shorter time.
	absenceTime = time.Second
	// forgetTime is the time out of the list after which the state of a replica is
	// dropped.
	forgetTime = 30 * time.Second
	// maxTroubledShare is the share of a pool that is bounded because of bad answers.
	// When more replicas answer badly, the cause is load or this host's network, and a
	// bound would move the requests to replicas that are no better.
	maxTroubledShare = 1.0 / 3
)

// Book implements zinniapond.Pace. The state of each replica is guarded by a lock of its
// own. Its exported fields are set before use.
type Book struct {
	// Seed differs between hosts, so that they do not all use the same free place.
	Seed   uint64
	Logger hclog.Logger
	Stats  *stats.Set[string]

	servers shard.Map[netip.AddrPort, *server]
	// all has the same servers as a list, which is never changed once set.
	all       atomic.Pointer[[]*server]
	pools     shard.Map[zinniapond.PoolName, *pool]
	hostCount atomic.Int64
}

var _ zinniapond.Pace = (*Book)(nil)

// pool is what the replicas of a pool have in common.
type pool struct {
	size    atomic.Int64 // live replicas
	bounded atomic.Int64 // replicas that are bounded
	usual   usualTimes
}

func (b *Book) pool(name zinniapond.PoolName) *pool {
	return b.pools.GetOrCreate(name, func() *pool { return new(pool) })
}

// SetHostCount sets the number of hosts that send requests to the replicas.
func (b *Book) SetHostCount(count int) { b.hostCount.Store(int64(count)) }

func (b *Book) hosts() float64 { return float64(max(b.hostCount.Load(), 1)) }

// SetReplicas sets the live replicas of a pool. Those that were not in the list before
// are bounded, the less the more of the pool they are: the replicas of a pool that is
// new as a whole, or known to a host that has just started, are not bounded at all.
func (b *Book) SetReplicas(now time.Time, name zinniapond.PoolName, live []zinniapond.Backend) {
	p := b.pool(name)
	p.size.Store(int64(len(live)))
	present := make(map[netip.AddrPort]bool, len(live))
	var begun, known []*server
	for _, replica := range live {
		present[replica.Address] = true
		s := b.servers.GetOrCreate(replica.Address, func() *server { return &server{address: replica.Address, phase: b.phaseOf(replica.Address)} })
		isNew, dropped := s.setPresent(now, replica, p)
		b.countDropped(dropped)
		if isNew {
			begun = append(begun, s)
		} else {
			known = append(known, s)
		}
	}
	for _, s := range known {
		b.learn(now, s, 0, 0) // ramp-ups end with time while there are no sums
	}
	for _, s := range begun {
		b.begin(now, s, "new", float64(len(begun))/float64(len(live)))
	}
	var forgotten []netip.AddrPort
	var all []*server
	b.servers.Each(func(a netip.AddrPort, s *server) bool {
		if !present[a] {
			isForgotten, dropped := s.setAbsent(now, name)
			b.countDropped(dropped)
			if isForgotten {
				forgotten = append(forgotten, a)
				return true
			}
		}
		all = append(all, s)
		return true
	})
	for _, a := range forgotten {
		b.servers.Delete(a)
	}
	b.all.Store(&all)
}

// list returns all servers.
func (b *Book) list() []*server {
	if all := b.all.Load(); all != nil {
		return *all
	}
	return nil
}

// phaseOf spreads the hosts over the draws for a replica.
func (b *Book) phaseOf(a netip.AddrPort) uint64 {
	return xxhash.Sum64String(a.String()) ^ b.Seed*0x9e3779b97f4a7c15
}

// begin bounds a replica. share is the share of the pool that begins at this time.
func (b *Book) begin(now time.Time, s *server, reason string, share float64) {
	if bound, ok := s.begin(now, share); ok {
		b.Stats.Add("pace.begun", 1)
		b.Logger.Info("replica ramps up", "replica", s.address, "id", s.currentID(), "reason", reason, "bound", bound)
	}
}

// countDropped counts a ramp-up whose replica has left the list: begun is the sum of ended,
// dropped and those that go on.
func (b *Book) countDropped(dropped bool) {
	if dropped {
		b.Stats.Add("pace.dropped", 1)
	}
}

// end logs the end of a ramp-up.
func (b *Book) end(e ended) {
	b.Stats.Add("pace.ended", 1)
	b.Stats.Add("pace.good", int64(e.good))
	b.Stats.Add("pace.bad", int64(e.bad))
	b.Logger.Info("replica has ramped up", "replica", e.address, "id", e.id, "reason", e.reason, "took", e.took, "good", e.good, "bad", e.bad)
}

// SetLoads sets the sums of all hosts.
func (b *Book) SetLoads(now time.Time, sums []zinniapond.Load) {
	byReplica := make(map[netip.AddrPort]zinniapond.Load, len(sums))
	for _, l := range sums {
		byReplica[l.Replica] = l
	}
	for _, s := range b.list() {
		good, bad := s.setSum(now, byReplica[s.address])
		b.learn(now, s, good, bad)
	}
}

// learn applies answers of a replica, and begins or ends its ramp-up.
func (b *Book) learn(now time.Time, s *server, good, bad int) {
	if good+bad == 0 && !s.isBounded.Load() {
		return
	}
	troubled, e, isOver := s.learn(now, good, bad)
	if isOver {
		b.end(e)
	}
	if troubled && s.mayBoundMore() {
		b.begin(now, s, "bad answers", 0)
	}
}

// Report adds to the loads of this host how the replicas have answered it lately.
func (b *Book) Report(now time.Time, loads []zinniapond.Load) []zinniapond.Load {
	counts := make(map[netip.AddrPort]tally)
	for _, s := range b.list() {
		if t := s.report(now); t != (tally{}) {
			counts[s.address] = t
		}
	}
	for i := range loads {
		t := counts[loads[i].Replica]
		loads[i].Good, loads[i].Bad = t.good, t.bad
		delete(counts, loads[i].Replica)
	}
	for a, t := range counts {
		loads = append(loads, zinniapond.Load{Replica: a, Good: t.good, Bad: t.bad})
	}
	return loads
}

// Bound returns the largest number of requests that all hosts together should have at a
// replica.
func (b *Book) Bound(_ time.Time, replica zinniapond.Backend) (int, bool) {
	s, ok := b.find(replica)
	if !ok {
		return 0, false
	}
	return s.currentBound()
}

// Admits reports whether this host should send a request to a replica now.
func (b *Book) Admits(now time.Time, replica zinniapond.Backend, noOther bool) bool {
	s, ok := b.find(replica)
	return !ok || s.admits(now, b.hosts(), noOther)
}

// IsFull reports whether a replica is known to have all its slots in use.
func (b *Book) IsFull(now time.Time, replica zinniapond.Backend) bool {
	s, ok := b.find(replica)
	return ok && s.isFull(now)
}

// RecordStart records that a request of this host begins at a replica.
func (b *Book) RecordStart(now time.Time, replica zinniapond.Backend) {
	if s, ok := b.find(replica); ok {
		s.recordStart(now)
	}
}

// RecordFinish records that a request of this host has ended at a replica.
func (b *Book) RecordFinish(_ time.Time, replica zinniapond.Backend) {
	if s, ok := b.find(replica); ok {
		s.recordFinish()
	}
}

// RecordAnswer records how a replica has answered a request of this host.
func (b *Book) RecordAnswer(now time.Time, replica zinniapond.Backend, answer zinniapond.PaceAnswer) {
	s, ok := b.find(replica)
	if !ok {
		return
	}
	good, bad := s.recordAnswer(now, answer)
	b.learn(now, s, good, bad)
}

// find returns the state of a replica if the list has this lifetime of it.
func (b *Book) find(replica zinniapond.Backend) (*server, bool) {
	s, ok := b.servers.Get(replica.Address)
	return s, ok && s.currentID() == replica.ID
}
