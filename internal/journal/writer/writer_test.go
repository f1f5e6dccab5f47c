package writer

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
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
	t.Run("guards against two processes of one host writing under one assignment", func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stop()
		first, _ := c.takeover(t, "o", "a", "b", "c")
		each, _ := collect()
		w := c.writer("o", testWait)
		assert.NoError(t, w.Recover(ctx, time.Now(), c.View().Assignments[0], each))
		first.fail(t, "x", 1)
		put(t, w, first.epoch, record(zinniapond.RecordOpen, "x", 2))
		assert.Equal(t, c.history(t, w, "x"), []string{"x/2"})
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

func TestRepair(t *testing.T) {
	t.Run("guards against a damaged replica not being rebuilt from its peers", func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stop()
		o, _ := c.takeover(t, "o", "a", "b", "c")
		for n := range 20 {
			o.put(t, "x", n)
		}
		assert.Eventually(t, testWait, "a has all", func() bool { return len(c.held(t, "a", "x")) == 20 })
		c.halt("a", false)
		path := filepath.Join(c.stores["a"].folder, "journal.db")
		data, err := os.ReadFile(path)
		assert.NoError(t, err)
		assert.NoError(t, os.WriteFile(path, bytes.ReplaceAll(data, []byte("x/7"), []byte("x/8")), 0o600))
		c.start("a")
		assert.True(t, !c.votes(t, "a"), "a damaged replica counts")
		assert.Eventually(t, testWait, "a is rebuilt", func() bool {
			return c.votes(t, "a") && len(c.held(t, "a", "x")) == 20
		})
		assert.Equal(t, c.held(t, "a", "x"), c.held(t, "b", "x"))
	})
	t.Run("guards against an idle replica that lost its log and is not missed until the next append", func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stop()
		o, _ := c.takeover(t, "o", "a", "b", "c")
		o.put(t, "x", 0)
		assert.Eventually(t, testWait, "a has all", func() bool { return len(c.held(t, "a", "x")) == 1 })
		// Everything that is news has been told by then.
		time.Sleep(3 * tellPause)
		c.halt("a", false)
		assert.NoError(t, os.Remove(filepath.Join(c.stores["a"].folder, "journal.db")))
		c.start("a")
		assert.Eventually(t, testWait, "a is rebuilt", func() bool {
			return c.votes(t, "a") && len(c.held(t, "a", "x")) == 1
		})
	})
	t.Run("guards against a replica that missed the removal of ended programs losing live ones", func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stop()
		o, _ := c.takeover(t, "o", "a", "b", "c")
		c.halt("c", false)
		for n := range 10 {
			o.put(t, "x", n)
			o.put(t, "y", n)
		}
		put(t, o.Writer, o.epoch, record(zinniapond.RecordEnd, "y", 10))
		// The removed records are the last ones of the log.
		later := time.Now().Add(2 * time.Hour)
		assert.Eventually(t, testWait, "y is removed", func() bool {
			later = later.Add(time.Hour)
			assert.NoError(t, c.stores["a"].store.Compact(later))
			return c.held(t, "a", "y") == nil
		})
		c.reach("o")
		c.start("c")
		p, seen := c.takeover(t, "p", "a", "c")
		assert.Equal(t, len(seen), 10)
		assert.Equal(t, c.history(t, p.Writer, "x"), seen)
		assert.Equal(t, c.held(t, "c", "x"), seen)
		assert.Equal(t, c.held(t, "c", "y"), nil)
	})
}

// held returns what one replica has of a program.
func (c *cluster) held(t testing.TB, host zinniapond.HostName, program zinniapond.ProgramID) []string {
	t.Helper()
	var reply zinniapond.ReadReply
	assert.NoError(t, c.stores[host].store.Read(&zinniapond.ReadRequest{Program: program, From: 1}, &reply))
	var texts []string
	for _, e := range reply.Entries {
		r, err := decode(e)
		assert.NoError(t, err)
		texts = append(texts, r.Reason)
	}
	return texts
}
