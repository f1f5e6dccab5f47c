package client

import (
	"context"
	"fmt"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/turns/quorum"
)

// ReadChain returns a turn and all turns before it, oldest first, from the
// cache or from the disks.
func (c *Client) ReadChain(ctx context.Context, _ time.Time, id zinniapond.TurnID) ([]zinniapond.Turn, error) {
	var chain []zinniapond.Turn
	err := c.retryOnViewChange(ctx, func(view zinniapond.Index, set quorum.Set) error {
		location, err := c.findChain(ctx, set, view, id)
		if err != nil {
			return err
		}
		chain, err = c.loadTurns(ctx, set, view, location)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("read turn %s: %w", id, err)
	}
	return chain, nil
}

// chainLocation has the ids of a chain, oldest first, and a disk that stores the
// last turn of it. The disk is nil if the chain was found in the cache.
type chainLocation struct {
	ids  []zinniapond.TurnID
	disk *zinniapond.Disk
}

// findChain looks up the ids of the turns in the chain that ends with the turn id.
func (c *Client) findChain(ctx context.Context, set quorum.Set, view zinniapond.Index, id zinniapond.TurnID) (chainLocation, error) {
	if t, ok := c.cache.get(id); ok {
		return chainLocation{ids: append(t.Chain[:len(t.Chain):len(t.Chain)], id)}, nil
	}
	request := zinniapond.FindRequest{DisksIndex: view, IDs: []zinniapond.TurnID{id}}
	if f, ok := c.askLikeliestDisk(ctx, set, id, request); ok {
		return f, nil
	}
	var f chainLocation
	absent := false
	err := askAllDisks(ctx, c, set, "Keeper.Find", request, func(a answer[zinniapond.FindReply], conclusive bool) (bool, error) {
		for _, h := range a.reply.Found {
			f = chainLocation{ids: append(h.Chain[:len(h.Chain):len(h.Chain)], id), disk: &a.disk}
			return true, nil
		}
		if a.reply.DisksIndex > view {
			return false, errViewChanged
		}
		absent = conclusive
		return conclusive, nil
	})
	if err == nil && f.ids == nil && absent {
		err = zinniapond.ErrNotFound
	}
	return f, err
}

// askLikeliestDisk asks only the first disk in the placement order of a turn, on
// the assumption that the turn was written in this data centre. After a restart of
// all front hosts each turn of a program is read from the disks, and asking all
// disks each time would exceed their CPU capacity.
func (c *Client) askLikeliestDisk(ctx context.Context, set quorum.Set, id zinniapond.TurnID, request zinniapond.FindRequest) (chainLocation, bool) {
	order := c.moveUnresponsiveLast(set.PreferenceOrder(id, c.DataCentre))
	if len(order) == 0 {
		return chainLocation{}, false
	}
	callCtx, cancel := context.WithTimeout(ctx, hedgeDelay)
	defer cancel()
	answers := make(chan answer[zinniapond.FindReply], 1)
	askDisk(callCtx, c, order[0], "Keeper.Find", request, answers)
	a := <-answers
	if a.err != nil || len(a.reply.Found) == 0 {
		return chainLocation{}, false
	}
	h := a.reply.Found[0]
	return chainLocation{ids: append(h.Chain[:len(h.Chain):len(h.Chain)], id), disk: &a.disk}, true
}

// loadTurns reads the turns of a chain. Turns that are not in the cache are read
// first from the disk that has the last turn, since turns of one program are
// mostly on the same disks.
func (c *Client) loadTurns(ctx context.Context, set quorum.Set, view zinniapond.Index, f chainLocation) ([]zinniapond.Turn, error) {
	turns := make(map[zinniapond.TurnID]zinniapond.Turn, len(f.ids))
	for _, id := range f.ids {
		if t, ok := c.cache.get(id); ok {
			turns[id] = t
		}
	}
	if f.disk != nil {
		if err := c.fetchTurns(ctx, *f.disk, view, missingIDs(f.ids, turns), turns); err != nil {
			c.Logger.Debug("turns not read", "error", err)
		}
	}
	if ids := missingIDs(f.ids, turns); len(ids) > 0 {
		if err := c.searchAllDisks(ctx, set, view, ids, turns); err != nil {
			return nil, err
		}
	}
	chain := make([]zinniapond.Turn, len(f.ids))
	for i, id := range f.ids {
		chain[i] = turns[id]
	}
	return chain, nil
}

func missingIDs(ids []zinniapond.TurnID, turns map[zinniapond.TurnID]zinniapond.Turn) []zinniapond.TurnID {
	var missing []zinniapond.TurnID
	for _, id := range ids {
		if _, ok := turns[id]; !ok {
			missing = append(missing, id)
		}
	}
	return missing
}

// searchAllDisks asks all disks which of the turns they have, and reads each turn
// from the first disk that has it.
func (c *Client) searchAllDisks(ctx context.Context, set quorum.Set, view zinniapond.Index, ids []zinniapond.TurnID, turns map[zinniapond.TurnID]zinniapond.Turn) error {
	request := zinniapond.FindRequest{DisksIndex: view, IDs: ids}
	err := askAllDisks(ctx, c, set, "Keeper.Find", request, func(a answer[zinniapond.FindReply], _ bool) (bool, error) {
		var stored []zinniapond.TurnID
		for _, h := range a.reply.Found {
			if _, ok := turns[h.ID]; !ok {
				stored = append(stored, h.ID)
			}
		}
		if err := c.fetchTurns(ctx, a.disk, view, stored, turns); err != nil {
			c.Logger.Debug("turns not read", "error", err)
		}
		return len(missingIDs(ids, turns)) == 0, nil
	})
	if missing := missingIDs(ids, turns); len(missing) > 0 {
		// A turn is retained as long as its successors, so a turn that is not
		// found is on a disk that does not answer.
		return fmt.Errorf("earlier turn %s: %w", missing[0], zinniapond.Join(zinniapond.ErrNoQuorum, err))
	}
	return nil
}

func (c *Client) fetchTurns(ctx context.Context, d zinniapond.Disk, view zinniapond.Index, ids []zinniapond.TurnID, turns map[zinniapond.TurnID]zinniapond.Turn) error {
	if len(ids) == 0 {
		return nil
	}
	answers := make(chan answer[zinniapond.FindReply], 1)
	askDisk(ctx, c, d, "Keeper.Find", zinniapond.FindRequest{DisksIndex: view, IDs: ids, WithContent: true}, answers)
	a := <-answers
	if a.err != nil {
		return a.err
	}
	for _, t := range a.reply.Turns {
		turns[t.ID] = t
		c.cache.add(t, c.CacheBytes)
	}
	return nil
}
