package client

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var now = time.Unix(1000, 0)

// shortContext returns a context with a deadline of 300 ms, after which a request
// without an answer has failed.
func shortContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

func keepTurn(t *testing.T, c *Client, id zinniapond.TurnID, chain ...zinniapond.TurnID) {
	t.Helper()
	turn := zinniapond.Turn{ID: id, Program: "p", Chain: chain, Input: []byte("in " + id), Output: []byte("out " + id)}
	assert.NoError(t, c.Keep(shortContext(t), now, turn, zinniapond.Spend{}))
}

func TestChain(t *testing.T) {
	t.Run("guards against a chain that is cut or out of order", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		keepTurn(t, f.client(1), "one")
		keepTurn(t, f.client(1), "two", "one")
		keepTurn(t, f.client(1), "three", "one", "two")
		chain, err := f.client(1).ReadChain(shortContext(t), now, "three")
		assert.NoError(t, err)
		var ids []zinniapond.TurnID
		for _, turn := range chain {
			ids = append(ids, turn.ID)
		}
		assert.Equal(t, fmt.Sprint(ids), "[one two three]")
	})
	t.Run("guards against a not-found answer from the empty disk of a wiped host", func(t *testing.T) {
		for _, wiped := range []zinniapond.DiskID{"a", "b", "c"} {
			for _, down := range []zinniapond.DiskID{"a", "b", "c"} {
				if wiped == down {
					continue
				}
				f := newFleet("a", "b", "c")
				keepTurn(t, f.client(1), "one")
				f.wipe(wiped)
				f.stop(down)
				_, err := f.client(1).ReadChain(shortContext(t), now, "one")
				if err != nil {
					assert.ErrorIs(t, err, zinniapond.ErrNoQuorum)
				}
			}
		}
	})
	t.Run("guards against asking all disks for a turn that the first one has", func(t *testing.T) {
		f := newFleet("a", "b", "c", "d", "e", "f", "g", "h")
		keepTurn(t, f.client(2), "one")
		before := f.calls()
		_, err := f.client(2).ReadChain(shortContext(t), now, "one")
		assert.NoError(t, err)
		assert.True(t, f.calls()-before <= 2, "%d requests", f.calls()-before)
	})
	t.Run("guards against a missing quorum for a turn that does not exist", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		f.stop("b")
		_, err := f.client(1).ReadChain(shortContext(t), now, "none")
		assert.ErrorIs(t, err, zinniapond.ErrNotFound)
	})
	t.Run("guards against acknowledging a turn that the loss of one disk removes", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		f.stop("a", "b")
		err := f.client(1).Keep(shortContext(t), now, zinniapond.Turn{ID: "one"}, zinniapond.Spend{})
		assert.ErrorIs(t, err, zinniapond.ErrNoQuorum)
	})
}

// reserve makes a reservation that must be granted, and returns the spends of the
// program's other turns.
func reserve(t *testing.T, c *Client, s zinniapond.Spend, budget zinniapond.Tokens) []zinniapond.Spend {
	t.Helper()
	others, err := c.Reserve(shortContext(t), now, s, budget)
	assert.NoError(t, err)
	return others
}

// orderedDisks is the connection of one of several concurrent clients to the disks of
// a fleet. The client reaches only the disks of written, and its write on a disk waits
// until that of the client before it there is done.
type orderedDisks struct {
	*fleet
	after   map[zinniapond.DiskID]<-chan struct{}
	written map[zinniapond.DiskID]chan struct{}
	report  map[zinniapond.DiskID]func() // closes the channel of written once
}

func (d *orderedDisks) Call(ctx context.Context, peer netip.AddrPort, method string, request, answer any) error {
	id := d.hosts[peer].id
	if _, reached := d.written[id]; !reached {
		return errDown
	}
	if _, ok := request.(zinniapond.KeepRequest); !ok {
		return d.fleet.Call(ctx, peer, method, request, answer)
	}
	if after, ok := d.after[id]; ok {
		<-after
	}
	defer d.report[id]()
	return d.fleet.Call(ctx, peer, method, request, answer)
}

func newOrderedDisks(f *fleet, reached ...zinniapond.DiskID) *orderedDisks {
	d := &orderedDisks{
		fleet: f, after: make(map[zinniapond.DiskID]<-chan struct{}), written: make(map[zinniapond.DiskID]chan struct{}),
		report: make(map[zinniapond.DiskID]func()),
	}
	for _, id := range reached {
		written := make(chan struct{})
		d.written[id], d.report[id] = written, sync.OnceFunc(func() { close(written) })
	}
	return d
}

func TestReserve(t *testing.T) {
	t.Run("guards against three reservations that each see just one of the others", func(t *testing.T) {
		f := newFleet("a", "b", "c", "d", "e")
		one, two, three := newOrderedDisks(f, "a", "b", "c"), newOrderedDisks(f, "c", "d", "e"), newOrderedDisks(f, "a", "b", "e")
		two.after["c"] = one.written["c"]
		three.after["e"] = two.written["e"]
		one.after["a"], one.after["b"] = three.written["a"], three.written["b"]
		var group sync.WaitGroup
		var granted atomic.Int64
		for i, disks := range []*orderedDisks{one, two, three} {
			group.Go(func() {
				c := f.client(2)
				c.Peers = disks
				s := zinniapond.Spend{Program: "p", Turn: zinniapond.AttemptID(fmt.Sprint(i)), Reserved: 40}
				if _, err := c.Reserve(shortContext(t), now, s, 100); err == nil {
					granted.Add(1)
				}
			})
		}
		group.Wait()
		assert.True(t, granted.Load() <= 2, "%d of 100 tokens were granted", 40*granted.Load())
	})
	t.Run("guards against concurrent reservations that exceed the budget together", func(t *testing.T) {
		for range 50 {
			f := newFleet("a", "b", "c", "d", "e")
			var group sync.WaitGroup
			var granted atomic.Int64
			for i := range 6 {
				group.Go(func() {
					s := zinniapond.Spend{Program: "p", Turn: zinniapond.AttemptID(fmt.Sprint(i)), Reserved: 40}
					if _, err := f.client(2).Reserve(shortContext(t), now, s, 100); err == nil {
						granted.Add(1)
					}
				})
			}
			group.Wait()
			assert.True(t, granted.Load() <= 2, "more tokens were granted than the budget has")
		}
	})
	t.Run("guards against an empty disk hiding what was spent", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		s := zinniapond.Spend{Program: "p", Turn: "one", Reserved: 80}
		reserve(t, f.client(1), s, 100)
		f.wipe("a")
		f.stop("c")
		s.Turn = "two"
		_, err := f.client(1).Reserve(shortContext(t), now, s, 100)
		assert.True(t, err != nil, "granted although the budget is spent")
	})
	t.Run("guards against a grant while disks that may have another reservation do not answer", func(t *testing.T) {
		f := newFleet("a", "b", "c", "d")
		f.stop("c", "d")
		_, err := f.client(1).Reserve(shortContext(t), now, zinniapond.Spend{Program: "p", Turn: "one", Reserved: 80}, 100)
		assert.ErrorIs(t, err, zinniapond.ErrNoQuorum)
	})
	t.Run("guards against a settled turn counting with all that was reserved", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		s := zinniapond.Spend{Program: "p", Turn: "one", Reserved: 80}
		reserve(t, f.client(1), s, 100)
		s.Used = 10
		assert.NoError(t, f.client(1).Settle(shortContext(t), now, s))
		reserve(t, f.client(1), zinniapond.Spend{Program: "p", Turn: "two", Reserved: 80}, 100)
	})
	t.Run("guards against requests to the disks for each repeated reservation over the budget", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		c := f.client(1)
		s := zinniapond.Spend{Program: "p", Turn: "one", Reserved: 80, Used: 80}
		reserve(t, c, s, 100)
		assert.NoError(t, c.Settle(shortContext(t), now, s))
		s.Turn = "two"
		_, err := c.Reserve(shortContext(t), now, s, 100)
		assert.ErrorIs(t, err, zinniapond.ErrBudgetExhausted)
		f.stop("a", "b", "c")
		s.Turn = "three"
		_, err = c.Reserve(shortContext(t), now, s, 100)
		assert.ErrorIs(t, err, zinniapond.ErrBudgetExhausted)
		_, err = c.Reserve(shortContext(t), now.Add(settledTTL), s, 100)
		assert.ErrorIs(t, err, zinniapond.ErrNoQuorum)
	})
	t.Run("guards against a refused reservation that stays reserved", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		c := f.client(1)
		_, err := c.Reserve(shortContext(t), now, zinniapond.Spend{Program: "p", Turn: "one", Reserved: 101}, 100)
		assert.ErrorIs(t, err, zinniapond.ErrBudgetExhausted)
		c.releases.Wait()
		reserve(t, f.client(1), zinniapond.Spend{Program: "p", Turn: "two", Reserved: 100}, 100)
	})
	t.Run("guards against a software version that is lost with a disk, or hidden by one that has only the reservation", func(t *testing.T) {
		for _, lost := range []zinniapond.DiskID{"a", "b", "c"} {
			f := newFleet("a", "b", "c")
			c := f.client(1)
			reserved := zinniapond.Spend{Program: "p", Turn: "1", Reserved: 10, Version: "v1"}
			_, err := c.Reserve(shortContext(t), now, reserved, 100)
			assert.NoError(t, err)
			begun := reserved
			begun.Version = "v2"
			assert.NoError(t, c.Begin(shortContext(t), now, begun))
			f.stop(lost)
			others, err := c.Reserve(shortContext(t), now, zinniapond.Spend{Program: "p", Turn: "2", Reserved: 10}, 100)
			assert.NoError(t, err)
			assert.Equal(t, len(others), 1)
			assert.Equal(t, others[0].Version, "v2")
		}
	})
	t.Run("guards against spends without the replica that ran the turn", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		place := zinniapond.CacheLocation{SessionID: "s", Replica: netip.MustParseAddrPort("10.0.0.1:80"), Tokens: 90, TurnNumber: 1}
		s := zinniapond.Spend{Program: "p", Turn: "one", Reserved: 10, Used: 10, CacheLocation: place}
		reserve(t, f.client(1), s, 100)
		assert.NoError(t, f.client(1).Settle(shortContext(t), now, s))
		others := reserve(t, f.client(1), zinniapond.Spend{Program: "p", Turn: "two", Reserved: 10}, 100)
		assert.Equal(t, others[0].CacheLocation, place)
	})
}
