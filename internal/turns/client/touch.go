package client

import (
	"context"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
)

// touchInterval is the interval at which the retention of turns in use is renewed
// on the disks. It is well below zinniapond.RetentionSlack, which disks add to
// each retention.
const touchInterval = 5 * time.Second

// touchedSet collects the predecessors of the turns that were written since the
// last flush. Their retention is renewed, since a chain is retained as long as its
// last turn.
type touchedSet struct {
	mu        sync.Mutex
	ids       map[zinniapond.TurnID]bool
	retention time.Duration
}

func (t *touchedSet) add(ids []zinniapond.TurnID, retention time.Duration) {
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

// drain returns and removes the collected ids, and returns the longest retention
// that was added so far.
func (t *touchedSet) drain() ([]zinniapond.TurnID, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ids := make([]zinniapond.TurnID, 0, len(t.ids))
	for id := range t.ids {
		ids = append(ids, id)
	}
	t.ids = nil
	return ids, t.retention
}

// Run renews the retention of turns in use on the disks, until ctx is done. It then
// flushes once more and waits for the settlements of refused reservations.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(touchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.flush(context.WithoutCancel(ctx))
			c.releases.Wait()
			return nil
		case <-ticker.C:
			c.flush(ctx)
		}
	}
}

// flush sends the collected ids to all disks, whichever turns they store.
func (c *Client) flush(ctx context.Context) {
	ids, retention := c.touchedTurns.drain()
	if len(ids) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, touchInterval)
	defer cancel()
	request := zinniapond.KeepRequest{Renew: ids, Retention: retention}
	var group sync.WaitGroup
	for _, d := range c.Directory.View().Disks {
		if !d.IsReadable() {
			continue
		}
		group.Go(func() {
			answers := make(chan answer[zinniapond.KeepReply], 1)
			askDisk(ctx, c, d, "Keeper.Keep", request, answers)
			if a := <-answers; a.err != nil {
				c.Logger.Debug("retention of turns not renewed", "disk", d.ID, "error", a.err)
			}
		})
	}
	group.Wait()
}
