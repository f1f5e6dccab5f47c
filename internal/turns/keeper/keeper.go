// Package keeper is the role that stores the turns and spends of programs on a
// disk. Turns are immutable, and spends only change from reserved to settled, so
// replicas need no ordering of writes.
package keeper

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/shard"
	"zinniapond.example/zinniapond/internal/turns/disk"
)

func init() {
	kernel.Register[zinniapond.RolePlugin](string(zinniapond.RoleKeeper), build)
}

func build(k *kernel.Kernel) (zinniapond.RolePlugin, error) {
	r := &Keeper{Settings: k.Settings, Logger: k.Logger.Named("keeper"), Clock: k.Now}
	mounter, err := kernel.Find[zinniapond.Mounter](k)
	err = errors.Join(err, kernel.FindInto(k, &r.Peers), kernel.FindInto(k, &r.Directory), kernel.FindInto(k, &r.Control))
	if err != nil {
		return nil, err
	}
	if err := mounter.Mount("Keeper", r); err != nil {
		return nil, fmt.Errorf("mount keeper: %w", err)
	}
	return r, nil
}

const (
	// appendTimeout bounds the wait for a sync. A disk that stalls for longer is
	// treated as one that does not answer.
	appendTimeout = 4 * time.Second
)

// errNotReady is the answer to requests that arrive before the disk has been read and
// the set of disks is known.
var errNotReady = errors.New("keeper is not ready")

// Keeper stores records on one disk. Its exported fields are set before Run.
type Keeper struct {
	Settings  *zinniapond.Settings
	Peers     zinniapond.Peers
	Directory zinniapond.Directory
	Control   zinniapond.Control
	Logger    hclog.Logger
	Clock     func() time.Time

	log          disk.Log
	ready        atomic.Bool
	verifiedView atomic.Uint64
	turns        shard.Map[zinniapond.TurnID, *turnEntry]
	programs     shard.Map[zinniapond.ProgramID, *account]
	renewals     renewals
}

// turnEntry is the index entry of a stored turn: the location of its record, and the
// fields that most requests need.
type turnEntry struct {
	chain   []zinniapond.TurnID
	origin  zinniapond.DataCentre
	segment uint32
	offset  int64
	expiry  atomic.Int64 // end of the retention in Unix nanoseconds
	renewal renewalState
}

// diskRecord is the encoded form of a record on the disk; either Turn or Spend is set.
type diskRecord struct {
	Turn  *zinniapond.Turn  `cbor:"t,omitempty"`
	Spend *zinniapond.Spend `cbor:"s,omitempty"`
	// Retention is the retention of the spend; a turn has its own.
	Retention time.Duration `cbor:"r,omitempty"`
}

// Role returns the role of the plug-in.
func (k *Keeper) Role() zinniapond.Role { return zinniapond.RoleKeeper }

// Run reads the disk, joins the set of disks, and serves until ctx is done.
func (k *Keeper) Run(ctx context.Context) error {
	k.log.Folder = filepath.Join(k.Settings.DataFolder, "turns")
	now := k.Clock()
	count := 0
	if err := k.log.Open(func(record []byte, segment uint32, offset int64) {
		count++
		k.loadRecord(now, record, segment, offset)
	}); err != nil {
		return err
	}
	k.Logger.Info("turns loaded", "records", count, "disk", k.log.ID())
	k.ready.Store(true)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return k.log.Run(ctx) })
	group.Go(func() error { return k.maintainMembership(ctx) })
	group.Go(func() error { return k.runReplication(ctx) })
	group.Go(func() error { return k.runExpiry(ctx) })
	group.Go(func() error { return k.runRenewal(ctx) })
	return errors.Join(group.Wait(), k.log.Close())
}

// loadRecord indexes a record read from the disk. The age of the record is not
// known, so its retention and that of its chain begin again.
func (k *Keeper) loadRecord(now time.Time, record []byte, segment uint32, offset int64) {
	var e diskRecord
	if err := cbor.Unmarshal(record, &e); err != nil {
		k.Logger.Error("record cannot be decoded", "segment", segment, "offset", offset, "error", err)
		return
	}
	if e.Turn != nil {
		k.indexTurn(now, e.Turn, segment, offset)
	}
	if e.Spend != nil {
		k.accountOf(e.Spend.Program).merge(*e.Spend, segment, now.Add(e.Retention+zinniapond.RetentionSlack))
	}
}

// indexTurn adds a turn to the index. Its earlier turns are renewed from now on.
func (k *Keeper) indexTurn(now time.Time, t *zinniapond.Turn, segment uint32, offset int64) {
	s := &turnEntry{chain: t.Chain, origin: t.Origin, segment: segment, offset: offset}
	s.expiry.Store(now.Add(t.Retention + zinniapond.RetentionSlack).UnixNano())
	s.renewal.init(now, t)
	k.turns.Set(t.ID, s)
}

func (k *Keeper) accountOf(program zinniapond.ProgramID) *account {
	return k.programs.GetOrCreate(program, func() *account { return new(account) })
}

// maintainMembership proposes the disk as a member of the set whenever the view does
// not have it, unless the disk was retired.
func (k *Keeper) maintainMembership(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := k.Directory.Changed()
		view := k.Directory.View()
		_, member := view.Disks[k.log.ID()]
		if _, retired := view.Retired[k.log.ID()]; !member && !retired && view.Index > 0 {
			k.proposeJoin(ctx)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return nil
}

func (k *Keeper) proposeJoin(ctx context.Context) {
	change := zinniapond.DiskChange{Disk: zinniapond.Disk{
		ID: k.log.ID(), Host: k.Settings.Host, Address: k.Settings.PeersAddress(),
		DataCentre: k.Settings.DataCentre, State: zinniapond.DiskJoining,
	}}
	result, err := k.Control.Propose(ctx, k.Clock(), zinniapond.Command{Kind: zinniapond.CommandDisk, Disk: &change})
	if err != nil || !result.Accepted {
		k.Logger.Warn("disk did not join", "disk", k.log.ID(), "reason", result.Reason, "error", err)
		return
	}
	k.Logger.Info("disk joins", "disk", k.log.ID(), "index", result.Index)
}

// runExpiry periodically drops records that are past their retention.
func (k *Keeper) runExpiry(ctx context.Context) error {
	ticker := time.NewTicker(zinniapond.RetentionSlack / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if err := k.dropExpired(k.Clock()); err != nil {
				k.Logger.Warn("segments not freed", "error", err)
			}
		}
	}
}

func (k *Keeper) dropExpired(now time.Time) error {
	usedSegments := make(map[uint32]bool)
	var expiredTurns []zinniapond.TurnID
	k.turns.Each(func(id zinniapond.TurnID, s *turnEntry) bool {
		if s.expiry.Load() < now.UnixNano() {
			expiredTurns = append(expiredTurns, id)
		} else {
			usedSegments[s.segment] = true
		}
		return true
	})
	for _, id := range expiredTurns {
		k.turns.Delete(id)
	}
	var expiredPrograms []zinniapond.ProgramID
	k.programs.Each(func(id zinniapond.ProgramID, a *account) bool {
		if !a.markSegments(now, usedSegments) {
			expiredPrograms = append(expiredPrograms, id)
		}
		return true
	})
	for _, id := range expiredPrograms {
		k.programs.Delete(id)
	}
	return k.log.RemoveSegments(func(segment uint32) bool { return !usedSegments[segment] })
}
