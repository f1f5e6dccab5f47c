// Package writer is the owner's side of the replicated program journal.
package writer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/shard"
)

func init() {
	kernel.Register[zinniapond.Journal]("default", build)
}

// replica is a journal store on this host.
type replica interface {
	Append(*zinniapond.AppendRequest, *zinniapond.AppendReply) error
	Seal(*zinniapond.SealRequest, *zinniapond.SealReply) error
	Read(*zinniapond.ReadRequest, *zinniapond.ReadReply) error
}

func build(k *kernel.Kernel) (zinniapond.Journal, error) {
	p, err := kernel.Find[zinniapond.Peers](k)
	if err != nil {
		return nil, err
	}
	d, err := kernel.Find[zinniapond.Directory](k)
	if err != nil {
		return nil, err
	}
	c, err := kernel.Find[zinniapond.Control](k)
	if err != nil {
		return nil, err
	}
	w := &Writer{
		Host: k.Settings.Host, Replicas: k.Settings.Control.Replicas,
		Peers: p, Directory: d, Control: c,
		Logger: k.Logger.Named("journal"), Clock: k.Now,
	}
	if k.Settings.HasRole(zinniapond.RoleStore) {
		s, err := kernel.FindNamed[zinniapond.RolePlugin](k, string(zinniapond.RoleStore))
		if err != nil {
			return nil, err
		}
		w.Local, _ = s.(replica)
	}
	return w, nil
}

// Writer writes and reads the journals of the shards that this host owns. The
// epoch on the wire is the assignment's epoch and a round: a host that recovers
// a shard twice under one assignment, as after a restart, takes a new round, so
// that an entry is identified by its epoch and index.
type Writer struct {
	Host zinniapond.HostName
	// Replicas is the wanted number of replicas of a shard.
	Replicas  int
	Peers     zinniapond.Peers
	Directory zinniapond.Directory
	Control   zinniapond.Control
	// Local is the replica on this host, called directly; may be nil.
	Local  replica
	Logger hclog.Logger
	Clock  func() time.Time
	// Wait bounds an append and each step of a recovery; 2 s by default.
	Wait time.Duration

	logs shard.Map[zinniapond.ShardID, *shardLog]
	once sync.Once
	root context.Context
	stop context.CancelFunc
}

// roundBits is the part of an epoch on the wire that counts recoveries under
// one assignment.
const roundBits = 16

func ballotOf(epoch zinniapond.Epoch, round zinniapond.Epoch) zinniapond.Epoch {
	return epoch<<roundBits | round
}

func (w *Writer) wait() time.Duration {
	if w.Wait > 0 {
		return w.Wait
	}
	return 2 * time.Second
}

func (w *Writer) context() context.Context {
	w.once.Do(func() { w.root, w.stop = context.WithCancel(context.Background()) })
	return w.root
}

// Run adopts changes of the assignments of shards that this host keeps, such as
// a joining replica, until ctx is done. Then it stops all replication.
func (w *Writer) Run(ctx context.Context) error {
	w.context()
	defer w.stop()
	for {
		changed := w.Directory.Changed()
		v := w.Directory.View()
		var held []*shardLog
		w.logs.Each(func(_ zinniapond.ShardID, l *shardLog) bool {
			held = append(held, l)
			return true
		})
		for _, l := range held {
			w.adopt(l, v)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// log returns the log of a shard that was recovered under the given epoch.
func (w *Writer) log(shard zinniapond.ShardID, epoch zinniapond.Epoch) (*shardLog, error) {
	l, ok := w.logs.Get(shard)
	if !ok {
		return nil, fmt.Errorf("journal shard %d is not recovered: %w", shard, zinniapond.ErrNotOwner)
	}
	if epoch != 0 && !l.holds(epoch) {
		return nil, fmt.Errorf("journal shard %d is not held at epoch %d: %w", shard, epoch, zinniapond.ErrFenced)
	}
	return l, nil
}

// Append returns once a majority of the replicas has synced the records.
// Appends that arrive while a message to a replica is under way share the next
// message. After ErrNoQuorum the records may or may not be in the journal; a
// later append that succeeds tells that they are.
func (w *Writer) Append(ctx context.Context, _ time.Time, shard zinniapond.ShardID, epoch zinniapond.Epoch,
	records ...zinniapond.Record,
) error {
	entries := make([]zinniapond.JournalEntry, len(records))
	for i := range records {
		data, err := encoding.Marshal(&records[i])
		if err != nil {
			return fmt.Errorf("encode journal record: %w", err)
		}
		entries[i] = zinniapond.JournalEntry{Program: records[i].Program, Kind: records[i].Kind, Data: data}
	}
	l, err := w.log(shard, epoch)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, w.wait())
	defer cancel()
	_, err = l.append(ctx, entries)
	return err
}

// encoding keeps fractions of seconds, which CBOR's default drops.
var encoding = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

func decode(entry zinniapond.JournalEntry) (zinniapond.Record, error) {
	var r zinniapond.Record
	if err := cbor.Unmarshal(entry.Data, &r); err != nil {
		return r, fmt.Errorf("decode journal record %d: %w", entry.Index, errors.Join(zinniapond.ErrCorrupt, err))
	}
	return r, nil
}

// member is one replica of a shard as its owner sees it.
type member struct {
	host zinniapond.HostName
	wake chan struct{}
	stop context.CancelFunc

	// Guarded by the log's lock.
	next    zinniapond.Index // first index to send
	match   zinniapond.Index // last index known to agree and be synced
	voting  bool             // counts towards a majority
	barrier zinniapond.Index // to be committed before the replica may count
}

// address is where a host is reached now; a restarted host may have moved.
func (w *Writer) address(host zinniapond.HostName) netip.AddrPort {
	return w.Directory.View().Members[host].Peers
}

// call calls a method of the journal on a replica.
func (w *Writer) call(ctx context.Context, host zinniapond.HostName, method string, request, reply any) error {
	if host == w.Host && w.Local != nil {
		var err error
		switch r := request.(type) {
		case *zinniapond.AppendRequest:
			err = w.Local.Append(r, reply.(*zinniapond.AppendReply))
		case *zinniapond.SealRequest:
			err = w.Local.Seal(r, reply.(*zinniapond.SealReply))
		case *zinniapond.ReadRequest:
			err = w.Local.Read(r, reply.(*zinniapond.ReadReply))
		}
		return err
	}
	a := w.address(host)
	if !a.IsValid() {
		return fmt.Errorf("%s: host %s has no address: %w", method, host, zinniapond.ErrNotFound)
	}
	return zinniapond.Wrap(method, a, w.Peers.Call(ctx, a, method, request, reply))
}
