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

// audit collects what a pass over the file finds.
type audit struct {
	s      *Store
	broken map[zinniapond.ShardID]bool
	// shard and last are those of the entry before.
	shard zinniapond.ShardID
	last  zinniapond.Epoch
	// live has the keys of the programs that have not ended, by the log.
	live map[string]bool
}

// check reads every record and returns the shards with damaged ones. The index
// by program and the set of live programs have no checksums; they are compared
// with the log, since a record missing there would be missing from a history.
//
// The file is opened for reading first: when opened for writing, bbolt visits
// all pages in a goroutine of its own, whose panics nobody can catch. Panics and
// faults on damaged or missing pages become ErrCorrupt here.
func (s *Store) check(path string) (broken map[zinniapond.ShardID]bool, err error) {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) || err == nil && info.Size() == 0 {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	before := debug.SetPanicOnFault(true)
	defer func() {
		debug.SetPanicOnFault(before)
		if r := recover(); r != nil {
			err = fmt.Errorf("%v: %w", r, zinniapond.ErrCorrupt)
		}
	}()
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: lockWait, ReadOnly: true})
	if errors.Is(err, bolterrors.ErrInvalid) || errors.Is(err, bolterrors.ErrChecksum) {
		return nil, errors.Join(err, zinniapond.ErrCorrupt)
	}
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, db.Close()) }()
	a := audit{s: s, broken: make(map[zinniapond.ShardID]bool), live: make(map[string]bool)}
	return a.broken, db.View(a.run)
}

func (a *audit) fault(shard zinniapond.ShardID, err error) {
	if !a.broken[shard] {
		a.s.Logger.Error("damaged journal shard", "shard", shard, "err", err)
	}
	a.broken[shard] = true
}

func (a *audit) run(tx *bolt.Tx) error {
	for _, b := range buckets {
		if tx.Bucket(b) == nil {
			return nil // the process ended before it had made the buckets
		}
		// bbolt finds and deletes nothing reliably among keys out of order.
		var last []byte
		c := tx.Bucket(b).Cursor()
		for k, _ := c.First(); k != nil; k, _ = c.Next() {
			if bytes.Compare(k, last) <= 0 {
				return fmt.Errorf("keys of bucket %s are out of order: %w", b, zinniapond.ErrCorrupt)
			}
			last = k
		}
	}
	c := tx.Bucket(metaBucket).Cursor()
	for k, v := c.First(); k != nil; k, v = c.Next() {
		if err := new(standing).decode(shardOf(k), v); err != nil {
			a.fault(shardOf(k), err)
		}
	}
	c = tx.Bucket(logBucket).Cursor()
	for k, v := c.First(); k != nil; k, v = c.Next() {
		if err := a.entry(tx, k, v); err != nil {
			a.fault(shardOf(k), err)
		}
	}
	c = tx.Bucket(stepBucket).Cursor()
	for k, _ := c.First(); k != nil; k, _ = c.Next() {
		if key := indexKey(shardOf(k), indexOf(k)); tx.Bucket(logBucket).Get(key) == nil {
			a.fault(shardOf(k), damaged(key, "indexed but missing"))
		}
	}
	c = tx.Bucket(spanBucket).Cursor()
	for k, _ := c.First(); k != nil; k, _ = c.Next() {
		if tx.Bucket(logBucket).Get(k) == nil {
			a.fault(shardOf(k), damaged(k, "epoch has no first record"))
		}
	}
	c = tx.Bucket(liveBucket).Cursor()
	for k, _ := c.First(); k != nil; k, _ = c.Next() {
		if !a.live[string(k)] {
			a.fault(shardOf(k), damaged(k, "program marked as live has ended"))
		}
		delete(a.live, string(k))
	}
	for k := range a.live {
		a.fault(shardOf([]byte(k)), damaged([]byte(k), "live program is not marked"))
	}
	return nil
}

// entry checks one entry and its place in the index.
func (a *audit) entry(tx *bolt.Tx, key, value []byte) error {
	e, err := decodeEntry(key, value)
	if err != nil {
		return err
	}
	shard := shardOf(key)
	if shard != a.shard || e.Epoch != a.last {
		a.shard, a.last = shard, e.Epoch
		if v := tx.Bucket(spanBucket).Get(key); len(v) != 8 || binary.BigEndian.Uint64(v) != uint64(e.Epoch) {
			return damaged(key, "epoch has no span")
		}
	}
	if e.Program == "" {
		return nil
	}
	steps := tx.Bucket(stepBucket).Cursor()
	step := stepKey(shard, e.Program, e.Index)
	if k, _ := steps.Seek(step); !bytes.Equal(k, step) {
		return damaged(key, "not in the index")
	}
	program := programKey(shard, e.Program)
	switch e.Kind {
	case zinniapond.RecordOpen:
		a.live[string(program)] = true
	case zinniapond.RecordEnd:
		delete(a.live, string(program))
	default:
		if k, _ := steps.Prev(); k == nil || !hasPrefix(k, program) {
			a.live[string(program)] = true
		}
	}
	return nil
}

// drop removes a shard's log. The promise stays, unless it was damaged too; the
// replica no longer counts, as one whose disk was lost.
func (s *Store) drop(tx *bolt.Tx, shard zinniapond.ShardID) error {
	st := new(standing)
	if err := st.decode(shard, tx.Bucket(metaBucket).Get(shardKey(shard))); err != nil {
		st = new(standing)
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
	next := &standing{promised: st.promised}
	s.states[shard] = next
	s.Logger.Warn("journal shard dropped, to be copied from its peers", "shard", shard)
	return saveStanding(tx, shard, next)
}
