package renew

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

const retention = 2 * time.Minute

var start = time.Unix(1000, 0)

// firstDue returns the time after the turn was stored at which a renewal is due; negative
// if none is before the end of the retention.
func firstDue(c Chain) time.Duration {
	for after := time.Duration(0); after <= retention; after += Interval {
		if c.IsDue(start.Add(after)) {
			return after
		}
	}
	return -1
}

func TestDue(t *testing.T) {
	chain := func(change func(*Chain)) Chain {
		c := Chain{StoredAt: start, Until: start.Add(retention)}
		change(&c)
		return c
	}
	retained := func(length time.Duration) func(*Chain) {
		return func(c *Chain) { c.RetainedUntil = start.Add(length) }
	}
	t.Run("guards against renewing what is retained for long enough", func(t *testing.T) {
		c := chain(retained(retention))
		assert.True(t, c.IsDone(), "not done")
		assert.Equal(t, firstDue(c), -1)
	})
	t.Run("guards against renewing early, and against renewing too late for a disk that does not answer", func(t *testing.T) {
		assert.Equal(t, firstDue(chain(retained(100*time.Second))), 40*time.Second)
		short := Chain{StoredAt: start, Until: start.Add(16 * time.Second), RetainedUntil: start.Add(15 * time.Second)}
		assert.True(t, !short.IsDue(start.Add(2*time.Second)) && short.IsDue(start.Add(3*time.Second)), "not %s before the end", minLead)
	})
	t.Run("guards against the same renewal by each disk with the turn, and against none if the first one has ended", func(t *testing.T) {
		before := time.Duration(-1)
		for rank := range maxRank + 1 {
			c := chain(func(c *Chain) { c.Rank = rank })
			due := firstDue(c)
			assert.True(t, due > before+3*Interval || rank == 0 && due == 0, "rank %d is due after %s", rank, due)
			before = due
		}
		assert.Equal(t, firstDue(chain(func(c *Chain) { c.Rank = 50 })), before)
	})
	t.Run("guards against the renewal for each turn of a conversation when only the last one needs it", func(t *testing.T) {
		c := chain(retained(100 * time.Second))
		last := firstDue(c)
		c.Continued = true
		assert.True(t, firstDue(c) > last+maxRank*rankDelay-Interval, "a continued turn is due after %s", firstDue(c))
	})
	t.Run("guards against a chain that is dropped while no disk says for how long it is retained", func(t *testing.T) {
		c := chain(func(c *Chain) { c.Rank = maxRank })
		assert.True(t, c.Announces(start), "the chain is renewed at once")
		at := start
		for ; c.Announces(at); at = at.Add(Interval) {
			assert.True(t, at.Before(start.Add(retention)), "the chain is never renewed")
		}
		assert.True(t, at.Sub(start) < zinniapond.RetentionSlack && c.IsDue(at), "renewed only after %s", at.Sub(start))
	})
	t.Run("guards against asking for what is known", func(t *testing.T) {
		c := chain(func(c *Chain) { c.KnownUntil = start.Add(100 * time.Second) })
		assert.True(t, !c.Announces(start), "it asks")
		assert.Equal(t, firstDue(c), 40*time.Second)
	})
	t.Run("guards against renewals for a turn that is no longer retained", func(t *testing.T) {
		assert.True(t, !chain(func(*Chain) {}).IsDue(start.Add(retention+Interval)), "due")
	})
}
