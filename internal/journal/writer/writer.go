// Package writer is the shard owner's side of the replicated program journal.
// It seals and recovers the log of a shard, replicates appended records to the
// shard's replicas and reads records back.
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

// localReplica is the journal store on this host, called without the network.
type localReplica interface {
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
		w.Local, _ = s.(localReplica)
	}
	return w, nil
}

// Writer writes and reads the journals of the shards that this host owns. The
// epoch on the wire, here called ballot, combines the assignment's epoch with a
// round: a host that recovers a shard twice under one assignment, as after a
// restart, takes a new round, so that epoch and index identify an entry.
type Writer struct {
	Host zinniapond.HostName
	// Replicas is the target number of replicas of a shard.
	Replicas  int
	Peers     zinniapond.Peers
	Directory zinniapond.Directory
	Control   zinniapond.Control
	// Local is the journal store on this host; nil if the host has none.
	Local  localReplica
	Logger hclog.Logger
	Clock  func() time.Time
	// Timeout is the time-out of an append and of each step of a recovery; 2 s if
	// it is not set.
	Timeout time.Duration

	logs     shard.Map[zinniapond.ShardID, *shardLog]
	rootOnce sync.Once
	rootCtx  context.Context
	stop     context.CancelFunc
}

// roundBits is the number of low bits of an epoch on the wire that count the
// recoveries under one assignment.
const roundBits = 16

// makeBallot returns the epoch on the wire for a round of an assignment's epoch.
func makeBallot(epoch zinniapond.Epoch, round zinniapond.Epoch) zinniapond.Epoch {
	return epoch<<roundBits | round
}

func (w *Writer) timeout() time.Duration {
	if w.Timeout > 0 {
		return w.Timeout
	}
	return 2 * time.Second
}

func (w *Writer) rootContext() context.Context {
	w.rootOnce.Do(func() { w.rootCtx, w.stop = context.WithCancel(context.Background()) })
	return w.rootCtx
}

// Run applies changes of the assignments of the shards that this host owns, such
// as a joining replica, until ctx is done. Then it stops all replication.
func (w *Writer) Run(ctx context.Context) error {
	w.rootContext()
	defer w.stop()
	for {
		changed := w.Directory.Changed()
		v := w.Directory.View()
		var logs []*shardLog
		w.logs.Each(func(_ zinniapond.ShardID, l *shardLog) bool {
			logs = append(logs, l)
			return true
		})
		for _, l := range logs {
			w.applyAssignment(l, v)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// findLog returns the log of a shard that this host has recovered. An epoch
// other than 0 has to be one under which the log accepts appends.
func (w *Writer) findLog(shard zinniapond.ShardID, epoch zinniapond.Epoch) (*shardLog, error) {
	l, ok := w.logs.Get(shard)
	if !ok {
		return nil, fmt.Errorf("journal shard %d is not recovered: %w", shard, zinniapond.ErrNotOwner)
	}
	if epoch != 0 && !l.acceptsEpoch(epoch) {
		return nil, fmt.Errorf("journal shard %d is not held at epoch %d: %w", shard, epoch, zinniapond.ErrFenced)
	}
	return l, nil
}

// Append returns once a majority of the replicas has synced the records.
// Appends that arrive while a request to a replica is in flight share the next
// request. After ErrNoQuorum the records may or may not be in the journal; a
// later append that succeeds shows that they are.
func (w *Writer) Append(ctx context.Context, _ time.Time, shard zinniapond.ShardID, epoch zinniapond.Epoch,
	records ...zinniapond.Record,
) error {
	entries := make([]zinniapond.JournalEntry, len(records))
	for i := range records {
		data, err := recordEncoding.Marshal(&records[i])
		if err != nil {
			return fmt.Errorf("encode journal record: %w", err)
		}
		entries[i] = zinniapond.JournalEntry{Program: records[i].Program, Kind: records[i].Kind, Data: data}
	}
	l, err := w.findLog(shard, epoch)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, w.timeout())
	defer cancel()
	_, err = l.append(ctx, entries)
	return err
}

// recordEncoding writes times with fractions of seconds, which the default of
// the CBOR library drops.
var recordEncoding = func() cbor.EncMode {
	m, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

func decodeRecord(entry zinniapond.JournalEntry) (zinniapond.Record, error) {
	var r zinniapond.Record
	if err := cbor.Unmarshal(entry.Data, &r); err != nil {
		return r, fmt.Errorf("decode journal record %d: %w", entry.Index, errors.Join(zinniapond.ErrCorrupt, err))
	}
	return r, nil
}

// follower is the replication state of one replica of a shard, kept by the
// shard's owner.
type follower struct {
	host   zinniapond.HostName
	wakeup chan struct{}
	stop   context.CancelFunc

	// The fields below are guarded by the lock of shardLog.
	nextIndex    zinniapond.Index // first index to send
	matchIndex   zinniapond.Index // last index that the replica has synced and that agrees with the log
	voting       bool             // counts towards a majority
	barrierIndex zinniapond.Index // entry to be committed before the replica may vote; 0 if none
}

// peerAddress returns the present address of a host. It is looked up for each
// call, because a restarted host may have another address.
func (w *Writer) peerAddress(host zinniapond.HostName) netip.AddrPort {
	return w.Directory.View().Members[host].PeersAddress
}

// callReplica calls a journal method on a replica: the one on this host directly,
// others over the network.
func (w *Writer) callReplica(ctx context.Context, host zinniapond.HostName, method string, request, reply any) error {
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
	a := w.peerAddress(host)
	if !a.IsValid() {
		return fmt.Errorf("%s: host %s has no address: %w", method, host, zinniapond.ErrNotFound)
	}
	return zinniapond.Wrap(method, a, w.Peers.Call(ctx, a, method, request, reply))
}
