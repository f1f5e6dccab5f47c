package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	bolt "go.etcd.io/bbolt"

	"zinniapond.example/zinniapond"
)

// maxCompactionEntries bounds the removals in one transaction, so that appends wait
// only briefly for it.
const maxCompactionEntries = 2000

func dueKey(at time.Time, shard zinniapond.ShardID, index zinniapond.Index) []byte {
	key := binary.BigEndian.AppendUint64(nil, uint64(at.UnixNano()))
	return append(key, indexKey(shard, index)...)
}

// Compact removes the records of programs that ended, and the budget grants that
// expired, more than the retention ago. Only committed records are removed. Run
// does the same in batches.
func (s *Store) Compact(now time.Time) error {
	for more := true; more; {
		var err error
		if more, err = s.compactBatch(now); err != nil {
			return err
		}
	}
	return nil
}

// compactBatch removes a bounded number of records and reports whether there may be
// more.
func (s *Store) compactBatch(now time.Time) (more bool, err error) {
	err = s.db.Update(func(tx *bolt.Tx) error {
		more, err = s.compactBatchInTx(tx, now)
		return err
	})
	if err != nil {
		return false, fmt.Errorf("compact journal: %w", err)
	}
	return more, nil
}

func (s *Store) compactBatchInTx(tx *bolt.Tx, now time.Time) (bool, error) {
	end := dueKey(now.Add(-s.Retention), 0, 0)
	var keys [][]byte
	c := tx.Bucket(dueBucket).Cursor()
	for k, _ := c.First(); k != nil && string(k) < string(end) && len(keys) < maxCompactionEntries; k, _ = c.Next() {
		keys = append(keys, append([]byte(nil), k...))
	}
	removed := 0
	for _, k := range keys {
		if removed >= maxCompactionEntries {
			return true, nil
		}
		if err := tx.Bucket(dueBucket).Delete(k); err != nil {
			return false, err
		}
		arrived := time.Unix(0, int64(binary.BigEndian.Uint64(k)))
		n, err := s.expireEntry(tx, now, arrived, shardOf(k[8:]), indexOf(k))
		if err != nil {
			return false, err
		}
		removed += n
	}
	return len(keys) == maxCompactionEntries, nil
}

// expireEntry removes the records whose removal the entry at index allows, and
// returns their number. An entry that is not committed yet or has to stay longer
// gets a later key in dueBucket.
func (s *Store) expireEntry(tx *bolt.Tx, now, arrived time.Time, shard zinniapond.ShardID, index zinniapond.Index) (int, error) {
	st, err := s.shardState(tx, shard)
	if err != nil {
		return 0, err
	}
	key := indexKey(shard, index)
	value := tx.Bucket(logBucket).Get(key)
	if value == nil {
		return 0, nil // truncated since
	}
	retryKey := dueKey(now.Add(s.compactionInterval()-s.Retention), shard, index)
	if index > st.commitIndex {
		return 0, tx.Bucket(dueBucket).Put(retryKey, nil)
	}
	e, err := decodeEntry(key, value)
	if errors.Is(err, zinniapond.ErrCorrupt) {
		s.Logger.Error("damaged journal record", "shard", shard, "err", err)
		return 0, s.dropShard(tx, shard)
	}
	if err != nil {
		return 0, err
	}
	switch e.Kind {
	case zinniapond.RecordGrant:
		var r zinniapond.Record
		if err := cbor.Unmarshal(e.Data, &r); err == nil && r.Grant != nil && now.Sub(arrived) < r.Grant.ValidFor {
			// The budget window is longer than the retention.
			later := arrived.Add(r.Grant.ValidFor - s.Retention)
			return 0, tx.Bucket(dueBucket).Put(dueKey(later, shard, index), nil)
		}
		return 1, tx.Bucket(logBucket).Delete(key)
	case zinniapond.RecordEnd:
		steps, ok, err := removableSteps(tx, shard, e.Program, index, st.commitIndex)
		if err != nil {
			return 0, err
		}
		if !ok {
			return 0, tx.Bucket(dueBucket).Put(retryKey, nil)
		}
		return len(steps), removeSteps(tx, shard, steps)
	}
	return 0, nil // truncated and overwritten since
}

// removableSteps returns the keys in stepBucket of the records of a program that
// ended at index, and of late results after the end, up to where the program was
// opened again. It returns false if one of them is not committed.
func removableSteps(tx *bolt.Tx, shard zinniapond.ShardID, program zinniapond.ProgramID, index, commit zinniapond.Index,
) ([][]byte, bool, error) {
	prefix := programKey(shard, program)
	var steps [][]byte
	c := tx.Bucket(stepBucket).Cursor()
	for k, _ := c.Seek(prefix); k != nil && hasProgramPrefix(k, prefix); k, _ = c.Next() {
		if indexOf(k) > index {
			key := indexKey(shard, indexOf(k))
			kind, _, err := peekEntry(key, tx.Bucket(logBucket).Get(key))
			if err != nil {
				return nil, false, err
			}
			if kind == zinniapond.RecordOpen {
				break
			}
			if indexOf(k) > commit {
				return nil, false, nil
			}
		}
		steps = append(steps, append([]byte(nil), k...))
	}
	return steps, true, nil
}

func removeSteps(tx *bolt.Tx, shard zinniapond.ShardID, steps [][]byte) error {
	for _, k := range steps {
		if err := tx.Bucket(stepBucket).Delete(k); err != nil {
			return err
		}
		if err := tx.Bucket(logBucket).Delete(indexKey(shard, indexOf(k))); err != nil {
			return err
		}
	}
	return nil
}
