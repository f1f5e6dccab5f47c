package client

import (
	"context"
	"fmt"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/turns/quorum"
)

// Reserve writes the reservation to all disks, each of which returns all spends
// of the program. Of two concurrent reservations, one is written second on a disk
// that answers both, and its reply contains the other. Of three, each may so see
// just one other. A reservation that sees another open one therefore reads the
// spends again once it is written: the last one to be written then sees all, and
// concurrent reservations cannot exceed the budget together. Reserve returns the
// program's other spends.
func (c *Client) Reserve(ctx context.Context, now time.Time, spend zinniapond.Spend, budget zinniapond.Tokens) ([]zinniapond.Spend, error) {
	if settled := c.settledSums.get(now, spend.Program); settled+spend.Reserved > budget {
		return nil, newBudgetError(spend, settled, budget)
	}
	var spends map[zinniapond.AttemptID]zinniapond.Spend
	err := c.retryOnViewChange(ctx, func(view zinniapond.Index, set quorum.Set) error {
		var err error
		spends, err = c.writeReservation(ctx, set, zinniapond.KeepRequest{
			DisksIndex: view, Spends: []zinniapond.Spend{spend}, Retention: spend.KeepTime(), SpendsOf: spend.Program,
		})
		if err == nil && hasOtherReservation(spends, spend.Turn) {
			err = c.readSpends(ctx, set, zinniapond.FindRequest{DisksIndex: view, SpendsOf: spend.Program}, spends)
		}
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("reserve tokens of program %s: %w", spend.Program, err)
	}
	delete(spends, spend.Turn)
	otherSpends := make([]zinniapond.Spend, 0, len(spends))
	var otherCost, settled zinniapond.Tokens
	for _, s := range spends {
		otherSpends = append(otherSpends, s)
		otherCost += s.Cost()
		if s.Settled {
			settled += s.Used
		}
	}
	if otherCost+spend.Reserved <= budget {
		return otherSpends, nil
	}
	c.settledSums.set(now, spend.Program, settled)
	c.releases.Go(func() { c.releaseReservation(context.WithoutCancel(ctx), now, spend) })
	return nil, newBudgetError(spend, otherCost, budget)
}

func newBudgetError(spend zinniapond.Spend, spent, budget zinniapond.Tokens) error {
	return fmt.Errorf("reserve tokens of program %s: %d of %d are spent, %d asked: %w",
		spend.Program, spent, budget, spend.Reserved, zinniapond.ErrBudgetExhausted)
}

// releaseReservation settles a refused reservation with 0 tokens used.
func (c *Client) releaseReservation(ctx context.Context, now time.Time, spend zinniapond.Spend) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.Settle(ctx, now, spend); err != nil {
		c.Logger.Warn("tokens stay reserved", "program", spend.Program, "turn", spend.Turn, "reserved", spend.Reserved, "error", err)
	}
}

// writeReservation writes a reservation to all disks. It returns the program's
// spends once the reservation is durable and the answers are certain to contain
// every durable spend.
func (c *Client) writeReservation(ctx context.Context, set quorum.Set, request zinniapond.KeepRequest) (map[zinniapond.AttemptID]zinniapond.Spend, error) {
	spends := make(map[zinniapond.AttemptID]zinniapond.Spend)
	var synced []zinniapond.Disk
	err := askAllDisks(ctx, c, set, "Keeper.Keep", request, func(a answer[zinniapond.KeepReply], conclusive bool) (bool, error) {
		if a.reply.DisksIndex > request.DisksIndex {
			return false, errViewChanged
		}
		if a.reply.Kept && a.disk.CountsForWrites() {
			synced = append(synced, a.disk)
		}
		addSpends(spends, a.reply.Spends)
		return conclusive && set.IsWriteQuorum(synced), nil
	})
	return spends, err
}

// addSpends adds spends that are not yet known in the same or a later state.
func addSpends(spends map[zinniapond.AttemptID]zinniapond.Spend, added []zinniapond.Spend) {
	for _, s := range added {
		if known, ok := spends[s.Turn]; !ok || s.Supersedes(known) {
			spends[s.Turn] = s
		}
	}
}

// hasOtherReservation reports whether a turn other than the given one has tokens
// reserved.
func hasOtherReservation(spends map[zinniapond.AttemptID]zinniapond.Spend, turn zinniapond.AttemptID) bool {
	for _, s := range spends {
		if !s.Settled && s.Turn != turn {
			return true
		}
	}
	return false
}

// readSpends adds a program's spends to those already known, until the answers are
// certain to contain every durable spend.
func (c *Client) readSpends(ctx context.Context, set quorum.Set, request zinniapond.FindRequest, spends map[zinniapond.AttemptID]zinniapond.Spend) error {
	return askAllDisks(ctx, c, set, "Keeper.Find", request, func(a answer[zinniapond.FindReply], conclusive bool) (bool, error) {
		if a.reply.DisksIndex > request.DisksIndex {
			return false, errViewChanged
		}
		addSpends(spends, a.reply.Spends)
		return conclusive, nil
	})
}

// askAllDisks sends a request to all disks and passes each answer to handle, until
// handle returns true or an error. The argument conclusive is true once a durable
// record that none of the answered disks has cannot exist.
func askAllDisks[R reply](ctx context.Context, c *Client, set quorum.Set, method string, request any, handle func(a answer[R], conclusive bool) (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	// The requests to the other disks continue after the return: a write should
	// reach all disks.
	defer time.AfterFunc(callTimeout, cancel)
	answers := make(chan answer[R], len(set.Disks))
	pending := 0
	for _, d := range set.Disks {
		if d.IsReadable() {
			pending++
			go askDisk(ctx, c, d, method, request, answers)
		}
	}
	answered := make(map[zinniapond.DiskID]bool)
	var joinedErr error
	for ; pending > 0; pending-- {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d disks have answered: %w", len(answered), zinniapond.Join(zinniapond.ErrNoQuorum, ctx.Err(), joinedErr))
		case a := <-answers:
			if a.err != nil {
				joinedErr = zinniapond.Join(joinedErr, a.err)
				continue
			}
			answered[a.disk.ID] = true
			done, err := handle(a, set.IsReadQuorum(func(id zinniapond.DiskID) bool { return answered[id] }))
			if done || err != nil {
				return err
			}
		}
	}
	return fmt.Errorf("%d of %d disks have answered: %w", len(answered), len(set.Disks), zinniapond.Join(zinniapond.ErrNoQuorum, joinedErr))
}
