package keeper

import (
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/turns/ranks"
)

const (
	// offerMost is the number of turns asked about in one request.
	offerMost = 500
	// copyMost bounds the bytes of one copy request.
	copyMost = 128 << 10
	// copyLimit bounds one request between disks.
	copyLimit = 5 * time.Second
	walkPause = 200 * time.Millisecond
	// restMost bounds the rest between two copies.
	restMost = 100 * time.Millisecond
)

// walk gives all records to the disks that should have them, after each change
// of the set of disks. Until it is done under the newest set, the control
// leader does not count on it.
func (k *Keeper) walk(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := k.Directory.Changed()
		view := k.Directory.View()
		self, member := view.Disks[k.log.ID()]
		var err error
		if member && self.State != zinniapond.DiskLost && uint64(view.DisksIndex) > k.walked.Load() {
			if err = k.give(ctx, view); err == nil {
				k.walked.Store(uint64(view.DisksIndex))
				k.Logger.Info("records are with all disks that should have them", "index", view.DisksIndex)
				continue
			}
			k.Logger.Debug("records not given yet", "index", view.DisksIndex, "error", err)
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

// give copies spends and turns to the other disks of a view.
func (k *Keeper) give(ctx context.Context, view *zinniapond.ControlView) error {
	set := ranks.New(view, k.Settings.Keeper)
	lists := make(map[zinniapond.DiskID][]zinniapond.TurnID)
	k.turns.Each(func(id zinniapond.TurnID, s *stored) bool {
		for _, d := range set.Copies(set.Order(id, s.origin)) {
			lists[d.ID] = append(lists[d.ID], id)
		}
		return true
	})
	for _, d := range set.Disks {
		if d.ID == k.log.ID() || !d.Asked() {
			continue
		}
		if err := k.equal(ctx, d); err != nil {
			return err
		}
		for ids := lists[d.ID]; len(ids) > 0; {
			part := ids[:min(offerMost, len(ids))]
			ids = ids[len(part):]
			if err := k.offer(ctx, d, part); err != nil {
				return err
			}
		}
	}
	return nil
}

// groups is the number of groups of programs whose spends are compared.
const groups = 256

func groupOf(program zinniapond.ProgramID) int {
	return int(xxhash.Sum64String(string(program)) % groups)
}

// digest returns a checksum of the spends of each group.
func (k *Keeper) digest() []uint64 {
	sums := make([]uint64, groups)
	k.programs.Each(func(id zinniapond.ProgramID, a *account) bool {
		sums[groupOf(id)] ^= a.sum()
		return true
	})
	return sums
}

// equal gives a disk the spends of the groups in which it differs.
func (k *Keeper) equal(ctx context.Context, d zinniapond.Disk) error {
	limited, cancel := context.WithTimeout(ctx, copyLimit)
	defer cancel()
	var there zinniapond.DigestReply
	if err := k.Peers.Call(limited, d.Address, "Keeper.Digest", zinniapond.DiskRequest{Sender: k.Settings.Host}, &there); err != nil {
		return zinniapond.Wrap("compare spends", d.Address, err)
	}
	if there.Disk != d.ID || len(there.Groups) != groups {
		return fmt.Errorf("compare spends: %s has disk %s, not %s: %w", d.Address, there.Disk, d.ID, zinniapond.ErrNotFound)
	}
	here := k.digest()
	var spends []zinniapond.Spend
	k.programs.Each(func(id zinniapond.ProgramID, a *account) bool {
		if g := groupOf(id); here[g] != there.Groups[g] {
			spends = append(spends, a.all()...)
		}
		return true
	})
	for at := 0; at < len(spends); at += offerMost {
		part := spends[at:min(at+offerMost, len(spends))]
		if err := k.copy(ctx, d, zinniapond.KeepRequest{Spends: part, Retention: defaultRetention}); err != nil {
			return err
		}
	}
	return nil
}

// defaultRetention is for spends, whose route is not known here; programs end
// well within it.
const defaultRetention = time.Minute

// offer copies those of the turns that a disk does not have.
func (k *Keeper) offer(ctx context.Context, d zinniapond.Disk, ids []zinniapond.TurnID) error {
	limited, cancel := context.WithTimeout(ctx, copyLimit)
	defer cancel()
	var found zinniapond.FindReply
	if err := k.Peers.Call(limited, d.Address, "Keeper.Find", zinniapond.FindRequest{IDs: ids, Brief: true}, &found); err != nil {
		return zinniapond.Wrap("offer turns", d.Address, err)
	}
	if found.Disk != d.ID {
		return fmt.Errorf("offer turns: %s has disk %s, not %s: %w", d.Address, found.Disk, d.ID, zinniapond.ErrNotFound)
	}
	have := make(map[zinniapond.TurnID]bool, len(found.Have))
	for _, h := range found.Have {
		have[h.ID] = true
	}
	var request zinniapond.KeepRequest
	size := 0
	for _, id := range ids {
		s, ok := k.turns.Get(id)
		if have[id] || !ok {
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
