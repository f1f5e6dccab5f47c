package client

import (
	"context"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
)

// touchPause separates two rounds of telling the disks which turns are still in
// use. It is well below the time that disks add to each retention.
const touchPause = 5 * time.Second

// touched has the turns before those that were kept since the last round: a
// chain is kept for as long as its last turn.
type touched struct {
	mu        sync.Mutex
	ids       map[zinniapond.TurnID]bool
	retention time.Duration
}

func (t *touched) add(ids []zinniapond.TurnID, retention time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ids == nil {
		t.ids = make(map[zinniapond.TurnID]bool)
	}
	for _, id := range ids {
		t.ids[id] = true
	}
	t.retention = max(t.retention, retention)
}

// take returns what was added since the last call.
func (t *touched) take() ([]zinniapond.TurnID, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make([]zinniapond.TurnID, 0, len(t.ids))
	for id := range t.ids {
		ids = append(ids, id)
	}
	t.ids = nil
	return ids, t.retention
}

// Run tells the disks which turns are in use, until ctx is done.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(touchPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.flush(context.WithoutCancel(ctx))
			c.withdrawals.Wait()
			return nil
		case <-ticker.C:
			c.flush(ctx)
		}
	}
}

// flush sends one round to all disks, wherever the turns are.
func (c *Client) flush(ctx context.Context) {
	ids, retention := c.touched.take()
	if len(ids) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, touchPause)
	defer cancel()
	request := zinniapond.KeepRequest{Touch: ids, Retention: retention}
	var group sync.WaitGroup
	for _, d := range c.Directory.View().Disks {
		if !d.Asked() {
			continue
		}
		group.Go(func() {
			answers := make(chan answer[zinniapond.KeepReply], 1)
			ask(ctx, c, d, "Keeper.Keep", request, answers)
			if a := <-answers; a.err != nil {
				c.Logger.Debug("turns in use not told", "disk", d.ID, "error", a.err)
			}
		})
	}
	group.Wait()
}
