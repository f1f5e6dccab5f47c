package voter

import (
	"context"
	"fmt"
	"time"

	"zinniapond.example/zinniapond"
)

// fetchPause separates a failed fetch from the next.
const fetchPause = 50 * time.Millisecond

// settle follows each change of the node, under the lock: it wakes who waits,
// and starts what the core asks for.
func (v *Voter) settle(now time.Time) error {
	voters, hosts, err := v.node.Settle(now)
	if err != nil {
		return err
	}
	if voters {
		v.wake(&v.recorded)
	}
	if hosts {
		v.wake(&v.committed)
		signal(v.duty)
	}
	core := v.node.Core
	if leader := core.Leader(); leader != v.leader {
		v.leader = leader
		v.Logger.Info("control leader changed", "term", core.Term(), "leader", leader)
	}
	// A fetch that waits at a voter that has lost its use would delay the
	// first contact with a new leader.
	if peer, _, ok := core.Next(); ok && v.pulling.cancel != nil && peer != v.pulling.peer {
		v.pulling.cancel()
	}
	if _, dirty := core.Unsaved(); dirty {
		signal(v.dirty)
	}
	signal(v.alarm)
	if v.ctx.Err() != nil {
		return nil
	}
	for name, request := range core.Ballots() {
		v.calls.Go(func() error { return v.canvass(name, request) })
	}
	return nil
}

func (v *Voter) wake(c *chan struct{}) {
	close(*c)
	*c = make(chan struct{})
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// change runs work on the core under the lock and settles.
func (v *Voter) change(work func(now time.Time) error) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Clock()
	if err := work(now); err != nil {
		return err
	}
	return v.settle(now)
}

// save syncs what the core has changed. Changes that come while a sync runs are
// synced together by the next.
func (v *Voter) save(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-v.dirty:
		}
		v.mu.Lock()
		change, ok := v.node.Core.Unsaved()
		v.mu.Unlock()
		if !ok {
			continue
		}
		if err := v.log.Save(change); err != nil {
			return fmt.Errorf("sync control log: %w", err)
		}
		err := v.change(func(now time.Time) error {
			v.node.Saved(now, change)
			v.wake(&v.recorded)
			return nil
		})
		if err != nil {
			return err
		}
	}
}

// tick wakes the core at its deadlines.
func (v *Voter) tick(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-v.alarm:
		case <-timer.C:
			if err := v.change(func(now time.Time) error { v.node.Core.Tick(now); return nil }); err != nil {
				return err
			}
		}
		v.mu.Lock()
		now := v.Clock()
		timer.Reset(max(v.node.Core.Deadline(now).Sub(now), time.Millisecond))
		v.mu.Unlock()
	}
}

// pull fetches from the leader, or looks for it, while this voter follows.
func (v *Voter) pull(ctx context.Context) error {
	for ctx.Err() == nil {
		limited, cancel := context.WithCancel(ctx)
		v.mu.Lock()
		peer, request, ok := v.node.Core.Next()
		wake := v.recorded
		v.pulling = pulling{peer, cancel}
		v.mu.Unlock()
		var err error
		if ok {
			err = v.fetch(ctx, limited, peer, request)
		} else {
			select {
			case <-ctx.Done():
			case <-wake:
			}
		}
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// fetch sends one fetch and takes the answer. limited is cancelled if another
// voter should be asked. The pause after a failure is not cut short by that:
// each failure names another voter, and with all of them dead there would be
// no pause at all.
func (v *Voter) fetch(ctx, limited context.Context, peer zinniapond.HostName, request zinniapond.FetchRequest) error {
	var reply zinniapond.FetchReply
	err := v.call(limited, peer, "Control.Fetch", request, &reply, request.Wait+v.Settings.Control.Fetch/2)
	known := false
	switch {
	case limited.Err() != nil:
		return nil
	case err != nil:
		v.Logger.Debug("fetch failed", "error", err)
		err = v.change(func(time.Time) error { v.node.Core.Missed(peer); return nil })
	default:
		known = reply.Accepted || reply.Leader != ""
		err = v.change(func(now time.Time) error { return v.node.Core.Fetched(now, peer, request, reply) })
	}
	if err != nil || known {
		return err
	}
	select {
	case <-ctx.Done():
	case <-time.After(fetchPause):
	}
	return nil
}

func (v *Voter) canvass(name zinniapond.HostName, request zinniapond.VoteRequest) error {
	var reply zinniapond.VoteReply
	if err := v.call(v.ctx, name, "Control.Vote", request, &reply, v.Settings.Control.Election); err != nil {
		v.Logger.Debug("vote request failed", "error", err)
		return nil
	}
	return v.change(func(now time.Time) error { v.node.Core.Voted(now, name, request, reply); return nil })
}

// call calls another voter.
func (v *Voter) call(ctx context.Context, name zinniapond.HostName, method string, request, reply any, limit time.Duration) error {
	address, ok := v.address(name)
	if !ok {
		return fmt.Errorf("call voter %s: not in [control] voters: %w", name, zinniapond.ErrNotFound)
	}
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return zinniapond.Wrap(method, address, v.Peers.Call(limited, address, method, request, reply))
}
