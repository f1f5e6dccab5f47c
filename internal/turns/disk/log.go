// Package disk stores records in an append-only log of segment files. Appends that
// arrive during a sync share the next sync (group commit). Records are never
// changed, and space is freed by removing whole segments.
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
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/google/uuid"

	"zinniapond.example/zinniapond"
)

const (
	// headerSize is the size of a record's header: length and CRC-32C, four bytes
	// each.
	headerSize = 8
	// maxRecordSize bounds a record in bytes; a greater length is taken for
	// corruption.
	maxRecordSize = 64 << 20
	// defaultSegmentSize is the size in bytes from which a new segment begins.
	// Space is freed only by whole segments.
	defaultSegmentSize = 4 << 20
	identityFile       = "identity"
	segmentSuffix      = ".seg"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Log is a log of records in a folder of segment files. The exported fields are set
// before Open.
type Log struct {
	Folder string
	// SegmentSize is the size in bytes from which a new segment begins; 0 for the
	// default.
	SegmentSize int64
	// Sync makes the content of a segment file durable; nil for (*os.File).Sync.
	Sync func(f *os.File) error

	id      zinniapond.DiskID
	pending chan *appendRequest

	mu             sync.Mutex
	segmentFiles   map[uint32]*os.File
	currentSegment uint32
	isUnused       bool // writes to the current segment have failed, and it has no other records
	currentSize    int64
}

// recordPosition is the position of a record in the log.
type recordPosition struct {
	Segment uint32
	Offset  int64
	Size    int
}

// appendRequest is one call of Append that waits for its sync.
type appendRequest struct {
	records   [][]byte
	positions []recordPosition
	done      chan error
}

// Open opens the folder, or creates it with a new disk id, and passes each record
// to each. A torn record at the end of a segment after a crash is ignored, as it was
// never acknowledged.
func (l *Log) Open(each func(record []byte, segment uint32, offset int64)) error {
	if l.SegmentSize == 0 {
		l.SegmentSize = defaultSegmentSize
	}
	if l.Sync == nil {
		l.Sync = (*os.File).Sync
	}
	l.segmentFiles = make(map[uint32]*os.File)
	l.pending = make(chan *appendRequest, 1024)
	if err := os.MkdirAll(l.Folder, 0o700); err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	if err := l.loadOrCreateID(); err != nil {
		return err
	}
	numbers, err := l.listSegments()
	if err != nil {
		return err
	}
	for _, n := range numbers {
		f, err := os.OpenFile(l.path(n), os.O_RDWR, 0)
		if err != nil {
			return fmt.Errorf("open segment: %w", err)
		}
		l.segmentFiles[n] = f
		if err := scan(f, func(record []byte, offset int64) { each(record, n, offset) }); err != nil {
			return fmt.Errorf("read segment %d: %w", n, err)
		}
		l.currentSegment = n
	}
	return nil
}

// loadOrCreateID reads the id of the folder, or generates and syncs a new one.
func (l *Log) loadOrCreateID() error {
	path := filepath.Join(l.Folder, identityFile)
	text, err := os.ReadFile(path)
	if err == nil && len(text) == len(uuid.Nil.String()) {
		l.id = zinniapond.DiskID(text)
		return nil
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("read disk id: %w", err)
	}
	// A torn id was never used, as the file and the folder are synced before the
	// id is used. So it can be replaced.
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

// ID returns the disk id that is stored in the folder. It is valid after Open.
func (l *Log) ID() zinniapond.DiskID { return l.id }

func (l *Log) path(n uint32) string {
	return filepath.Join(l.Folder, fmt.Sprintf("%08d%s", n, segmentSuffix))
}

func (l *Log) listSegments() ([]uint32, error) {
	entries, err := os.ReadDir(l.Folder)
	if err != nil {
		return nil, fmt.Errorf("list segments: %w", err)
	}
	var numbers []uint32
	for _, e := range entries {
		digits, ok := strings.CutSuffix(e.Name(), segmentSuffix)
		n, err := strconv.ParseUint(digits, 10, 32)
		if ok && err == nil {
			numbers = append(numbers, uint32(n))
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}

// scan passes the records of a segment to each, up to the first one that is
// truncated or whose checksum does not match.
func scan(f *os.File, each func(record []byte, offset int64)) error {
	data, err := io.ReadAll(f)
	if err != nil {
		return err
	}
	for position := int64(0); ; {
		record, ok := parse(data[position:])
		if !ok {
			return nil
		}
		each(record, position)
		position += int64(headerSize + len(record))
	}
}

func parse(data []byte) ([]byte, bool) {
	if len(data) < headerSize {
		return nil, false
	}
	size := int64(binary.LittleEndian.Uint32(data))
	if size == 0 || size > maxRecordSize || size > int64(len(data)-headerSize) {
		return nil, false
	}
	record := data[headerSize : headerSize+size]
	return record, crc32.Checksum(record, castagnoli) == binary.LittleEndian.Uint32(data[4:])
}

// Run writes and syncs the appended records until ctx is done.
func (l *Log) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-l.pending:
			// The first append wakes this goroutine before others that are ready to
			// run. They append now and share the sync.
			runtime.Gosched()
			group := []*appendRequest{first}
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

// write appends a group of requests and syncs it. After a failure the segment may
// end in a torn record, so the next group begins a new segment, or the same one again if
// it has no other records: a full disk would else cost an open file for each group.
func (l *Log) write(group []*appendRequest) error {
	f, number, size, err := l.writableSegment()
	if err != nil {
		return err
	}
	var data []byte
	for _, a := range group {
		for _, r := range a.records {
			a.positions = append(a.positions, recordPosition{number, size + int64(len(data)), len(r)})
			data = binary.LittleEndian.AppendUint32(data, uint32(len(r)))
			data = binary.LittleEndian.AppendUint32(data, crc32.Checksum(r, castagnoli))
			data = append(data, r...)
		}
	}
	_, err = f.WriteAt(data, size)
	if err == nil {
		err = l.Sync(f)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.currentSize, l.isUnused = size+int64(len(data)), false
	if err != nil {
		l.currentSize, l.isUnused = l.SegmentSize, size == 0
		return fmt.Errorf("append to segment %d: %w", number, err)
	}
	return nil
}

// writableSegment returns the file to append to. Segments of an earlier process are
// never appended to.
func (l *Log) writableSegment() (*os.File, uint32, int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.currentSize > 0 && l.currentSize < l.SegmentSize {
		return l.segmentFiles[l.currentSegment], l.currentSegment, l.currentSize, nil
	}
	if f := l.segmentFiles[l.currentSegment]; l.isUnused {
		if err := f.Truncate(0); err != nil {
			return nil, 0, 0, fmt.Errorf("empty segment: %w", err)
		}
		return f, l.currentSegment, 0, nil
	}
	n := l.currentSegment + 1
	f, err := os.OpenFile(l.path(n), os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return nil, 0, 0, fmt.Errorf("create segment: %w", err)
	}
	l.segmentFiles[n], l.currentSegment, l.currentSize = f, n, 0
	return f, n, 0, nil
}

// Append returns the segment and the offset of each record once all are synced.
// After an error the records may or may not be on the disk.
func (l *Log) Append(ctx context.Context, records [][]byte) (segments []uint32, offsets []int64, err error) {
	a := &appendRequest{records: records, done: make(chan error, 1)}
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
	for _, p := range a.positions {
		segments, offsets = append(segments, p.Segment), append(offsets, p.Offset)
	}
	return segments, offsets, nil
}

// Read returns the record at an offset of a segment.
func (l *Log) Read(segment uint32, offset int64) ([]byte, error) {
	l.mu.Lock()
	f := l.segmentFiles[segment]
	l.mu.Unlock()
	if f == nil {
		return nil, fmt.Errorf("read segment %d: %w", segment, zinniapond.ErrNotFound)
	}
	header := make([]byte, headerSize)
	if _, err := f.ReadAt(header, offset); err != nil {
		return nil, fmt.Errorf("read segment %d: %w", segment, err)
	}
	data := make([]byte, headerSize+min(int64(binary.LittleEndian.Uint32(header)), maxRecordSize))
	if _, err := f.ReadAt(data, offset); err != nil {
		return nil, fmt.Errorf("read segment %d: %w", segment, err)
	}
	record, ok := parse(data)
	if !ok {
		return nil, fmt.Errorf("read segment %d at %d: %w", segment, offset, zinniapond.ErrCorrupt)
	}
	return record, nil
}

// RemoveSegments removes the segments for which droppable returns true,
// except the one that is being written.
func (l *Log) RemoveSegments(droppable func(segment uint32) bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var err error
	for n, f := range l.segmentFiles {
		if n == l.currentSegment || !droppable(n) {
			continue
		}
		delete(l.segmentFiles, n)
		err = errors.Join(err, f.Close(), os.Remove(l.path(n)))
	}
	return err
}

// Close closes the segment files.
func (l *Log) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var err error
	for n, f := range l.segmentFiles {
		delete(l.segmentFiles, n)
		err = errors.Join(err, f.Close())
	}
	return err
}
