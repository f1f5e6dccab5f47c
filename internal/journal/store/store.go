// Package store keeps a host's replicas of journal shards in one bbolt file.
package store

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	bolt "go.etcd.io/bbolt"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

// fileName is the file in the data folder.
const fileName = "journal.db"

// lockWait bounds the wait for a process before this one to unlock the file.
const lockWait = time.Second

func init() {
	kernel.Register[zinniapond.RolePlugin]("store", build)
}

func build(k *kernel.Kernel) (zinniapond.RolePlugin, error) {
	if k.Settings.Data == "" {
		return nil, fmt.Errorf("open journal: role store needs [node] data: %w", zinniapond.ErrMalformed)
	}
	m, err := kernel.Find[zinniapond.Mounter](k)
	if err != nil {
		return nil, err
	}
	s := &Store{
		Folder:    k.Settings.Data,
		Retention: k.Settings.Journal.Retention,
		Logger:    k.Logger.Named("store"),
		Clock:     k.Now,
	}
	if err := s.Open(); err != nil {
		return nil, err
	}
	return s, m.Mount("Journal", s)
}

// Store is the store role: replicas of journal shards in one file. Appends of
// all shards that arrive while a sync runs share the next one.
type Store struct {
	Folder string
	// Retention is how long the records of ended programs are kept.
	Retention time.Duration
	Logger    hclog.Logger
	Clock     func() time.Time

	db   *bolt.DB
	wake chan struct{}

	mu      sync.Mutex
	pending []*job
	closed  error // refuses new jobs when set

	// states is used in write transactions only, which exclude each other.
	states map[zinniapond.ShardID]*standing

	// Single commits each append alone, to measure what the group commit gains.
	Single bool
	// Synced is called after each commit, before its appends are answered, so
	// that a test can keep what a crash would leave; may be nil.
	Synced func()
}

// job is a change that waits for the next transaction.
type job struct {
	work func(tx *bolt.Tx) error
	err  error
	done chan struct{}
}

// Role returns the role that Store does.
func (s *Store) Role() zinniapond.Role { return zinniapond.RoleStore }

// Open opens the file and checks every record in it. A damaged shard is dropped
// and no longer counts until its owner has copied it anew from its peers. If the
// file as a whole is damaged, it is moved aside and the host begins as one whose
// disk was lost.
func (s *Store) Open() error {
	if err := os.MkdirAll(s.Folder, 0o700); err != nil {
		return fmt.Errorf("open journal: %w", err)
	}
	s.wake = make(chan struct{}, 1)
	path := filepath.Join(s.Folder, fileName)
	err := s.open(path)
	if !errors.Is(err, zinniapond.ErrCorrupt) {
		return err
	}
	s.Logger.Error("journal file is damaged and moved aside", "file", path, "err", err)
	if err := os.Rename(path, path+".damaged"); err != nil {
		return fmt.Errorf("open journal: %w", err)
	}
	return s.open(path)
}

func (s *Store) open(path string) error {
	s.states = make(map[zinniapond.ShardID]*standing)
	broken, err := s.check(path)
	if err != nil {
		return fmt.Errorf("check journal %s: %w", path, err)
	}
	s.db, err = bolt.Open(path, 0o600, &bolt.Options{
		Timeout:        lockWait,
		NoFreelistSync: true,
		FreelistType:   bolt.FreelistMapType,
	})
	if err != nil {
		return fmt.Errorf("open journal %s: %w", path, err)
	}
	err = s.db.Update(func(tx *bolt.Tx) error {
		for _, b := range buckets {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		for shard := range broken {
			if err := s.drop(tx, shard); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return errors.Join(fmt.Errorf("open journal %s: %w", path, err), s.db.Close())
	}
	return nil
}

// stepPause lets waiting appends go first between two steps of a removal.
const stepPause = time.Millisecond

// Run commits appends and removes ended programs until ctx is done.
func (s *Store) Run(ctx context.Context) error {
	timer := time.NewTimer(s.sweep())
	defer timer.Stop()
	var failed error
	for failed == nil {
		select {
		case <-ctx.Done():
			return s.close(nil)
		case <-s.wake:
			failed = s.commit()
		case <-timer.C:
			var more bool
			next := s.sweep()
			if more, failed = s.step(s.Clock()); more {
				next = stepPause
			}
			timer.Reset(next)
		}
	}
	return s.close(failed)
}

// sweep is the span between two removals of ended programs: a small part of
// the retention, and not so often that it disturbs appends.
func (s *Store) sweep() time.Duration {
	return min(max(s.Retention/100, time.Second), time.Minute)
}

func (s *Store) close(cause error) error {
	s.mu.Lock()
	if cause == nil {
		s.closed = errors.New("journal store has stopped")
	} else {
		// After a failed sync nothing is known of the file's content, so
		// nothing may be acknowledged before it was opened again.
		s.closed = fmt.Errorf("journal store has failed: %w", cause)
	}
	jobs := s.pending
	s.pending = nil
	err := s.closed
	s.mu.Unlock()
	for _, j := range jobs {
		j.err = err
		close(j.done)
	}
	return errors.Join(cause, s.db.Close())
}

// submit runs work in the next transaction and returns once it is synced.
func (s *Store) submit(work func(tx *bolt.Tx) error) error {
	j := &job{work: work, done: make(chan struct{})}
	s.mu.Lock()
	if s.closed != nil {
		defer s.mu.Unlock()
		return s.closed
	}
	s.pending = append(s.pending, j)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	<-j.done
	return j.err
}

// commit runs the waiting jobs in one transaction. A job that refuses changes
// nothing and returns no error; an error fails the whole transaction.
func (s *Store) commit() error {
	s.mu.Lock()
	jobs := s.pending
	s.pending = nil
	if s.Single && len(jobs) > 1 {
		s.pending = append(s.pending, jobs[1:]...)
		jobs = jobs[:1]
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	s.mu.Unlock()
	if len(jobs) == 0 {
		return nil
	}
	err := s.db.Update(func(tx *bolt.Tx) error {
		for _, j := range jobs {
			if err := j.work(tx); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil && s.Synced != nil {
		s.Synced()
	}
	for _, j := range jobs {
		if err != nil {
			j.err = fmt.Errorf("commit journal: %w", err)
		}
		close(j.done)
	}
	return err
}
