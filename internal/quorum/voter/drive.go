package voter

import (
	"context"
	"fmt"
	"time"

	"zinniapond.example/zinniapond"
)

// fetchPause separates a failed fetch from the next.
const fetchPause = 50 * time.Millisecond

// settle follows each change of the core, under the lock: it applies what is
// committed, takes snapshots, wakes who waits, and starts what the core asks.
func (v *Voter) settle(now time.Time) error {
	if err := v.apply(); err != nil {
		return err
	}
	next := mark{v.core.Term(), v.core.Leader(), v.core.Last(), v.core.Commit(), v.core.Current()}
	before := v.mark
	v.mark = next
	if next != before {
		v.wake(&v.recorded)
	}
	if next.last = before.last; next != before {
		v.wake(&v.committed)
		signal(v.duty)
	}
	v.follow(now, before)
	if _, ok := v.core.Unsaved(); ok {
		signal(v.dirty)
	} else {
		v.saved = v.core.Sequence()
	}
	if v.ctx.Err() != nil {
		return nil
	}
	for name, request := range v.core.Ballots() {
		v.calls.Go(func() error { return v.canvass(name, request) })
	}
	signal(v.alarm)
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

// follow notes the begin and the end of a leadership.
func (v *Voter) follow(now time.Time, before mark) {
	if v.mark.term != before.term || v.mark.leader != before.leader {
		v.Logger.Info("control leader changed", "term", v.mark.term, "leader", v.mark.leader)
		for index, w := range v.waits {
			delete(v.waits, index)
			w.result <- answer{}
		}
		v.leader.End()
	}
	if v.mark.current && !v.leader.Leads() {
		v.leader.Begin(now)
	}
	// A fetch that waits at a voter that has lost its use would delay the
	// first contact with a new leader.
	if peer, _, ok := v.core.Next(); ok && v.pulling.cancel != nil && peer != v.pulling.peer {
		v.pulling.cancel()
	}
}

// apply brings the state up to what is committed.
func (v *Voter) apply() error {
	applied := v.state.View().Index
	if s := v.core.Snapshot(); s.Index > applied {
		if err := v.state.Decode(s.Data); err != nil {
			return err
		}
		applied = s.Index
	}
	for _, e := range v.core.Entries(applied + 1) {
		result, err := v.state.Apply(e)
		if err != nil {
			return err
		}
		if w, ok := v.waits[e.Index]; ok {
			delete(v.waits, e.Index)
			w.result <- answer{accepted: w.term == e.Term, result: result}
		}
	}
	return v.compact()
}

// compact takes a snapshot when enough records were applied since the last.
func (v *Voter) compact() error {
	index := v.state.View().Index
	if index < v.core.Snapshot().Index+zinniapond.Index(v.Settings.Control.Snapshot) { //nolint:gosec // positive by settings.
		return nil
	}
	data, err := v.state.Encode()
	if err != nil {
		return err
	}
	v.core.Compact(index, data)
	return nil
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
		change, ok := v.core.Unsaved()
		v.mu.Unlock()
		if !ok {
			continue
		}
		if err := v.log.Save(change); err != nil {
			return fmt.Errorf("sync control log: %w", err)
		}
		err := v.change(func(now time.Time) error {
			v.core.Saved(now, change)
			v.saved = change.Sequence
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
			if err := v.change(func(now time.Time) error { v.core.Tick(now); return nil }); err != nil {
				return err
			}
		}
		v.mu.Lock()
		now := v.Clock()
		timer.Reset(max(v.core.Deadline(now).Sub(now), time.Millisecond))
		v.mu.Unlock()
	}
}

// pull fetches from the leader, or looks for it, while this voter follows.
func (v *Voter) pull(ctx context.Context) error {
	for ctx.Err() == nil {
		limited, cancel := context.WithCancel(ctx)
		v.mu.Lock()
		peer, request, ok := v.core.Next()
		wake := v.recorded
		v.pulling = pulling{peer, cancel}
		v.mu.Unlock()
		var err error
		if ok {
			err = v.fetch(limited, peer, request)
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

// fetch sends one fetch and takes the answer. ctx is cancelled if another voter
// should be asked.
func (v *Voter) fetch(ctx context.Context, peer zinniapond.HostName, request zinniapond.FetchRequest) error {
	var reply zinniapond.FetchReply
	err := v.call(ctx, peer, "Control.Fetch", request, &reply, request.Wait+v.Settings.Control.Fetch/2)
	known := false
	switch {
	case ctx.Err() != nil:
		return nil
	case err != nil:
		v.Logger.Debug("fetch failed", "error", err)
		err = v.change(func(time.Time) error { v.core.Missed(peer); return nil })
	default:
		known = reply.Accepted || reply.Leader != ""
		err = v.change(func(now time.Time) error { return v.core.Fetched(now, peer, request, reply) })
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
	return v.change(func(now time.Time) error { v.core.Voted(now, name, request, reply); return nil })
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
