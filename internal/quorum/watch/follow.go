package watch

import (
	"context"
	"errors"
	"net/netip"
	"sync"
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
		name, address, leaderKnown := w.selectVoter()
		if !leaderKnown {
			w.findLeader(ctx, name, address)
			continue
		}
		request := w.nextRequest()
		if err := w.fetch(ctx, name, address, request, request.MaxWait+w.Settings.Control.LeaderTimeout); err != nil {
			w.Logger.Debug("fetch failed", "error", err)
			sleep(ctx, retryInterval)
		}
	}
	return nil
}

// findLeader asks one voter after another for the leader, one each retryInterval, until
// one has named it or ctx is done. It does not wait for a voter before it asks the next:
// a host without power does not answer at all, and after an outage most voters may be
// without power for a while.
func (w *Watcher) findLeader(ctx context.Context, name zinniapond.HostName, address netip.AddrPort) {
	ctx, cancel := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	found := make(chan struct{}, 1)
	ticker := time.NewTicker(retryInterval)
	defer ticker.Stop()
	for {
		asked, from := name, address
		group.Go(func() {
			request := w.nextRequest()
			// The records come with the first fetch from the leader, and only once.
			request.MaxWait, request.IsContact = 0, true
			if err := w.fetch(ctx, asked, from, request, w.Settings.Control.LeaderTimeout/2); err != nil {
				w.Logger.Debug("leader not found", "error", err)
				return
			}
			select {
			case found <- struct{}{}:
			default:
			}
		})
		select {
		case <-ctx.Done():
			return
		case <-found:
			return
		case <-ticker.C:
		}
		var leaderKnown bool
		if name, address, leaderKnown = w.selectVoter(); leaderKnown {
			return // a proposal has found it
		}
	}
}

// fetch sends one request to a voter and applies the reply. It returns an error if the
// voter neither is the leader nor names it.
func (w *Watcher) fetch(ctx context.Context, name zinniapond.HostName, address netip.AddrPort, request zinniapond.FetchRequest, limit time.Duration) error {
	var reply zinniapond.FetchReply
	sent := w.Clock()
	if err := w.callVoter(ctx, limit, address, request, &reply); err != nil {
		if ctx.Err() == nil { // a request that was cancelled says nothing about the voter
			w.noteLeader(name, "")
			w.recordLate(err)
		}
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

// callVoter sends one request to a voter. The limit is for the time without progress if
// the reply is large.
func (w *Watcher) callVoter(ctx context.Context, limit time.Duration, address netip.AddrPort, request zinniapond.FetchRequest, reply *zinniapond.FetchReply) error {
	if bulk, ok := w.Peers.(zinniapond.BulkPeers); ok {
		return bulk.CallBulk(ctx, limit, address, "Control.Fetch", request, reply)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return w.Peers.Call(ctx, address, "Control.Fetch", request, reply)
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
	begun := w.Clock()
	if err := w.holder.ApplyReply(sent, request, reply); err != nil {
		return err
	}
	if reply.Accepted {
		w.recordAnswer(begun, reply)
	}
	return nil
}

// recordLate counts a fetch whose time limit has passed.
func (w *Watcher) recordLate(err error) {
	if !errors.Is(err, context.DeadlineExceeded) {
		return
	}
	w.Stats.Add("control.fetch.late", 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay.RecordLate()
}

// recordAnswer counts what the leader has sent, and logs it once this host has caught up.
// The caller holds mu.
func (w *Watcher) recordAnswer(begun time.Time, reply zinniapond.FetchReply) {
	now := w.Clock()
	size := reply.Bulk()
	w.Stats.Add("control.fetch.bytes", int64(size))
	w.Stats.Add("control.fetch.records", int64(len(reply.Entries)))
	behind, report := w.delay.RecordAnswer(now, len(reply.Entries), size, now.Sub(begun), w.holder.State.View().Index >= reply.CommitIndex)
	if report {
		w.Logger.Info("control state was behind the leader", "for", now.Sub(behind.Since), "fetches", behind.Fetches, "late", behind.Late,
			"records", behind.Records, "bytes", behind.Bytes, "applying", behind.ApplyTime)
	}
}
