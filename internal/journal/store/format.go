package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"sort"

	"zinniapond.example/zinniapond"
)

// Buckets of the file.
var (
	// metaBucket: shard -> standing of the replica.
	metaBucket = []byte("meta")
	// spanBucket: shard, first index -> epoch.
	spanBucket = []byte("spans")
	// logBucket: shard, index -> entry.
	logBucket = []byte("log")
	// stepBucket: shard, program, index -> nothing.
	stepBucket = []byte("steps")
	// liveBucket: shard, program -> nothing, for programs that have not ended.
	liveBucket = []byte("live")
	// dueBucket: instant of arrival, shard, index -> nothing, for entries after
	// which something is removed.
	dueBucket = []byte("due")

	buckets = [][]byte{metaBucket, spanBucket, logBucket, stepBucket, liveBucket, dueBucket}
)

// maxProgram bounds the length of a program id. A key too long for bbolt would
// fail the whole transaction, with the appends of other shards in it.
const maxProgram = 1024

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// kinds numbers the record kinds in the file.
var kinds = []zinniapond.RecordKind{
	"", zinniapond.RecordOpen, zinniapond.RecordIntent, zinniapond.RecordResult,
	zinniapond.RecordEnd, zinniapond.RecordGrant, zinniapond.RecordEmpty,
}

func kindNumber(kind zinniapond.RecordKind) (byte, error) {
	for i, k := range kinds {
		if i > 0 && k == kind {
			return byte(i), nil
		}
	}
	return 0, fmt.Errorf("unknown record kind %q: %w", kind, zinniapond.ErrMalformed)
}

func shardKey(shard zinniapond.ShardID) []byte {
	return binary.BigEndian.AppendUint32(nil, uint32(shard))
}

func indexKey(shard zinniapond.ShardID, index zinniapond.Index) []byte {
	return binary.BigEndian.AppendUint64(shardKey(shard), uint64(index))
}

// indexOf returns the index at the end of a key.
func indexOf(key []byte) zinniapond.Index {
	return zinniapond.Index(binary.BigEndian.Uint64(key[len(key)-8:]))
}

func shardOf(key []byte) zinniapond.ShardID {
	return zinniapond.ShardID(binary.BigEndian.Uint32(key))
}

// programKey has the length before the id, so that no program's keys begin
// with the key of another.
func programKey(shard zinniapond.ShardID, program zinniapond.ProgramID) []byte {
	key := shardKey(shard)
	key = binary.BigEndian.AppendUint16(key, uint16(len(program)))
	return append(key, program...)
}

func stepKey(shard zinniapond.ShardID, program zinniapond.ProgramID, index zinniapond.Index) []byte {
	return binary.BigEndian.AppendUint64(programKey(shard, program), uint64(index))
}

// Layout of an entry: CRC-32C of key and rest (4), epoch (8), kind (1), length
// of the program id (2), program id, data.
const headerSize = 4 + 8 + 1 + 2

// encodeEntry returns the value of an entry. The key is part of the checksum,
// so that an entry at a wrong place is found as well.
func encodeEntry(shard zinniapond.ShardID, entry zinniapond.JournalEntry) ([]byte, error) {
	kind, err := kindNumber(entry.Kind)
	if err != nil {
		return nil, err
	}
	if len(entry.Program) > maxProgram {
		return nil, fmt.Errorf("program id of %d bytes: %w", len(entry.Program), zinniapond.ErrTooLarge)
	}
	value := make([]byte, 4, headerSize+len(entry.Program)+len(entry.Data))
	value = binary.BigEndian.AppendUint64(value, uint64(entry.Epoch))
	value = append(value, kind)
	value = binary.BigEndian.AppendUint16(value, uint16(len(entry.Program)))
	value = append(value, entry.Program...)
	value = append(value, entry.Data...)
	binary.BigEndian.PutUint32(value, entrySum(indexKey(shard, entry.Index), value))
	return value, nil
}

func entrySum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value[4:])
}

// decodeEntry checks and copies an entry.
func decodeEntry(key, value []byte) (zinniapond.JournalEntry, error) {
	kind, program, err := peekEntry(key, value)
	if err != nil {
		return zinniapond.JournalEntry{}, err
	}
	if binary.BigEndian.Uint32(value) != entrySum(key, value) {
		return zinniapond.JournalEntry{}, damaged(key, "checksum differs")
	}
	return zinniapond.JournalEntry{
		Index:   indexOf(key),
		Epoch:   zinniapond.Epoch(binary.BigEndian.Uint64(value[4:])),
		Kind:    kind,
		Program: zinniapond.ProgramID(program),
		Data:    append([]byte(nil), value[headerSize+len(program):]...),
	}, nil
}

// peekEntry returns kind and program of an entry without reading its data.
func peekEntry(key, value []byte) (zinniapond.RecordKind, []byte, error) {
	if len(value) < headerSize {
		return "", nil, damaged(key, "too short")
	}
	length := int(binary.BigEndian.Uint16(value[13:]))
	if int(value[12]) >= len(kinds) || value[12] == 0 || headerSize+length > len(value) {
		return "", nil, damaged(key, "header is not valid")
	}
	return kinds[value[12]], value[headerSize : headerSize+length], nil
}

func damaged(key []byte, problem string) error {
	return fmt.Errorf("journal shard %d index %d: %s: %w",
		shardOf(key), indexOf(key), problem, zinniapond.ErrCorrupt)
}

// standing is what a replica knows of one shard.
type standing struct {
	promised zinniapond.Epoch
	last     zinniapond.Index
	commit   zinniapond.Index
	voting   bool
	spans    []zinniapond.EpochSpan // ascending
}

const standingSize = 4 + 8 + 8 + 8 + 1

func (st *standing) encode(shard zinniapond.ShardID) []byte {
	value := make([]byte, 4, standingSize)
	value = binary.BigEndian.AppendUint64(value, uint64(st.promised))
	value = binary.BigEndian.AppendUint64(value, uint64(st.last))
	value = binary.BigEndian.AppendUint64(value, uint64(st.commit))
	var voting byte
	if st.voting {
		voting = 1
	}
	value = append(value, voting)
	binary.BigEndian.PutUint32(value, entrySum(shardKey(shard), value))
	return value
}

func (st *standing) decode(shard zinniapond.ShardID, value []byte) error {
	if value == nil {
		return nil
	}
	if len(value) != standingSize || binary.BigEndian.Uint32(value) != entrySum(shardKey(shard), value) {
		return fmt.Errorf("standing of journal shard %d: %w", shard, zinniapond.ErrCorrupt)
	}
	st.promised = zinniapond.Epoch(binary.BigEndian.Uint64(value[4:]))
	st.last = zinniapond.Index(binary.BigEndian.Uint64(value[12:]))
	st.commit = zinniapond.Index(binary.BigEndian.Uint64(value[20:]))
	st.voting = value[28] == 1
	return nil
}

// span returns the position of the span that has index, or -1.
func (st *standing) span(index zinniapond.Index) int {
	return sort.Search(len(st.spans), func(i int) bool { return st.spans[i].First > index }) - 1
}

// epochAt returns the epoch under which index was written; 0 before the first.
func (st *standing) epochAt(index zinniapond.Index) zinniapond.Epoch {
	if i := st.span(index); i >= 0 && index <= st.last {
		return st.spans[i].Epoch
	}
	return 0
}

// other returns the first held index in [from, to] not written under epoch.
func (st *standing) other(from, to zinniapond.Index, epoch zinniapond.Epoch) (zinniapond.Index, bool) {
	to = min(to, st.last)
	for from <= to {
		i := st.span(from)
		if i < 0 || st.spans[i].Epoch != epoch {
			return from, true
		}
		if i+1 == len(st.spans) {
			break
		}
		from = st.spans[i+1].First
	}
	return 0, false
}
