package watch

import (
	"context"
	"time"

	"zinniapond.example/zinniapond"
)

// pause separates a failed request from the next.
const pause = 50 * time.Millisecond

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
	name, address, known := w.target()
	request := w.request()
	limit := request.Wait + w.Settings.Control.Fetch
	if !known {
		// The voter is only asked who leads. One that is down must not delay the
		// question to the next for long.
		request.Wait, limit = 0, w.Settings.Control.Fetch/2
	}
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var reply zinniapond.FetchReply
	sent := w.Clock()
	if err := w.Peers.Call(limited, address, "Control.Fetch", request, &reply); err != nil {
		w.learn(name, "")
		return zinniapond.Wrap("Control.Fetch", address, err)
	}
	if !reply.Accepted {
		w.learn(name, reply.Leader)
		if err := w.take(sent, request, reply); err != nil || reply.Leader != "" {
			return err
		}
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
	return w.holder.Request()
}

func (w *Watcher) take(sent time.Time, request zinniapond.FetchRequest, reply zinniapond.FetchReply) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer w.publish()
	return w.holder.Take(sent, request, reply)
}
