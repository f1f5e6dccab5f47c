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

// limited returns a context that ends soon: what is not answered by then is not.
func limited(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	t.Cleanup(cancel)
	return ctx
}

func keep(t *testing.T, c *Client, id zinniapond.TurnID, chain ...zinniapond.TurnID) {
	t.Helper()
	turn := zinniapond.Turn{ID: id, Program: "p", Chain: chain, Input: []byte("in " + id), Output: []byte("out " + id)}
	assert.NoError(t, c.Keep(limited(t), now, turn, zinniapond.Spend{}))
}

func TestChain(t *testing.T) {
	t.Run("guards against a chain that is cut or out of order", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		keep(t, f.client(1), "one")
		keep(t, f.client(1), "two", "one")
		keep(t, f.client(1), "three", "one", "two")
		chain, err := f.client(1).Chain(limited(t), now, "three")
		assert.NoError(t, err)
		var ids []zinniapond.TurnID
		for _, turn := range chain {
			ids = append(ids, turn.ID)
		}
		assert.Equal(t, fmt.Sprint(ids), "[one two three]")
	})
	t.Run("guards against the empty disk of a wiped host saying that a turn never was", func(t *testing.T) {
		for _, wiped := range []zinniapond.DiskID{"a", "b", "c"} {
			for _, down := range []zinniapond.DiskID{"a", "b", "c"} {
				if wiped == down {
					continue
				}
				f := newFleet("a", "b", "c")
				keep(t, f.client(1), "one")
				f.wipe(wiped)
				f.stop(down)
				_, err := f.client(1).Chain(limited(t), now, "one")
				if err != nil {
					assert.ErrorIs(t, err, zinniapond.ErrNoQuorum)
				}
			}
		}
	})
	t.Run("guards against asking all disks for a turn that the first one has", func(t *testing.T) {
		f := newFleet("a", "b", "c", "d", "e", "f", "g", "h")
		keep(t, f.client(2), "one")
		before := f.calls()
		_, err := f.client(2).Chain(limited(t), now, "one")
		assert.NoError(t, err)
		assert.True(t, f.calls()-before <= 2, "%d requests", f.calls()-before)
	})
	t.Run("guards against doubt about a turn that never was", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		f.stop("b")
		_, err := f.client(1).Chain(limited(t), now, "none")
		assert.ErrorIs(t, err, zinniapond.ErrNotFound)
	})
	t.Run("guards against acknowledging a turn that the loss of one disk removes", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		f.stop("a", "b")
		err := f.client(1).Keep(limited(t), now, zinniapond.Turn{ID: "one"}, zinniapond.Spend{})
		assert.ErrorIs(t, err, zinniapond.ErrNoQuorum)
	})
}

func TestFlush(t *testing.T) {
	t.Run("guards against the beginning of a chain that expires before its end", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		c := f.client(1)
		keep(t, c, "one")
		keep(t, c, "two", "one")
		c.flush(context.Background())
		for _, id := range []zinniapond.DiskID{"a", "b", "c"} {
			assert.Equal(t, f.touched(id), "[one]")
		}
	})
}

// reserve returns what other turns have taken.
func reserve(t *testing.T, c *Client, s zinniapond.Spend, budget zinniapond.Tokens) []zinniapond.Spend {
	t.Helper()
	others, err := c.Reserve(limited(t), now, s, budget)
	assert.NoError(t, err)
	return others
}

func TestReserve(t *testing.T) {
	t.Run("guards against reservations at once that pass the budget together", func(t *testing.T) {
		for range 50 {
			f := newFleet("a", "b", "c", "d", "e")
			var group sync.WaitGroup
			var granted atomic.Int64
			for i := range 6 {
				group.Go(func() {
					s := zinniapond.Spend{Program: "p", Turn: zinniapond.AttemptID(fmt.Sprint(i)), Reserved: 40}
					if _, err := f.client(2).Reserve(limited(t), now, s, 100); err == nil {
						granted.Add(1)
					}
				})
			}
			group.Wait()
			assert.True(t, granted.Load() <= 2, "more was granted than the budget holds")
		}
	})
	t.Run("guards against an empty disk hiding what was spent", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		s := zinniapond.Spend{Program: "p", Turn: "one", Reserved: 80}
		reserve(t, f.client(1), s, 100)
		f.wipe("a")
		f.stop("c")
		s.Turn = "two"
		_, err := f.client(1).Reserve(limited(t), now, s, 100)
		assert.True(t, err != nil, "granted beside what was spent")
	})
	t.Run("guards against a grant while disks that may hold another one are silent", func(t *testing.T) {
		f := newFleet("a", "b", "c", "d")
		f.stop("c", "d")
		_, err := f.client(1).Reserve(limited(t), now, zinniapond.Spend{Program: "p", Turn: "one", Reserved: 80}, 100)
		assert.ErrorIs(t, err, zinniapond.ErrNoQuorum)
	})
	t.Run("guards against a settled turn counting with all that was reserved", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		s := zinniapond.Spend{Program: "p", Turn: "one", Reserved: 80}
		reserve(t, f.client(1), s, 100)
		s.Used = 10
		assert.NoError(t, f.client(1).Settle(limited(t), now, s))
		reserve(t, f.client(1), zinniapond.Spend{Program: "p", Turn: "two", Reserved: 80}, 100)
	})
	t.Run("guards against a program that goes on asking for more than it has, at the disks' cost", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		c := f.client(1)
		s := zinniapond.Spend{Program: "p", Turn: "one", Reserved: 80, Used: 80}
		reserve(t, c, s, 100)
		assert.NoError(t, c.Settle(limited(t), now, s))
		s.Turn = "two"
		_, err := c.Reserve(limited(t), now, s, 100)
		assert.ErrorIs(t, err, zinniapond.ErrBudget)
		f.stop("a", "b", "c")
		s.Turn = "three"
		_, err = c.Reserve(limited(t), now, s, 100)
		assert.ErrorIs(t, err, zinniapond.ErrBudget)
		_, err = c.Reserve(limited(t), now.Add(spentAge), s, 100)
		assert.ErrorIs(t, err, zinniapond.ErrNoQuorum)
	})
	t.Run("guards against a refused reservation that stays", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		c := f.client(1)
		_, err := c.Reserve(limited(t), now, zinniapond.Spend{Program: "p", Turn: "one", Reserved: 101}, 100)
		assert.ErrorIs(t, err, zinniapond.ErrBudget)
		c.withdrawals.Wait()
		reserve(t, f.client(1), zinniapond.Spend{Program: "p", Turn: "two", Reserved: 100}, 100)
	})
	t.Run("guards against a route that does not learn where a turn has run", func(t *testing.T) {
		f := newFleet("a", "b", "c")
		place := zinniapond.Place{Session: "s", Replica: netip.MustParseAddrPort("10.0.0.1:80"), Tokens: 90, Number: 1}
		s := zinniapond.Spend{Program: "p", Turn: "one", Reserved: 10, Used: 10, Place: place}
		reserve(t, f.client(1), s, 100)
		assert.NoError(t, f.client(1).Settle(limited(t), now, s))
		others := reserve(t, f.client(1), zinniapond.Spend{Program: "p", Turn: "two", Reserved: 10}, 100)
		assert.Equal(t, others[0].Place, place)
	})
}
