package writer

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// runWriter runs the writer's Run, which applies changes of assignments, until the
// test has ended.
func (o *owner) runWriter(t testing.TB) {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- o.Run(o.rootContext()) }()
	t.Cleanup(func() { o.stop(); assert.NoError(t, <-done) })
}

func TestJoin(t *testing.T) {
	t.Run("guards against a replacement that lacks records when a second store is lost after it", func(t *testing.T) {
		c := newCluster(t, "a", "b", "c", "d")
		defer c.stop()
		o, _ := c.takeover(t, "o", "a", "b", "c", "d")
		o.runWriter(t)
		for n := range 50 {
			o.appendIntent(t, "x", n)
		}
		c.stopStore("c", true)
		c.startReplacement("c", "d")
		for n := range 50 {
			o.appendIntent(t, "x", 50+n)
		}
		assert.Eventually(t, testWait, "d replaces c", func() bool {
			return c.View().Assignments[0].Replicas[2] == "d"
		})
		c.loseDisks("a")
		c.limitLinks("o")
		a := c.assign("p")
		assert.Equal(t, a.Replicas, []zinniapond.HostName{"a", "b", "d"})
		each, seen := collectReasons()
		assert.NoError(t, c.newWriter("p", testWait).Recover(ctx, time.Now(), a, each))
		assert.Equal(t, len(*seen), 100)
	})
	t.Run("guards against the replacement of a store before its successor has the log", func(t *testing.T) {
		c := newCluster(t, "a", "b", "c", "d")
		defer c.stop()
		o, _ := c.takeover(t, "o", "a", "b", "c", "d")
		o.runWriter(t)
		o.appendIntent(t, "x", 1)
		c.limitLinks("o", "a", "b", "c")
		c.startReplacement("c", "d")
		o.appendIntent(t, "x", 2)
		time.Sleep(3 * minBackoff)
		assert.Equal(t, c.View().Assignments[0].JoiningReplica, "d")
	})
	t.Run("guards against an append on the old majority alone while the replacement is proposed", func(t *testing.T) {
		c := newCluster(t, "a", "b", "c", "d")
		defer c.stop()
		o, _ := c.takeover(t, "o", "a", "b", "c", "d")
		o.appendIntent(t, "x", 1)
		proposed, answer := make(chan struct{}), make(chan struct{})
		c.beforePropose = func() { close(proposed); <-answer }
		defer close(answer)
		o.runWriter(t)
		c.startReplacement("c", "d")
		<-proposed
		c.limitLinks("o", "a", "c") // a majority of a, b, c but not of a, b, d
		o.appendFails(t, "x", 2)
		c.limitLinks("o", "a", "b") // a majority of both
		o.appendIntent(t, "x", 3)
	})
	t.Run("guards against an owner that lost the shard and got it back joining a store to its old log", func(t *testing.T) {
		c := newCluster(t, "a", "b", "c", "d")
		defer c.stop()
		old, _ := c.takeover(t, "o", "a", "b", "c", "d")
		old.appendIntent(t, "x", 1)
		c.limitLinks("o")
		p, _ := c.takeover(t, "p", "b", "c")
		p.appendIntent(t, "x", 2)
		c.assign("o")
		c.startReplacement("c", "d")
		old.runWriter(t)
		c.limitLinks("o", "a", "d")
		time.Sleep(3 * minBackoff)
		_, err := old.findLog(0, c.View().Assignments[0].Epoch)
		assert.ErrorIs(t, err, zinniapond.ErrFenced)
	})
	t.Run("guards against a lost replacement command leaving the shard without its new replica", func(t *testing.T) {
		c := newCluster(t, "a", "b", "c", "d")
		defer c.stop()
		o, _ := c.takeover(t, "o", "a", "b", "c", "d")
		o.runWriter(t)
		c.stopStore("c", true)
		c.droppedProposals = 2
		c.startReplacement("c", "d")
		assert.Eventually(t, testWait, "d replaces c", func() bool {
			return c.View().Assignments[0].Replicas[2] == "d"
		})
		assert.Eventually(t, testWait, "the new epoch is held", func() bool {
			_, err := o.findLog(0, c.View().Assignments[0].Epoch)
			return err == nil
		})
		appendRecords(t, o.Writer, c.View().Assignments[0].Epoch, newRecord(zinniapond.RecordOpen, "x", 1))
	})
}
