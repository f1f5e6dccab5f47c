// Package disk stores a voter's term, vote, log and snapshot in one bbolt file.
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

// openTimeout limits the wait for the lock of the file. A second process on the
// same data folder is a configuration error: it must fail, not hang.
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

// identity is the stored record that binds a data folder to one cluster and one
// host.
type identity struct {
	Cluster string              `cbor:"c"`
	Host    zinniapond.HostName `cbor:"h"`
	Disk    zinniapond.DiskID   `cbor:"d"`
	// Formed is set once the disk belongs to a cluster: either as the disk of one
	// of its initial voters, or because records or a snapshot were saved on it.
	Formed bool `cbor:"f"`
}

// state is the stored term and vote.
type state struct {
	Term  zinniapond.Term     `cbor:"t"`
	Voted zinniapond.VoterKey `cbor:"v"`
}

// Log stores the durable state of one voter. The exported fields are set before
// Open, which all other methods require.
type Log struct {
	Folder  string
	Cluster string
	Host    zinniapond.HostName

	database *bbolt.DB
	identity identity
}

// Open opens the file, or creates it with a new disk id. It fails for a folder of
// another cluster or host; an error wraps ErrCorrupt if the file is damaged.
func (l *Log) Open() error {
	if err := os.MkdirAll(l.Folder, 0o700); err != nil {
		return fmt.Errorf("create data folder: %w", err)
	}
	path := filepath.Join(l.Folder, "control.bolt")
	database, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout, FreelistType: bbolt.FreelistMapType})
	if err != nil {
		return fmt.Errorf("open %s: %w", path, markCorruption(err))
	}
	l.database = database
	if err := l.loadIdentity(); err != nil {
		return errors.Join(err, database.Close())
	}
	return nil
}

// markCorruption adds ErrCorrupt to an error of bbolt, except for a lock that
// another process holds and for errors of the file system: every other error
// means that the file is damaged.
func markCorruption(err error) error {
	var pathError *fs.PathError
	if errors.Is(err, berrors.ErrTimeout) || errors.As(err, &pathError) {
		return err
	}
	return errors.Join(err, zinniapond.ErrCorrupt)
}

func (l *Log) loadIdentity() error {
	return l.database.Update(func(tx *bbolt.Tx) error {
		for _, name := range [][]byte{metaBucket, logBucket, snapshotBucket} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return fmt.Errorf("create bucket %s: %w", name, err)
			}
		}
		meta := tx.Bucket(metaBucket)
		if meta.Get(identityKey) == nil {
			l.identity = identity{Cluster: l.Cluster, Host: l.Host, Disk: zinniapond.DiskID(uuid.NewString())}
			return putValue(meta, identityKey, l.identity)
		}
		if err := getValue(meta, identityKey, &l.identity); err != nil {
			return err
		}
		if l.identity.Cluster != l.Cluster || l.identity.Host != l.Host {
			return fmt.Errorf("data folder %s belongs to host %s of cluster %s, not to host %s of cluster %s",
				l.Folder, l.identity.Host, l.identity.Cluster, l.Host, l.Cluster)
		}
		return nil
	})
}

// Close closes the file and releases its lock.
func (l *Log) Close() error { return l.database.Close() }

// DiskID returns the disk id of the data folder.
func (l *Log) DiskID() zinniapond.DiskID { return l.identity.Disk }

// IsFormed reports whether the data folder belongs to a cluster.
func (l *Log) IsFormed() bool { return l.identity.Formed }

// FormCluster makes the disk that of an initial voter of a new cluster and
// gives it the id disk. The initial voters all use the same id, "first",
// because they cannot know each other's generated ids.
func (l *Log) FormCluster(voters []zinniapond.VoterKey, disk zinniapond.DiskID) error {
	if l.identity.Formed {
		return errors.New("form cluster: the data folder is not empty")
	}
	updated := l.identity
	updated.Formed, updated.Disk = true, disk
	err := l.database.Update(func(tx *bbolt.Tx) error {
		if err := putValue(tx.Bucket(snapshotBucket), snapshotKey, zinniapond.Snapshot{Voters: voters}); err != nil {
			return err
		}
		return putValue(tx.Bucket(metaBucket), identityKey, updated)
	})
	if err == nil {
		l.identity = updated
	}
	return err
}

// Load returns the whole durable state. The error wraps ErrCorrupt if a checksum
// does not match, or if the records after the snapshot are not consecutive.
func (l *Log) Load() (loaded zinniapond.LogChange, err error) {
	// bbolt panics on a damaged page; the panic becomes an error.
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("load control log of %s: %v: %w", l.Folder, r, zinniapond.ErrCorrupt)
		}
	}()
	err = l.database.View(func(tx *bbolt.Tx) error {
		var s state
		if err := getValue(tx.Bucket(metaBucket), stateKey, &s); err != nil {
			return err
		}
		loaded.Term, loaded.VotedFor = s.Term, s.Voted
		loaded.Snapshot = new(zinniapond.Snapshot)
		if err := getValue(tx.Bucket(snapshotBucket), snapshotKey, loaded.Snapshot); err != nil {
			return err
		}
		loaded.FromIndex = loaded.Snapshot.Index + 1
		nextIndex := loaded.FromIndex
		return tx.Bucket(logBucket).ForEach(func(k, v []byte) error {
			var e zinniapond.LogEntry
			if err := decodeValue(v, &e); err != nil {
				return fmt.Errorf("record %d: %w", binary.BigEndian.Uint64(k), err)
			}
			if e.Index != nextIndex || binary.BigEndian.Uint64(k) != uint64(nextIndex) {
				return fmt.Errorf("record %d in place of %d: %w", e.Index, nextIndex, zinniapond.ErrCorrupt)
			}
			nextIndex++
			loaded.Entries = append(loaded.Entries, e)
			return nil
		})
	})
	if err != nil {
		return zinniapond.LogChange{}, fmt.Errorf("load control log of %s: %w", l.Folder, err)
	}
	return loaded, nil
}

// Save writes a change in one transaction, which is synced when Save returns.
func (l *Log) Save(change zinniapond.LogChange) error {
	return l.database.Update(func(tx *bbolt.Tx) error {
		if err := putValue(tx.Bucket(metaBucket), stateKey, state{change.Term, change.VotedFor}); err != nil {
			return err
		}
		if !l.identity.Formed && (len(change.Entries) > 0 || change.Snapshot != nil) {
			l.identity.Formed = true
			if err := putValue(tx.Bucket(metaBucket), identityKey, l.identity); err != nil {
				return err
			}
		}
		records := tx.Bucket(logBucket)
		if err := deleteFrom(records, change.FromIndex); err != nil {
			return err
		}
		for _, e := range change.Entries {
			if err := putValue(records, recordKey(e.Index), e); err != nil {
				return err
			}
		}
		if change.Snapshot == nil {
			return nil
		}
		if err := deleteUpTo(records, change.Snapshot.Index); err != nil {
			return err
		}
		return putValue(tx.Bucket(snapshotBucket), snapshotKey, change.Snapshot)
	})
}

func deleteFrom(records *bbolt.Bucket, from zinniapond.Index) error {
	c := records.Cursor()
	for k, _ := c.Seek(recordKey(from)); k != nil; k, _ = c.Seek(recordKey(from)) {
		if err := c.Delete(); err != nil {
			return fmt.Errorf("truncate control log: %w", err)
		}
	}
	return nil
}

func deleteUpTo(records *bbolt.Bucket, to zinniapond.Index) error {
	c := records.Cursor()
	for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= uint64(to); k, _ = c.First() {
		if err := c.Delete(); err != nil {
			return fmt.Errorf("delete records covered by snapshot: %w", err)
		}
	}
	return nil
}

func recordKey(index zinniapond.Index) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(index))
}

// putValue stores a value as its CRC-32C checksum followed by its CBOR encoding.
func putValue(bucket *bbolt.Bucket, key []byte, value any) error {
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

// getValue reads a value. If the key is missing, value stays unchanged.
func getValue(bucket *bbolt.Bucket, key []byte, value any) error {
	data := bucket.Get(key)
	if data == nil {
		return nil
	}
	if err := decodeValue(data, value); err != nil {
		return fmt.Errorf("read %s: %w", key, err)
	}
	return nil
}

func decodeValue(data []byte, value any) error {
	if len(data) < 4 || binary.BigEndian.Uint32(data) != crc32.Checksum(data[4:], castagnoli) {
		return fmt.Errorf("checksum of %T does not match: %w", value, zinniapond.ErrCorrupt)
	}
	if err := cbor.Unmarshal(data[4:], value); err != nil {
		return fmt.Errorf("decode %T: %w", value, errors.Join(err, zinniapond.ErrCorrupt))
	}
	return nil
}
