package store

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// openStore returns a running store and a function that stops it; log receives the
// log lines if it is not nil.
func openStore(t testing.TB, folder string, log *bytes.Buffer) (*Store, func()) {
	t.Helper()
	l := hclog.NewNullLogger()
	if log != nil {
		l = hclog.New(&hclog.LoggerOptions{Output: log})
	}
	s := &Store{Folder: folder, Retention: time.Hour, Logger: l, Clock: time.Now}
	assert.NoError(t, s.Open())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	return s, func() { cancel(); assert.NoError(t, <-done) }
}

// appendEntry appends an entry at the given index under epoch 1.
func appendEntry(t testing.TB, s *Store, shard zinniapond.ShardID, index zinniapond.Index, kind zinniapond.RecordKind, program, data string) {
	t.Helper()
	r := &zinniapond.AppendRequest{
		Shard: shard, Epoch: 1, PrevIndex: index - 1, PrevEpoch: min(zinniapond.Epoch(index)-1, 1), LastIndex: index,
		CommitIndex: index - 1, StartVoting: true,
		Entries: []zinniapond.JournalEntry{{
			Index: index, Epoch: 1, Kind: kind, Program: zinniapond.ProgramID(program), Data: []byte(data),
		}},
	}
	var reply zinniapond.AppendReply
	assert.NoError(t, s.Append(r, &reply))
	assert.True(t, reply.Accepted, "append of index %d refused", index)
}

// readData returns the data of a program's entries, or of those of all live programs
// if the program is empty.
func readData(t testing.TB, s *Store, shard zinniapond.ShardID, program string) ([]string, zinniapond.ReadReply) {
	t.Helper()
	var reply zinniapond.ReadReply
	r := &zinniapond.ReadRequest{Shard: shard, Program: zinniapond.ProgramID(program), FromIndex: 1, OnlyLive: program == ""}
	assert.NoError(t, s.Read(r, &reply))
	var data []string
	for _, e := range reply.Entries {
		data = append(data, string(e.Data))
	}
	return data, reply
}

// overwriteInFile replaces a text in the journal file wherever it occurs.
func overwriteInFile(t testing.TB, folder, old, text string) {
	t.Helper()
	path := filepath.Join(folder, fileName)
	data, err := os.ReadFile(path)
	assert.NoError(t, err)
	assert.True(t, bytes.Contains(data, []byte(old)), "%q is not in the file", old)
	assert.NoError(t, os.WriteFile(path, bytes.ReplaceAll(data, []byte(old), []byte(text)), 0o600))
}

func TestDamage(t *testing.T) {
	for _, d := range []struct{ name, old, text string }{
		{"guards against a damaged record being read", "second", "sEcond"},
		{
			"guards against a history without a record that the index has lost",
			string(stepKey(1, "program", 3)), string(stepKey(1, "program", 9)),
		},
		{"guards against a live program missing in a recovery", string(programKey(1, "program")), string(programKey(1, "prOgram"))},
	} {
		t.Run(d.name, func(t *testing.T) {
			folder := t.TempDir()
			s, stop := openStore(t, folder, nil)
			appendEntry(t, s, 1, 1, zinniapond.RecordOpen, "program", "first")
			appendEntry(t, s, 1, 2, zinniapond.RecordIntent, "program", "second")
			appendEntry(t, s, 1, 3, zinniapond.RecordResult, "program", "third")
			appendEntry(t, s, 2, 1, zinniapond.RecordOpen, "other", "whole")
			stop()
			overwriteInFile(t, folder, d.old, d.text)
			var log bytes.Buffer
			s, stop = openStore(t, folder, &log)
			defer stop()
			assert.Contains(t, log.String(), "damaged journal shard: shard=1")
			got, reply := readData(t, s, 1, "program")
			assert.Equal(t, got, nil)
			assert.True(t, !reply.Voting && reply.PromisedEpoch == 1, "replica counts: %+v", reply)
			got, reply = readData(t, s, 2, "other")
			assert.Equal(t, got, []string{"whole"})
			assert.True(t, reply.Voting, "the other shard does not count")
		})
	}
	t.Run("guards against keys out of order hanging the process", func(t *testing.T) {
		folder := t.TempDir()
		s, stop := openStore(t, folder, nil)
		for n := range zinniapond.Index(3) {
			appendEntry(t, s, 1, n+1, zinniapond.RecordIntent, "program", "x")
		}
		stop()
		overwriteInFile(t, folder, string(stepKey(1, "program", 2)), string(stepKey(1, "program", 9)))
		var log bytes.Buffer
		_, stop = openStore(t, folder, &log)
		defer stop()
		assert.Contains(t, log.String(), "damaged and moved aside")
	})
	t.Run("guards against a truncated file ending the process", func(t *testing.T) {
		folder := t.TempDir()
		s, stop := openStore(t, folder, nil)
		for n := range zinniapond.Index(50) {
			appendEntry(t, s, 1, n+1, zinniapond.RecordIntent, "program", strings.Repeat("x", 4000))
		}
		stop()
		assert.NoError(t, os.Truncate(filepath.Join(folder, fileName), 16384))
		var log bytes.Buffer
		s, stop = openStore(t, folder, &log)
		defer stop()
		assert.Contains(t, log.String(), "damaged and moved aside")
		_, reply := readData(t, s, 1, "program")
		assert.True(t, !reply.Voting, "replica counts")
	})
}

func TestCompact(t *testing.T) {
	t.Run("guards against the loss of a live program and the endless growth by ended ones", func(t *testing.T) {
		folder := t.TempDir()
		s, stop := openStore(t, folder, nil)
		appendEntry(t, s, 1, 1, zinniapond.RecordOpen, "live", "l1")
		appendEntry(t, s, 1, 2, zinniapond.RecordOpen, "over", "o1")
		appendEntry(t, s, 1, 3, zinniapond.RecordOpen, "again", "a1")
		appendEntry(t, s, 1, 4, zinniapond.RecordEnd, "over", "o2")
		appendEntry(t, s, 1, 5, zinniapond.RecordEnd, "again", "a2")
		appendEntry(t, s, 1, 6, zinniapond.RecordOpen, "again", "a3")
		appendEntry(t, s, 1, 7, zinniapond.RecordIntent, "live", "l2")
		appendEntry(t, s, 1, 8, zinniapond.RecordResult, "over", "late")
		appendEntry(t, s, 1, 9, zinniapond.RecordEmpty, "", "")
		assert.NoError(t, s.Compact(time.Now().Add(30*time.Minute)))
		got, _ := readData(t, s, 1, "over")
		assert.Equal(t, got, []string{"o1", "o2", "late"})
		assert.NoError(t, s.Compact(time.Now().Add(2*time.Hour)))
		stop()
		s, stop = openStore(t, folder, nil)
		defer stop()
		got, _ = readData(t, s, 1, "over")
		assert.Equal(t, got, nil)
		got, reply := readData(t, s, 1, "")
		assert.Equal(t, got, []string{"l1", "a3", "l2"})
		assert.True(t, reply.Voting && reply.LastIndex == 9, "restart lost the standing: %+v", reply)
	})
	t.Run("guards against the removal of a program whose end is not committed", func(t *testing.T) {
		s, stop := openStore(t, t.TempDir(), nil)
		defer stop()
		appendEntry(t, s, 1, 1, zinniapond.RecordOpen, "over", "o1")
		appendEntry(t, s, 1, 2, zinniapond.RecordEnd, "over", "o2")
		assert.NoError(t, s.Compact(time.Now().Add(2*time.Hour)))
		got, _ := readData(t, s, 1, "over")
		assert.Equal(t, got, []string{"o1", "o2"})
		appendEntry(t, s, 1, 3, zinniapond.RecordEmpty, "", "") // commits 2
		assert.NoError(t, s.Compact(time.Now().Add(4*time.Hour)))
		got, _ = readData(t, s, 1, "over")
		assert.Equal(t, got, nil)
	})
	t.Run("guards against a replica that keeps a diverged entry where the sender's was removed", func(t *testing.T) {
		s, stop := openStore(t, t.TempDir(), nil)
		defer stop()
		appendEntry(t, s, 1, 1, zinniapond.RecordEmpty, "", "")
		appendEntry(t, s, 1, 2, zinniapond.RecordOpen, "p", "p1")
		stale := &zinniapond.AppendRequest{
			Shard: 1, Epoch: 2, PrevIndex: 2, PrevEpoch: 1, LastIndex: 4, Entries: []zinniapond.JournalEntry{
				{Index: 3, Epoch: 2, Kind: zinniapond.RecordEmpty},
				{Index: 4, Epoch: 2, Kind: zinniapond.RecordIntent, Program: "p", Data: []byte("stale")},
			},
		}
		var reply zinniapond.AppendReply
		assert.NoError(t, s.Append(stale, &reply))
		// The new owner's indexes 3 and 4 were of epoch 1 and are removed.
		next := &zinniapond.AppendRequest{
			Shard: 1, Epoch: 3, PrevIndex: 2, PrevEpoch: 1, LastIndex: 6, Entries: []zinniapond.JournalEntry{
				{Index: 6, Epoch: 3, Kind: zinniapond.RecordEmpty},
			},
		}
		assert.NoError(t, s.Append(next, &reply))
		got, _ := readData(t, s, 1, "p")
		assert.Equal(t, got, []string{"p1"})
	})
}

func TestGroupCommit(t *testing.T) {
	t.Run("guards against one sync per append when many arrive at once", func(t *testing.T) {
		s, stop := openStore(t, t.TempDir(), nil)
		defer stop()
		var syncs int // written by the committing goroutine, read after stop
		s.AfterSync = func() { syncs++; time.Sleep(10 * time.Millisecond) }
		var group sync.WaitGroup
		for n := range zinniapond.ShardID(100) {
			group.Go(func() { appendEntry(t, s, n, 1, zinniapond.RecordOpen, "p", "x") })
		}
		group.Wait()
		assert.True(t, syncs < 20, "%d syncs for 100 appends", syncs)
	})
}

func TestHistory(t *testing.T) {
	t.Run("guards against a long history held in memory as a whole", func(t *testing.T) {
		s, stop := openStore(t, t.TempDir(), nil)
		defer stop()
		// 71 turns whose request bodies grow to 140,000 tokens of 4 bytes.
		const turns, most = 71, 140_000 * 4
		for n := range zinniapond.Index(turns) {
			body := strings.Repeat("x", int(n+1)*most/turns)
			appendEntry(t, s, 1, 2*n+1, zinniapond.RecordIntent, "p", body)
			appendEntry(t, s, 1, 2*n+2, zinniapond.RecordResult, "p", body[:most/turns])
		}
		var before, after runtime.MemStats
		var peak uint64
		runtime.GC()
		runtime.ReadMemStats(&before)
		from, count := zinniapond.Index(1), 0
		for from > 0 {
			var reply zinniapond.ReadReply
			assert.NoError(t, s.Read(&zinniapond.ReadRequest{Shard: 1, Program: "p", FromIndex: from}, &reply))
			count += len(reply.Entries)
			from = reply.NextIndex
			runtime.GC()
			runtime.ReadMemStats(&after)
			peak = max(peak, after.HeapAlloc)
			runtime.KeepAlive(&reply)
		}
		assert.Equal(t, count, 2*turns)
		t.Logf("history of 20 MB took %d bytes of memory", peak-before.HeapAlloc)
		assert.True(t, peak < before.HeapAlloc+4<<20, "history took %d bytes of memory", peak-before.HeapAlloc)
	})
}
