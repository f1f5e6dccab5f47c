// Package client keeps and reads turns and budgets on the disks of other hosts.
// It needs no leader: a write counts once enough disks have synced it, and a
// read is certain once so many have answered that no complete write can hide on
// the others.
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
	"zinniapond.example/zinniapond/internal/turns/ranks"
)

func init() {
	kernel.Register("default", func(k *kernel.Kernel) (zinniapond.Turns, error) {
		c := &Client{
			Tolerance: k.Settings.Keeper, DataCentre: k.Settings.DataCentre, Logger: k.Logger.Named("turns"),
			Most: k.Settings.Memory / cachePart,
		}
		return c, zinniapond.Join(kernel.Fill(k, &c.Peers), kernel.Fill(k, &c.Directory))
	})
}

const (
	// cachePart is the share of the process's memory for turns that were read.
	cachePart = 10
	// hedge is the wait for a copy before the next disk is asked as well: some
	// syncs of the slowest disks in use.
	hedge = 60 * time.Millisecond
	// callLimit bounds a request to one disk.
	callLimit = 4 * time.Second
	// viewPause is the wait for news of the set of disks.
	viewPause = 100 * time.Millisecond
)

// Client implements zinniapond.Turns. Its exported fields are set before use.
type Client struct {
	Tolerance  zinniapond.KeeperSettings
	DataCentre zinniapond.DataCentre
	Peers      zinniapond.Peers
	Directory  zinniapond.Directory
	Logger     hclog.Logger
	// Most bounds the bytes of turns kept in memory; 0 for the default.
	Most int64

	cache   cache
	touched touched
	spent   spent
	// withdrawals are under way after their reservation was refused.
	withdrawals sync.WaitGroup
	// silent has the disks that did not answer in time. They are asked last until
	// they answer again, which reservations try on all disks.
	silent shard.Map[zinniapond.DiskID, struct{}]
}

// prefer returns the order with the disks that are silent at its end.
func (c *Client) prefer(order []zinniapond.Disk) []zinniapond.Disk {
	var first, last []zinniapond.Disk
	for _, d := range order {
		if _, silent := c.silent.Get(d.ID); silent {
			last = append(last, d)
		} else {
			first = append(first, d)
		}
	}
	return append(first, last...)
}

// reply is an answer with the disk that gave it.
type reply interface{ From() zinniapond.DiskID }

// answer is what one disk said.
type answer[R reply] struct {
	disk  zinniapond.Disk
	reply R
	err   error
}

// ask sends a request to one disk. An answer of another disk, as of a host that
// has lost the one that is asked, is an error: it says nothing of what was there.
func ask[R reply](ctx context.Context, c *Client, d zinniapond.Disk, method string, request any, to chan<- answer[R]) {
	limited, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	a := answer[R]{disk: d}
	late := time.AfterFunc(hedge, func() { c.silent.Set(d.ID, struct{}{}) })
	if err := c.Peers.Call(limited, d.Address, method, request, &a.reply); err != nil {
		a.err = zinniapond.Wrap(method, d.Address, err)
	} else if from := a.reply.From(); from != d.ID {
		a.err = zinniapond.Wrap(method, d.Address, fmt.Errorf("disk %s has taken the place of %s: %w", from, d.ID, zinniapond.ErrUnavailable))
	}
	if late.Stop(); a.err == nil {
		c.silent.Delete(d.ID)
	} else {
		c.silent.Set(d.ID, struct{}{})
	}
	to <- a
}

// errView tells that a disk knows a newer set of disks than this host.
var errView = errors.New("set of disks has changed")

// retry runs work under the present set of disks, and again if that has changed
// meanwhile.
func (c *Client) retry(ctx context.Context, work func(view zinniapond.Index, set ranks.Set) error) error {
	for {
		changed := c.Directory.Changed()
		view := c.Directory.View()
		err := work(view.DisksIndex, ranks.New(view, c.Tolerance))
		if !errors.Is(err, errView) {
			return err
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: %w", zinniapond.ErrNoQuorum, err)
		case <-changed:
		case <-time.After(viewPause):
		}
	}
}

// Keep returns once enough disks have synced the turn and the spend.
func (c *Client) Keep(ctx context.Context, _ time.Time, turn zinniapond.Turn, spend zinniapond.Spend) error {
	turn.Origin = c.DataCentre
	request := zinniapond.KeepRequest{Turns: []zinniapond.Turn{turn}, Retention: turn.Retention}
	if spend.Program != "" {
		request.Spends = []zinniapond.Spend{spend}
	}
	err := c.retry(ctx, func(view zinniapond.Index, set ranks.Set) error {
		request.View = view
		return c.write(ctx, set, set.Order(turn.ID, turn.Origin), request)
	})
	if err != nil {
		return fmt.Errorf("keep turn %s: %w", turn.ID, err)
	}
	c.cache.add(turn, c.Most)
	c.touched.add(turn.Chain, turn.Retention)
	return nil
}

// write sends a request to the first disks of an order, and to later ones in
// place of those that do not answer soon, until enough have synced it.
func (c *Client) write(ctx context.Context, set ranks.Set, order []zinniapond.Disk, request zinniapond.KeepRequest) error {
	order = c.prefer(order)
	answers := make(chan answer[zinniapond.KeepReply], len(order))
	sent := 0
	send := func(n int) {
		for ; n > 0 && sent < len(order); n, sent = n-1, sent+1 {
			go ask(ctx, c, order[sent], "Keeper.Keep", request, answers)
		}
	}
	send(len(set.Copies(order)))
	var on []zinniapond.Disk
	var failures error
	timer := time.NewTicker(hedge)
	defer timer.Stop()
	for open := sent; ; {
		if set.Written(on) {
			return nil
		}
		if open == 0 && sent == len(order) {
			return fmt.Errorf("%d of %d disks have synced: %w", len(on), len(order), zinniapond.Join(zinniapond.ErrNoQuorum, failures))
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d of %d disks have synced: %w", len(on), len(order), zinniapond.Join(zinniapond.ErrNoQuorum, ctx.Err(), failures))
		case a := <-answers:
			open--
			switch {
			case a.err == nil && a.reply.Kept:
				on = append(on, a.disk)
				continue
			case a.err == nil && a.reply.View > request.View:
				return errView
			}
			failures = zinniapond.Join(failures, a.err)
			before := sent
			send(1)
			open += sent - before
		case <-timer.C:
			before := sent
			send(1)
			open += sent - before
		}
	}
}

// Settle replaces a reservation by what was used.
func (c *Client) Settle(ctx context.Context, _ time.Time, spend zinniapond.Spend) error {
	spend.Settled = true
	err := c.retry(ctx, func(view zinniapond.Index, set ranks.Set) error {
		request := zinniapond.KeepRequest{View: view, Spends: []zinniapond.Spend{spend}, Retention: zinniapond.SpendRetention}
		return c.write(ctx, set, set.Order(zinniapond.TurnID(spend.Turn), c.DataCentre), request)
	})
	if err != nil {
		return fmt.Errorf("settle %s: %w", spend.Turn, err)
	}
	return nil
}
