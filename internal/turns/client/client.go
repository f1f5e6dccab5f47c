// Package client writes and reads turns and budgets on the disks of other hosts.
// It uses quorums without a leader: a write is complete once enough disks have
// synced it, and a read is conclusive once the disks that have not answered are
// too few to hold a complete write.
package client

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/shard"
	"zinniapond.example/zinniapond/internal/turns/quorum"
)

func init() {
	kernel.Register("default", func(k *kernel.Kernel) (zinniapond.Turns, error) {
		c := &Client{
			Settings: k.Settings.Keeper, DataCentre: k.Settings.DataCentre, Logger: k.Logger.Named("turns"),
			CacheBytes: k.Settings.MemoryLimit / cacheMemoryDivisor,
		}
		return c, zinniapond.Join(kernel.FindInto(k, &c.Peers), kernel.FindInto(k, &c.Directory))
	})
}

const (
	// cacheMemoryDivisor divides the memory limit of the process; the quotient is
	// the size of the cache of turns.
	cacheMemoryDivisor = 10
	// hedgeDelay is the wait for one disk before the next disk is asked as well. It
	// is the time of several syncs of the slowest disks in use.
	hedgeDelay = 60 * time.Millisecond
	// callTimeout bounds a request to one disk.
	callTimeout = 4 * time.Second
	// viewRetryDelay is the wait for an update of the set of disks before a request
	// is repeated.
	viewRetryDelay = 100 * time.Millisecond
)

// Client implements zinniapond.Turns. Its exported fields are set before use.
type Client struct {
	Settings   zinniapond.KeeperSettings
	DataCentre zinniapond.DataCentre
	Peers      zinniapond.Peers
	Directory  zinniapond.Directory
	Logger     hclog.Logger
	// CacheBytes bounds the size of the turn cache in bytes; 0 for the default.
	CacheBytes int64

	cache       cache
	settledSums settledCache
	// releases counts the running settlements of refused reservations.
	releases sync.WaitGroup
	// unresponsive has the disks that did not answer in time. They are asked last
	// until they answer again; reservations still ask all disks.
	unresponsive shard.Map[zinniapond.DiskID, struct{}]
	reachability reachability
}

// moveUnresponsiveLast returns the order with the unresponsive disks at its end.
func (c *Client) moveUnresponsiveLast(order []zinniapond.Disk) []zinniapond.Disk {
	var responsive, unresponsive []zinniapond.Disk
	for _, d := range order {
		if _, isUnresponsive := c.unresponsive.Get(d.ID); isUnresponsive {
			unresponsive = append(unresponsive, d)
		} else {
			responsive = append(responsive, d)
		}
	}
	return append(responsive, unresponsive...)
}

// reply is a response that names the disk that sent it.
type reply interface{ DiskID() zinniapond.DiskID }

// answer is the reply of one disk, or the error of the request to it.
type answer[R reply] struct {
	disk  zinniapond.Disk
	reply R
	err   error
}

// askDisk sends a request to one disk. A reply from another disk at the same
// address is an error: the host has lost the addressed disk, and its new one does
// not show what was stored on the lost disk.
func askDisk[R reply](ctx context.Context, c *Client, d zinniapond.Disk, method string, request any, answers chan<- answer[R]) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a := answer[R]{disk: d}
	slowTimer := time.AfterFunc(hedgeDelay, func() { c.unresponsive.Set(d.ID, struct{}{}) })
	err := c.Peers.Call(callCtx, d.Address, method, request, &a.reply)
	c.reachability.record(d.ID, err)
	if err != nil {
		a.err = zinniapond.Wrap(method, d.Address, err)
	} else if from := a.reply.DiskID(); from != d.ID {
		a.err = zinniapond.Wrap(method, d.Address, fmt.Errorf("disk %s has taken the place of %s: %w", from, d.ID, zinniapond.ErrUnavailable))
	}
	if slowTimer.Stop(); a.err == nil {
		c.unresponsive.Delete(d.ID)
	} else {
		c.unresponsive.Set(d.ID, struct{}{})
	}
	answers <- a
}

// errViewChanged reports that a disk has a newer view of the set of disks than
// this host.
var errViewChanged = errors.New("set of disks has changed")

// retryOnViewChange runs an operation with the current set of disks, and repeats it
// with the new set if a disk reports that the set has changed.
func (c *Client) retryOnViewChange(ctx context.Context, operation func(view zinniapond.Index, set quorum.Set) error) error {
	for {
		changed := c.Directory.Changed()
		view := c.Directory.View()
		err := operation(view.DisksIndex, quorum.New(view, c.Settings))
		if !errors.Is(err, errViewChanged) {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", zinniapond.ErrNoQuorum, err)
		case <-changed:
		case <-time.After(viewRetryDelay):
		}
	}
}

// Keep writes a turn and the spend that settles its reservation, and returns once
// enough disks have synced both.
func (c *Client) Keep(ctx context.Context, _ time.Time, turn zinniapond.Turn, spend zinniapond.Spend) error {
	turn.Origin = c.DataCentre
	request := zinniapond.KeepRequest{Turns: []zinniapond.Turn{turn}, Retention: turn.Retention}
	if spend.Program != "" {
		request.Spends = []zinniapond.Spend{spend}
	}
	err := c.retryOnViewChange(ctx, func(view zinniapond.Index, set quorum.Set) error {
		request.DisksIndex = view
		return c.writeCopies(ctx, set, set.PreferenceOrder(turn.ID, turn.Origin), request)
	})
	if err != nil {
		return fmt.Errorf("keep turn %s: %w", turn.ID, err)
	}
	c.cache.add(turn, c.CacheBytes)
	return nil
}

// writeCopies sends a request to the first disks of an order, and to one more disk
// for each failure and each hedgeDelay, until enough disks have synced it.
func (c *Client) writeCopies(ctx context.Context, set quorum.Set, order []zinniapond.Disk, request zinniapond.KeepRequest) error {
	order = c.moveUnresponsiveLast(order)
	answers := make(chan answer[zinniapond.KeepReply], len(order))
	sentCount := 0
	sendNext := func(n int) {
		for ; n > 0 && sentCount < len(order); n, sentCount = n-1, sentCount+1 {
			go askDisk(ctx, c, order[sentCount], "Keeper.Keep", request, answers)
		}
	}
	sendNext(len(set.WriteQuorum(order)))
	var synced []zinniapond.Disk
	var joinedErr error
	timer := time.NewTicker(hedgeDelay)
	defer timer.Stop()
	for pending := sentCount; ; {
		if set.IsWriteQuorum(synced) {
			return nil
		}
		if pending == 0 && sentCount == len(order) {
			return fmt.Errorf("%d of %d disks have synced: %w", len(synced), len(order), zinniapond.Join(zinniapond.ErrNoQuorum, joinedErr))
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d of %d disks have synced: %w", len(synced), len(order), zinniapond.Join(zinniapond.ErrNoQuorum, ctx.Err(), joinedErr))
		case a := <-answers:
			pending--
			switch {
			case a.err == nil && a.reply.Kept:
				synced = append(synced, a.disk)
				continue
			case a.err == nil && a.reply.DisksIndex > request.DisksIndex:
				return errViewChanged
			}
			joinedErr = zinniapond.Join(joinedErr, a.err)
			before := sentCount
			sendNext(1)
			pending += sentCount - before
		case <-timer.C:
			before := sentCount
			sendNext(1)
			pending += sentCount - before
		}
	}
}

// Run waits until ctx is done and the settlements of refused reservations have ended.
func (c *Client) Run(ctx context.Context) error {
	<-ctx.Done()
	c.releases.Wait()
	return nil
}

// Begin records the software version at which the stream of a turn begins, in addition to
// its reservation if it has one.
func (c *Client) Begin(ctx context.Context, _ time.Time, spend zinniapond.Spend) error {
	spend.Begun = true
	return c.writeSpend(ctx, "begin", spend)
}

// Settle replaces a reservation by the number of tokens used.
func (c *Client) Settle(ctx context.Context, _ time.Time, spend zinniapond.Spend) error {
	spend.Settled = true
	return c.writeSpend(ctx, "settle", spend)
}

// writeSpend writes a later state of a spend to enough disks.
func (c *Client) writeSpend(ctx context.Context, step string, spend zinniapond.Spend) error {
	err := c.retryOnViewChange(ctx, func(view zinniapond.Index, set quorum.Set) error {
		request := zinniapond.KeepRequest{DisksIndex: view, Spends: []zinniapond.Spend{spend}, Retention: spend.KeepTime()}
		return c.writeCopies(ctx, set, set.PreferenceOrder(zinniapond.TurnID(spend.Turn), c.DataCentre), request)
	})
	if err != nil {
		return fmt.Errorf("%s %s: %w", step, spend.Turn, err)
	}
	return nil
}
