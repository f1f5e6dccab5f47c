package store

import (
	"bytes"
	"errors"
	"fmt"

	bolt "go.etcd.io/bbolt"

	"zinniapond.example/zinniapond"
)

// pageBytes bounds the data in one answer to a read, so that a long history is
// never held in memory as a whole.
const pageBytes = 1 << 20

// pageEntries bounds the entries in one answer, for requests that set no bound.
const pageEntries = 4096

func hasPrefix(key, prefix []byte) bool {
	return len(key) == len(prefix)+8 && bytes.HasPrefix(key, prefix)
}

// Read returns a page of entries in the order of their indexes.
func (s *Store) Read(request *zinniapond.ReadRequest, reply *zinniapond.ReadReply) error {
	s.mu.Lock()
	closed := s.closed
	s.mu.Unlock()
	if closed != nil {
		return closed
	}
	err := s.db.View(func(tx *bolt.Tx) error {
		st, err := loadStanding(tx, request.Shard)
		if err != nil {
			return err
		}
		reply.Promised, reply.Last, reply.Voting = st.promised, st.last, st.voting
		p := page{reply: reply, most: request.Most}
		if p.most <= 0 {
			p.most = pageEntries
		}
		if request.Program != "" {
			return p.program(tx, request)
		}
		return p.shard(tx, request)
	})
	if errors.Is(err, zinniapond.ErrCorrupt) {
		s.Logger.Error("damaged journal record", "shard", request.Shard, "err", err)
		err = errors.Join(err, s.submit(func(tx *bolt.Tx) error { return s.drop(tx, request.Shard) }))
	}
	if err != nil {
		return fmt.Errorf("read journal: %w", err)
	}
	return nil
}

type page struct {
	reply *zinniapond.ReadReply
	most  int
	bytes int
}

// add takes an entry, or sets where to go on if the page is full.
func (p *page) add(key, value []byte) (bool, error) {
	if len(p.reply.Entries) >= p.most || p.bytes >= pageBytes {
		p.reply.Next = indexOf(key)
		return false, nil
	}
	e, err := decodeEntry(key, value)
	if err != nil {
		return false, err
	}
	p.bytes += len(value)
	p.reply.Entries = append(p.reply.Entries, e)
	return true, nil
}

func (p *page) program(tx *bolt.Tx, request *zinniapond.ReadRequest) error {
	prefix := programKey(request.Shard, request.Program)
	log := tx.Bucket(logBucket)
	c := tx.Bucket(stepBucket).Cursor()
	k, _ := c.Seek(stepKey(request.Shard, request.Program, request.From))
	for ; k != nil && hasPrefix(k, prefix); k, _ = c.Next() {
		key := indexKey(request.Shard, indexOf(k))
		if ok, err := p.add(key, log.Get(key)); !ok {
			return err
		}
	}
	return nil
}

func (p *page) shard(tx *bolt.Tx, request *zinniapond.ReadRequest) error {
	live := tx.Bucket(liveBucket)
	c := tx.Bucket(logBucket).Cursor()
	k, v := c.Seek(indexKey(request.Shard, request.From))
	for ; k != nil && shardOf(k) == request.Shard; k, v = c.Next() {
		if request.Live {
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
		if ok, err := p.add(k, v); !ok {
			return err
		}
	}
	return nil
}
