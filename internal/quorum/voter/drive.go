package voter

import (
	"context"
	"fmt"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// fetchRetryInterval is the time between a failed fetch and the next one.
	fetchRetryInterval = 50 * time.Millisecond
	// fetchesPerTimeout is the time-out of a leader divided by the longest time without a
	// request to it.
	fetchesPerTimeout = 3
)

// processChanges is called after each change of the node, with mu held. It wakes
// the goroutines that wait for the change and sends the vote requests of the core.
func (v *Voter) processChanges(now time.Time) error {
	voters, hosts, err := v.node.ApplyChanges(now)
	if err != nil {
		return err
	}
	if voters {
		v.wakeWaiters(&v.recordsAppended)
	}
	if hosts {
		v.wakeWaiters(&v.recordsCommitted)
		notify(v.dutiesChanged)
	}
	core := v.node.Core
	if leader := core.Leader(); leader != v.loggedLeader {
		v.loggedLeader = leader
		v.Logger.Info("control leader changed", "term", core.Term(), "leader", leader)
	}
	// A fetch that is held by a voter other than the one to fetch from now would
	// delay the first contact with a new leader.
	if peer, _, ok := core.NextFetch(); ok && v.currentFetch.cancel != nil && peer != v.currentFetch.peer {
		v.currentFetch.cancel()
	}
	if _, dirty := core.UnsavedChange(); dirty {
		notify(v.saveNeeded)
	}
	notify(v.deadlineChanged)
	if v.ctx.Err() != nil {
		return nil
	}
	for name, request := range core.TakeVoteRequests() {
		v.calls.Go(func() error { return v.sendVoteRequest(name, request) })
	}
	return nil
}

func (v *Voter) wakeWaiters(c *chan struct{}) {
	close(*c)
	*c = make(chan struct{})
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// updateNode runs work on the node with mu held and processes the changes.
func (v *Voter) updateNode(work func(now time.Time) error) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Clock()
	if err := work(now); err != nil {
		return err
	}
	return v.processChanges(now)
}

// saveChanges writes the unsaved changes of the core to disk. Changes made during
// a sync are written together by the next one.
func (v *Voter) saveChanges(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-v.saveNeeded:
		}
		v.mu.Lock()
		change, ok := v.node.Core.UnsavedChange()
		v.mu.Unlock()
		if !ok {
			continue
		}
		if err := v.log.Save(change); err != nil {
			return fmt.Errorf("sync control log: %w", err)
		}
		err := v.updateNode(func(now time.Time) error {
			v.node.MarkSaved(now, change)
			v.wakeWaiters(&v.recordsAppended)
			return nil
		})
		if err != nil {
			return err
		}
	}
}

// runTimer calls Tick at the deadlines of the core.
func (v *Voter) runTimer(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-v.deadlineChanged:
		case <-timer.C:
			if err := v.updateNode(func(now time.Time) error { v.node.Core.Tick(now); return nil }); err != nil {
				return err
			}
		}
		v.mu.Lock()
		now := v.Clock()
		timer.Reset(max(v.node.Core.NextDeadline(now).Sub(now), time.Millisecond))
		v.mu.Unlock()
	}
}

// fetchRecords fetches from the leader, or asks other hosts for the leader, while
// the core has something to fetch. While a sync takes long, it only keeps contact with the
// leader.
func (v *Voter) fetchRecords(ctx context.Context) error {
	for ctx.Err() == nil {
		fetchCtx, cancel := context.WithCancel(ctx)
		v.mu.Lock()
		peer, request, ok := v.node.Core.NextFetch()
		changed := v.recordsAppended
		v.currentFetch = currentFetch{peer, cancel}
		v.mu.Unlock()
		var err error
		if ok {
			err = v.sendFetch(ctx, fetchCtx, peer, request)
		} else {
			err = v.keepContact(ctx, fetchCtx, changed)
		}
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// keepContact waits for a change. If there is none for as long as a fetch may be held, it
// shows the leader that this voter follows it. fetchCtx is cancelled as soon as there is
// something to fetch.
func (v *Voter) keepContact(ctx, fetchCtx context.Context, changed <-chan struct{}) error {
	timer := time.NewTimer(v.Settings.Control.LeaderTimeout / fetchesPerTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-changed:
		return nil
	case <-timer.C:
	}
	v.mu.Lock()
	peer, request, ok := v.node.Core.NextContact()
	v.mu.Unlock()
	if !ok {
		return nil
	}
	var reply zinniapond.FetchReply
	if err := v.callVoter(fetchCtx, peer, "Control.Fetch", request, &reply, v.Settings.Control.LeaderTimeout/2); err != nil {
		v.Logger.Debug("contact failed", "error", err)
		return nil
	}
	return v.updateNode(func(now time.Time) error {
		v.node.Core.HandleContactReply(now, peer, request, reply)
		return nil
	})
}

// sendFetch sends one fetch and handles the reply. fetchCtx is cancelled if the
// core wants to fetch from another voter. This does not shorten the pause after a
// failure: each failure selects another voter, so that there would be no pause at
// all while all voters are down.
func (v *Voter) sendFetch(ctx, fetchCtx context.Context, peer zinniapond.HostName, request zinniapond.FetchRequest) error {
	var reply zinniapond.FetchReply
	err := v.callVoter(fetchCtx, peer, "Control.Fetch", request, &reply, request.MaxWait+v.Settings.Control.LeaderTimeout/2)
	leaderKnown := false
	switch {
	case fetchCtx.Err() != nil:
		return nil
	case err != nil:
		v.Logger.Debug("fetch failed", "error", err)
		err = v.updateNode(func(time.Time) error { v.node.Core.HandleFetchFailure(peer); return nil })
	default:
		leaderKnown = reply.Accepted || reply.Leader != ""
		err = v.updateNode(func(now time.Time) error { return v.node.Core.HandleFetchReply(now, peer, request, reply) })
	}
	if err != nil || leaderKnown {
		return err
	}
	select {
	case <-ctx.Done():
	case <-time.After(fetchRetryInterval):
	}
	return nil
}

func (v *Voter) sendVoteRequest(name zinniapond.HostName, request zinniapond.VoteRequest) error {
	var reply zinniapond.VoteReply
	if err := v.callVoter(v.ctx, name, "Control.Vote", request, &reply, v.Settings.Control.ElectionDelay); err != nil {
		v.Logger.Debug("vote request failed", "error", err)
		return nil
	}
	return v.updateNode(func(now time.Time) error { v.node.Core.HandleVoteReply(now, name, request, reply); return nil })
}

// callVoter calls a method of another voter, with a timeout. The error wraps
// ErrNotFound if the address of the voter is unknown.
func (v *Voter) callVoter(ctx context.Context, name zinniapond.HostName, method string, request, reply any, timeout time.Duration) error {
	address, ok := v.findAddress(name)
	if !ok {
		return fmt.Errorf("call voter %s: not in [control] voters: %w", name, zinniapond.ErrNotFound)
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return zinniapond.Wrap(method, address, v.Peers.Call(callCtx, address, method, request, reply))
}
