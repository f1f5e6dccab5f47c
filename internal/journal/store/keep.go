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

// sweepEntries bounds the removals in one transaction, so that appends wait
// only briefly for it.
const sweepEntries = 2000

func dueKey(at time.Time, shard zinniapond.ShardID, index zinniapond.Index) []byte {
	key := binary.BigEndian.AppendUint64(nil, uint64(at.UnixNano()))
	return append(key, indexKey(shard, index)...)
}

// Compact removes the records of programs that ended, and the grants that were
// over, more than the retention ago. Only committed records are removed. Run
// does the same in steps.
func (s *Store) Compact(now time.Time) error {
	for more := true; more; {
		var err error
		if more, err = s.step(now); err != nil {
			return err
		}
	}
	return nil
}

// step removes a bounded number of records and tells whether there are more.
func (s *Store) step(now time.Time) (more bool, err error) {
	err = s.db.Update(func(tx *bolt.Tx) error {
		more, err = s.compact(tx, now)
		return err
	})
	if err != nil {
		return false, fmt.Errorf("compact journal: %w", err)
	}
	return more, nil
}

func (s *Store) compact(tx *bolt.Tx, now time.Time) (bool, error) {
	end := dueKey(now.Add(-s.Retention), 0, 0)
	var keys [][]byte
	c := tx.Bucket(dueBucket).Cursor()
	for k, _ := c.First(); k != nil && string(k) < string(end) && len(keys) < sweepEntries; k, _ = c.Next() {
		keys = append(keys, append([]byte(nil), k...))
	}
	removed := 0
	for _, k := range keys {
		if removed >= sweepEntries {
			return true, nil
		}
		if err := tx.Bucket(dueBucket).Delete(k); err != nil {
			return false, err
		}
		at := time.Unix(0, int64(binary.BigEndian.Uint64(k)))
		n, err := s.expire(tx, now, at, shardOf(k[8:]), indexOf(k))
		if err != nil {
			return false, err
		}
		removed += n
	}
	return len(keys) == sweepEntries, nil
}

// expire removes what the entry at index allows to remove. An entry that is not
// committed yet or that has to stay longer gets a later due mark.
func (s *Store) expire(tx *bolt.Tx, now, at time.Time, shard zinniapond.ShardID, index zinniapond.Index) (int, error) {
	st, err := s.state(tx, shard)
	if err != nil {
		return 0, err
	}
	key := indexKey(shard, index)
	value := tx.Bucket(logBucket).Get(key)
	if value == nil {
		return 0, nil // truncated since
	}
	again := dueKey(now.Add(s.sweep()-s.Retention), shard, index)
	if index > st.commit {
		return 0, tx.Bucket(dueBucket).Put(again, nil)
	}
	e, err := decodeEntry(key, value)
	if errors.Is(err, zinniapond.ErrCorrupt) {
		s.Logger.Error("damaged journal record", "shard", shard, "err", err)
		return 0, s.drop(tx, shard)
	}
	if err != nil {
		return 0, err
	}
	switch e.Kind {
	case zinniapond.RecordGrant:
		var r zinniapond.Record
		if err := cbor.Unmarshal(e.Data, &r); err == nil && r.Grant != nil && now.Sub(at) < r.Grant.Left {
			// The window is longer than the retention.
			later := at.Add(r.Grant.Left - s.Retention)
			return 0, tx.Bucket(dueBucket).Put(dueKey(later, shard, index), nil)
		}
		return 1, tx.Bucket(logBucket).Delete(key)
	case zinniapond.RecordEnd:
		steps, ok, err := removable(tx, shard, e.Program, index, st.commit)
		if err != nil {
			return 0, err
		}
		if !ok {
			return 0, tx.Bucket(dueBucket).Put(again, nil)
		}
		return len(steps), remove(tx, shard, steps)
	}
	return 0, nil // truncated and overwritten since
}

// removable returns the keys of the records of a program that ended at index,
// and of late results after the end, up to where it was opened again. It returns
// false if one of them is not committed.
func removable(tx *bolt.Tx, shard zinniapond.ShardID, program zinniapond.ProgramID, index, commit zinniapond.Index,
) ([][]byte, bool, error) {
	prefix := programKey(shard, program)
	var steps [][]byte
	c := tx.Bucket(stepBucket).Cursor()
	for k, _ := c.Seek(prefix); k != nil && hasPrefix(k, prefix); k, _ = c.Next() {
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

func remove(tx *bolt.Tx, shard zinniapond.ShardID, steps [][]byte) error {
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
