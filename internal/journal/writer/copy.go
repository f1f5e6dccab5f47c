package writer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"zinniapond.example/zinniapond"
)

// maxBatchBytes bounds the data in one append request to a replica.
const maxBatchBytes = 1 << 20

// Back-off between attempts to reach a replica that does not answer.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// startFollower starts the replication to a host. It is called with the lock held.
func (l *shardLog) startFollower(host zinniapond.HostName, next zinniapond.Index) *follower {
	ctx, cancel := context.WithCancel(l.ctx)
	f := &follower{host: host, wakeup: make(chan struct{}, 1), stop: cancel, nextIndex: next}
	l.followers[host] = f
	go l.replicate(ctx, f)
	return f
}

// heartbeatInterval is the idle time after which a replica is sent the commit
// index, which it needs to remove ended programs. Its reply shows whether it still
// has its log: without the heartbeat, the owner would take a replica that restarted
// without its log for a complete one until the next append.
const heartbeatInterval = 500 * time.Millisecond

// replicate keeps one replica up to date until ctx is done. One request is in
// flight at a time, and carries the entries that came since the previous one.
func (l *shardLog) replicate(ctx context.Context, f *follower) {
	backoff := minBackoff
	for {
		request, err := l.nextRequest(ctx, f, false)
		if request == nil && err == nil {
			select {
			case <-ctx.Done():
				return
			case <-f.wakeup:
				continue
			case <-time.After(heartbeatInterval):
				request, err = l.nextRequest(ctx, f, true)
			}
		}
		if err == nil {
			err = l.send(ctx, f, request)
		}
		if err == nil {
			backoff = minBackoff
			continue
		}
		if ctx.Err() != nil {
			return
		}
		l.writer.Logger.Debug("replica does not answer", "shard", l.shard, "peer", f.host, "err", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(backoff):
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// nextRequest returns the next append request to a replica, or nil if there is
// nothing to send. With heartbeat set it returns one also without new entries.
func (l *shardLog) nextRequest(ctx context.Context, f *follower, heartbeat bool) (*zinniapond.AppendRequest, error) {
	l.mu.Lock()
	vote := l.mayVote(f)
	if f.nextIndex > l.lastIndex && !vote && !heartbeat {
		l.mu.Unlock()
		return nil, nil
	}
	r := &zinniapond.AppendRequest{
		Sender: l.writer.Host, Shard: l.shard, Epoch: l.ballot, CommitIndex: l.commitIndex,
		PrevIndex: f.nextIndex - 1, PrevEpoch: l.epochAt(f.nextIndex - 1), StartVoting: vote,
	}
	r.LastIndex = r.PrevIndex
	if f.nextIndex >= l.firstCached {
		bytes := 0
		for _, e := range l.entries[f.nextIndex-l.firstCached:] {
			if bytes > maxBatchBytes {
				break
			}
			bytes += len(e.Data)
			r.Entries = append(r.Entries, e)
			r.LastIndex = e.Index
		}
		l.mu.Unlock()
		return r, nil
	}
	end := l.firstCached - 1
	l.mu.Unlock()
	return r, l.fillFromReplica(ctx, f, r, end)
}

// fillFromReplica fills a request with entries that are no longer in memory, read
// from a replica that has them.
func (l *shardLog) fillFromReplica(ctx context.Context, f *follower, r *zinniapond.AppendRequest, end zinniapond.Index) error {
	reply, err := l.readFromReplica(ctx, f.host, &zinniapond.ReadRequest{Shard: l.shard, FromIndex: r.PrevIndex + 1}, end)
	if err != nil {
		return err
	}
	r.LastIndex = end
	if reply.NextIndex > 0 && reply.NextIndex <= end {
		r.LastIndex = reply.NextIndex - 1
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range reply.Entries {
		if e.Index > r.LastIndex {
			break
		}
		if e.Epoch != l.epochAt(e.Index) {
			return fmt.Errorf("read journal shard %d: entry %d has another epoch: %w",
				l.shard, e.Index, zinniapond.ErrCorrupt)
		}
		r.Entries = append(r.Entries, e)
	}
	return nil
}

// readFromReplica asks replicas, this host's own first, until one answers that has
// synced the log up to end under this owner.
func (l *shardLog) readFromReplica(ctx context.Context, excluded zinniapond.HostName, request *zinniapond.ReadRequest,
	end zinniapond.Index,
) (*zinniapond.ReadReply, error) {
	err := fmt.Errorf("read journal shard %d: no replica has it: %w", l.shard, zinniapond.ErrNoQuorum)
	for _, h := range l.syncedReplicas(excluded, end) {
		c, cancel := context.WithTimeout(ctx, l.writer.timeout())
		reply := new(zinniapond.ReadReply)
		callErr := l.writer.callReplica(c, h, "Journal.Read", request, reply)
		cancel()
		switch {
		case callErr != nil:
			err = errors.Join(err, callErr)
		case reply.PromisedEpoch > l.ballot:
			l.failFenced(reply.PromisedEpoch)
			return nil, l.failure()
		case reply.Voting && reply.LastIndex >= end:
			return reply, nil
		default:
			// The replica has lost its disk since it last answered.
			l.resetFollower(h, reply.LastIndex)
		}
	}
	return nil, err
}

func (l *shardLog) failure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

// resetFollower restarts the replication to a replica that no longer has its log,
// without a vote, after the last index that it still holds.
func (l *shardLog) resetFollower(host zinniapond.HostName, last zinniapond.Index) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f := l.followers[host]; f != nil {
		f.voting, f.barrierIndex = false, 0
		f.matchIndex = min(f.matchIndex, last)
		f.nextIndex = f.matchIndex + 1
		f.wake()
	}
}

// syncedReplicas returns the voting replicas that have synced the log up to end,
// this host's own first.
func (l *shardLog) syncedReplicas(excluded zinniapond.HostName, end zinniapond.Index) []zinniapond.HostName {
	l.mu.Lock()
	defer l.mu.Unlock()
	var hosts []zinniapond.HostName
	for h, f := range l.followers {
		if h == excluded || !f.voting || f.matchIndex < end {
			continue
		}
		if h == l.writer.Host {
			hosts = append([]zinniapond.HostName{h}, hosts...)
		} else {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// send sends one request to a replica and updates the replica's state from the
// reply.
func (l *shardLog) send(ctx context.Context, f *follower, request *zinniapond.AppendRequest) error {
	c, cancel := context.WithTimeout(ctx, l.writer.timeout())
	defer cancel()
	var reply zinniapond.AppendReply
	if err := l.writer.callReplica(c, f.host, "Journal.Append", request, &reply); err != nil {
		return err
	}
	if !reply.Accepted && reply.PromisedEpoch > request.Epoch {
		l.failFenced(reply.PromisedEpoch)
		return l.failure()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	f.voting = reply.Voting
	if !reply.Accepted {
		f.barrierIndex = 0
		if reply.LastIndex >= f.nextIndex {
			return fmt.Errorf("append to journal shard %d: %s refused the entry after index %d and named last index %d: %w",
				l.shard, f.host, request.PrevIndex, reply.LastIndex, zinniapond.ErrCorrupt)
		}
		f.matchIndex = min(f.matchIndex, reply.LastIndex)
		f.nextIndex = reply.LastIndex + 1
		return nil
	}
	f.matchIndex = request.LastIndex
	f.nextIndex = request.LastIndex + 1
	if request.StartVoting {
		l.writer.Logger.Info("replica holds the whole log and votes", "shard", l.shard, "peer", f.host, "last", request.LastIndex)
		f.barrierIndex = 0
	}
	l.requestBarrier(f)
	l.advanceCommit()
	return nil
}

// requestBarrier appends a barrier once a replica that does not vote has caught up.
// The barrier is an entry that a majority without this replica commits: it proves
// that no newer owner has sealed that majority. Without it a deposed owner could
// give the vote to a replica that had promised a newer epoch and then lost its log.
func (l *shardLog) requestBarrier(f *follower) {
	if f.voting || f.barrierIndex > 0 || f.matchIndex < l.commitIndex || l.commitIndex < l.ballotStart || l.err != nil {
		return
	}
	f.barrierIndex = l.appendEmpty()
}

// appendEmpty appends an entry without content and returns its index. It is called
// with the lock held.
func (l *shardLog) appendEmpty() zinniapond.Index {
	l.lastIndex++
	l.entries = append(l.entries, zinniapond.JournalEntry{
		Index: l.lastIndex, Epoch: l.ballot, Kind: zinniapond.RecordEmpty,
	})
	l.wakeFollowers()
	return l.lastIndex
}

// mayVote reports whether a replica that has caught up may be given a vote.
func (l *shardLog) mayVote(f *follower) bool {
	return !f.voting && f.barrierIndex > 0 && f.barrierIndex <= l.commitIndex && f.matchIndex >= f.barrierIndex
}
