package runner

import (
	"math"
	"net/netip"
	"sync/atomic"
	"time"

	"zinniapond.example/zinniapond"
)

// localLoads returns the number of this host's requests at each replica, and its recent
// answers if it may be slow.
func (r *Runner) localLoads() []zinniapond.Load {
	var loads []zinniapond.Load
	now := r.Clock()
	r.pools.Each(func(_ zinniapond.PoolName, p *pool) bool {
		meter, _ := p.router.(zinniapond.SpeedMeter)
		p.inFlight.Each(func(a netip.AddrPort, n *atomic.Int64) bool {
			l := zinniapond.Load{Replica: a, Count: int(n.Load())}
			if meter != nil {
				answers, slowness := meter.RecentAnswers(now, a)
				l.Answers, l.Slowness = answers, int(math.Round(slowness*zinniapond.SlownessUnit))
			}
			if l.Count > 0 || l.Answers > 0 {
				loads = append(loads, l)
			}
			return true
		})
		return true
	})
	return r.reportAnswers(loads)
}

// reportLoads passes the number of all hosts' running requests at each replica and its
// slowness to the routers.
func (r *Runner) reportLoads(now time.Time, loads []zinniapond.Load) {
	r.setLoads(now, loads)
	counts := make(map[netip.AddrPort]int, len(loads))
	slow := make(map[netip.AddrPort]zinniapond.Load)
	for _, l := range loads {
		counts[l.Replica] = l.Count
		if l.Answers > 0 {
			slow[l.Replica] = l
		}
	}
	r.pools.Each(func(_ zinniapond.PoolName, p *pool) bool {
		for a := range *p.replicas.Load() {
			report := zinniapond.LoadReport{Backend: a, TakenAt: now, RunningCalls: counts[a]}
			if l := slow[a]; l.Answers > 0 {
				report.Answers, report.Slowness = l.Answers, float64(l.Slowness)/zinniapond.SlownessUnit/float64(l.Answers)
			}
			p.router.UpdateLoad(now, report)
		}
		p.offerReported(now, counts)
		return true
	})
}
