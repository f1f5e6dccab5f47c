package disk

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"testing"

	"zinniapond.example/zinniapond/internal/test/assert"
)

// open opens a log with segments of 64 bytes, and returns it with the records that
// were on the disk.
func open(t *testing.T, folder string) (*Log, []string) {
	t.Helper()
	l := &Log{Folder: folder, SegmentSize: 64}
	var records []string
	assert.NoError(t, l.Open(func(r []byte, _ uint32, _ int64) { records = append(records, string(r)) }))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
		assert.NoError(t, l.Close())
	})
	return l, records
}

func write(t *testing.T, l *Log, records ...string) []uint32 {
	t.Helper()
	var data [][]byte
	for _, r := range records {
		data = append(data, []byte(r))
	}
	segments, offsets, err := l.Append(context.Background(), data)
	assert.NoError(t, err)
	for i, r := range records {
		got, err := l.Read(segments[i], offsets[i])
		assert.NoError(t, err)
		assert.Equal(t, string(got), r)
	}
	return segments
}

// lastSegment returns the path of the newest segment file.
func lastSegment(t *testing.T, folder string) string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(folder, "*"+segmentSuffix))
	assert.NoError(t, err)
	return names[len(names)-1]
}

func TestLog(t *testing.T) {
	t.Run("guards against records lost over a restart", func(t *testing.T) {
		folder := t.TempDir()
		first, _ := open(t, folder)
		write(t, first, "one", "two")
		write(t, first, "three")
		again, records := open(t, folder)
		assert.Equal(t, fmt.Sprint(records), "[one two three]")
		assert.Equal(t, again.ID(), first.ID())
	})
	t.Run("guards against a torn tail that hides what was synced before it", func(t *testing.T) {
		folder := t.TempDir()
		l, _ := open(t, folder)
		write(t, l, "one")
		f, err := os.OpenFile(lastSegment(t, folder), os.O_WRONLY|os.O_APPEND, 0)
		assert.NoError(t, err)
		_, err = f.Write([]byte{200, 0, 0, 0, 1, 2, 3, 4, 'x'})
		assert.NoError(t, err)
		assert.NoError(t, f.Close())
		again, records := open(t, folder)
		assert.Equal(t, fmt.Sprint(records), "[one]")
		write(t, again, "two")
		_, records = open(t, folder)
		assert.Equal(t, fmt.Sprint(records), "[one two]")
	})
	t.Run("guards against accepting a corrupt record", func(t *testing.T) {
		folder := t.TempDir()
		l, _ := open(t, folder)
		write(t, l, "one")
		f, err := os.OpenFile(lastSegment(t, folder), os.O_WRONLY, 0)
		assert.NoError(t, err)
		_, err = f.WriteAt([]byte("X"), headerSize)
		assert.NoError(t, err)
		assert.NoError(t, f.Close())
		_, records := open(t, folder)
		assert.Equal(t, len(records), 0)
	})
	t.Run("guards against dropped segments that stay on the disk", func(t *testing.T) {
		folder := t.TempDir()
		l, _ := open(t, folder)
		old := write(t, l, "a record of some size that fills more than one half of a segment")
		write(t, l, "new")
		assert.NoError(t, l.RemoveSegments(func(s uint32) bool { return s == old[0] }))
		_, records := open(t, folder)
		assert.Equal(t, fmt.Sprint(records), "[new]")
	})
	t.Run("guards against two disks with one id", func(t *testing.T) {
		one, _ := open(t, t.TempDir())
		two, _ := open(t, t.TempDir())
		assert.True(t, one.ID() != two.ID(), "an empty folder has the id of another")
	})
}

// countSyncs returns the number of syncs in which records are written that are
// appended by as many goroutines at the same time, on one processor. No goroutine
// runs during a sync, as on a host where the waiting thread keeps the processor.
func countSyncs(t *testing.T, records int) int {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	syncs := 0
	l := &Log{Folder: t.TempDir(), Sync: func(*os.File) error {
		syncs++
		return nil
	}}
	assert.NoError(t, l.Open(func([]byte, uint32, int64) {}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- l.Run(ctx) }()
	var group sync.WaitGroup
	for range records {
		group.Go(func() {
			_, _, err := l.Append(context.Background(), [][]byte{[]byte("record")})
			assert.NoError(t, err)
		})
	}
	group.Wait()
	cancel()
	assert.NoError(t, <-done)
	assert.NoError(t, l.Close())
	return syncs
}

func TestGroupCommit(t *testing.T) {
	t.Run("guards against a sync for each of the records that are appended at the same time", func(t *testing.T) {
		const records, fewSyncs = 100, 10
		syncs := countSyncs(t, records)
		assert.True(t, syncs <= fewSyncs, "%d syncs for %d records", syncs, records)
	})
}

func TestFullDisk(t *testing.T) {
	folder := t.TempDir()
	l := &Log{Folder: folder, SegmentSize: 1 << 10}
	isFull := true
	l.Sync = func(*os.File) error {
		if isFull {
			return syscall.ENOSPC
		}
		return nil
	}
	assert.NoError(t, l.Open(func([]byte, uint32, int64) {}))
	group := func(text string) *appendRequest { return &appendRequest{records: [][]byte{[]byte(text)}} }
	isFull = false
	assert.NoError(t, l.write([]*appendRequest{group("before")}))
	isFull = true
	for range 1000 {
		assert.ErrorIs(t, l.write([]*appendRequest{group("refused, and longer than the others")}), syscall.ENOSPC)
	}
	t.Run("guards against an open file for each append that fails", func(t *testing.T) {
		assert.True(t, len(l.segmentFiles) <= 3, "%d segments", len(l.segmentFiles))
	})
	isFull = false
	after := group("after")
	assert.NoError(t, l.write([]*appendRequest{after}))
	t.Run("guards against records that are lost or changed once the disk has room again", func(t *testing.T) {
		got, err := l.Read(after.positions[0].Segment, after.positions[0].Offset)
		assert.NoError(t, err)
		assert.Equal(t, string(got), "after")
		assert.NoError(t, l.Close())
		var records []string
		reopened := &Log{Folder: folder}
		assert.NoError(t, reopened.Open(func(r []byte, _ uint32, _ int64) { records = append(records, string(r)) }))
		assert.NoError(t, reopened.Close())
		assert.Equal(t, records[0], "before")
		assert.Equal(t, records[len(records)-1], "after")
	})
}
