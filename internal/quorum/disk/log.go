// Package disk keeps a voter's term, vote, log and snapshot in one bbolt file.
package disk

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"zinniapond.example/zinniapond"
)

// openTimeout bounds the wait for the lock of the file. A second process on the
// same data folder is a mistake and must end with an error, not hang.
const openTimeout = 2 * time.Second

var (
	metaBucket     = []byte("meta")
	logBucket      = []byte("log")
	snapshotBucket = []byte("snapshot")

	identityKey = []byte("identity")
	stateKey    = []byte("state")
	snapshotKey = []byte("snapshot")

	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// identity binds a data folder to one cluster and one host.
type identity struct {
	Cluster string              `cbor:"c"`
	Host    zinniapond.HostName `cbor:"h"`
	Disk    zinniapond.DiskID   `cbor:"d"`
	// Formed is set once the disk belongs to a cluster: as one of its first
	// voters, or by having records.
	Formed bool `cbor:"f"`
}

// state is the term and the vote.
type state struct {
	Term  zinniapond.Term     `cbor:"t"`
	Voted zinniapond.VoterKey `cbor:"v"`
}

// Log is the durable state of one voter. The exported fields are set before
// Open.
type Log struct {
	Folder  string
	Cluster string
	Host    zinniapond.HostName

	base     *bbolt.DB
	identity identity
}

// Open opens the file, or creates it with a new disk id. It refuses a folder of
// another cluster or host.
func (l *Log) Open() error {
	if err := os.MkdirAll(l.Folder, 0o700); err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	path := filepath.Join(l.Folder, "control.bolt")
	base, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return fmt.Errorf("open %s: %w", path, damage(err))
	}
	l.base = base
	if err := l.prepare(); err != nil {
		return errors.Join(err, base.Close())
	}
	return nil
}

// damage marks an error of bbolt that only a damaged file causes. A lock that is
// held and an error of the file system are none.
func damage(err error) error {
	var system *fs.PathError
	if errors.Is(err, berrors.ErrTimeout) || errors.As(err, &system) {
		return err
	}
	return errors.Join(err, zinniapond.ErrCorrupt)
}

func (l *Log) prepare() error {
	return l.base.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{metaBucket, logBucket, snapshotBucket} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return fmt.Errorf("create bucket %s: %w", name, err)
			}
		}
		meta := tx.Bucket(metaBucket)
		if meta.Get(identityKey) == nil {
			l.identity = identity{Cluster: l.Cluster, Host: l.Host, Disk: zinniapond.DiskID(uuid.NewString())}
			return put(meta, identityKey, l.identity)
		}
		if err := get(meta, identityKey, &l.identity); err != nil {
			return err
		}
		if l.identity.Cluster != l.Cluster || l.identity.Host != l.Host {
			return fmt.Errorf("data folder %s belongs to host %s of cluster %s, not to host %s of cluster %s",
				l.Folder, l.identity.Host, l.identity.Cluster, l.Host, l.Cluster)
		}
		return nil
	})
}

// Close closes the file.
func (l *Log) Close() error { return l.base.Close() }

// Disk returns the id of the data folder.
func (l *Log) Disk() zinniapond.DiskID { return l.identity.Disk }

// Formed tells whether the folder belongs to a cluster yet.
func (l *Log) Formed() bool { return l.identity.Formed }

// Form makes the disk one of the first voters of a new cluster. All of them
// know each other's disks by the same rule, the id "first".
func (l *Log) Form(voters []zinniapond.VoterKey, disk zinniapond.DiskID) error {
	if l.identity.Formed {
		return errors.New("form cluster: the data folder is not empty")
	}
	formed := l.identity
	formed.Formed, formed.Disk = true, disk
	err := l.base.Update(func(tx *bbolt.Tx) error {
		if err := put(tx.Bucket(snapshotBucket), snapshotKey, zinniapond.Snapshot{Voters: voters}); err != nil {
			return err
		}
		return put(tx.Bucket(metaBucket), identityKey, formed)
	})
	if err == nil {
		l.identity = formed
	}
	return err
}

// Load returns the whole durable state. Records after the snapshot must follow
// one another without a gap and with matching checksums.
func (l *Log) Load() (all zinniapond.LogChange, err error) {
	// bbolt panics on a damaged page.
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("load control log of %s: %v: %w", l.Folder, r, zinniapond.ErrCorrupt)
		}
	}()
	err = l.base.View(func(tx *bbolt.Tx) error {
		var s state
		if err := get(tx.Bucket(metaBucket), stateKey, &s); err != nil {
			return err
		}
		all.Term, all.Voted = s.Term, s.Voted
		all.Snapshot = new(zinniapond.Snapshot)
		if err := get(tx.Bucket(snapshotBucket), snapshotKey, all.Snapshot); err != nil {
			return err
		}
		all.From = all.Snapshot.Index + 1
		next := all.From
		return tx.Bucket(logBucket).ForEach(func(k, v []byte) error {
			var e zinniapond.LogEntry
			if err := decode(v, &e); err != nil {
				return fmt.Errorf("record %d: %w", binary.BigEndian.Uint64(k), err)
			}
			if e.Index != next || binary.BigEndian.Uint64(k) != uint64(next) {
				return fmt.Errorf("record %d in place of %d: %w", e.Index, next, zinniapond.ErrCorrupt)
			}
			next++
			all.Entries = append(all.Entries, e)
			return nil
		})
	})
	if err != nil {
		return zinniapond.LogChange{}, fmt.Errorf("load control log of %s: %w", l.Folder, err)
	}
	return all, nil
}

// Save makes a change durable in one transaction.
func (l *Log) Save(change zinniapond.LogChange) error {
	return l.base.Update(func(tx *bbolt.Tx) error {
		if err := put(tx.Bucket(metaBucket), stateKey, state{change.Term, change.Voted}); err != nil {
			return err
		}
		if !l.identity.Formed && (len(change.Entries) > 0 || change.Snapshot != nil) {
			l.identity.Formed = true
			if err := put(tx.Bucket(metaBucket), identityKey, l.identity); err != nil {
				return err
			}
		}
		records := tx.Bucket(logBucket)
		if err := clearFrom(records, change.From); err != nil {
			return err
		}
		for _, e := range change.Entries {
			if err := put(records, key(e.Index), e); err != nil {
				return err
			}
		}
		if change.Snapshot == nil {
			return nil
		}
		if err := clearTo(records, change.Snapshot.Index); err != nil {
			return err
		}
		return put(tx.Bucket(snapshotBucket), snapshotKey, change.Snapshot)
	})
}

func clearFrom(records *bbolt.Bucket, from zinniapond.Index) error {
	c := records.Cursor()
	for k, _ := c.Seek(key(from)); k != nil; k, _ = c.Seek(key(from)) {
		if err := c.Delete(); err != nil {
			return fmt.Errorf("cut log: %w", err)
		}
	}
	return nil
}

func clearTo(records *bbolt.Bucket, to zinniapond.Index) error {
	c := records.Cursor()
	for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= uint64(to); k, _ = c.First() {
		if err := c.Delete(); err != nil {
			return fmt.Errorf("truncate log: %w", err)
		}
	}
	return nil
}

func key(index zinniapond.Index) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(index))
}

// put stores a value in CBOR behind its CRC-32C.
func put(bucket *bbolt.Bucket, key []byte, value any) error {
	data, err := cbor.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %T: %w", value, err)
	}
	sum := binary.BigEndian.AppendUint32(nil, crc32.Checksum(data, castagnoli))
	if err := bucket.Put(key, append(sum, data...)); err != nil {
		return fmt.Errorf("store %T: %w", value, err)
	}
	return nil
}

// get reads a value; a missing one leaves value unchanged.
func get(bucket *bbolt.Bucket, key []byte, value any) error {
	data := bucket.Get(key)
	if data == nil {
		return nil
	}
	if err := decode(data, value); err != nil {
		return fmt.Errorf("read %s: %w", key, err)
	}
	return nil
}

func decode(data []byte, value any) error {
	if len(data) < 4 || binary.BigEndian.Uint32(data) != crc32.Checksum(data[4:], castagnoli) {
		return fmt.Errorf("checksum of %T: %w", value, zinniapond.ErrCorrupt)
	}
	if err := cbor.Unmarshal(data[4:], value); err != nil {
		return fmt.Errorf("decode %T: %w", value, errors.Join(err, zinniapond.ErrCorrupt))
	}
	return nil
}
