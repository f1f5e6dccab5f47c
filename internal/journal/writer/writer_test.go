package writer

import (
	"context"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

const testWait = 2 * time.Second

var ctx = context.Background()

func put(t testing.TB, w *Writer, epoch zinniapond.Epoch, records ...zinniapond.Record) {
	t.Helper()
	assert.NoError(t, w.Append(ctx, time.Now(), 0, epoch, records...))
}

func TestWriter(t *testing.T) {
	t.Run("guards against a single replica losing records over a restart", func(t *testing.T) {
		c := newCluster(t, "a")
		defer c.stop()
		each, seen := collect()
		a := c.assign("o", "a")
		w := c.writer("o", testWait)
		assert.NoError(t, w.Recover(ctx, time.Now(), a, each))
		put(t, w, a.Epoch, record(zinniapond.RecordOpen, "p", 1), record(zinniapond.RecordIntent, "p", 2))
		c.halt("a", false)
		c.start("a")
		put(t, w, a.Epoch, record(zinniapond.RecordResult, "p", 3))
		assert.NoError(t, w.Recover(ctx, time.Now(), a, each))
		assert.Equal(t, *seen, []string{"p/1", "p/2", "p/3"})
		assert.Equal(t, c.history(t, w, "p"), []string{"p/1", "p/2", "p/3"})
	})
	t.Run("guards against an append of a fenced owner being acknowledged", func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stop()
		each, seen := collect()
		first := c.assign("o", "a", "b", "c")
		w := c.writer("o", testWait)
		assert.NoError(t, w.Recover(ctx, time.Now(), first, each))
		put(t, w, first.Epoch, record(zinniapond.RecordOpen, "p", 1))
		second := c.assign("n")
		x := c.writer("n", testWait)
		assert.NoError(t, x.Recover(ctx, time.Now(), second, each))
		assert.Equal(t, *seen, []string{"p/1"})
		err := w.Append(ctx, time.Now(), 0, first.Epoch, record(zinniapond.RecordIntent, "p", 2))
		assert.ErrorIs(t, err, zinniapond.ErrFenced)
		put(t, x, second.Epoch, record(zinniapond.RecordIntent, "p", 3))
		assert.Equal(t, c.history(t, x, "p"), []string{"p/1", "p/3"})
	})
	t.Run("guards against an uncertain append being lost by a later one that succeeds", func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stop()
		each, _ := collect()
		a := c.assign("o", "a", "b", "c")
		w := c.writer("o", testWait)
		assert.NoError(t, w.Recover(ctx, time.Now(), a, each))
		c.halt("b", false)
		c.halt("c", false)
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		err := w.Append(short, time.Now(), 0, a.Epoch, record(zinniapond.RecordOpen, "p", 1))
		assert.ErrorIs(t, err, zinniapond.ErrNoQuorum)
		c.start("b")
		put(t, w, a.Epoch, record(zinniapond.RecordIntent, "p", 2))
		assert.Equal(t, c.history(t, w, "p"), []string{"p/1", "p/2"})
	})
}
