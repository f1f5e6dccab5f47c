package keeper

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
	"zinniapond.example/zinniapond/internal/turns/quorum"
)

var faultSeeds = flag.Int("keeper.seeds", 4, "number of seeds of TestChainFaults")

const (
	chainDisks     = 6
	chainCopies    = 3
	chainRetention = 2 * time.Minute
	longestSilence = 40 * time.Second
)

// conversation is a program whose turns are stored one after another on several disks.
type conversation struct {
	*hosts
	t       *testing.T
	keepers map[zinniapond.DiskID]*Keeper
	stops   map[zinniapond.DiskID]func()
	chain   []zinniapond.TurnID
	holders map[zinniapond.TurnID][]zinniapond.DiskID
	silent  *Keeper // does not answer; nil if all do
}

func newConversation(t *testing.T) *conversation {
	t.Helper()
	c := &conversation{hosts: newHosts(t), t: t, keepers: make(map[zinniapond.DiskID]*Keeper), stops: make(map[zinniapond.DiskID]func()), holders: make(map[zinniapond.TurnID][]zinniapond.DiskID)}
	for i := range chainDisks {
		k, stop := c.start(t.TempDir(), byte(i+1))
		c.keepers[k.log.ID()], c.stops[k.log.ID()] = k, stop
	}
	return c
}

// turn stores the next turn on the first disks that answer.
func (c *conversation) turn() {
	c.t.Helper()
	n := turn(zinniapond.TurnID(fmt.Sprintf("0123456789abc%03d", len(c.chain))))
	n.Chain, n.Retention = append([]zinniapond.TurnID(nil), c.chain...), chainRetention
	set := quorum.New(c.View(), zinniapond.KeeperSettings{MaxLostMachines: chainCopies - 1})
	for _, d := range set.PreferenceOrder(n.ID, n.Origin) {
		if k, ok := c.keepers[d.ID]; ok && k != c.silent && len(c.holders[n.ID]) < chainCopies {
			assert.True(c.t, c.keep(k, zinniapond.KeepRequest{Turns: []zinniapond.Turn{n}}), "not kept")
			c.holders[n.ID] = append(c.holders[n.ID], d.ID)
		}
	}
	c.chain = append(c.chain, n.ID)
}

// pass lets time pass in steps of a second, in each of which the keepers renew and drop
// what has expired.
func (c *conversation) pass(length time.Duration) {
	c.t.Helper()
	for range length / time.Second {
		c.elapsed.Add(int64(time.Second))
		for _, k := range c.keepers {
			k.renewChains(c.t.Context())
			assert.NoError(c.t, k.dropExpired(k.Clock()))
		}
	}
}

// stop ends a keeper. The others take its disk for silent.
func (c *conversation) stop(id zinniapond.DiskID) {
	c.stops[id]()
	delete(c.keepers, id)
}

// copies returns the least number of copies of a turn on the disks that have not ended.
func (c *conversation) copies() int {
	c.t.Helper()
	least := chainDisks
	for _, id := range c.chain {
		count := 0
		for _, k := range c.keepers {
			if _, ok := k.turns.Get(id); ok {
				count++
			}
		}
		least = min(least, count)
	}
	return least
}

func TestChain(t *testing.T) {
	t.Run("guards against turns that are dropped before the last one, and against those that are kept for good", func(t *testing.T) {
		t.Parallel()
		c := newConversation(t)
		for _, pause := range []time.Duration{2, 1, 5, 100, 110, 1, 20, 119, 3, 60, 60, 60} {
			c.turn()
			c.pass(pause * time.Second)
			assert.Equal(t, c.copies(), chainCopies)
		}
		c.pass(chainRetention - 60*time.Second)
		assert.Equal(t, c.copies(), chainCopies)
		c.pass(2*zinniapond.RetentionSlack + 2*batchSpan)
		for _, k := range c.keepers {
			assert.Equal(t, k.turns.Len(), 0)
		}
	})
	t.Run("guards against sending whole chains for each turn, and each of them from each disk that has it", func(t *testing.T) {
		t.Parallel()
		c := newConversation(t)
		const turns = 60
		for range turns {
			c.turn()
			c.pass(3 * time.Second)
		}
		sent, bytes := c.renewed.Load(), c.renewedBytes.Load()
		assert.Equal(t, c.copies(), chainCopies)
		// Each disk with a turn sent all ids before it to each other disk.
		before := int64(turns * (turns - 1) / 2 * chainCopies * (chainDisks - 1))
		t.Logf("%d ids, %d bytes for %d turns; %d ids with whole chains from each disk", sent, bytes, turns, before)
		assert.True(t, sent < before/10, "%d ids, %d with whole chains", sent, before)
	})
	t.Run("guards against turns lost with the disks that would have renewed them", func(t *testing.T) {
		t.Parallel()
		for _, pause := range []time.Duration{0, time.Second, 30 * time.Second} {
			c := newConversation(t)
			for range 10 {
				c.turn()
				c.pass(8 * time.Second)
			}
			c.pass(chainRetention - 20*time.Second)
			c.turn()
			c.pass(pause)
			last := c.holders[c.chain[len(c.chain)-1]]
			for _, id := range last[:chainCopies-1] {
				c.stop(id)
			}
			c.pass(chainRetention - pause)
			assert.True(t, c.copies() >= 1, "a turn is lost that the last one needs")
		}
	})
	t.Run("guards against turns lost as a disk did not answer, and then the one that renews", func(t *testing.T) {
		t.Parallel()
		c := newConversation(t)
		for range 5 {
			c.turn()
			c.pass(20 * time.Second)
		}
		last := c.holders[c.chain[len(c.chain)-1]]
		var silent *Keeper
		for id, k := range c.keepers {
			if id != last[0] && id != last[1] {
				silent = k
			}
		}
		c.setReachable(silent, false)
		c.pass(50 * time.Second)
		c.turn()
		c.pass(10 * time.Second)
		c.stop(c.holders[c.chain[len(c.chain)-1]][0])
		c.pass(2 * time.Second)
		c.setReachable(silent, true)
		c.pass(chainRetention - 15*time.Second)
		assert.True(t, c.copies() >= chainCopies-1, "a turn has %d copies", c.copies())
	})
}

// TestChainFaults has disks that do not answer for a while, one after another, and two that
// end, at random times. The disks have random ids, so that a seed does not repeat a run.
func TestChainFaults(t *testing.T) {
	for seed := range uint64(*faultSeeds) {
		t.Run(fmt.Sprintf("guards against a lost turn with the faults of seed %d", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 3))
			c := newConversation(t)
			ids := slices.Sorted(maps.Keys(c.keepers))
			random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
			ends := []int{random.IntN(400), random.IntN(400)}
			pause, silentFor := 0, 0
			for second := range 500 {
				if pause--; pause < 0 {
					c.turn()
					pause = random.IntN(8)
					if random.IntN(4) == 0 {
						// A silent disk drops its copies if the retention ends meanwhile.
						pause = random.IntN(int((chainRetention - longestSilence) / time.Second))
					}
				}
				for i, at := range ends {
					if at == second {
						c.stop(ids[i])
					}
				}
				// At most two disks fail at the same time.
				isLeft := len(c.keepers) > chainDisks-chainCopies+1
				if silentFor--; c.silent != nil && (silentFor <= 0 || !isLeft) {
					c.setReachable(c.silent, true)
					c.silent = nil
				}
				if k, ok := c.keepers[ids[random.IntN(len(ids))]]; ok && isLeft && c.silent == nil && random.IntN(20) == 0 {
					c.silent, silentFor = k, 1+random.IntN(int(longestSilence/time.Second))
					c.setReachable(k, false)
				}
				c.pass(time.Second)
				assert.True(t, c.copies() >= 1, "a turn is lost after %d s and %d turns", second, len(c.chain))
			}
		})
	}
}
