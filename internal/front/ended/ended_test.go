package ended

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// client is a fake of the replica client that counts its checks.
type client struct {
	zinniapond.ReplicaClient
	ended  bool
	checks atomic.Int64
}

func (c *client) HasEnded(ctx context.Context, _ netip.AddrPort) bool {
	c.checks.Add(1)
	select {
	case <-time.After(20 * time.Millisecond):
		return c.ended
	case <-ctx.Done():
		return false
	}
}

func TestHas(t *testing.T) {
	now := time.Unix(1000, 0)
	replica := zinniapond.Backend{ID: "i-1", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	t.Run("guards against one check for each request that broke off", func(t *testing.T) {
		k := &client{ended: true}
		c := &Checker{Client: k}
		var group sync.WaitGroup
		for range 50 {
			group.Go(func() { assert.True(t, c.Has(t.Context(), now, replica), "not ended") })
		}
		group.Wait()
		assert.True(t, c.Has(t.Context(), now, replica), "not ended")
		assert.True(t, k.checks.Load() < 5, "%d checks", k.checks.Load())
	})
	t.Run("guards against taking the end of a replica for that of the next one", func(t *testing.T) {
		k := &client{ended: true}
		c := &Checker{Client: k}
		c.Has(t.Context(), now, replica)
		k.ended = false
		next := replica
		next.ID = "i-2"
		assert.True(t, !c.Has(t.Context(), now, next), "ended")
		assert.True(t, !c.Has(t.Context(), now.Add(validity), replica), "ended for ever")
	})
	t.Run("guards against an end that is missed because another request that shares the check ends", func(t *testing.T) {
		k := &client{ended: true}
		c := &Checker{Client: k}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { c.Has(ctx, now, replica) })
		assert.Eventually(t, time.Second, "the check runs", func() bool { return k.checks.Load() == 1 })
		group.Go(func() { assert.True(t, c.Has(t.Context(), now, replica), "not ended") })
		time.Sleep(5 * time.Millisecond)
		cancel()
		group.Wait()
	})
	t.Run("guards against ends that are kept without bound", func(t *testing.T) {
		c := &Checker{Client: &client{ended: true}}
		c.Has(t.Context(), now, replica)
		c.Prune(now.Add(validity))
		assert.Equal(t, c.known.Len(), 0)
	})
}
