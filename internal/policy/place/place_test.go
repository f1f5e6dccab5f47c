package place

import (
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func held(models ...zinniapond.PoolName) map[netip.AddrPort]zinniapond.PoolName {
	all := map[netip.AddrPort]zinniapond.PoolName{}
	for i, m := range models {
		all[netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80)] = m
	}
	return all
}

func TestPlace(t *testing.T) {
	busy := []zinniapond.Demand{{Model: "a", BusyReplicas: 4, WaitingCalls: 20}, {Model: "b", BusyReplicas: 0.5}}
	t.Run("guards against following a short swing of demand", func(t *testing.T) {
		p := &Placer{}
		assert.Equal(t, len(p.Place(startTime, busy, held("a", "a", "b", ""))), 0)
		calm := []zinniapond.Demand{{Model: "a", BusyReplicas: 1}, {Model: "b", BusyReplicas: 0.5}}
		assert.Equal(t, len(p.Place(startTime.Add(growAfter/2), calm, held("a", "a", "b", ""))), 0)
		assert.Equal(t, len(p.Place(startTime.Add(growAfter), busy, held("a", "a", "b", ""))), 0)
	})
	t.Run("guards against lasting demand without more replicas, and against unpaced loads", func(t *testing.T) {
		p := &Placer{MinOrderInterval: 30 * time.Second}
		p.Place(startTime, busy, held("a", "a", "b", "", ""))
		now := startTime.Add(growAfter)
		orders := p.Place(now, busy, held("a", "a", "b", "", ""))
		assert.True(t, len(orders) == 1 && orders[0].Model == "a" && orders[0].Kind == zinniapond.OrderLoad, "orders %v", orders)
		assert.Equal(t, len(p.Place(now.Add(29*time.Second), busy, held("a", "a", "b", "a", ""))), 0)
		assert.Equal(t, len(p.Place(now.Add(30*time.Second), busy, held("a", "a", "b", "a", ""))), 1)
	})
	t.Run("guards against a model without any replica", func(t *testing.T) {
		p := &Placer{}
		orders := p.Place(startTime, []zinniapond.Demand{{Model: "c", BusyReplicas: 0, WaitingCalls: 1}}, held(""))
		assert.True(t, len(orders) == 1 && orders[0].Model == "c", "orders %v", orders)
	})
	t.Run("guards against taking replicas that are needed", func(t *testing.T) {
		p := &Placer{}
		all := []zinniapond.Demand{{Model: "a", BusyReplicas: 4, WaitingCalls: 20}, {Model: "b", BusyReplicas: 1.3}, {Model: "c", BusyReplicas: 0.1}}
		now := held("a", "b", "b", "c", "c", "c", "c")
		p.Place(startTime, all, now)
		assert.Equal(t, len(p.Place(startTime.Add(growAfter), all, now)), 0)
		orders := p.Place(startTime.Add(shrinkAfter), all, now)
		assert.True(t, len(orders) == 1 && now[orders[0].Backend] == "c", "orders %v", orders)
	})
}
