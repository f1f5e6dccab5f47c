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

func appendRecords(t testing.TB, w *Writer, epoch zinniapond.Epoch, records ...zinniapond.Record) {
	t.Helper()
	assert.NoError(t, w.Append(ctx, time.Now(), 0, epoch, records...))
}

func TestWriter(t *testing.T) {
	t.Run("guards against a single replica losing records over a restart", func(t *testing.T) {
		c := newCluster(t, "a")
		defer c.stop()
		each, seen := collectReasons()
		a := c.assign("o", "a")
		w := c.newWriter("o", testWait)
		assert.NoError(t, w.Recover(ctx, time.Now(), a, each))
		appendRecords(t, w, a.Epoch, newRecord(zinniapond.RecordOpen, "p", 1), newRecord(zinniapond.RecordIntent, "p", 2))
		c.stopStore("a", false)
		c.startStore("a")
		appendRecords(t, w, a.Epoch, newRecord(zinniapond.RecordResult, "p", 3))
		assert.NoError(t, w.Recover(ctx, time.Now(), a, each))
		assert.Equal(t, *seen, []string{"p/1", "p/2", "p/3"})
		assert.Equal(t, c.history(t, w, "p"), []string{"p/1", "p/2", "p/3"})
	})
	t.Run("guards against an append of a fenced owner being acknowledged", func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stop()
		each, seen := collectReasons()
		first := c.assign("o", "a", "b", "c")
		w := c.newWriter("o", testWait)
		assert.NoError(t, w.Recover(ctx, time.Now(), first, each))
		appendRecords(t, w, first.Epoch, newRecord(zinniapond.RecordOpen, "p", 1))
		second := c.assign("n")
		x := c.newWriter("n", testWait)
		assert.NoError(t, x.Recover(ctx, time.Now(), second, each))
		assert.Equal(t, *seen, []string{"p/1"})
		err := w.Append(ctx, time.Now(), 0, first.Epoch, newRecord(zinniapond.RecordIntent, "p", 2))
		assert.ErrorIs(t, err, zinniapond.ErrFenced)
		appendRecords(t, x, second.Epoch, newRecord(zinniapond.RecordIntent, "p", 3))
		assert.Equal(t, c.history(t, x, "p"), []string{"p/1", "p/3"})
	})
	t.Run("guards against two processes of one host writing under one assignment", func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stop()
		first, _ := c.takeover(t, "o", "a", "b", "c")
		each, _ := collectReasons()
		w := c.newWriter("o", testWait)
		assert.NoError(t, w.Recover(ctx, time.Now(), c.View().Assignments[0], each))
		first.appendFails(t, "x", 1)
		appendRecords(t, w, first.epoch, newRecord(zinniapond.RecordOpen, "x", 2))
		assert.Equal(t, c.history(t, w, "x"), []string{"x/2"})
	})
	t.Run("guards against an uncertain append being lost by a later one that succeeds", func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stop()
		each, _ := collectReasons()
		a := c.assign("o", "a", "b", "c")
		w := c.newWriter("o", testWait)
		assert.NoError(t, w.Recover(ctx, time.Now(), a, each))
		c.stopStore("b", false)
		c.stopStore("c", false)
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		err := w.Append(short, time.Now(), 0, a.Epoch, newRecord(zinniapond.RecordOpen, "p", 1))
		assert.ErrorIs(t, err, zinniapond.ErrNoQuorum)
		c.startStore("b")
		appendRecords(t, w, a.Epoch, newRecord(zinniapond.RecordIntent, "p", 2))
		assert.Equal(t, c.history(t, w, "p"), []string{"p/1", "p/2"})
	})
}

func TestRepair(t *testing.T) {
	t.Run("guards against a damaged replica not being rebuilt from its peers", func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stop()
		o, _ := c.takeover(t, "o", "a", "b", "c")
		for n := range 20 {
			o.appendIntent(t, "x", n)
		}
		assert.Eventually(t, testWait, "a has all", func() bool { return len(c.heldReasons(t, "a", "x")) == 20 })
		c.stopStore("a", false)
		path := filepath.Join(c.stores["a"].folder, "journal.db")
		data, err := os.ReadFile(path)
		assert.NoError(t, err)
		assert.NoError(t, os.WriteFile(path, bytes.ReplaceAll(data, []byte("x/7"), []byte("x/8")), 0o600))
		c.startStore("a")
		assert.True(t, !c.isVoting(t, "a"), "a damaged replica counts")
		assert.Eventually(t, testWait, "a is rebuilt", func() bool {
			return c.isVoting(t, "a") && len(c.heldReasons(t, "a", "x")) == 20
		})
		assert.Equal(t, c.heldReasons(t, "a", "x"), c.heldReasons(t, "b", "x"))
	})
	t.Run("guards against an idle replica that lost its log and is not missed until the next append", func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stop()
		o, _ := c.takeover(t, "o", "a", "b", "c")
		o.appendIntent(t, "x", 0)
		assert.Eventually(t, testWait, "a has all", func() bool { return len(c.heldReasons(t, "a", "x")) == 1 })
		// All entries are replicated by then, and only heartbeats follow.
		time.Sleep(3 * heartbeatInterval)
		c.stopStore("a", false)
		assert.NoError(t, os.Remove(filepath.Join(c.stores["a"].folder, "journal.db")))
		c.startStore("a")
		assert.Eventually(t, testWait, "a is rebuilt", func() bool {
			return c.isVoting(t, "a") && len(c.heldReasons(t, "a", "x")) == 1
		})
	})
	t.Run("guards against a replica that missed the removal of ended programs losing live ones", func(t *testing.T) {
		c := newCluster(t, "a", "b", "c")
		defer c.stop()
		o, _ := c.takeover(t, "o", "a", "b", "c")
		c.stopStore("c", false)
		for n := range 10 {
			o.appendIntent(t, "x", n)
			o.appendIntent(t, "y", n)
		}
		appendRecords(t, o.Writer, o.epoch, newRecord(zinniapond.RecordEnd, "y", 10))
		// The removed records are the last ones of the log.
		later := time.Now().Add(2 * time.Hour)
		assert.Eventually(t, testWait, "y is removed", func() bool {
			later = later.Add(time.Hour)
			assert.NoError(t, c.stores["a"].store.Compact(later))
			return c.heldReasons(t, "a", "y") == nil
		})
		c.limitLinks("o")
		c.startStore("c")
		p, seen := c.takeover(t, "p", "a", "c")
		assert.Equal(t, len(seen), 10)
		assert.Equal(t, c.history(t, p.Writer, "x"), seen)
		assert.Equal(t, c.heldReasons(t, "c", "x"), seen)
		assert.Equal(t, c.heldReasons(t, "c", "y"), nil)
	})
}

// heldReasons returns the reasons of a program's records on one replica.
func (c *cluster) heldReasons(t testing.TB, host zinniapond.HostName, program zinniapond.ProgramID) []string {
	t.Helper()
	var reply zinniapond.ReadReply
	assert.NoError(t, c.stores[host].store.Read(&zinniapond.ReadRequest{Program: program, FromIndex: 1}, &reply))
	var texts []string
	for _, e := range reply.Entries {
		r, err := decodeRecord(e)
		assert.NoError(t, err)
		texts = append(texts, r.Reason)
	}
	return texts
}
