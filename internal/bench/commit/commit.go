// Package commit measures appends to the journal and its recovery, with all
// replicas in one process and their files on one disk.
package commit

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/journal/store"
	"zinniapond.example/zinniapond/internal/journal/writer"
)

// Trial is a journal of several shards with all its replicas in this process.
// It implements the connections to peers and the control state that the journal
// needs.
type Trial struct {
	Folder   string
	Replicas int
	Shards   int
	// SyncEachAppend syncs each append alone, without group commit.
	SyncEachAppend bool
	// BodyBytes is the size of a record's body in bytes.
	BodyBytes int
	// Clock returns the time of the records and of the measurements.
	Clock func() time.Time

	view     zinniapond.ControlView
	stores   map[netip.AddrPort]*store.Store
	writer   *writer.Writer
	cancel   context.CancelFunc
	replicas sync.WaitGroup
	syncs    atomic.Int64
}

// result has the measurements of a trial.
type result struct {
	Appends  int64
	Elapsed  time.Duration
	Syncs    int64 // of all replicas
	Latency  *hdrhistogram.Histogram
	Failures int64
}

// Start opens the replicas and recovers all shards.
func (t *Trial) Start(ctx context.Context) error {
	ctx, t.cancel = context.WithCancel(ctx)
	t.view = zinniapond.ControlView{
		Shards: t.Shards, Members: make(map[zinniapond.HostName]zinniapond.Member),
		Assignments: make(map[zinniapond.ShardID]zinniapond.Assignment),
	}
	t.stores = make(map[netip.AddrPort]*store.Store)
	var hosts []zinniapond.HostName
	for i := range t.Replicas {
		h := zinniapond.HostName("store" + strconv.Itoa(i))
		a := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i+1))
		s := &store.Store{
			Folder: filepath.Join(t.Folder, string(h)), Retention: time.Hour, SyncEachAppend: t.SyncEachAppend,
			Logger: hclog.NewNullLogger(), Clock: t.Clock, AfterSync: func() { t.syncs.Add(1) },
		}
		if err := s.Open(); err != nil {
			return err
		}
		t.replicas.Go(func() { _ = s.Run(ctx) })
		t.stores[a] = s
		t.view.Members[h] = zinniapond.Member{Name: h, PeersAddress: a}
		hosts = append(hosts, h)
	}
	for s := range t.Shards {
		shard := zinniapond.ShardID(s)
		t.view.Assignments[shard] = zinniapond.Assignment{Shard: shard, Owner: "owner", Replicas: hosts}
	}
	_, _, err := t.Recover(ctx)
	return err
}

// Stop ends the trial and waits for the replicas.
func (t *Trial) Stop() {
	t.cancel()
	t.replicas.Wait()
}

// Recover makes a new owner recover all shards, eight at a time. It returns the
// time taken and the number of records replayed.
func (t *Trial) Recover(ctx context.Context) (time.Duration, int, error) {
	t.writer = &writer.Writer{
		Host: "owner", Replicas: t.Replicas, Peers: t, Directory: t, Control: t,
		Logger: hclog.NewNullLogger(), Clock: t.Clock, Timeout: 30 * time.Second,
	}
	began := t.Clock()
	var records atomic.Int64
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(8)
	for shard, a := range t.view.Assignments {
		a.Epoch++
		t.view.Assignments[shard] = a
	}
	for _, a := range t.view.Assignments {
		group.Go(func() error {
			return t.writer.Recover(ctx, t.Clock(), a, func(zinniapond.Record) error {
				records.Add(1)
				return nil
			})
		})
	}
	err := group.Wait()
	return t.Clock().Sub(began), int(records.Load()), err
}

// AppendPrograms appends records of many programs that do not end: for each
// an open record and the given number of turns of two records.
func (t *Trial) AppendPrograms(ctx context.Context, programs, turns int) error {
	var failure atomic.Value
	var group sync.WaitGroup
	next := make(chan int)
	for range 512 {
		group.Go(func() {
			for p := range next {
				id := zinniapond.ProgramID("program-" + strconv.Itoa(p))
				if err := t.appendProgram(ctx, id, turns); err != nil {
					failure.Store(err)
				}
			}
		})
	}
	for p := range programs {
		next <- p
	}
	close(next)
	group.Wait()
	err, _ := failure.Load().(error)
	return err
}

func (t *Trial) appendProgram(ctx context.Context, id zinniapond.ProgramID, turns int) error {
	if err := t.appendRecord(ctx, t.newRecord(zinniapond.RecordOpen, id)); err != nil {
		return err
	}
	for range turns {
		intent, result := t.newRecord(zinniapond.RecordIntent, id), t.newRecord(zinniapond.RecordResult, id)
		if err := errors.Join(t.appendRecord(ctx, intent), t.appendRecord(ctx, result)); err != nil {
			return err
		}
	}
	return nil
}

func (t *Trial) newRecord(kind zinniapond.RecordKind, id zinniapond.ProgramID) zinniapond.Record {
	r := zinniapond.Record{Kind: kind, Program: id, At: t.Clock()}
	switch kind {
	case zinniapond.RecordOpen:
		r.OpenedProgram = &zinniapond.Program{ID: id, Plan: "plan", Customer: "customer", OpenedAt: r.At}
	case zinniapond.RecordIntent:
		r.Call = &zinniapond.Call{ID: zinniapond.CallID(id), Program: id, Body: make([]byte, t.BodyBytes)}
	case zinniapond.RecordResult:
		r.Answer = &zinniapond.Answer{Call: zinniapond.CallID(id), Body: make([]byte, t.BodyBytes)}
	}
	return r
}

func (t *Trial) appendRecord(ctx context.Context, r zinniapond.Record) error {
	shard := zinniapond.ShardOf(string(r.Program), t.Shards)
	return t.writer.Append(ctx, t.Clock(), shard, t.view.Assignments[shard].Epoch, r)
}

// MeasureAppends lets programs append concurrently for the given time, each
// program one record after the other.
func (t *Trial) MeasureAppends(ctx context.Context, programs int, duration time.Duration) result {
	before := t.syncs.Load()
	r := measureAppends(t.Clock, programs, duration, func(p, _ int) error {
		return t.appendRecord(ctx, t.newRecord(zinniapond.RecordIntent, zinniapond.ProgramID("load-"+strconv.Itoa(p))))
	})
	r.Syncs = t.syncs.Load() - before
	return r
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// Size returns the size of one replica's journal on disk in bytes.
func (t *Trial) Size() (int64, error) {
	info, err := os.Stat(filepath.Join(t.Folder, "store0", "journal.db"))
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// View returns the control state of the trial.
func (t *Trial) View() *zinniapond.ControlView { return &t.view }

// Catalog returns an empty catalogue.
func (t *Trial) Catalog() *zinniapond.Catalog { return new(zinniapond.Catalog) }

// LeaseValid always returns true.
func (t *Trial) LeaseValid(time.Time) bool { return true }

// ConfirmedAt returns the present time.
func (t *Trial) ConfirmedAt() time.Time { return t.Clock() }

// Changed returns a channel that is never closed.
func (t *Trial) Changed() <-chan struct{} { return nil }

// Propose accepts no command: it returns an empty result.
func (t *Trial) Propose(context.Context, time.Time, zinniapond.Command) (zinniapond.CommandResult, error) {
	return zinniapond.CommandResult{}, nil
}

// Call calls a replica in this process.
func (t *Trial) Call(_ context.Context, peer netip.AddrPort, method string, request, reply any) error {
	s := t.stores[peer]
	switch r := request.(type) {
	case *zinniapond.AppendRequest:
		return s.Append(r, reply.(*zinniapond.AppendReply))
	case *zinniapond.SealRequest:
		return s.Seal(r, reply.(*zinniapond.SealReply))
	case *zinniapond.ReadRequest:
		return s.Read(r, reply.(*zinniapond.ReadReply))
	}
	return fmt.Errorf("call %s: %w", method, zinniapond.ErrMalformed)
}
