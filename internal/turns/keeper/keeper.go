// Package keeper is the role that keeps turns and budgets of programs on a
// disk. Turns are written once and never changed, and spends only go from
// reserved to settled, so that copies need no order among each other.
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
	err = errors.Join(err, kernel.Fill(k, &r.Peers), kernel.Fill(k, &r.Directory), kernel.Fill(k, &r.Control))
	if err != nil {
		return nil, err
	}
	if err := mounter.Mount("Keeper", r); err != nil {
		return nil, fmt.Errorf("mount keeper: %w", err)
	}
	return r, nil
}

const (
	// appendLimit bounds the wait for a sync. A disk that stalls for longer
	// counts as one that does not answer.
	appendLimit = 4 * time.Second
)

// errNotOpen answers requests that come before the disk is read.
var errNotOpen = errors.New("keeper is not ready")

// Keeper keeps records on one disk. Its exported fields are set before Run.
type Keeper struct {
	Settings  *zinniapond.Settings
	Peers     zinniapond.Peers
	Directory zinniapond.Directory
	Control   zinniapond.Control
	Logger    hclog.Logger
	Clock     func() time.Time

	log      disk.Log
	open     atomic.Bool
	walked   atomic.Uint64
	turns    shard.Map[zinniapond.TurnID, *stored]
	programs shard.Map[zinniapond.ProgramID, *account]
}

// stored is where a turn is, and what is asked of it most.
type stored struct {
	chain   []zinniapond.TurnID
	origin  zinniapond.DataCentre
	segment uint32
	offset  int64
	until   atomic.Int64 // Unix nanoseconds
}

// entry is the form of a record on the disk.
type entry struct {
	Turn  *zinniapond.Turn  `cbor:"t,omitempty"`
	Spend *zinniapond.Spend `cbor:"s,omitempty"`
	// Retention is of the spend.
	Retention time.Duration `cbor:"r,omitempty"`
}

// Role returns the role of the plug-in.
func (k *Keeper) Role() zinniapond.Role { return zinniapond.RoleKeeper }

// Run reads the disk, joins the set of disks, and serves until ctx is done.
func (k *Keeper) Run(ctx context.Context) error {
	k.log.Folder = filepath.Join(k.Settings.Data, "turns")
	now := k.Clock()
	count := 0
	if err := k.log.Open(func(record []byte, segment uint32, offset int64) {
		count++
		k.load(now, record, segment, offset)
	}); err != nil {
		return err
	}
	k.Logger.Info("turns loaded", "records", count, "disk", k.log.ID())
	k.open.Store(true)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return k.log.Run(ctx) })
	group.Go(func() error { return k.join(ctx) })
	group.Go(func() error { return k.walk(ctx) })
	group.Go(func() error { return k.expire(ctx) })
	return errors.Join(group.Wait(), k.log.Close())
}

// load takes in a record of the disk. Its age is not known, so that its
// retention begins anew.
func (k *Keeper) load(now time.Time, record []byte, segment uint32, offset int64) {
	var e entry
	if err := cbor.Unmarshal(record, &e); err != nil {
		k.Logger.Error("record cannot be decoded", "segment", segment, "offset", offset, "error", err)
		return
	}
	if e.Turn != nil {
		k.index(now, e.Turn, segment, offset)
	}
	if e.Spend != nil {
		k.account(e.Spend.Program).merge(*e.Spend, segment, now.Add(e.Retention+zinniapond.RetentionSlack))
	}
}

func (k *Keeper) index(now time.Time, t *zinniapond.Turn, segment uint32, offset int64) {
	s := &stored{chain: t.Chain, origin: t.Origin, segment: segment, offset: offset}
	s.until.Store(now.Add(t.Retention + zinniapond.RetentionSlack).UnixNano())
	k.turns.Set(t.ID, s)
}

func (k *Keeper) account(program zinniapond.ProgramID) *account {
	return k.programs.GetOrCreate(program, func() *account { return new(account) })
}

// join makes the disk a member, and again whenever it was removed.
func (k *Keeper) join(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := k.Directory.Changed()
		view := k.Directory.View()
		_, member := view.Disks[k.log.ID()]
		if _, retired := view.Retired[k.log.ID()]; !member && !retired && view.Index > 0 {
			k.enter(ctx)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return nil
}

func (k *Keeper) enter(ctx context.Context) {
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

// expire forgets what is past its retention, and frees segments.
func (k *Keeper) expire(ctx context.Context) error {
	ticker := time.NewTicker(zinniapond.RetentionSlack / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if err := k.sweep(k.Clock()); err != nil {
				k.Logger.Warn("segments not freed", "error", err)
			}
		}
	}
}

func (k *Keeper) sweep(now time.Time) error {
	used := make(map[uint32]bool)
	var over []zinniapond.TurnID
	k.turns.Each(func(id zinniapond.TurnID, s *stored) bool {
		if s.until.Load() < now.UnixNano() {
			over = append(over, id)
		} else {
			used[s.segment] = true
		}
		return true
	})
	for _, id := range over {
		k.turns.Delete(id)
	}
	var ended []zinniapond.ProgramID
	k.programs.Each(func(id zinniapond.ProgramID, a *account) bool {
		if !a.live(now, used) {
			ended = append(ended, id)
		}
		return true
	})
	for _, id := range ended {
		k.programs.Delete(id)
	}
	return k.log.Drop(func(segment uint32) bool { return !used[segment] })
}
