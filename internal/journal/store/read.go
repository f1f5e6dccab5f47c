package store

import (
	"bytes"
	"errors"
	"fmt"

	bolt "go.etcd.io/bbolt"

	"zinniapond.example/zinniapond"
)

// maxPageBytes bounds the data in one reply to a read, so that a long history is
// never held in memory as a whole.
const maxPageBytes = 1 << 20

// defaultPageEntries bounds the entries in one reply to requests without a bound.
const defaultPageEntries = 4096

// hasProgramPrefix reports whether a key of stepBucket is of the program with the
// given programKey.
func hasProgramPrefix(key, prefix []byte) bool {
	return len(key) == len(prefix)+8 && bytes.HasPrefix(key, prefix)
}

// Read returns a page of entries in the order of their indexes. It drops the shard
// if it meets a damaged record.
func (s *Store) Read(request *zinniapond.ReadRequest, reply *zinniapond.ReadReply) error {
	s.mu.Lock()
	closed := s.closedErr
	s.mu.Unlock()
	if closed != nil {
		return closed
	}
	err := s.db.View(func(tx *bolt.Tx) error {
		st, err := loadState(tx, request.Shard)
		if err != nil {
			return err
		}
		reply.PromisedEpoch, reply.LastIndex, reply.Voting = st.promisedEpoch, st.lastIndex, st.voting
		p := page{reply: reply, maxEntries: request.MaxEntries}
		if p.maxEntries <= 0 {
			p.maxEntries = defaultPageEntries
		}
		if request.Program != "" {
			return p.addProgram(tx, request)
		}
		return p.addShard(tx, request)
	})
	if errors.Is(err, zinniapond.ErrCorrupt) {
		s.Logger.Error("damaged journal record", "shard", request.Shard, "err", err)
		err = errors.Join(err, s.submit(func(tx *bolt.Tx) error { return s.dropShard(tx, request.Shard) }))
	}
	if err != nil {
		return fmt.Errorf("read journal: %w", err)
	}
	return nil
}

type page struct {
	reply      *zinniapond.ReadReply
	maxEntries int
	size       int
}

// addEntry adds an entry to the page. If the page is full, it sets the index at
// which the next one begins and returns false.
func (p *page) addEntry(key, value []byte) (bool, error) {
	if len(p.reply.Entries) >= p.maxEntries || p.size >= maxPageBytes {
		p.reply.NextIndex = indexOf(key)
		return false, nil
	}
	e, err := decodeEntry(key, value)
	if err != nil {
		return false, err
	}
	p.size += len(value)
	p.reply.Entries = append(p.reply.Entries, e)
	return true, nil
}

func (p *page) addProgram(tx *bolt.Tx, request *zinniapond.ReadRequest) error {
	prefix := programKey(request.Shard, request.Program)
	log := tx.Bucket(logBucket)
	c := tx.Bucket(stepBucket).Cursor()
	k, _ := c.Seek(stepKey(request.Shard, request.Program, request.FromIndex))
	for ; k != nil && hasProgramPrefix(k, prefix); k, _ = c.Next() {
		key := indexKey(request.Shard, indexOf(k))
		if ok, err := p.addEntry(key, log.Get(key)); !ok {
			return err
		}
	}
	return nil
}

func (p *page) addShard(tx *bolt.Tx, request *zinniapond.ReadRequest) error {
	live := tx.Bucket(liveBucket)
	c := tx.Bucket(logBucket).Cursor()
	k, v := c.Seek(indexKey(request.Shard, request.FromIndex))
	for ; k != nil && shardOf(k) == request.Shard; k, v = c.Next() {
		if request.OnlyLive {
			kind, program, err := peekEntry(k, v)
			if err != nil {
				return err
			}
			if kind == zinniapond.RecordEmpty {
				continue
			}
			key := programKey(request.Shard, zinniapond.ProgramID(program))
			if l, _ := live.Cursor().Seek(key); len(program) > 0 && !bytes.Equal(l, key) {
				continue
			}
		}
		if ok, err := p.addEntry(k, v); !ok {
			return err
		}
	}
	return nil
}
