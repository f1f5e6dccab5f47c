package writer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"zinniapond.example/zinniapond"
)

// batchBytes bounds the data in one message to a replica.
const batchBytes = 1 << 20

// Pauses between attempts to reach a replica that does not answer.
const (
	shortPause = 20 * time.Millisecond
	longPause  = 500 * time.Millisecond
)

// add makes a host a replica that is written to, with the lock held.
func (l *shardLog) add(host zinniapond.HostName, next zinniapond.Index) *member {
	ctx, cancel := context.WithCancel(l.ctx)
	m := &member{host: host, wake: make(chan struct{}, 1), stop: cancel, next: next}
	l.members[host] = m
	go l.replicate(ctx, m)
	return m
}

// tellPause is the silence after which a replica is told the commit index, which
// it needs to remove ended programs. Its answer shows whether it still has its
// log: without new records a replica that was restarted without it would go on
// counting for nothing until the next append.
const tellPause = 500 * time.Millisecond

// replicate keeps one replica up to date until ctx is done. One message is
// under way at a time, and takes all entries that came since the one before.
func (l *shardLog) replicate(ctx context.Context, m *member) {
	pause := shortPause
	for {
		request, err := l.batch(ctx, m, false)
		if request == nil && err == nil {
			select {
			case <-ctx.Done():
				return
			case <-m.wake:
				continue
			case <-time.After(tellPause):
				request, err = l.batch(ctx, m, true)
			}
		}
		if err == nil {
			err = l.send(ctx, m, request)
		}
		if err == nil {
			pause = shortPause
			continue
		}
		if ctx.Err() != nil {
			return
		}
		l.w.Logger.Debug("replica does not answer", "shard", l.shard, "peer", m.host, "err", err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
			pause = min(2*pause, longPause)
		}
	}
}

// batch returns the next message to a replica, or nil if there is none to send.
// With tell it is sent also if there is no news.
func (l *shardLog) batch(ctx context.Context, m *member, tell bool) (*zinniapond.AppendRequest, error) {
	l.mu.Lock()
	vote := l.mayVote(m)
	if m.next > l.last && !vote && !tell {
		l.mu.Unlock()
		return nil, nil
	}
	r := &zinniapond.AppendRequest{
		Sender: l.w.Host, Shard: l.shard, Epoch: l.ballot, Commit: l.commit,
		PrevIndex: m.next - 1, PrevEpoch: l.epochAt(m.next - 1), Vote: vote,
	}
	r.Last = r.PrevIndex
	if m.next >= l.base {
		bytes := 0
		for _, e := range l.entries[m.next-l.base:] {
			if bytes > batchBytes {
				break
			}
			bytes += len(e.Data)
			r.Entries = append(r.Entries, e)
			r.Last = e.Index
		}
		l.mu.Unlock()
		return r, nil
	}
	end := l.base - 1
	l.mu.Unlock()
	return r, l.fetch(ctx, m, r, end)
}

// fetch fills a message with entries that are no longer in memory, from a
// replica that has them.
func (l *shardLog) fetch(ctx context.Context, m *member, r *zinniapond.AppendRequest, end zinniapond.Index) error {
	reply, err := l.read(ctx, m.host, &zinniapond.ReadRequest{Shard: l.shard, From: r.PrevIndex + 1}, end)
	if err != nil {
		return err
	}
	r.Last = end
	if reply.Next > 0 && reply.Next <= end {
		r.Last = reply.Next - 1
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range reply.Entries {
		if e.Index > r.Last {
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

// read asks replicas, this host's own first, until one that has synced the log
// up to end under this owner answers.
func (l *shardLog) read(ctx context.Context, except zinniapond.HostName, request *zinniapond.ReadRequest,
	end zinniapond.Index,
) (*zinniapond.ReadReply, error) {
	err := fmt.Errorf("read journal shard %d: no replica has it: %w", l.shard, zinniapond.ErrNoQuorum)
	for _, h := range l.sources(except, end) {
		c, cancel := context.WithTimeout(ctx, l.w.wait())
		reply := new(zinniapond.ReadReply)
		e := l.w.call(c, h, "Journal.Read", request, reply)
		cancel()
		switch {
		case e != nil:
			err = errors.Join(err, e)
		case reply.Promised > l.ballot:
			l.fenced(reply.Promised)
			return nil, l.failure()
		case reply.Voting && reply.Last >= end:
			return reply, nil
		default:
			// The replica has lost its disk since it last answered.
			l.lost(h, reply.Last)
		}
	}
	return nil, err
}

func (l *shardLog) failure() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.err
}

// lost makes a replica that no longer has its log start anew.
func (l *shardLog) lost(host zinniapond.HostName, last zinniapond.Index) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if m := l.members[host]; m != nil {
		m.voting, m.barrier = false, 0
		m.match = min(m.match, last)
		m.next = m.match + 1
		m.kick()
	}
}

// sources returns the replicas that have synced the log up to end.
func (l *shardLog) sources(except zinniapond.HostName, end zinniapond.Index) []zinniapond.HostName {
	l.mu.Lock()
	defer l.mu.Unlock()
	var hosts []zinniapond.HostName
	for h, m := range l.members {
		if h == except || !m.voting || m.match < end {
			continue
		}
		if h == l.w.Host {
			hosts = append([]zinniapond.HostName{h}, hosts...)
		} else {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

// send sends one message to a replica and takes in its answer.
func (l *shardLog) send(ctx context.Context, m *member, request *zinniapond.AppendRequest) error {
	c, cancel := context.WithTimeout(ctx, l.w.wait())
	defer cancel()
	var reply zinniapond.AppendReply
	if err := l.w.call(c, m.host, "Journal.Append", request, &reply); err != nil {
		return err
	}
	if !reply.Accepted && reply.Promised > request.Epoch {
		l.fenced(reply.Promised)
		return l.failure()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	m.voting = reply.Voting
	if !reply.Accepted {
		m.barrier = 0
		if reply.Last >= m.next {
			return fmt.Errorf("append to journal shard %d: %s refuses index %d and names %d: %w",
				l.shard, m.host, request.PrevIndex, reply.Last, zinniapond.ErrCorrupt)
		}
		m.match = min(m.match, reply.Last)
		m.next = reply.Last + 1
		return nil
	}
	m.match = request.Last
	m.next = request.Last + 1
	if request.Vote {
		l.w.Logger.Info("replica holds the whole log and counts", "shard", l.shard, "peer", m.host, "last", request.Last)
		m.barrier = 0
	}
	l.prepare(m)
	l.advance()
	return nil
}

// prepare asks for a barrier once a replica that does not count has caught up.
// The barrier is an entry that a majority without this replica commits: it
// proves that no newer owner has sealed that majority. Without it a deposed
// owner could make an emptied replica count that had promised a newer epoch.
func (l *shardLog) prepare(m *member) {
	if m.voting || m.barrier > 0 || m.match < l.commit || l.commit < l.start || l.err != nil {
		return
	}
	m.barrier = l.probe()
}

// probe appends an entry without content and returns its index, with the lock
// held.
func (l *shardLog) probe() zinniapond.Index {
	l.last++
	l.entries = append(l.entries, zinniapond.JournalEntry{
		Index: l.last, Epoch: l.ballot, Kind: zinniapond.RecordEmpty,
	})
	l.wakeAll()
	return l.last
}

// mayVote tells whether a replica that caught up may be told to count.
func (l *shardLog) mayVote(m *member) bool {
	return !m.voting && m.barrier > 0 && m.barrier <= l.commit && m.match >= m.barrier
}
