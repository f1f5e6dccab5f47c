package keeper

import (
	"fmt"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestSpendRetention(t *testing.T) {
	long := zinniapond.Spend{Program: "p", Turn: "one", Reserved: 5, Retention: time.Hour}
	assertKept := func(t *testing.T, h *hosts, k *Keeper) {
		t.Helper()
		assert.NoError(t, k.dropExpired(h.now().Add(long.Retention)))
		assert.Equal(t, len(k.spends("p")), 1)
		assert.NoError(t, k.dropExpired(h.now().Add(long.Retention+2*zinniapond.RetentionSlack)))
		assert.Equal(t, len(k.spends("p")), 0)
	}
	t.Run("guards against a program that returns within its retention and has its budget again", func(t *testing.T) {
		h := newHosts(t)
		k, _ := h.start(t.TempDir(), 1)
		assert.True(t, h.keep(k, zinniapond.KeepRequest{Spends: []zinniapond.Spend{long}, Retention: zinniapond.SpendRetention}), "not kept")
		assertKept(t, h, k)
	})
	t.Run("guards against a budget that is spent again as a disk restarted", func(t *testing.T) {
		h, folder := newHosts(t), t.TempDir()
		k, stop := h.start(folder, 1)
		assert.True(t, h.keep(k, zinniapond.KeepRequest{Spends: []zinniapond.Spend{long}, Retention: zinniapond.SpendRetention}), "not kept")
		stop()
		k, _ = h.start(folder, 1)
		assertKept(t, h, k)
	})
	t.Run("guards against a budget that is spent again as its spends were copied to another disk", func(t *testing.T) {
		h := newHosts(t)
		k, _ := h.start(t.TempDir(), 1)
		assert.True(t, h.keep(k, zinniapond.KeepRequest{Spends: []zinniapond.Spend{long}, Retention: zinniapond.SpendRetention}), "not kept")
		other, _ := h.start(t.TempDir(), 2)
		h.set(zinniapond.Disk{ID: "gone", State: zinniapond.DiskLost})
		assert.Eventually(t, 5*time.Second, "the spends are copied", func() bool { return len(other.spends("p")) == 1 })
		assertKept(t, h, other)
	})
	t.Run("guards against spends that are dropped with the turn that settled them", func(t *testing.T) {
		h := newHosts(t)
		k, _ := h.start(t.TempDir(), 1)
		settled := zinniapond.Spend{Program: "p", Turn: "one", Settled: true}
		assert.True(t, h.keep(k, zinniapond.KeepRequest{Turns: []zinniapond.Turn{turn("one")}, Spends: []zinniapond.Spend{settled}, Retention: time.Second}), "not kept")
		assert.NoError(t, k.dropExpired(h.now().Add(zinniapond.SpendRetention)))
		assert.Equal(t, len(k.spends("p")), 1)
	})
}

func TestRenewal(t *testing.T) {
	const retention, between = time.Minute, 50 * time.Second
	// chain stores turn one on a disk and, some time later, turn two on another disk.
	chain := func(t *testing.T) (h *hosts, first, second *Keeper, restart func() *Keeper) {
		t.Helper()
		h = newHosts(t)
		folder := t.TempDir()
		first, _ = h.start(t.TempDir(), 1)
		second, stop := h.start(folder, 2)
		assert.True(t, h.keep(first, zinniapond.KeepRequest{Turns: []zinniapond.Turn{turn("one")}}), "not kept")
		h.elapsed.Add(int64(between))
		two := turn("two")
		two.Chain = []zinniapond.TurnID{"one"}
		assert.True(t, h.keep(second, zinniapond.KeepRequest{Turns: []zinniapond.Turn{two}}), "not kept")
		return h, first, second, func() *Keeper {
			stop()
			k, _ := h.start(folder, 2)
			return k
		}
	}
	// assertRetained waits until a keeper retains turn one for as long as turn two.
	assertRetained := func(t *testing.T, h *hosts, k *Keeper) {
		t.Helper()
		end := h.now().Add(retention)
		assert.Eventually(t, 20*time.Second, "the retention of the earlier turn is renewed", func() bool {
			s, ok := k.turns.Get("one")
			return ok && s.expiry.Load() > end.UnixNano()
		})
		assert.NoError(t, k.dropExpired(end))
		assert.True(t, h.has(k, "one"), "the earlier turn is gone")
	}
	t.Run("guards against a conversation lost as the front of its last turn was killed", func(t *testing.T) {
		t.Parallel()
		h, first, _, _ := chain(t)
		assertRetained(t, h, first)
	})
	t.Run("guards against a conversation lost as the disk of its last turn restarted", func(t *testing.T) {
		t.Parallel()
		h, first, second, restart := chain(t)
		h.setReachable(first, false)
		restart()
		h.setReachable(first, true)
		assert.True(t, second != nil, "no disk")
		assertRetained(t, h, first)
	})
	t.Run("guards against a conversation lost as one of its disks was cut off for seconds", func(t *testing.T) {
		t.Parallel()
		h, first, second, _ := chain(t)
		h.setReachable(first, false)
		second.renewChains(t.Context())
		h.setReachable(first, true)
		assertRetained(t, h, first)
	})
	t.Run("guards against turns kept for the retention of another route", func(t *testing.T) {
		t.Parallel()
		h, first, second, _ := chain(t)
		other := turn("other")
		other.Chain, other.Retention = []zinniapond.TurnID{"another"}, time.Hour
		assert.True(t, h.keep(second, zinniapond.KeepRequest{Turns: []zinniapond.Turn{other}}), "not kept")
		assertRetained(t, h, first)
		assert.NoError(t, first.dropExpired(h.now().Add(retention+2*zinniapond.RetentionSlack)))
		assert.True(t, !h.has(first, "one"), "the turn is kept too long")
	})
	t.Run("guards against renewals without bound for a disk that does not answer", func(t *testing.T) {
		now := time.Now()
		var r renewals
		for i := range 100 {
			b := newBatch(now.Add(retention), true)
			for j := range maxRenewalBacklog / 10 {
				b.add("later", &turnEntry{chain: []zinniapond.TurnID{zinniapond.TurnID(fmt.Sprint(i, "/", j))}})
			}
			r.collect(now, []zinniapond.DiskID{"silent"}, []*batch{b})
		}
		count := 0
		for _, b := range r.pendingFor("silent") {
			count += len(b.ids)
		}
		assert.True(t, count > 0 && count <= maxRenewalBacklog+maxRenewalBacklog/10, "%d turns wait", count)
		r.collect(now.Add(retention+zinniapond.RetentionSlack), []zinniapond.DiskID{"silent"}, nil)
		assert.Equal(t, len(r.pendingFor("silent")), 0)
	})
}
