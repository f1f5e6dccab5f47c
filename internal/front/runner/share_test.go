package runner

import (
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/policy/share"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// fixedSharing gives the same shares each time, by replica, and none of the others.
type fixedSharing struct {
	shares map[netip.AddrPort]zinniapond.ConnectionShare
	used   map[netip.AddrPort]zinniapond.ConnectionUse
	hosts  int
}

func (f *fixedSharing) SetHostCount(_ time.Time, count int) { f.hosts = count }

func (f *fixedSharing) Share(_ time.Time, a netip.AddrPort, use zinniapond.ConnectionUse) zinniapond.ConnectionShare {
	f.used[a] = use
	return f.shares[a]
}

func TestConnectionLimit(t *testing.T) {
	whole := answersWith(200, "x", false, nil)
	newRunner := func(t *testing.T, limit int, replies ...reply) (*testRunner, *fixedSharing) {
		t.Helper()
		w := newTestRunner(t, zinniapond.Route{Kind: zinniapond.RequestUnsafe, MaxAttempts: 1}, replies...)
		f := &fixedSharing{shares: make(map[netip.AddrPort]zinniapond.ConnectionShare), used: make(map[netip.AddrPort]zinniapond.ConnectionUse)}
		w.Sharing = f
		w.view.Routing.Services[0].ConnectionLimit = limit
		return w, f
	}
	forward := func(t *testing.T, w *testRunner) *recorder {
		t.Helper()
		a := new(recorder)
		w.Forward(t.Context(), time.Now(), zinniapond.Request{ID: "id", Host: "h", Path: "/r/x", ReceivedAt: time.Now()}, a)
		return a
	}
	t.Run("guards against a request to a replica to which this host has its share of connections", func(t *testing.T) {
		w, f := newRunner(t, 20, whole)
		for _, b := range w.list[:2] {
			f.shares[b.Address] = zinniapond.ConnectionShare{IsLimited: true}
		}
		w.limitConnections(time.Now())
		for range 6 {
			assert.True(t, forward(t, w).ended, "not served")
		}
		for _, s := range w.sent {
			assert.Equal(t, s.Replica.Address, w.list[2].Address)
		}
	})
	t.Run("guards against failing a request that another one has deprived of its connection", func(t *testing.T) {
		limited := func(zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
			return nil, zinniapond.Join(zinniapond.ErrNotSent, zinniapond.ErrConnectionLimit)
		}
		w, _ := newRunner(t, 20, limited, whole)
		p, ok := w.pools.Get("pool")
		assert.True(t, ok, "no pool")
		router := &observingRouter{p.router, make(chan zinniapond.Observation, 2)}
		p.router = router
		assert.True(t, forward(t, w).ended, "not served")
		assert.Equal(t, len(w.sent), 2)
		assert.True(t, w.sent[0].Replica.Address != w.sent[1].Replica.Address, "sent to the same replica")
		seen := <-router.seen
		assert.True(t, !seen.Failed && seen.Cancelled, "the replica counts as failed: %+v", seen)
	})
	t.Run("guards against shares without the limit, the slots, the sums or the number of hosts", func(t *testing.T) {
		w, f := newRunner(t, 20, whole)
		w.view.Routing.Services[0].Engine.Slots = 12
		w.list[1].Slots = 5
		assert.NoError(t, w.update())
		w.setHostCount(54)
		w.reportLoads(time.Now(), []zinniapond.Load{{Replica: w.list[0].Address, Count: 9}})
		assert.Equal(t, f.hosts, 54)
		assert.Equal(t, f.used[w.list[0].Address], zinniapond.ConnectionUse{Limit: 20, Running: 9, Slots: 12})
		assert.Equal(t, f.used[w.list[1].Address], zinniapond.ConnectionUse{Limit: 20, Slots: 5})
	})
	t.Run("guards against no bound before the first exchange of loads, and against one that is not configured", func(t *testing.T) {
		w, _ := newRunner(t, 20, whole)
		w.Sharing = new(share.Book)
		w.limitConnections(time.Now())
		s, _ := w.shares.Get(w.list[0].Address)
		assert.Equal(t, s, zinniapond.ConnectionShare{IsLimited: true, Open: 1, Idle: 1})
		w.view.Routing.Services[0].ConnectionLimit = 0
		w.limitConnections(time.Now())
		s, _ = w.shares.Get(w.list[0].Address)
		assert.Equal(t, s, zinniapond.ConnectionShare{})
	})
}
