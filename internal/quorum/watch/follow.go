package watch

import (
	"context"
	"time"

	"zinniapond.example/zinniapond"
)

// retryInterval is the time between a failed request and the next one.
const retryInterval = 50 * time.Millisecond

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// follow fetches and applies records until ctx is done. Failed fetches are
// retried.
func (w *Watcher) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := w.fetch(ctx); err != nil {
			w.Logger.Debug("fetch failed", "error", err)
			sleep(ctx, retryInterval)
		}
	}
	return nil
}

func (w *Watcher) fetch(ctx context.Context) error {
	name, address, leaderKnown := w.selectVoter()
	request := w.nextRequest()
	limit := request.MaxWait + w.Settings.Control.LeaderTimeout
	if !leaderKnown {
		// This voter is only asked for the leader. If it is down, the next one
		// has to be asked soon.
		request.MaxWait, limit = 0, w.Settings.Control.LeaderTimeout/2
	}
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var reply zinniapond.FetchReply
	sent := w.Clock()
	if err := w.Peers.Call(callCtx, address, "Control.Fetch", request, &reply); err != nil {
		w.noteLeader(name, "")
		return zinniapond.Wrap("Control.Fetch", address, err)
	}
	if !reply.Accepted {
		w.noteLeader(name, reply.Leader)
		if err := w.applyReply(sent, request, reply); err != nil || reply.Leader != "" {
			return err
		}
		return zinniapond.Wrap("Control.Fetch", address, zinniapond.ErrNotLeader)
	}
	w.noteLeader(name, name)
	if err := w.applyReply(sent, request, reply); err != nil {
		return zinniapond.Wrap("apply control log", address, err)
	}
	if reply.Fenced {
		return zinniapond.Wrap("Control.Fetch", address, zinniapond.ErrFenced)
	}
	return nil
}

func (w *Watcher) nextRequest() zinniapond.FetchRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holder.NextRequest()
}

func (w *Watcher) applyReply(sent time.Time, request zinniapond.FetchRequest, reply zinniapond.FetchReply) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer w.publish()
	return w.holder.ApplyReply(sent, request, reply)
}
