package runner

import (
	"net/netip"
	"sync/atomic"
	"time"

	"zinniapond.example/zinniapond"
)

// localLoads returns the number of this host's requests at each replica.
func (r *Runner) localLoads() []zinniapond.Load {
	var loads []zinniapond.Load
	r.pools.Each(func(_ zinniapond.PoolName, p *pool) bool {
		p.inFlight.Each(func(a netip.AddrPort, n *atomic.Int64) bool {
			if count := n.Load(); count > 0 {
				loads = append(loads, zinniapond.Load{Replica: a, Count: int(count)})
			}
			return true
		})
		return true
	})
	return r.reportAnswers(loads)
}

// reportLoads passes the number of all hosts' running requests at each replica to the
// routers, and offers the room that it shows to the waiting requests.
func (r *Runner) reportLoads(now time.Time, loads []zinniapond.Load) {
	r.setLoads(now, loads)
	counts := make(map[netip.AddrPort]int, len(loads))
	for _, l := range loads {
		counts[l.Replica] = l.Count
	}
	r.sums.Store(&counts)
	r.limitConnections(now)
	r.pools.Each(func(_ zinniapond.PoolName, p *pool) bool {
		for a := range *p.replicas.Load() {
			p.router.UpdateLoad(now, zinniapond.LoadReport{Backend: a, TakenAt: now, RunningCalls: counts[a]})
		}
		p.offerReported(now, counts)
		return true
	})
}
