// Package disk keeps records in segment files. Appends that come while a sync
// runs share the next one. Records are never changed; segments are dropped
// whole.
package disk

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/google/uuid"

	"zinniapond.example/zinniapond"
)

const (
	// headSize is a record's length and CRC-32C, four bytes each.
	headSize = 8
	// recordMost bounds a record; a longer length is damage.
	recordMost = 64 << 20
	// defaultSegment is the size from which a new segment begins. Space comes
	// back by whole segments.
	defaultSegment = 4 << 20
	identityName   = "identity"
	suffix         = ".seg"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log is a folder of segments. The exported fields are set before Open.
type Log struct {
	Folder string
	// Segment is the size in bytes from which a new segment begins; 0 for the
	// default.
	Segment int64

	id      zinniapond.DiskID
	pending chan *appending

	mu      sync.Mutex
	files   map[uint32]*os.File
	current uint32
	size    int64
}

// place is where a record is.
type place struct {
	Segment uint32
	Offset  int64
	Size    int
}

// appending is a group of records that waits for its sync.
type appending struct {
	records [][]byte
	places  []place
	done    chan error
}

// Open opens the folder, or creates it with a new disk id, and passes each
// record to each. The end of a segment that a crash left torn is ignored: it was
// never acknowledged.
func (l *Log) Open(each func(record []byte, segment uint32, offset int64)) error {
	if l.Segment == 0 {
		l.Segment = defaultSegment
	}
	l.files = make(map[uint32]*os.File)
	l.pending = make(chan *appending, 1024)
	if err := os.MkdirAll(l.Folder, 0o700); err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	if err := l.identify(); err != nil {
		return err
	}
	numbers, err := l.list()
	if err != nil {
		return err
	}
	for _, n := range numbers {
		f, err := os.OpenFile(l.path(n), os.O_RDWR, 0)
		if err != nil {
			return fmt.Errorf("open segment: %w", err)
		}
		l.files[n] = f
		if err := scan(f, func(record []byte, offset int64) { each(record, n, offset) }); err != nil {
			return fmt.Errorf("read segment %d: %w", n, err)
		}
		l.current = n
	}
	return nil
}

// identify reads the id of the folder, or draws one.
func (l *Log) identify() error {
	path := filepath.Join(l.Folder, identityName)
	text, err := os.ReadFile(path)
	if err == nil && len(text) == len(uuid.Nil.String()) {
		l.id = zinniapond.DiskID(text)
		return nil
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("read disk id: %w", err)
	}
	// A torn id was never told to anyone: the folder is synced before its use.
	l.id = zinniapond.DiskID(uuid.NewString())
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("write disk id: %w", err)
	}
	_, err = f.WriteString(string(l.id))
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return fmt.Errorf("write disk id: %w", err)
	}
	return l.syncFolder()
}

func (l *Log) syncFolder() error {
	d, err := os.Open(l.Folder)
	if err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	return errors.Join(d.Sync(), d.Close())
}

// ID returns the id of the folder.
func (l *Log) ID() zinniapond.DiskID { return l.id }

func (l *Log) path(n uint32) string { return filepath.Join(l.Folder, fmt.Sprintf("%08d%s", n, suffix)) }

func (l *Log) list() ([]uint32, error) {
	entries, err := os.ReadDir(l.Folder)
	if err != nil {
		return nil, fmt.Errorf("list segments: %w", err)
	}
	var numbers []uint32
	for _, e := range entries {
		digits, ok := strings.CutSuffix(e.Name(), suffix)
		n, err := strconv.ParseUint(digits, 10, 32)
		if ok && err == nil {
			numbers = append(numbers, uint32(n))
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

// scan passes the records of a segment to each, up to the first that is not
// whole.
func scan(f *os.File, each func(record []byte, offset int64)) error {
	data, err := io.ReadAll(f)
	if err != nil {
		return err
	}
	for at := int64(0); ; {
		record, ok := parse(data[at:])
		if !ok {
			return nil
		}
		each(record, at)
		at += int64(headSize + len(record))
	}
}

func parse(data []byte) ([]byte, bool) {
	if len(data) < headSize {
		return nil, false
	}
	size := int64(binary.LittleEndian.Uint32(data))
	if size == 0 || size > recordMost || size > int64(len(data)-headSize) {
		return nil, false
	}
	record := data[headSize : headSize+size]
	return record, crc32.Checksum(record, castagnoli) == binary.LittleEndian.Uint32(data[4:])
}

// Run writes and syncs until ctx is done.
func (l *Log) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-l.pending:
			group := []*appending{first}
			for more := true; more; {
				select {
				case next := <-l.pending:
					group = append(group, next)
				default:
					more = false
				}
			}
			err := l.write(group)
			for _, a := range group {
				a.done <- err
			}
		}
	}
}

// write appends a group and syncs it. After a failure the segment may end torn,
// so the next group begins a new one.
func (l *Log) write(group []*appending) error {
	f, number, size, err := l.segment()
	if err != nil {
		return err
	}
	var data []byte
	for _, a := range group {
		for _, r := range a.records {
			a.places = append(a.places, place{number, size + int64(len(data)), len(r)})
			data = binary.LittleEndian.AppendUint32(data, uint32(len(r)))
			data = binary.LittleEndian.AppendUint32(data, crc32.Checksum(r, castagnoli))
			data = append(data, r...)
		}
	}
	_, err = f.WriteAt(data, size)
	if err == nil {
		err = f.Sync()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.size = size + int64(len(data))
	if err != nil {
		l.size = l.Segment
		return fmt.Errorf("append to segment %d: %w", number, err)
	}
	return nil
}

// segment returns the file to append to. The segments of an earlier process are
// only read.
func (l *Log) segment() (*os.File, uint32, int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.size > 0 && l.size < l.Segment {
		return l.files[l.current], l.current, l.size, nil
	}
	n := l.current + 1
	f, err := os.OpenFile(l.path(n), os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return nil, 0, 0, fmt.Errorf("create segment: %w", err)
	}
	l.files[n], l.current, l.size = f, n, 0
	return f, n, 0, nil
}

// Append returns the segment and the offset of each record once they are synced.
// After an error the records may or may not be there.
func (l *Log) Append(ctx context.Context, records [][]byte) (segments []uint32, offsets []int64, err error) {
	a := &appending{records: records, done: make(chan error, 1)}
	select {
	case l.pending <- a:
	case <-ctx.Done():
		return nil, nil, fmt.Errorf("append to segment: %w", ctx.Err())
	}
	select {
	case err = <-a.done:
	case <-ctx.Done():
		return nil, nil, fmt.Errorf("append to segment: %w", ctx.Err())
	}
	if err != nil {
		return nil, nil, err
	}
	for _, p := range a.places {
		segments, offsets = append(segments, p.Segment), append(offsets, p.Offset)
	}
	return segments, offsets, nil
}

// Read returns the record at a place.
func (l *Log) Read(segment uint32, offset int64) ([]byte, error) {
	l.mu.Lock()
	f := l.files[segment]
	l.mu.Unlock()
	if f == nil {
		return nil, fmt.Errorf("read segment %d: %w", segment, zinniapond.ErrNotFound)
	}
	head := make([]byte, headSize)
	if _, err := f.ReadAt(head, offset); err != nil {
		return nil, fmt.Errorf("read segment %d: %w", segment, err)
	}
	data := make([]byte, headSize+min(int64(binary.LittleEndian.Uint32(head)), recordMost))
	if _, err := f.ReadAt(data, offset); err != nil {
		return nil, fmt.Errorf("read segment %d: %w", segment, err)
	}
	record, ok := parse(data)
	if !ok {
		return nil, fmt.Errorf("read segment %d at %d: %w", segment, offset, zinniapond.ErrCorrupt)
	}
	return record, nil
}

// Drop removes the segments for which spent returns true, but for the one that
// is written.
func (l *Log) Drop(spent func(segment uint32) bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var err error
	for n, f := range l.files {
		if n == l.current || !spent(n) {
			continue
		}
		delete(l.files, n)
		err = errors.Join(err, f.Close(), os.Remove(l.path(n)))
	}
	return err
}

// Close closes the files.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var err error
	for n, f := range l.files {
		delete(l.files, n)
		err = errors.Join(err, f.Close())
	}
	return err
}
