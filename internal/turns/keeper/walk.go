package keeper

import (
	"context"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/turns/quorum"
)

const (
	// maxRecordsPerQuery is the number of records asked about in one request.
	maxRecordsPerQuery    = 500
	replicationRetryDelay = 200 * time.Millisecond
)

// runReplication makes sure that enough other disks have each record of this disk,
// whenever a disk was lost or is leaving. The control leader does not remove a disk
// until this has been done for the newest view. A joining disk needs no copies of
// earlier records: reads still ask the disks that have them.
func (k *Keeper) runReplication(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := k.Directory.Changed()
		view := k.Directory.View()
		self, member := view.Disks[k.log.ID()]
		var err error
		if member && self.State != zinniapond.DiskLost && uint64(view.DisksIndex) > k.verifiedView.Load() {
			if err = k.replicateAll(ctx, view); err == nil {
				k.verifiedView.Store(uint64(view.DisksIndex))
				k.Logger.Info("records have enough copies", "index", view.DisksIndex)
				continue
			}
			k.Logger.Debug("records do not have enough copies yet", "index", view.DisksIndex, "error", err)
		}
		var retry <-chan time.Time
		if err != nil {
			retry = time.After(replicationRetryDelay)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-retry:
		}
	}
	return nil
}

// replicateAll copies the records that too few disks of a view have. It does nothing
// while no disk is lost or leaving.
func (k *Keeper) replicateAll(ctx context.Context, view *zinniapond.ControlView) error {
	set := quorum.New(view, k.Settings.Keeper)
	if !slices.ContainsFunc(set.Disks, func(d zinniapond.Disk) bool {
		return d.State == zinniapond.DiskLost || d.State == zinniapond.DiskLeaving
	}) {
		return nil
	}
	begun := k.Clock()
	c := k.newCopier(ctx, begun)
	sent, err := c.sendLackingRecords(begun, set)
	// All requests in flight end before the walk does.
	if err = zinniapond.Join(err, c.wait()); err != nil {
		return err
	}
	k.Logger.Info("records copied", "turns", sent.turns, "bytes", sent.bytes, "spends", sent.spends, "took", k.Clock().Sub(begun), "index", view.DisksIndex)
	return nil
}

// copied counts the records that a walk has sent to other disks.
type copied struct {
	turns, bytes, spends int
}

// sendLackingRecords sends the records of this disk that too few disks have.
func (c *copier) sendLackingRecords(now time.Time, set quorum.Set) (sent copied, err error) {
	if sent.spends, err = c.replicateSpends(set); err != nil {
		return sent, err
	}
	var ids []zinniapond.TurnID
	c.turns.Each(func(id zinniapond.TurnID, s *turnEntry) bool {
		if s.expiry.Load() >= now.UnixNano() {
			ids = append(ids, id)
		}
		return true
	})
	for chunk := range slices.Chunk(ids, maxRecordsPerQuery) {
		if err := c.replicateTurns(set, chunk, &sent); err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// replicateTurns copies those of the turns of which too few disks have a copy. A
// turn is copied by the first disk in its placement order that has it. If only disks
// whose copies do not count have it, each of them copies it.
func (c *copier) replicateTurns(set quorum.Set, ids []zinniapond.TurnID, sent *copied) error {
	holders, err := c.fetchHolders(c.ctx, set, ids)
	if err != nil {
		return err
	}
	toSend := make(map[zinniapond.DiskID][]zinniapond.TurnID)
	tooFewDisks := false
	for _, id := range ids {
		s, ok := c.turns.Get(id)
		if !ok {
			continue
		}
		order := set.PreferenceOrder(id, s.origin)
		has := func(d zinniapond.DiskID) bool { return holders[d][id] }
		first := slices.IndexFunc(order, func(d zinniapond.Disk) bool { return has(d.ID) })
		if first >= 0 && order[first].ID != c.log.ID() {
			continue
		}
		lack, enough := set.MissingCopies(order, has)
		tooFewDisks = tooFewDisks || !enough
		for _, d := range lack {
			toSend[d.ID] = append(toSend[d.ID], id)
		}
	}
	for _, d := range set.Disks {
		if err := c.sendTurns(d, toSend[d.ID], sent); err != nil {
			return err
		}
	}
	if tooFewDisks {
		return fmt.Errorf("%d disks are too few for the copies: %w", len(set.Disks), zinniapond.ErrNoQuorum)
	}
	return nil
}

// fetchHolders asks all disks whose copies count which of the turns they have.
func (k *Keeper) fetchHolders(ctx context.Context, set quorum.Set, ids []zinniapond.TurnID) (map[zinniapond.DiskID]map[zinniapond.TurnID]bool, error) {
	callCtx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	holders := make(map[zinniapond.DiskID]map[zinniapond.TurnID]bool)
	group, callCtx := errgroup.WithContext(callCtx)
	for _, d := range set.Disks {
		if !d.CountsForWrites() {
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
			if err := k.Peers.Call(callCtx, d.Address, "Keeper.Find", zinniapond.FindRequest{IDs: ids, IDsOnly: true}, &found); err != nil {
				return zinniapond.Wrap("find copies", d.Address, err)
			}
			if found.Disk != d.ID {
				return fmt.Errorf("find copies: %s has disk %s, not %s: %w", d.Address, found.Disk, d.ID, zinniapond.ErrNotFound)
			}
			for _, h := range found.Found {
				have[h.ID] = true
			}
			return nil
		})
	}
	return holders, group.Wait()
}

// sendTurns reads turns from this disk and copies them to another one.
func (c *copier) sendTurns(d zinniapond.Disk, ids []zinniapond.TurnID, sent *copied) error {
	var request zinniapond.KeepRequest
	size := 0
	flush := func() error {
		if len(request.Turns) == 0 {
			return nil
		}
		full := request
		sent.turns, sent.bytes = sent.turns+len(full.Turns), sent.bytes+size
		err := c.run(size, func() error { return c.sendRecords(d, full) })
		request, size = zinniapond.KeepRequest{}, 0
		return err
	}
	for _, id := range ids {
		s, ok := c.turns.Get(id)
		if !ok {
			continue
		}
		t, err := c.readTurn(s)
		if err != nil {
			c.Logger.Error("turn cannot be copied", "turn", id, "error", err)
			return err
		}
		request.Turns = append(request.Turns, t)
		if size += len(t.Input) + len(t.Output); size > maxCopyBytes {
			if err := flush(); err != nil {
				return err
			}
		}
	}
	return flush()
}
