package keeper

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
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

// equal gives the other disks the spends of those seconds in which too few have
// the same spends as this one. The seconds are taken in random order, so that
// several disks do not send the same ones.
func (k *Keeper) equal(ctx context.Context, set ranks.Set) error {
	here := k.digest()
	there := make(map[zinniapond.DiskID]map[int64]uint64)
	for _, d := range set.Disks {
		if !d.Counts() {
			continue
		}
		if there[d.ID] = here; d.ID == k.log.ID() {
			continue
		}
		sums, err := k.sums(ctx, d)
		if err != nil {
			return err
		}
		there[d.ID] = sums
	}
	short := make(map[int64][]zinniapond.Spend)
	for at, sum := range here {
		same := slices.DeleteFunc(slices.Clone(set.Disks), func(d zinniapond.Disk) bool { return there[d.ID][at] != sum })
		if !set.Written(same) {
			short[at] = nil
		}
	}
	k.programs.Each(func(_ zinniapond.ProgramID, a *account) bool {
		for _, s := range a.all() {
			if list, ok := short[s.At.Unix()]; ok {
				short[s.At.Unix()] = append(list, s)
			}
		}
		return true
	})
	seconds := slices.Collect(maps.Keys(short))
	rand.Shuffle(len(seconds), func(a, b int) { seconds[a], seconds[b] = seconds[b], seconds[a] })
	for _, at := range seconds {
		for _, d := range set.Disks {
			if !d.Counts() || there[d.ID][at] == here[at] {
				continue
			}
			for part := range slices.Chunk(short[at], offerMost) {
				if err := k.offer(ctx, d, part); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// sums returns the checksums of a disk by the second.
func (k *Keeper) sums(ctx context.Context, d zinniapond.Disk) (map[int64]uint64, error) {
	limited, cancel := context.WithTimeout(ctx, copyLimit)
	defer cancel()
	var there zinniapond.DigestReply
	if err := k.Peers.Call(limited, d.Address, "Keeper.Digest", zinniapond.DiskRequest{Sender: k.Settings.Host}, &there); err != nil {
		return nil, zinniapond.Wrap("compare spends", d.Address, err)
	}
	if there.Disk != d.ID {
		return nil, fmt.Errorf("compare spends: %s has disk %s, not %s: %w", d.Address, there.Disk, d.ID, zinniapond.ErrNotFound)
	}
	sums := make(map[int64]uint64, len(there.Sums))
	for _, s := range there.Sums {
		sums[s.At.Unix()] = s.Sum
	}
	return sums, nil
}

// defaultRetention is for spends, whose route is not known here; programs end
// well within it.
const defaultRetention = time.Minute

// offer copies those of the spends that a disk does not have.
func (k *Keeper) offer(ctx context.Context, d zinniapond.Disk, spends []zinniapond.Spend) error {
	limited, cancel := context.WithTimeout(ctx, copyLimit)
	defer cancel()
	var request zinniapond.LackRequest
	for _, s := range spends {
		request.Spends = append(request.Spends, zinniapond.SpendKey{Program: s.Program, Turn: s.Turn})
	}
	var reply zinniapond.LackReply
	if err := k.Peers.Call(limited, d.Address, "Keeper.Lacks", request, &reply); err != nil {
		return zinniapond.Wrap("offer spends", d.Address, err)
	}
	if reply.Disk != d.ID {
		return fmt.Errorf("offer spends: %s has disk %s, not %s: %w", d.Address, reply.Disk, d.ID, zinniapond.ErrNotFound)
	}
	lacks := make(map[zinniapond.SpendKey]bool, len(reply.Lack))
	for _, key := range reply.Lack {
		lacks[key] = true
	}
	missing := slices.DeleteFunc(slices.Clone(spends), func(s zinniapond.Spend) bool {
		return !lacks[zinniapond.SpendKey{Program: s.Program, Turn: s.Turn}]
	})
	if len(missing) == 0 {
		return nil
	}
	return k.copy(ctx, d, zinniapond.KeepRequest{Spends: missing, Retention: defaultRetention})
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
