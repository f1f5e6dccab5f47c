// Package store keeps the replicas of journal shards of one host in a bbolt file.
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

// fileName is the name of the journal file in the data folder.
const fileName = "journal.db"

// lockTimeout bounds the wait for the host's previous process to unlock the file.
const lockTimeout = time.Second

func init() {
	kernel.Register[zinniapond.RolePlugin]("store", build)
}

func build(k *kernel.Kernel) (zinniapond.RolePlugin, error) {
	if k.Settings.DataFolder == "" {
		return nil, fmt.Errorf("open journal: role store needs [node] data: %w", zinniapond.ErrMalformed)
	}
	m, err := kernel.Find[zinniapond.Mounter](k)
	if err != nil {
		return nil, err
	}
	s := &Store{
		Folder:    k.Settings.DataFolder,
		Retention: k.Settings.Journal.Retention,
		Logger:    k.Logger.Named("store"),
		Clock:     k.Now,
	}
	if err := s.Open(); err != nil {
		return nil, err
	}
	return s, m.Mount("Journal", s)
}

// Store is the store role: replicas of journal shards in one file. It commits in
// groups: appends of all shards that arrive while a sync runs share the next one.
type Store struct {
	Folder string
	// Retention is how long the records of ended programs are kept.
	Retention time.Duration
	Logger    hclog.Logger
	Clock     func() time.Time

	db     *bolt.DB
	wakeup chan struct{}

	mu      sync.Mutex
	pending []*job
	// closedErr is returned for new jobs once the store has stopped or failed.
	closedErr error

	// states caches the state of each shard. It is used in write transactions
	// only, which exclude each other.
	states map[zinniapond.ShardID]*replicaState

	// SyncEachAppend commits each append in a transaction of its own, to measure
	// the effect of the group commit.
	SyncEachAppend bool
	// AfterSync is called after each commit, before its appends are answered, so
	// that a test can copy the file as a crash would leave it; may be nil.
	AfterSync func()
}

// job is a change of the file that waits for the next transaction.
type job struct {
	apply func(tx *bolt.Tx) error
	err   error
	done  chan struct{}
}

// Role returns the store role.
func (s *Store) Role() zinniapond.Role { return zinniapond.RoleStore }

// Open opens the file and checks every record in it. A damaged shard is dropped
// and does not vote until its owner has copied it again from other replicas. If the
// file as a whole is damaged, it is renamed and the host starts with an empty one,
// as after the loss of its disk.
func (s *Store) Open() error {
	if err := os.MkdirAll(s.Folder, 0o700); err != nil {
		return fmt.Errorf("open journal: %w", err)
	}
	s.wakeup = make(chan struct{}, 1)
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
	s.states = make(map[zinniapond.ShardID]*replicaState)
	damagedShards, err := s.checkFile(path)
	if err != nil {
		return fmt.Errorf("check journal %s: %w", path, err)
	}
	s.db, err = bolt.Open(path, 0o600, &bolt.Options{
		Timeout:        lockTimeout,
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
		for shard := range damagedShards {
			if err := s.dropShard(tx, shard); err != nil {
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

// compactionPause is the time between two batches of a compaction, in which waiting
// appends are committed.
const compactionPause = time.Millisecond

// Run commits appends and removes the records of ended programs until ctx is done
// or a transaction fails.
func (s *Store) Run(ctx context.Context) error {
	timer := time.NewTimer(s.compactionInterval())
	defer timer.Stop()
	var failed error
	for failed == nil {
		select {
		case <-ctx.Done():
			return s.close(nil)
		case <-s.wakeup:
			failed = s.commit()
		case <-timer.C:
			var more bool
			next := s.compactionInterval()
			if more, failed = s.compactBatch(s.Clock()); more {
				next = compactionPause
			}
			timer.Reset(next)
		}
	}
	return s.close(failed)
}

// compactionInterval is the time between two removals of ended programs: a small
// part of the retention, but long enough not to disturb appends.
func (s *Store) compactionInterval() time.Duration {
	return min(max(s.Retention/100, time.Second), time.Minute)
}

func (s *Store) close(cause error) error {
	s.mu.Lock()
	if cause == nil {
		s.closedErr = errors.New("journal store has stopped")
	} else {
		// After a failed sync the content of the file is unknown, so no append
		// may be acknowledged before the file was opened and checked again.
		s.closedErr = fmt.Errorf("journal store has failed: %w", cause)
	}
	jobs := s.pending
	s.pending = nil
	err := s.closedErr
	s.mu.Unlock()
	for _, j := range jobs {
		j.err = err
		close(j.done)
	}
	return errors.Join(cause, s.db.Close())
}

// submit runs apply in the next transaction and returns once that is synced.
func (s *Store) submit(apply func(tx *bolt.Tx) error) error {
	j := &job{apply: apply, done: make(chan struct{})}
	s.mu.Lock()
	if s.closedErr != nil {
		defer s.mu.Unlock()
		return s.closedErr
	}
	s.pending = append(s.pending, j)
	s.mu.Unlock()
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
	<-j.done
	return j.err
}

// commit runs the waiting jobs in one transaction. A job that refuses its request
// changes nothing and returns no error; an error fails the whole transaction.
func (s *Store) commit() error {
	s.mu.Lock()
	jobs := s.pending
	s.pending = nil
	if s.SyncEachAppend && len(jobs) > 1 {
		s.pending = append(s.pending, jobs[1:]...)
		jobs = jobs[:1]
		select {
		case s.wakeup <- struct{}{}:
		default:
		}
	}
	s.mu.Unlock()
	if len(jobs) == 0 {
		return nil
	}
	err := s.db.Update(func(tx *bolt.Tx) error {
		for _, j := range jobs {
			if err := j.apply(tx); err != nil {
				return err
			}
		}
		return nil
	})
	if err == nil && s.AfterSync != nil {
		s.AfterSync()
	}
	for _, j := range jobs {
		if err != nil {
			j.err = fmt.Errorf("commit journal: %w", err)
		}
		close(j.done)
	}
	return err
}
