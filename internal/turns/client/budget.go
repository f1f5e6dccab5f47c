package client

import (
	"context"
	"fmt"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/turns/ranks"
)

// Reserve writes the reservation to all disks, each of which answers with what the
// whole program has spent. Of two reservations that are made at once, one comes
// second on a disk that answers both, so that together they stay within the
// budget.
func (c *Client) Reserve(ctx context.Context, now time.Time, spend zinniapond.Spend, budget zinniapond.Tokens) ([]zinniapond.Spend, error) {
	if final := c.spent.get(now, spend.Program); final+spend.Reserved > budget {
		return nil, overdrawn(spend, final, budget)
	}
	var all map[zinniapond.AttemptID]zinniapond.Spend
	err := c.retry(ctx, func(view zinniapond.Index, set ranks.Set) error {
		var err error
		all, err = c.announce(ctx, set, zinniapond.KeepRequest{
			View: view, Spends: []zinniapond.Spend{spend}, Retention: zinniapond.SpendRetention, Program: spend.Program,
		})
		return err
	})
	if err != nil {
		return nil, fmt.Errorf("reserve tokens of program %s: %w", spend.Program, err)
	}
	delete(all, spend.Turn)
	list := make([]zinniapond.Spend, 0, len(all))
	var others, final zinniapond.Tokens
	for _, s := range all {
		list = append(list, s)
		others += s.Cost()
		if s.Settled {
			final += s.Used
		}
	}
	if others+spend.Reserved <= budget {
		return list, nil
	}
	c.spent.set(now, spend.Program, final)
	c.withdrawals.Go(func() { c.withdraw(context.WithoutCancel(ctx), now, spend) })
	return nil, overdrawn(spend, others, budget)
}

func overdrawn(spend zinniapond.Spend, spent, budget zinniapond.Tokens) error {
	return fmt.Errorf("reserve tokens of program %s: %d of %d are spent, %d asked: %w",
		spend.Program, spent, budget, spend.Reserved, zinniapond.ErrBudget)
}

// withdraw settles a reservation that was not granted.
func (c *Client) withdraw(ctx context.Context, now time.Time, spend zinniapond.Spend) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if err := c.Settle(ctx, now, spend); err != nil {
		c.Logger.Warn("tokens stay reserved", "program", spend.Program, "turn", spend.Turn, "reserved", spend.Reserved, "error", err)
	}
}

// announce writes a reservation to all disks. It returns what the program has
// spent once the reservation is durable and nothing of that can be missing.
func (c *Client) announce(ctx context.Context, set ranks.Set, request zinniapond.KeepRequest) (map[zinniapond.AttemptID]zinniapond.Spend, error) {
	all := make(map[zinniapond.AttemptID]zinniapond.Spend)
	var on []zinniapond.Disk
	err := collect(ctx, c, set, "Keeper.Keep", request, func(a answer[zinniapond.KeepReply], certain bool) (bool, error) {
		if a.reply.View > request.View {
			return false, errView
		}
		if a.reply.Kept && a.disk.Counts() {
			on = append(on, a.disk)
		}
		for _, s := range a.reply.Spends {
			if !all[s.Turn].Settled {
				all[s.Turn] = s
			}
		}
		return certain && set.Written(on), nil
	})
	return all, err
}

// collect asks all disks and passes their answers to take, until that says that
// it has enough. certain tells whether what the disks so far lack does not exist.
func collect[R reply](ctx context.Context, c *Client, set ranks.Set, method string, request any, take func(a answer[R], certain bool) (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	// The requests to the other disks go on: a write should reach them all.
	defer time.AfterFunc(callLimit, cancel)
	answers := make(chan answer[R], len(set.Disks))
	open := 0
	for _, d := range set.Disks {
		if d.Asked() {
			open++
			go ask(ctx, c, d, method, request, answers)
		}
	}
	heard := make(map[zinniapond.DiskID]bool)
	var failures error
	for ; open > 0; open-- {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d disks have answered: %w", len(heard), zinniapond.Join(zinniapond.ErrNoQuorum, ctx.Err(), failures))
		case a := <-answers:
			if a.err != nil {
				failures = zinniapond.Join(failures, a.err)
				continue
			}
			heard[a.disk.ID] = true
			done, err := take(a, set.Certain(func(id zinniapond.DiskID) bool { return heard[id] }))
			if done || err != nil {
				return err
			}
		}
	}
	return fmt.Errorf("%d of %d disks have answered: %w", len(heard), len(set.Disks), zinniapond.Join(zinniapond.ErrNoQuorum, failures))
}
