package writer

import (
	"context"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// shortWait is for appends and recoveries that must not succeed.
const shortWait = 100 * time.Millisecond

// takeover makes a host that reaches the given stores the next owner.
func (c *cluster) takeover(t testing.TB, host zinniapond.HostName, reach ...zinniapond.HostName) (*owner, []string) {
	t.Helper()
	a := c.assign(host, "a", "b", "c")
	c.reach(host, reach...)
	o := &owner{Writer: c.writer(host, testWait), epoch: a.Epoch}
	each, seen := collect()
	assert.NoError(t, o.Recover(ctx, time.Now(), a, each))
	return o, *seen
}

func (o *owner) put(t testing.TB, program string, number int) {
	t.Helper()
	put(t, o.Writer, o.epoch, record(zinniapond.RecordIntent, program, number))
}

// fail makes an append that no majority takes.
func (o *owner) fail(t testing.TB, program string, number int) {
	t.Helper()
	short, cancel := context.WithTimeout(ctx, shortWait)
	defer cancel()
	err := o.Append(short, time.Now(), 0, o.epoch, record(zinniapond.RecordIntent, program, number))
	assert.True(t, err != nil, "append %s/%d was acknowledged", program, number)
}

// refused checks that a host that reaches the given stores cannot take over.
func (c *cluster) refused(t testing.TB, host zinniapond.HostName, reach ...zinniapond.HostName) {
	t.Helper()
	c.reach(host, reach...)
	each, seen := collect()
	err := c.writer(host, shortWait).Recover(ctx, time.Now(), c.assign(host, "a", "b", "c"), each)
	assert.True(t, err != nil, "recovered with %v", *seen)
	assert.ErrorIs(t, err, zinniapond.ErrNoQuorum)
}

func (c *cluster) lose(hosts ...zinniapond.HostName) {
	for _, h := range hosts {
		c.halt(h, true)
		c.wipe(h)
		c.start(h)
	}
}

func TestLoss(t *testing.T) {
	for _, s := range []struct {
		name string
		play func(*testing.T, *cluster)
	}{
		{"guards against an emptied replica counting in a recovery", func(t *testing.T, c *cluster) {
			o, _ := c.takeover(t, "o", "a", "b", "c")
			c.reach("o", "a", "b")
			o.put(t, "x", 1)
			c.reach("o")
			c.lose("a")
			c.refused(t, "p", "a", "c")
			_, seen := c.takeover(t, "q", "b", "c")
			assert.Equal(t, seen, []string{"x/1"})
		}},
		{"guards against a repaired replica not counting", func(t *testing.T, c *cluster) {
			o, _ := c.takeover(t, "o", "a", "b", "c")
			o.put(t, "x", 1)
			c.lose("a")
			assert.Eventually(t, testWait, "a counts again", func() bool { return c.votes(t, "a") })
			c.lose("b")
			c.reach("o")
			_, seen := c.takeover(t, "p", "a", "c")
			assert.Equal(t, seen, []string{"x/1"})
		}},
		{"guards against a deposed owner making an emptied replica count", func(t *testing.T, c *cluster) {
			old, _ := c.takeover(t, "o", "a", "b", "c")
			old.put(t, "x", 1)
			c.reach("o")
			o, _ := c.takeover(t, "p", "b", "c")
			o.put(t, "x", 2)
			c.reach("p")
			c.lose("c")
			c.reach("o", "a", "c")
			old.fail(t, "x", 3)
			c.refused(t, "q", "a", "c")
		}},
		{"guards against a new shard served before each replica has its first record", func(t *testing.T, c *cluster) {
			c.delay = func(host zinniapond.HostName, method string) error {
				if host == "c" && method == "Journal.Append" {
					return errCut
				}
				return nil
			}
			c.refused(t, "o", "a", "b", "c")
		}},
		{"guards against recovering from a replica that lags", func(t *testing.T, c *cluster) {
			o, _ := c.takeover(t, "o", "a", "b", "c")
			c.reach("o", "a", "b")
			o.put(t, "x", 1)
			c.reach("o")
			c.delay = func(host zinniapond.HostName, _ string) error {
				if host == "a" {
					time.Sleep(20 * time.Millisecond) // the lagging one answers first
				}
				return nil
			}
			_, seen := c.takeover(t, "p", "a", "c")
			assert.Equal(t, seen, []string{"x/1"})
		}},
		{"guards against a long log of a deposed owner being chosen", func(t *testing.T, c *cluster) {
			old, _ := c.takeover(t, "o", "a", "b", "c")
			c.reach("o", "a")
			for n := range 5 {
				old.fail(t, "x", n)
			}
			c.reach("o")
			o, _ := c.takeover(t, "p", "b", "c")
			o.put(t, "x", 9)
			c.reach("p")
			_, seen := c.takeover(t, "q", "a", "c")
			assert.Equal(t, seen, []string{"x/9"})
		}},
		{"guards against records of an earlier epoch being shown before one of the new epoch holds them", func(t *testing.T, c *cluster) {
			first, _ := c.takeover(t, "o", "a", "b", "c")
			c.reach("o", "a")
			first.fail(t, "x", 1)
			c.reach("o")
			second, _ := c.takeover(t, "p", "b", "c")
			c.reach("p", "b")
			second.fail(t, "x", 2)
			c.reach("p")
			third, seen := c.takeover(t, "q", "a", "c")
			third.stop()
			_, again := c.takeover(t, "r", "b", "c")
			for i, s := range seen {
				assert.True(t, i < len(again) && again[i] == s, "record %s was replayed and is lost", s)
			}
		}},
	} {
		t.Run(s.name, func(t *testing.T) {
			c := newCluster(t, "a", "b", "c")
			defer c.stop()
			s.play(t, c)
		})
	}
}

// votes tells whether a replica counts towards a majority.
func (c *cluster) votes(t testing.TB, host zinniapond.HostName) bool {
	var reply zinniapond.ReadReply
	assert.NoError(t, c.stores[host].store.Read(&zinniapond.ReadRequest{From: 1, Most: 1}, &reply))
	return reply.Voting
}
