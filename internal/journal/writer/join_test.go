package writer

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// serve runs a writer's part that follows the assignments.
func (o *owner) serve(t testing.TB) {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- o.Run(o.context()) }()
	t.Cleanup(func() { o.stop(); assert.NoError(t, <-done) })
}

func TestJoin(t *testing.T) {
	t.Run("guards against a replacement that lacks records when a second store is lost after it", func(t *testing.T) {
		c := newCluster(t, "a", "b", "c", "d")
		defer c.stop()
		o, _ := c.takeover(t, "o", "a", "b", "c", "d")
		o.serve(t)
		for n := range 50 {
			o.put(t, "x", n)
		}
		c.halt("c", true)
		c.join("c", "d")
		for n := range 50 {
			o.put(t, "x", 50+n)
		}
		assert.Eventually(t, testWait, "d replaces c", func() bool {
			return c.View().Assignments[0].Replicas[2] == "d"
		})
		c.lose("a")
		c.reach("o")
		a := c.assign("p")
		assert.Equal(t, a.Replicas, []zinniapond.HostName{"a", "b", "d"})
		each, seen := collect()
		assert.NoError(t, c.writer("p", testWait).Recover(ctx, time.Now(), a, each))
		assert.Equal(t, len(*seen), 100)
	})
	t.Run("guards against the replacement of a store before its successor has the log", func(t *testing.T) {
		c := newCluster(t, "a", "b", "c", "d")
		defer c.stop()
		o, _ := c.takeover(t, "o", "a", "b", "c", "d")
		o.serve(t)
		o.put(t, "x", 1)
		c.reach("o", "a", "b", "c")
		c.join("c", "d")
		o.put(t, "x", 2)
		time.Sleep(3 * shortPause)
		assert.Equal(t, c.View().Assignments[0].Joining, "d")
	})
	t.Run("guards against an append on the old majority alone while the replacement is proposed", func(t *testing.T) {
		c := newCluster(t, "a", "b", "c", "d")
		defer c.stop()
		o, _ := c.takeover(t, "o", "a", "b", "c", "d")
		o.put(t, "x", 1)
		proposed, answer := make(chan struct{}), make(chan struct{})
		c.propose = func() { close(proposed); <-answer }
		defer close(answer)
		o.serve(t)
		c.join("c", "d")
		<-proposed
		c.reach("o", "a", "c") // a majority of a, b, c but not of a, b, d
		o.fail(t, "x", 2)
		c.reach("o", "a", "b") // a majority of both
		o.put(t, "x", 3)
	})
	t.Run("guards against an owner that lost the shard and got it back joining a store to its old log", func(t *testing.T) {
		c := newCluster(t, "a", "b", "c", "d")
		defer c.stop()
		old, _ := c.takeover(t, "o", "a", "b", "c", "d")
		old.put(t, "x", 1)
		c.reach("o")
		p, _ := c.takeover(t, "p", "b", "c")
		p.put(t, "x", 2)
		c.assign("o")
		c.join("c", "d")
		old.serve(t)
		c.reach("o", "a", "d")
		time.Sleep(3 * shortPause)
		_, err := old.log(0, c.View().Assignments[0].Epoch)
		assert.ErrorIs(t, err, zinniapond.ErrFenced)
	})
	t.Run("guards against a lost replacement command leaving the shard without its new replica", func(t *testing.T) {
		c := newCluster(t, "a", "b", "c", "d")
		defer c.stop()
		o, _ := c.takeover(t, "o", "a", "b", "c", "d")
		o.serve(t)
		c.halt("c", true)
		c.refuse = 2
		c.join("c", "d")
		assert.Eventually(t, testWait, "d replaces c", func() bool {
			return c.View().Assignments[0].Replicas[2] == "d"
		})
		assert.Eventually(t, testWait, "the new epoch is held", func() bool {
			_, err := o.log(0, c.View().Assignments[0].Epoch)
			return err == nil
		})
		put(t, o.Writer, c.View().Assignments[0].Epoch, record(zinniapond.RecordOpen, "x", 1))
	})
}
