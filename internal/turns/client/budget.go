package client

import (
	"context"
	"fmt"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/turns/ranks"
)

// spendRetention is how long the spends of a program are kept after the last
// one. It outlasts the retention of any route in use.
const spendRetention = 2 * time.Minute

// Reserve writes the reservation, and then reads what the whole program has
// spent. Of reservations that are made at once, the one that is written last
// sees all others, so that together they stay within the budget.
func (c *Client) Reserve(ctx context.Context, _ time.Time, spend zinniapond.Spend, budget zinniapond.Tokens) error {
	var all map[zinniapond.AttemptID]zinniapond.Spend
	err := c.retry(ctx, func(view zinniapond.Index, set ranks.Set) error {
		request := zinniapond.KeepRequest{View: view, Spends: []zinniapond.Spend{spend}, Retention: spendRetention}
		if err := c.announce(ctx, set, request); err != nil {
			return err
		}
		var err error
		all, err = c.spends(ctx, set, view, spend.Program)
		return err
	})
	if err != nil {
		return fmt.Errorf("reserve tokens of program %s: %w", spend.Program, err)
	}
	var others zinniapond.Tokens
	for id, s := range all {
		if id != spend.Turn {
			others += s.Cost()
		}
	}
	if others+spend.Reserved > budget {
		return fmt.Errorf("reserve tokens of program %s: %d of %d are spent, %d asked: %w",
			spend.Program, others, budget, spend.Reserved, zinniapond.ErrBudget)
	}
	return nil
}

// announce writes a reservation to all disks, and returns once it is durable.
func (c *Client) announce(ctx context.Context, set ranks.Set, request zinniapond.KeepRequest) error {
	var on []zinniapond.Disk
	return collect(ctx, c, set, "Keeper.Keep", request, func(a answer[zinniapond.KeepReply], _ bool) (bool, error) {
		switch {
		case a.reply.View > request.View:
			return false, errView
		case a.reply.Kept && a.disk.Counts():
			on = append(on, a.disk)
		}
		return set.Written(on), nil
	})
}

// spends reads what a program has spent.
func (c *Client) spends(ctx context.Context, set ranks.Set, view zinniapond.Index, program zinniapond.ProgramID) (map[zinniapond.AttemptID]zinniapond.Spend, error) {
	all := make(map[zinniapond.AttemptID]zinniapond.Spend)
	request := zinniapond.FindRequest{View: view, Program: program}
	err := collect(ctx, c, set, "Keeper.Find", request, func(a answer[zinniapond.FindReply], certain bool) (bool, error) {
		if a.reply.View > view {
			return false, errView
		}
		for _, s := range a.reply.Spends {
			if !all[s.Turn].Settled {
				all[s.Turn] = s
			}
		}
		return certain, nil
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
