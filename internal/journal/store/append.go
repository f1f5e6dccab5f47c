package store

import (
	"encoding/binary"
	"fmt"
	"time"

	bolt "go.etcd.io/bbolt"

	"zinniapond.example/zinniapond"
)

// shardState returns the cached state of a shard, or loads it. Only the goroutine
// that commits calls it, in a transaction that may change the state.
func (s *Store) shardState(tx *bolt.Tx, shard zinniapond.ShardID) (*replicaState, error) {
	if st, ok := s.states[shard]; ok {
		return st, nil
	}
	st, err := loadState(tx, shard)
	if err != nil {
		return nil, err
	}
	s.states[shard] = st
	return st, nil
}

func loadState(tx *bolt.Tx, shard zinniapond.ShardID) (*replicaState, error) {
	st := new(replicaState)
	if err := st.decode(shard, tx.Bucket(metaBucket).Get(shardKey(shard))); err != nil {
		return nil, err
	}
	c := tx.Bucket(spanBucket).Cursor()
	for k, v := c.Seek(shardKey(shard)); k != nil && shardOf(k) == shard; k, v = c.Next() {
		st.spans = append(st.spans, zinniapond.EpochSpan{
			FirstIndex: indexOf(k), Epoch: zinniapond.Epoch(binary.BigEndian.Uint64(v)),
		})
	}
	return st, nil
}

func saveState(tx *bolt.Tx, shard zinniapond.ShardID, st *replicaState) error {
	return tx.Bucket(metaBucket).Put(shardKey(shard), st.encode(shard))
}

// Seal promises to refuse appends of lower epochs and answers with the end of the
// replica's log, once the promise is synced. An epoch is promised only once, so
// that of two writers that ask for the same epoch only one gets a majority.
func (s *Store) Seal(request *zinniapond.SealRequest, reply *zinniapond.SealReply) error {
	return s.submit(func(tx *bolt.Tx) error {
		st, err := s.shardState(tx, request.Shard)
		if err != nil {
			return err
		}
		formShard := request.StartVotingIfEmpty && request.Epoch == st.promisedEpoch && st.lastIndex == 0
		if formShard || request.Epoch > st.promisedEpoch {
			reply.Accepted = true
			st.promisedEpoch = request.Epoch
			st.voting = st.voting || formShard
			if err := saveState(tx, request.Shard, st); err != nil {
				return err
			}
		}
		reply.PromisedEpoch = st.promisedEpoch
		reply.FirstIndex = min(1, st.lastIndex)
		reply.LastIndex = st.lastIndex
		reply.LastEpoch = st.epochAt(st.lastIndex)
		reply.Voting = st.voting
		reply.Spans = append([]zinniapond.EpochSpan(nil), st.spans...)
		return nil
	})
}

// Append adds entries to a replica and answers once they are synced. It refuses the
// request without an error if a higher epoch is promised, or if the log does not
// match the entry before the new ones.
func (s *Store) Append(request *zinniapond.AppendRequest, reply *zinniapond.AppendReply) error {
	// Encoding happens before the transaction, in the caller's goroutine.
	values := make([][]byte, len(request.Entries))
	previous := request.PrevIndex
	for i, e := range request.Entries {
		if e.Index <= previous || e.Index > request.LastIndex || e.Epoch > request.Epoch {
			return fmt.Errorf("append to journal shard %d: entry %d is out of order: %w",
				request.Shard, e.Index, zinniapond.ErrMalformed)
		}
		previous = e.Index
		var err error
		if values[i], err = encodeEntry(request.Shard, e); err != nil {
			return fmt.Errorf("append to journal shard %d: %w", request.Shard, err)
		}
	}
	now := s.Clock()
	var refused error
	err := s.submit(func(tx *bolt.Tx) error {
		st, err := s.shardState(tx, request.Shard)
		if err != nil {
			return err
		}
		defer func() { reply.PromisedEpoch, reply.Voting = st.promisedEpoch, st.voting }()
		if request.Epoch < st.promisedEpoch {
			reply.LastIndex = st.lastIndex
			return nil
		}
		if agreed, ok := st.matchPrevious(request.PrevIndex, request.PrevEpoch); !ok {
			reply.LastIndex = agreed
			st.promisedEpoch = request.Epoch
			return saveState(tx, request.Shard, st)
		}
		conflictIndex, conflict := st.firstConflict(request)
		if conflict && conflictIndex <= st.commitIndex {
			refused = fmt.Errorf("append to journal shard %d: entry %d is committed and differs: %w",
				request.Shard, conflictIndex, zinniapond.ErrCorrupt)
			return nil
		}
		if conflict {
			if err := truncate(tx, request.Shard, st, conflictIndex); err != nil {
				return err
			}
		}
		for i, e := range request.Entries {
			if e.Index <= st.lastIndex {
				continue
			}
			if err := putEntry(tx, now, request.Shard, st, e, values[i]); err != nil {
				return err
			}
		}
		st.promisedEpoch = request.Epoch
		st.lastIndex = max(st.lastIndex, request.LastIndex)
		st.commitIndex = max(st.commitIndex, min(request.CommitIndex, request.LastIndex))
		st.voting = st.voting || request.StartVoting
		reply.Accepted = true
		reply.LastIndex = request.LastIndex
		return saveState(tx, request.Shard, st)
	})
	if err != nil {
		return err
	}
	return refused
}

// matchPrevious reports whether the log holds index under epoch. If not, it returns
// the last index that may still match the sender's log.
func (st *replicaState) matchPrevious(index zinniapond.Index, epoch zinniapond.Epoch) (zinniapond.Index, bool) {
	if index > st.lastIndex {
		return st.lastIndex, false
	}
	if st.epochAt(index) == epoch {
		return index, true
	}
	// The whole span was written by an owner other than the one in the sender's log.
	return st.spans[st.spanPosition(index)].FirstIndex - 1, false
}

// firstConflict returns the first index that the replica holds under another epoch
// than the request. The first entry of an epoch is never removed, so an index
// without an entry has the epoch of the previous entry.
func (st *replicaState) firstConflict(request *zinniapond.AppendRequest) (zinniapond.Index, bool) {
	from, epoch := request.PrevIndex+1, request.PrevEpoch
	for _, e := range request.Entries {
		if i, ok := st.firstOtherEpoch(from, e.Index-1, epoch); ok {
			return i, true
		}
		from, epoch = e.Index, e.Epoch
	}
	return st.firstOtherEpoch(from, request.LastIndex, epoch)
}

// putEntry stores one entry after the end of the log and adds it to the other buckets.
func putEntry(tx *bolt.Tx, now time.Time, shard zinniapond.ShardID, st *replicaState, entry zinniapond.JournalEntry, value []byte) error {
	key := indexKey(shard, entry.Index)
	b := tx.Bucket(logBucket)
	if err := b.Put(key, value); err != nil {
		return err
	}
	if len(st.spans) == 0 || st.spans[len(st.spans)-1].Epoch != entry.Epoch {
		epoch := binary.BigEndian.AppendUint64(nil, uint64(entry.Epoch))
		if err := tx.Bucket(spanBucket).Put(key, epoch); err != nil {
			return err
		}
		st.spans = append(st.spans, zinniapond.EpochSpan{Epoch: entry.Epoch, FirstIndex: entry.Index})
	}
	st.lastIndex = entry.Index
	if entry.Kind == zinniapond.RecordEnd || entry.Kind == zinniapond.RecordGrant {
		if err := tx.Bucket(dueBucket).Put(dueKey(now, shard, entry.Index), nil); err != nil {
			return err
		}
	}
	if entry.Program == "" {
		return nil
	}
	if err := markLive(tx, shard, entry.Program, entry.Kind); err != nil {
		return err
	}
	return tx.Bucket(stepBucket).Put(stepKey(shard, entry.Program, entry.Index), nil)
}

// markLive updates the set of programs that have not ended. A record that follows
// the end of a program does not make it live again, unless the record opens it.
func markLive(tx *bolt.Tx, shard zinniapond.ShardID, program zinniapond.ProgramID, kind zinniapond.RecordKind) error {
	live, key := tx.Bucket(liveBucket), programKey(shard, program)
	switch kind {
	case zinniapond.RecordOpen:
		return live.Put(key, nil)
	case zinniapond.RecordEnd:
		return live.Delete(key)
	}
	if first, _ := tx.Bucket(stepBucket).Cursor().Seek(key); first != nil && hasProgramPrefix(first, key) {
		return nil
	}
	return live.Put(key, nil)
}

// truncate removes the entries from index on, which another owner wrote and which
// no majority holds.
func truncate(tx *bolt.Tx, shard zinniapond.ShardID, st *replicaState, index zinniapond.Index) error {
	programs := make(map[zinniapond.ProgramID]bool)
	c := tx.Bucket(logBucket).Cursor()
	var keys [][]byte
	for k, v := c.Seek(indexKey(shard, index)); k != nil && shardOf(k) == shard; k, v = c.Next() {
		_, program, err := peekEntry(k, v)
		if err != nil {
			return err
		}
		programs[zinniapond.ProgramID(program)] = true
		keys = append(keys, append([]byte(nil), k...))
		if len(program) == 0 {
			continue
		}
		if err := tx.Bucket(stepBucket).Delete(stepKey(shard, zinniapond.ProgramID(program), indexOf(k))); err != nil {
			return err
		}
	}
	for _, k := range keys {
		if err := tx.Bucket(logBucket).Delete(k); err != nil {
			return err
		}
	}
	for len(st.spans) > 0 && st.spans[len(st.spans)-1].FirstIndex >= index {
		first := st.spans[len(st.spans)-1].FirstIndex
		if err := tx.Bucket(spanBucket).Delete(indexKey(shard, first)); err != nil {
			return err
		}
		st.spans = st.spans[:len(st.spans)-1]
	}
	st.lastIndex = index - 1
	for p := range programs {
		if err := recomputeLive(tx, shard, p); err != nil {
			return err
		}
	}
	return nil
}

// recomputeLive sets or clears the live mark of a program by its remaining entries.
func recomputeLive(tx *bolt.Tx, shard zinniapond.ShardID, program zinniapond.ProgramID) error {
	if program == "" {
		return nil
	}
	prefix := programKey(shard, program)
	var live bool
	c := tx.Bucket(stepBucket).Cursor()
	first := true
	for k, _ := c.Seek(prefix); k != nil && hasProgramPrefix(k, prefix); k, _ = c.Next() {
		key := indexKey(shard, indexOf(k))
		kind, _, err := peekEntry(key, tx.Bucket(logBucket).Get(key))
		if err != nil {
			return err
		}
		live = kind == zinniapond.RecordOpen || kind != zinniapond.RecordEnd && (first || live)
		first = false
	}
	if live {
		return tx.Bucket(liveBucket).Put(prefix, nil)
	}
	return tx.Bucket(liveBucket).Delete(prefix)
}
