package runner

import (
	"net/netip"
	"time"

	"zinniapond.example/zinniapond"
)

// limitConnections applies this host's shares of the connections to the replicas. It is
// called at each change of the configuration, the list or the sums of loads, and at least
// once each updateInterval.
func (r *Runner) limitConnections(now time.Time) {
	t := r.table.Load()
	if r.Sharing == nil || t == nil {
		return
	}
	sums := r.sums.Load()
	if sums == nil {
		sums = new(map[netip.AddrPort]int)
	}
	r.pools.Each(func(name zinniapond.PoolName, p *pool) bool {
		service := t.Service(name)
		if service == nil {
			return true
		}
		for a, b := range *p.replicas.Load() {
			use := zinniapond.ConnectionUse{Limit: service.ConnectionLimit, Running: (*sums)[a], Slots: b.Slots}
			if use.Slots == 0 && service.Engine != nil {
				use.Slots = service.Engine.Slots
			}
			r.Client.LimitConnections(a, r.Sharing.Share(now, a, use))
		}
		return true
	})
}
