package store

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"sort"

	"zinniapond.example/zinniapond"
)

// The buckets of the file, with their keys and values.
var (
	// metaBucket: shard -> state of the replica.
	metaBucket = []byte("meta")
	// spanBucket: shard, first index of an epoch -> epoch.
	spanBucket = []byte("spans")
	// logBucket: shard, index -> entry.
	logBucket = []byte("log")
	// stepBucket: shard, program, index -> empty; the index of entries by program.
	stepBucket = []byte("steps")
	// liveBucket: shard, program -> empty, for programs that have not ended.
	liveBucket = []byte("live")
	// dueBucket: time of arrival, shard, index -> empty, for the entries that allow
	// the removal of records after the retention.
	dueBucket = []byte("due")

	buckets = [][]byte{metaBucket, spanBucket, logBucket, stepBucket, liveBucket, dueBucket}
)

// maxProgramIDBytes bounds the length of a program id. A key too long for bbolt
// would fail the whole transaction, with the appends of other shards in it.
const maxProgramIDBytes = 1024

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// recordKinds lists the record kinds at the numbers that stand for them in the file.
var recordKinds = []zinniapond.RecordKind{
	"", zinniapond.RecordOpen, zinniapond.RecordIntent, zinniapond.RecordResult,
	zinniapond.RecordEnd, zinniapond.RecordGrant, zinniapond.RecordEmpty,
}

func kindNumber(kind zinniapond.RecordKind) (byte, error) {
	for i, k := range recordKinds {
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

// indexOf returns the index, which is the last part of a key.
func indexOf(key []byte) zinniapond.Index {
	return zinniapond.Index(binary.BigEndian.Uint64(key[len(key)-8:]))
}

func shardOf(key []byte) zinniapond.ShardID {
	return zinniapond.ShardID(binary.BigEndian.Uint32(key))
}

// programKey puts the length before the id, so that the key of one program is no
// prefix of the keys of another.
func programKey(shard zinniapond.ShardID, program zinniapond.ProgramID) []byte {
	key := shardKey(shard)
	key = binary.BigEndian.AppendUint16(key, uint16(len(program)))
	return append(key, program...)
}

func stepKey(shard zinniapond.ShardID, program zinniapond.ProgramID, index zinniapond.Index) []byte {
	return binary.BigEndian.AppendUint64(programKey(shard, program), uint64(index))
}

// Layout of an entry, with sizes in bytes: CRC-32C of the key and of all that
// follows (4), epoch (8), kind (1), length of the program id (2), program id, data.
const entryHeaderSize = 4 + 8 + 1 + 2

// encodeEntry returns the value of an entry. The checksum covers the key, so that
// an entry under a wrong key is found as well.
func encodeEntry(shard zinniapond.ShardID, entry zinniapond.JournalEntry) ([]byte, error) {
	kind, err := kindNumber(entry.Kind)
	if err != nil {
		return nil, err
	}
	if len(entry.Program) > maxProgramIDBytes {
		return nil, fmt.Errorf("program id of %d bytes: %w", len(entry.Program), zinniapond.ErrTooLarge)
	}
	value := make([]byte, 4, entryHeaderSize+len(entry.Program)+len(entry.Data))
	value = binary.BigEndian.AppendUint64(value, uint64(entry.Epoch))
	value = append(value, kind)
	value = binary.BigEndian.AppendUint16(value, uint16(len(entry.Program)))
	value = append(value, entry.Program...)
	value = append(value, entry.Data...)
	binary.BigEndian.PutUint32(value, entryChecksum(indexKey(shard, entry.Index), value))
	return value, nil
}

func entryChecksum(key, value []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value[4:])
}

// decodeEntry verifies the checksum of an entry and returns a copy of the entry.
func decodeEntry(key, value []byte) (zinniapond.JournalEntry, error) {
	kind, program, err := peekEntry(key, value)
	if err != nil {
		return zinniapond.JournalEntry{}, err
	}
	if binary.BigEndian.Uint32(value) != entryChecksum(key, value) {
		return zinniapond.JournalEntry{}, corruptError(key, "checksum differs")
	}
	return zinniapond.JournalEntry{
		Index:   indexOf(key),
		Epoch:   zinniapond.Epoch(binary.BigEndian.Uint64(value[4:])),
		Kind:    kind,
		Program: zinniapond.ProgramID(program),
		Data:    append([]byte(nil), value[entryHeaderSize+len(program):]...),
	}, nil
}

// peekEntry returns kind and program of an entry, without a check of its checksum.
// The program is a part of value.
func peekEntry(key, value []byte) (zinniapond.RecordKind, []byte, error) {
	if len(value) < entryHeaderSize {
		return "", nil, corruptError(key, "too short")
	}
	length := int(binary.BigEndian.Uint16(value[13:]))
	if int(value[12]) >= len(recordKinds) || value[12] == 0 || entryHeaderSize+length > len(value) {
		return "", nil, corruptError(key, "header is not valid")
	}
	return recordKinds[value[12]], value[entryHeaderSize : entryHeaderSize+length], nil
}

func corruptError(key []byte, problem string) error {
	return fmt.Errorf("journal shard %d index %d: %s: %w",
		shardOf(key), indexOf(key), problem, zinniapond.ErrCorrupt)
}

// replicaState is the state of one shard's replica, beside its entries.
type replicaState struct {
	promisedEpoch zinniapond.Epoch
	lastIndex     zinniapond.Index
	commitIndex   zinniapond.Index
	voting        bool
	spans         []zinniapond.EpochSpan // ascending
}

const stateSize = 4 + 8 + 8 + 8 + 1

func (st *replicaState) encode(shard zinniapond.ShardID) []byte {
	value := make([]byte, 4, stateSize)
	value = binary.BigEndian.AppendUint64(value, uint64(st.promisedEpoch))
	value = binary.BigEndian.AppendUint64(value, uint64(st.lastIndex))
	value = binary.BigEndian.AppendUint64(value, uint64(st.commitIndex))
	var voting byte
	if st.voting {
		voting = 1
	}
	value = append(value, voting)
	binary.BigEndian.PutUint32(value, entryChecksum(shardKey(shard), value))
	return value
}

func (st *replicaState) decode(shard zinniapond.ShardID, value []byte) error {
	if value == nil {
		return nil
	}
	if len(value) != stateSize || binary.BigEndian.Uint32(value) != entryChecksum(shardKey(shard), value) {
		return fmt.Errorf("state of journal shard %d: %w", shard, zinniapond.ErrCorrupt)
	}
	st.promisedEpoch = zinniapond.Epoch(binary.BigEndian.Uint64(value[4:]))
	st.lastIndex = zinniapond.Index(binary.BigEndian.Uint64(value[12:]))
	st.commitIndex = zinniapond.Index(binary.BigEndian.Uint64(value[20:]))
	st.voting = value[28] == 1
	return nil
}

// spanPosition returns the position in spans of the span that holds index, or -1.
func (st *replicaState) spanPosition(index zinniapond.Index) int {
	return sort.Search(len(st.spans), func(i int) bool { return st.spans[i].FirstIndex > index }) - 1
}

// epochAt returns the epoch under which index was written; 0 if the replica does
// not hold it.
func (st *replicaState) epochAt(index zinniapond.Index) zinniapond.Epoch {
	if i := st.spanPosition(index); i >= 0 && index <= st.lastIndex {
		return st.spans[i].Epoch
	}
	return 0
}

// firstOtherEpoch returns the first index in [from, to] that the replica holds under
// another epoch.
func (st *replicaState) firstOtherEpoch(from, to zinniapond.Index, epoch zinniapond.Epoch) (zinniapond.Index, bool) {
	to = min(to, st.lastIndex)
	for from <= to {
		i := st.spanPosition(from)
		if i < 0 || st.spans[i].Epoch != epoch {
			return from, true
		}
		if i+1 == len(st.spans) {
			break
		}
		from = st.spans[i+1].FirstIndex
	}
	return 0, false
}
