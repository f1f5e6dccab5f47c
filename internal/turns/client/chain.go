package client

import (
	"context"
	"fmt"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/turns/ranks"
)

// Chain returns a turn with those before it, oldest first, from memory or from
// the disks.
func (c *Client) Chain(ctx context.Context, _ time.Time, id zinniapond.TurnID) ([]zinniapond.Turn, error) {
	var chain []zinniapond.Turn
	err := c.retry(ctx, func(view zinniapond.Index, set ranks.Set) error {
		links, err := c.link(ctx, set, view, id)
		if err != nil {
			return err
		}
		chain, err = c.load(ctx, set, view, links)
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("read turn %s: %w", id, err)
	}
	return chain, nil
}

// found is a chain of ids and, if a disk was asked, a disk that has its last.
type found struct {
	ids []zinniapond.TurnID
	at  *zinniapond.Disk
}

// link finds the ids of a chain.
func (c *Client) link(ctx context.Context, set ranks.Set, view zinniapond.Index, id zinniapond.TurnID) (found, error) {
	if t, ok := c.cache.get(id); ok {
		return found{ids: append(t.Chain[:len(t.Chain):len(t.Chain)], id)}, nil
	}
	request := zinniapond.FindRequest{View: view, IDs: []zinniapond.TurnID{id}}
	if f, ok := c.guess(ctx, set, id, request); ok {
		return f, nil
	}
	var f found
	absent := false
	err := collect(ctx, c, set, "Keeper.Find", request, func(a answer[zinniapond.FindReply], certain bool) (bool, error) {
		for _, h := range a.reply.Have {
			f = found{ids: append(h.Chain[:len(h.Chain):len(h.Chain)], id), at: &a.disk}
			return true, nil
		}
		if a.reply.View > view {
			return false, errView
		}
		absent = certain
		return certain, nil
	})
	if err == nil && f.ids == nil && absent {
		err = zinniapond.ErrNotFound
	}
	return f, err
}

// guess asks the disk that most likely has a turn: the first in its order, if it
// was kept in this data centre. After a restart of all fronts each turn of a
// program is read from the disks, and asking all of them each time would take
// more than their processors have.
func (c *Client) guess(ctx context.Context, set ranks.Set, id zinniapond.TurnID, request zinniapond.FindRequest) (found, bool) {
	order := c.prefer(set.Order(id, c.DataCentre))
	if len(order) == 0 {
		return found{}, false
	}
	limited, cancel := context.WithTimeout(ctx, hedge)
	defer cancel()
	answers := make(chan answer[zinniapond.FindReply], 1)
	ask(limited, c, order[0], "Keeper.Find", request, answers)
	a := <-answers
	if a.err != nil || len(a.reply.Have) == 0 {
		return found{}, false
	}
	h := a.reply.Have[0]
	return found{ids: append(h.Chain[:len(h.Chain):len(h.Chain)], id), at: &a.disk}, true
}

// load reads the turns of a chain, those that are not in memory first from the
// disk that has the last one: turns of one program mostly are on the same disks.
func (c *Client) load(ctx context.Context, set ranks.Set, view zinniapond.Index, f found) ([]zinniapond.Turn, error) {
	have := make(map[zinniapond.TurnID]zinniapond.Turn, len(f.ids))
	for _, id := range f.ids {
		if t, ok := c.cache.get(id); ok {
			have[id] = t
		}
	}
	if f.at != nil {
		if err := c.fetch(ctx, *f.at, view, missing(f.ids, have), have); err != nil {
			c.Logger.Debug("turns not read", "error", err)
		}
	}
	if ids := missing(f.ids, have); len(ids) > 0 {
		if err := c.search(ctx, set, view, ids, have); err != nil {
			return nil, err
		}
	}
	chain := make([]zinniapond.Turn, len(f.ids))
	for i, id := range f.ids {
		chain[i] = have[id]
	}
	return chain, nil
}

func missing(ids []zinniapond.TurnID, have map[zinniapond.TurnID]zinniapond.Turn) []zinniapond.TurnID {
	var left []zinniapond.TurnID
	for _, id := range ids {
		if _, ok := have[id]; !ok {
			left = append(left, id)
		}
	}
	return left
}

// search asks all disks which of the turns they have, and reads them there.
func (c *Client) search(ctx context.Context, set ranks.Set, view zinniapond.Index, ids []zinniapond.TurnID, have map[zinniapond.TurnID]zinniapond.Turn) error {
	request := zinniapond.FindRequest{View: view, IDs: ids}
	err := collect(ctx, c, set, "Keeper.Find", request, func(a answer[zinniapond.FindReply], _ bool) (bool, error) {
		var there []zinniapond.TurnID
		for _, h := range a.reply.Have {
			if _, ok := have[h.ID]; !ok {
				there = append(there, h.ID)
			}
		}
		if err := c.fetch(ctx, a.disk, view, there, have); err != nil {
			c.Logger.Debug("turns not read", "error", err)
		}
		return len(missing(ids, have)) == 0, nil
	})
	if left := missing(ids, have); len(left) > 0 {
		// A turn is kept as long as those after it, so that one that is not found
		// is on a disk that does not answer.
		return fmt.Errorf("earlier turn %s: %w", left[0], zinniapond.Join(zinniapond.ErrNoQuorum, err))
	}
	return nil
}

func (c *Client) fetch(ctx context.Context, d zinniapond.Disk, view zinniapond.Index, ids []zinniapond.TurnID, have map[zinniapond.TurnID]zinniapond.Turn) error {
	if len(ids) == 0 {
		return nil
	}
	answers := make(chan answer[zinniapond.FindReply], 1)
	ask(ctx, c, d, "Keeper.Find", zinniapond.FindRequest{View: view, IDs: ids, Whole: true}, answers)
	a := <-answers
	if a.err != nil {
		return a.err
	}
	for _, t := range a.reply.Turns {
		have[t.ID] = t
		c.cache.add(t, c.Most)
	}
	return nil
}
