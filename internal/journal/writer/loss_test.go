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

// takeover makes a host the next owner, with links to the given stores only.
func (c *cluster) takeover(t testing.TB, host zinniapond.HostName, reach ...zinniapond.HostName) (*owner, []string) {
	t.Helper()
	a := c.assign(host, "a", "b", "c")
	c.limitLinks(host, reach...)
	o := &owner{Writer: c.newWriter(host, testWait), epoch: a.Epoch}
	each, seen := collectReasons()
	assert.NoError(t, o.Recover(ctx, time.Now(), a, each))
	return o, *seen
}

func (o *owner) appendIntent(t testing.TB, program string, number int) {
	t.Helper()
	appendRecords(t, o.Writer, o.epoch, newRecord(zinniapond.RecordIntent, program, number))
}

// appendFails checks that an append is not acknowledged.
func (o *owner) appendFails(t testing.TB, program string, number int) {
	t.Helper()
	short, cancel := context.WithTimeout(ctx, shortWait)
	defer cancel()
	err := o.Append(short, time.Now(), 0, o.epoch, newRecord(zinniapond.RecordIntent, program, number))
	assert.True(t, err != nil, "append %s/%d was acknowledged", program, number)
}

// recoveryFails checks that a host with links to the given stores only cannot take
// over the shard.
func (c *cluster) recoveryFails(t testing.TB, host zinniapond.HostName, reach ...zinniapond.HostName) {
	t.Helper()
	c.limitLinks(host, reach...)
	each, seen := collectReasons()
	err := c.newWriter(host, shortWait).Recover(ctx, time.Now(), c.assign(host, "a", "b", "c"), each)
	assert.True(t, err != nil, "recovered with %v", *seen)
	assert.ErrorIs(t, err, zinniapond.ErrNoQuorum)
}

func (c *cluster) loseDisks(hosts ...zinniapond.HostName) {
	for _, h := range hosts {
		c.stopStore(h, true)
		c.wipeDisk(h)
		c.startStore(h)
	}
}

func TestLoss(t *testing.T) {
	for _, s := range []struct {
		name     string
		scenario func(*testing.T, *cluster)
	}{
		{"guards against an emptied replica counting in a recovery", func(t *testing.T, c *cluster) {
			o, _ := c.takeover(t, "o", "a", "b", "c")
			c.limitLinks("o", "a", "b")
			o.appendIntent(t, "x", 1)
			c.limitLinks("o")
			c.loseDisks("a")
			c.recoveryFails(t, "p", "a", "c")
			_, seen := c.takeover(t, "q", "b", "c")
			assert.Equal(t, seen, []string{"x/1"})
		}},
		{"guards against a repaired replica not counting", func(t *testing.T, c *cluster) {
			o, _ := c.takeover(t, "o", "a", "b", "c")
			o.appendIntent(t, "x", 1)
			c.loseDisks("a")
			assert.Eventually(t, testWait, "a counts again", func() bool { return c.isVoting(t, "a") })
			c.loseDisks("b")
			c.limitLinks("o")
			_, seen := c.takeover(t, "p", "a", "c")
			assert.Equal(t, seen, []string{"x/1"})
		}},
		{"guards against a deposed owner making an emptied replica count", func(t *testing.T, c *cluster) {
			old, _ := c.takeover(t, "o", "a", "b", "c")
			old.appendIntent(t, "x", 1)
			c.limitLinks("o")
			o, _ := c.takeover(t, "p", "b", "c")
			o.appendIntent(t, "x", 2)
			c.limitLinks("p")
			c.loseDisks("c")
			c.limitLinks("o", "a", "c")
			old.appendFails(t, "x", 3)
			c.recoveryFails(t, "q", "a", "c")
		}},
		{"guards against a new shard served before each replica has its first record", func(t *testing.T, c *cluster) {
			c.interceptCall = func(host zinniapond.HostName, method string) error {
				if host == "c" && method == "Journal.Append" {
					return errLinkCut
				}
				return nil
			}
			c.recoveryFails(t, "o", "a", "b", "c")
		}},
		{"guards against recovering from a replica that lags", func(t *testing.T, c *cluster) {
			o, _ := c.takeover(t, "o", "a", "b", "c")
			c.limitLinks("o", "a", "b")
			o.appendIntent(t, "x", 1)
			c.limitLinks("o")
			c.interceptCall = func(host zinniapond.HostName, _ string) error {
				if host == "a" {
					time.Sleep(20 * time.Millisecond) // so that c, which lags, answers first
				}
				return nil
			}
			_, seen := c.takeover(t, "p", "a", "c")
			assert.Equal(t, seen, []string{"x/1"})
		}},
		{"guards against a long log of a deposed owner being chosen", func(t *testing.T, c *cluster) {
			old, _ := c.takeover(t, "o", "a", "b", "c")
			c.limitLinks("o", "a")
			for n := range 5 {
				old.appendFails(t, "x", n)
			}
			c.limitLinks("o")
			o, _ := c.takeover(t, "p", "b", "c")
			o.appendIntent(t, "x", 9)
			c.limitLinks("p")
			_, seen := c.takeover(t, "q", "a", "c")
			assert.Equal(t, seen, []string{"x/9"})
		}},
		{"guards against records of an earlier epoch being shown before one of the new epoch holds them", func(t *testing.T, c *cluster) {
			first, _ := c.takeover(t, "o", "a", "b", "c")
			c.limitLinks("o", "a")
			first.appendFails(t, "x", 1)
			c.limitLinks("o")
			second, _ := c.takeover(t, "p", "b", "c")
			c.limitLinks("p", "b")
			second.appendFails(t, "x", 2)
			c.limitLinks("p")
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
			s.scenario(t, c)
		})
	}
}

// isVoting reports whether a replica counts towards a majority.
func (c *cluster) isVoting(t testing.TB, host zinniapond.HostName) bool {
	var reply zinniapond.ReadReply
	assert.NoError(t, c.stores[host].store.Read(&zinniapond.ReadRequest{FromIndex: 1, MaxEntries: 1}, &reply))
	return reply.Voting
}
