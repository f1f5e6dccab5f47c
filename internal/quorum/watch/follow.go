package watch

import (
	"context"
	"fmt"
	"time"

	"zinniapond.example/zinniapond"
)

// pause separates a failed request from the next.
const pause = 50 * time.Millisecond

// wait is how long the leader may hold a fetch. Just before the next reply the
// lease is as old as one hold and the leader's contact with its majority; what
// is left must outlast an election of 1.5 s.
func (w *Watcher) wait() time.Duration { return w.Settings.Control.Lease / 5 }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// follow fetches and applies until ctx is done.
func (w *Watcher) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := w.fetch(ctx); err != nil {
			w.Logger.Debug("fetch failed", "error", err)
			sleep(ctx, pause)
		}
	}
	return nil
}

func (w *Watcher) fetch(ctx context.Context) error {
	name, address := w.target()
	request := w.request()
	limited, cancel := context.WithTimeout(ctx, request.Wait+w.Settings.Control.Fetch)
	defer cancel()
	var reply zinniapond.FetchReply
	sent := w.Clock()
	if err := w.Peers.Call(limited, address, "Control.Fetch", request, &reply); err != nil {
		w.learn(name, "")
		return zinniapond.Wrap("Control.Fetch", address, err)
	}
	if !reply.Accepted {
		w.learn(name, reply.Leader)
		return zinniapond.Wrap("Control.Fetch", address, zinniapond.ErrNotLeader)
	}
	w.learn(name, name)
	if err := w.take(sent, request, reply); err != nil {
		return zinniapond.Wrap("apply control log", address, err)
	}
	if reply.Fenced {
		return zinniapond.Wrap("Control.Fetch", address, zinniapond.ErrFenced)
	}
	return nil
}

func (w *Watcher) request() zinniapond.FetchRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	applied := w.state.View().Index
	return zinniapond.FetchRequest{
		Sender: w.Settings.Host, Member: w.epoch, Term: w.term,
		Next: applied + 1, Last: w.last, Applied: applied, Wait: w.wait(),
	}
}

// take applies the leader's answer. The state only goes forward: records that
// were applied before, and an older snapshot, change nothing.
func (w *Watcher) take(sent time.Time, request zinniapond.FetchRequest, reply zinniapond.FetchReply) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.term = max(w.term, reply.Term)
	if reply.Diverged {
		return fmt.Errorf("the leader lacks record %d, which was committed: %w", request.Next-1, zinniapond.ErrCorrupt)
	}
	if s := reply.Snapshot; s != nil && s.Index > w.state.View().Index {
		if err := w.state.Decode(s.Data); err != nil {
			return err
		}
		w.last = s.Term
	}
	for _, e := range reply.Entries {
		if e.Index <= w.state.View().Index {
			continue
		}
		if _, err := w.state.Apply(e); err != nil {
			return err
		}
		w.last = e.Term
	}
	if reply.Fenced && request.Member == w.epoch && w.epoch > 0 && !w.fenced {
		w.Logger.Warn("this host was fenced", "epoch", w.epoch)
		w.fenced = true
	}
	// A lease needs all that was committed when the leader answered.
	if reply.Current && !reply.Fenced && w.state.View().Index >= reply.Commit && request.Member == w.epoch {
		if until := sent.Add(w.Settings.Control.Lease - reply.Quorum); until.After(w.until) {
			w.until = until
		}
	}
	w.publish()
	return nil
}
