package store

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"zinniapond.example/zinniapond"
)

// audit is one verification of all records in the file.
type audit struct {
	store         *Store
	damagedShards map[zinniapond.ShardID]bool
	// previousShard and previousEpoch are those of the previous entry.
	previousShard zinniapond.ShardID
	previousEpoch zinniapond.Epoch
	// live has the keys of the programs that have not ended according to the log.
	live map[string]bool
}

// checkFile reads every record and returns the shards with damaged ones. The index
// by program and the set of live programs have no checksums; they are compared
// with the log, since a record missing there would be missing from a history.
//
// The file is opened read-only first: when opened for writing, bbolt visits all
// pages in a goroutine of its own, whose panics cannot be recovered. Panics and
// memory faults on damaged or missing pages become ErrCorrupt here.
func (s *Store) checkFile(path string) (damagedShards map[zinniapond.ShardID]bool, err error) {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) || err == nil && info.Size() == 0 {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	previous := debug.SetPanicOnFault(true)
	defer func() {
		debug.SetPanicOnFault(previous)
		if r := recover(); r != nil {
			err = fmt.Errorf("%v: %w", r, zinniapond.ErrCorrupt)
		}
	}()
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockTimeout, ReadOnly: true})
	if errors.Is(err, bolterrors.ErrInvalid) || errors.Is(err, bolterrors.ErrChecksum) {
		return nil, errors.Join(err, zinniapond.ErrCorrupt)
	}
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, db.Close()) }()
	a := audit{store: s, damagedShards: make(map[zinniapond.ShardID]bool), live: make(map[string]bool)}
	return a.damagedShards, db.View(a.run)
}

func (a *audit) addDamaged(shard zinniapond.ShardID, err error) {
	if !a.damagedShards[shard] {
		a.store.Logger.Error("damaged journal shard", "shard", shard, "err", err)
	}
	a.damagedShards[shard] = true
}

func (a *audit) run(tx *bolt.Tx) error {
	for _, b := range buckets {
		if tx.Bucket(b) == nil {
			return nil // the process ended before it had created the buckets
		}
		// bbolt does not find and delete reliably among keys out of order.
		var previous []byte
		c := tx.Bucket(b).Cursor()
		for k, _ := c.First(); k != nil; k, _ = c.Next() {
			if bytes.Compare(k, previous) <= 0 {
				return fmt.Errorf("keys of bucket %s are out of order: %w", b, zinniapond.ErrCorrupt)
			}
			previous = k
		}
	}
	c := tx.Bucket(metaBucket).Cursor()
	for k, v := c.First(); k != nil; k, v = c.Next() {
		if err := new(replicaState).decode(shardOf(k), v); err != nil {
			a.addDamaged(shardOf(k), err)
		}
	}
	c = tx.Bucket(logBucket).Cursor()
	for k, v := c.First(); k != nil; k, v = c.Next() {
		if err := a.checkEntry(tx, k, v); err != nil {
			a.addDamaged(shardOf(k), err)
		}
	}
	c = tx.Bucket(stepBucket).Cursor()
	for k, _ := c.First(); k != nil; k, _ = c.Next() {
		if key := indexKey(shardOf(k), indexOf(k)); tx.Bucket(logBucket).Get(key) == nil {
			a.addDamaged(shardOf(k), corruptError(key, "indexed but missing"))
		}
	}
	c = tx.Bucket(spanBucket).Cursor()
	for k, _ := c.First(); k != nil; k, _ = c.Next() {
		if tx.Bucket(logBucket).Get(k) == nil {
			a.addDamaged(shardOf(k), corruptError(k, "epoch has no first record"))
		}
	}
	c = tx.Bucket(liveBucket).Cursor()
	for k, _ := c.First(); k != nil; k, _ = c.Next() {
		if !a.live[string(k)] {
			a.addDamaged(shardOf(k), corruptError(k, "program marked as live has ended"))
		}
		delete(a.live, string(k))
	}
	for k := range a.live {
		a.addDamaged(shardOf([]byte(k)), corruptError([]byte(k), "live program is not marked"))
	}
	return nil
}

// checkEntry checks one entry, its epoch's span and its key in the index by program.
func (a *audit) checkEntry(tx *bolt.Tx, key, value []byte) error {
	e, err := decodeEntry(key, value)
	if err != nil {
		return err
	}
	shard := shardOf(key)
	if shard != a.previousShard || e.Epoch != a.previousEpoch {
		a.previousShard, a.previousEpoch = shard, e.Epoch
		if v := tx.Bucket(spanBucket).Get(key); len(v) != 8 || binary.BigEndian.Uint64(v) != uint64(e.Epoch) {
			return corruptError(key, "epoch has no span")
		}
	}
	if e.Program == "" {
		return nil
	}
	steps := tx.Bucket(stepBucket).Cursor()
	step := stepKey(shard, e.Program, e.Index)
	if k, _ := steps.Seek(step); !bytes.Equal(k, step) {
		return corruptError(key, "not in the index")
	}
	program := programKey(shard, e.Program)
	switch e.Kind {
	case zinniapond.RecordOpen:
		a.live[string(program)] = true
	case zinniapond.RecordEnd:
		delete(a.live, string(program))
	default:
		if k, _ := steps.Prev(); k == nil || !hasProgramPrefix(k, program) {
			a.live[string(program)] = true
		}
	}
	return nil
}

// dropShard removes a shard's log. The promised epoch stays, unless it was damaged
// too; the replica no longer votes, like one whose disk was lost.
func (s *Store) dropShard(tx *bolt.Tx, shard zinniapond.ShardID) error {
	st := new(replicaState)
	if err := st.decode(shard, tx.Bucket(metaBucket).Get(shardKey(shard))); err != nil {
		st = new(replicaState)
	}
	for _, b := range [][]byte{spanBucket, logBucket, stepBucket, liveBucket} {
		c := tx.Bucket(b).Cursor()
		prefix := shardKey(shard)
		var keys [][]byte
		for k, _ := c.Seek(prefix); k != nil && shardOf(k) == shard; k, _ = c.Next() {
			keys = append(keys, bytes.Clone(k))
		}
		for _, k := range keys {
			if err := tx.Bucket(b).Delete(k); err != nil {
				return err
			}
		}
	}
	emptied := &replicaState{promisedEpoch: st.promisedEpoch}
	s.states[shard] = emptied
	s.Logger.Warn("journal shard dropped; its owner copies it from other replicas", "shard", shard)
	return saveState(tx, shard, emptied)
}
