package disk

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/tidwall/wal"
	"go.etcd.io/bbolt"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func openLog(t testing.TB, folder string) *Log {
	l := &Log{Folder: folder, Cluster: "test", Host: "a"}
	assert.NoError(t, l.Open())
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// newRecords returns records of the given term with the indexes from and to and
// all between them.
func newRecords(term zinniapond.Term, from, to zinniapond.Index) []zinniapond.LogEntry {
	var entries []zinniapond.LogEntry
	for i := from; i <= to; i++ {
		entries = append(entries, zinniapond.LogEntry{Index: i, Term: term, Data: []byte(fmt.Sprintf("record %d", i))})
	}
	return entries
}

func TestLog(t *testing.T) {
	folder := t.TempDir()
	l := openLog(t, folder)
	reload := func(sub *testing.T) zinniapond.LogChange {
		assert.NoError(sub, l.Close())
		l = openLog(t, folder) // closed at the end of the whole test, not of the subtest
		loaded, err := l.Load()
		assert.NoError(sub, err)
		return loaded
	}
	t.Run("guards against losing a vote or a record when the process ends", func(t *testing.T) {
		assert.True(t, !l.IsFormed(), "an empty folder belongs to a cluster")
		voted := zinniapond.VoterKey{Name: "b", Disk: "x"}
		assert.NoError(t, l.Save(zinniapond.LogChange{Term: 2, VotedFor: voted, FromIndex: 1, Entries: newRecords(1, 1, 9)}))
		loaded := reload(t)
		assert.Equal(t, loaded.VotedFor, voted)
		assert.Equal(t, loaded.Entries, newRecords(1, 1, 9))
		assert.True(t, l.IsFormed(), "a folder with records belongs to no cluster")
	})
	t.Run("guards against records that stay after a truncation or are covered by a snapshot", func(t *testing.T) {
		s := &zinniapond.Snapshot{Index: 5, Term: 1, Data: []byte("state")}
		assert.NoError(t, l.Save(zinniapond.LogChange{Term: 3, FromIndex: 8, Entries: newRecords(3, 8, 8), Snapshot: s}))
		loaded := reload(t)
		assert.Equal(t, loaded.Snapshot, s)
		assert.Equal(t, loaded.Entries, append(newRecords(1, 6, 7), newRecords(3, 8, 8)...))
	})
	t.Run("guards against a folder of another host", func(sub *testing.T) {
		assert.NoError(sub, l.Close())
		other := &Log{Folder: folder, Cluster: "test", Host: "b"}
		assert.Contains(sub, fmt.Sprint(other.Open()), "belongs to host a")
		l = openLog(t, folder)
	})
	t.Run("guards against reading a damaged record as valid", func(t *testing.T) {
		assert.NoError(t, l.database.Update(func(tx *bbolt.Tx) error {
			b := tx.Bucket(logBucket)
			v := append([]byte(nil), b.Get(recordKey(7))...)
			v[len(v)-1] ^= 1
			return b.Put(recordKey(7), v)
		}))
		_, err := l.Load()
		assert.ErrorIs(t, err, zinniapond.ErrCorrupt)
		assert.Contains(t, err.Error(), "record 7")
	})
	t.Run("guards against a gap in the log", func(t *testing.T) {
		assert.NoError(t, l.database.Update(func(tx *bbolt.Tx) error { return tx.Bucket(logBucket).Delete(recordKey(7)) }))
		_, err := l.Load()
		assert.ErrorIs(t, err, zinniapond.ErrCorrupt)
	})
	t.Run("guards against a truncated file that crashes the process", func(t *testing.T) {
		assert.NoError(t, l.Close())
		assert.NoError(t, os.Truncate(filepath.Join(folder, "control.bolt"), 5000))
		damaged := &Log{Folder: folder, Cluster: "test", Host: "a"}
		assert.ErrorIs(t, damaged.Open(), zinniapond.ErrCorrupt)
	})
}

// BenchmarkAppend compares synced appends of batches to bbolt, with 1,000 records
// stored before, and to a write-ahead log.
func BenchmarkAppend(b *testing.B) {
	data := make([]byte, 1024)
	for _, size := range []int{1, 16, 64} {
		b.Run(fmt.Sprintf("store=bbolt/batch=%d", size), func(b *testing.B) {
			l := openLog(b, b.TempDir())
			assert.NoError(b, l.Save(zinniapond.LogChange{FromIndex: 1, Entries: newRecords(1, 1, 1000)}))
			next := zinniapond.Index(1001)
			for b.Loop() {
				batch := newRecords(1, next, next+zinniapond.Index(size)-1)
				for i := range batch {
					batch[i].Data = data
				}
				assert.NoError(b, l.Save(zinniapond.LogChange{Term: 1, FromIndex: next, Entries: batch}))
				next += zinniapond.Index(size)
			}
		})
		b.Run(fmt.Sprintf("store=wal/batch=%d", size), func(b *testing.B) {
			l, err := wal.Open(filepath.Join(b.TempDir(), "wal"), nil)
			assert.NoError(b, err)
			defer func() { _ = l.Close() }()
			next := uint64(1)
			for b.Loop() {
				batch := new(wal.Batch)
				for range size {
					batch.Write(next, data)
					next++
				}
				assert.NoError(b, l.WriteBatch(batch))
			}
		})
	}
}
