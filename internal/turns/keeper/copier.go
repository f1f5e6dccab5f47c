package keeper

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"zinniapond.example/zinniapond"
)

const (
	// maxCopyBytes is the size of turns after which a copy request is sent.
	maxCopyBytes = 128 << 10
	// maxCopyBytesInFlight bounds the copy requests that are sent at the same time. A
	// larger request is sent alone. Requests share the syncs of the receiving disk.
	maxCopyBytesInFlight = 8 * maxCopyBytes
	// copyTimeout bounds one request between disks.
	copyTimeout = 5 * time.Second
	// pausedShare is the share of the catch-up time after which copies are sent without
	// pauses. Another disk may be lost once the catch-up time has passed.
	pausedShare = 0.125
	// maxCopyPause bounds the pause after a copy request.
	maxCopyPause = 100 * time.Millisecond
)

// copier sends the records of one walk to other disks, several requests at a time.
type copier struct {
	*Keeper
	ctx        context.Context
	group      *errgroup.Group
	inFlight   *semaphore.Weighted
	pauseUntil time.Time
}

// newCopier returns a copier for a walk that begins now. The caller calls wait.
func (k *Keeper) newCopier(ctx context.Context, now time.Time) *copier {
	group, ctx := errgroup.WithContext(ctx)
	return &copier{
		Keeper: k, ctx: ctx, group: group, inFlight: semaphore.NewWeighted(maxCopyBytesInFlight),
		pauseUntil: now.Add(time.Duration(pausedShare * float64(k.Settings.Keeper.CatchUpTime))),
	}
}

// run calls step in the background once less than maxCopyBytesInFlight are in flight
// together with its size in bytes. The error is that of an earlier step.
func (c *copier) run(size int, step func() error) error {
	weight := min(int64(size), maxCopyBytesInFlight)
	if err := c.inFlight.Acquire(c.ctx, weight); err != nil {
		return fmt.Errorf("send copies: %w", context.Cause(c.ctx))
	}
	c.group.Go(func() error {
		defer c.inFlight.Release(weight)
		return step()
	})
	return nil
}

// wait returns once all copies are on their disks, or the first error.
func (c *copier) wait() error { return c.group.Wait() }

// sendRecords sends records to a disk. While the walk has time left, it then pauses for half
// of the time that the request took, so that both hosts have CPU and bandwidth for serving
// turns.
func (c *copier) sendRecords(d zinniapond.Disk, request zinniapond.KeepRequest) error {
	start := c.Clock()
	callCtx, cancel := context.WithTimeout(c.ctx, copyTimeout)
	defer cancel()
	var reply zinniapond.KeepReply
	if err := c.Peers.Call(callCtx, d.Address, "Keeper.Keep", request, &reply); err != nil {
		return zinniapond.Wrap("copy records", d.Address, err)
	}
	if !reply.Kept || reply.Disk != d.ID {
		return fmt.Errorf("copy records: disk %s did not store them: %w", d.ID, zinniapond.ErrNotFound)
	}
	if now := c.Clock(); now.Before(c.pauseUntil) {
		sleep(c.ctx, min(now.Sub(start)/2, maxCopyPause))
	}
	return nil
}

// sleep returns after a time, or when ctx is done.
func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
