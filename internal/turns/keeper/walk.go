package keeper

import (
	"context"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/turns/ranks"
)

const (
	// offerMost is the number of records asked about in one request.
	offerMost = 500
	// copyMost bounds the bytes of one copy request.
	copyMost = 128 << 10
	// copyLimit bounds one request between disks.
	copyLimit = 5 * time.Second
	walkPause = 200 * time.Millisecond
	// restMost bounds the rest between two copies.
	restMost = 100 * time.Millisecond
)

// walk makes sure that enough other disks have each record of this one, whenever
// a disk was lost or leaves. Until that is done under the newest set, the
// control leader does not remove a disk. A disk that joins needs no copies of
// what was written before: the disks that have it go on being asked.
func (k *Keeper) walk(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := k.Directory.Changed()
		view := k.Directory.View()
		self, member := view.Disks[k.log.ID()]
		var err error
		if member && self.State != zinniapond.DiskLost && uint64(view.DisksIndex) > k.walked.Load() {
			if err = k.give(ctx, view); err == nil {
				k.walked.Store(uint64(view.DisksIndex))
				k.Logger.Info("records have enough copies", "index", view.DisksIndex)
				continue
			}
			k.Logger.Debug("records do not have enough copies yet", "index", view.DisksIndex, "error", err)
		}
		var retry <-chan time.Time
		if err != nil {
			retry = time.After(walkPause)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-retry:
		}
	}
	return nil
}

// give copies what too few disks of a view have.
func (k *Keeper) give(ctx context.Context, view *zinniapond.ControlView) error {
	set := ranks.New(view, k.Settings.Keeper)
	if !slices.ContainsFunc(set.Disks, func(d zinniapond.Disk) bool {
		return d.State == zinniapond.DiskLost || d.State == zinniapond.DiskLeaving
	}) {
		return nil
	}
	if err := k.equal(ctx, set); err != nil {
		return err
	}
	var ids []zinniapond.TurnID
	k.turns.Each(func(id zinniapond.TurnID, _ *stored) bool {
		ids = append(ids, id)
		return true
	})
	for part := range slices.Chunk(ids, offerMost) {
		if err := k.spread(ctx, set, part); err != nil {
			return err
		}
	}
	return nil
}

// spread copies those of the turns of which too few disks have a copy. The first
// disk in the order of a turn that has it does so, and any if only disks have
// it that do not count.
func (k *Keeper) spread(ctx context.Context, set ranks.Set, ids []zinniapond.TurnID) error {
	holders, err := k.holders(ctx, set, ids)
	if err != nil {
		return err
	}
	lists := make(map[zinniapond.DiskID][]zinniapond.TurnID)
	few := false
	for _, id := range ids {
		s, ok := k.turns.Get(id)
		if !ok {
			continue
		}
		order := set.Order(id, s.origin)
		has := func(d zinniapond.DiskID) bool { return holders[d][id] }
		first := slices.IndexFunc(order, func(d zinniapond.Disk) bool { return has(d.ID) })
		if first >= 0 && order[first].ID != k.log.ID() {
			continue
		}
		lack, enough := set.Short(order, has)
		few = few || !enough
		for _, d := range lack {
			lists[d.ID] = append(lists[d.ID], id)
		}
	}
	for _, d := range set.Disks {
		if err := k.send(ctx, d, lists[d.ID]); err != nil {
			return err
		}
	}
	if few {
		return fmt.Errorf("%d disks are too few for the copies: %w", len(set.Disks), zinniapond.ErrNoQuorum)
	}
	return nil
}

// holders asks all disks that count which of the turns they have.
func (k *Keeper) holders(ctx context.Context, set ranks.Set, ids []zinniapond.TurnID) (map[zinniapond.DiskID]map[zinniapond.TurnID]bool, error) {
	limited, cancel := context.WithTimeout(ctx, copyLimit)
	defer cancel()
	holders := make(map[zinniapond.DiskID]map[zinniapond.TurnID]bool)
	group, limited := errgroup.WithContext(limited)
	for _, d := range set.Disks {
		if !d.Counts() {
			continue
		}
		have := make(map[zinniapond.TurnID]bool, len(ids))
		holders[d.ID] = have
		if d.ID == k.log.ID() {
			for _, id := range ids {
				have[id] = true
			}
			continue
		}
		group.Go(func() error {
			var found zinniapond.FindReply
			if err := k.Peers.Call(limited, d.Address, "Keeper.Find", zinniapond.FindRequest{IDs: ids, Brief: true}, &found); err != nil {
				return zinniapond.Wrap("find copies", d.Address, err)
			}
			if found.Disk != d.ID {
				return fmt.Errorf("find copies: %s has disk %s, not %s: %w", d.Address, found.Disk, d.ID, zinniapond.ErrNotFound)
			}
			for _, h := range found.Have {
				have[h.ID] = true
			}
			return nil
		})
	}
	return holders, group.Wait()
}

// send copies turns to a disk.
func (k *Keeper) send(ctx context.Context, d zinniapond.Disk, ids []zinniapond.TurnID) error {
	var request zinniapond.KeepRequest
	size := 0
	for _, id := range ids {
		s, ok := k.turns.Get(id)
		if !ok {
			continue
		}
		t, err := k.read(s)
		if err != nil {
			k.Logger.Error("turn cannot be copied", "turn", id, "error", err)
			return err
		}
		request.Turns = append(request.Turns, t)
		if size += len(t.Input) + len(t.Output); size > copyMost {
			if err := k.copy(ctx, d, request); err != nil {
				return err
			}
			request.Turns, size = nil, 0
		}
	}
	if len(request.Turns) == 0 {
		return nil
	}
	return k.copy(ctx, d, request)
}

// copy sends records to a disk, and then rests for half as long as that took: the
// processors and links of both hosts serve turns meanwhile.
func (k *Keeper) copy(ctx context.Context, d zinniapond.Disk, request zinniapond.KeepRequest) error {
	start := k.Clock()
	defer func() { time.Sleep(min(k.Clock().Sub(start)/2, restMost)) }()
	limited, cancel := context.WithTimeout(ctx, copyLimit)
	defer cancel()
	var reply zinniapond.KeepReply
	if err := k.Peers.Call(limited, d.Address, "Keeper.Keep", request, &reply); err != nil {
		return zinniapond.Wrap("copy turns", d.Address, err)
	}
	if !reply.Kept || reply.Disk != d.ID {
		return fmt.Errorf("copy turns: disk %s did not take them: %w", d.ID, zinniapond.ErrNotFound)
	}
	return nil
}
