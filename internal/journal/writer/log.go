package writer

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"sync"

	"zinniapond.example/zinniapond"
)

// keepBytes bounds the committed entries that are kept for replicas that lag a
// little; a replica further behind gets them from another replica.
const keepBytes = 4 << 20

// mostBytes bounds the entries that are not committed. Appends beyond it are
// refused, so that an owner without a majority does not fill its memory.
const mostBytes = 64 << 20

// shardLog is the owner's view of the journal of one shard.
type shardLog struct {
	w      *Writer
	shard  zinniapond.ShardID
	ballot zinniapond.Epoch
	ctx    context.Context
	cancel context.CancelFunc

	mu     sync.Mutex
	lowest zinniapond.Epoch // assignment epochs under which appends are taken
	newest zinniapond.Epoch
	spans  []zinniapond.EpochSpan
	// entries has the indexes from base to last without gaps.
	entries []zinniapond.JournalEntry
	base    zinniapond.Index
	last    zinniapond.Index
	commit  zinniapond.Index
	start   zinniapond.Index // first index of this ballot
	kept    int              // bytes in entries
	open    int              // bytes not committed
	waiters []waiter         // by index
	err     error
	// replicas count for a majority; while a replica joins, next counts as well.
	replicas []zinniapond.HostName
	joined   []zinniapond.HostName
	members  map[zinniapond.HostName]*member
	joining  zinniapond.HostName
}

type waiter struct {
	index zinniapond.Index
	done  chan error // buffered
}

func (l *shardLog) holds(epoch zinniapond.Epoch) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return epoch >= l.lowest && epoch <= l.newest
}

// append adds entries and waits until they are committed.
func (l *shardLog) append(ctx context.Context, entries []zinniapond.JournalEntry) (zinniapond.Index, error) {
	l.mu.Lock()
	if l.err != nil {
		defer l.mu.Unlock()
		return 0, l.err
	}
	if l.open > mostBytes {
		defer l.mu.Unlock()
		return 0, fmt.Errorf("append to journal shard %d: %d bytes are not committed: %w",
			l.shard, l.open, zinniapond.ErrNoQuorum)
	}
	for _, e := range entries {
		l.last++
		e.Index, e.Epoch = l.last, l.ballot
		l.entries = append(l.entries, e)
		l.kept += len(e.Data)
		l.open += len(e.Data)
	}
	last := l.last
	done := make(chan error, 1)
	l.waiters = append(l.waiters, waiter{index: last, done: done})
	l.wakeAll()
	l.mu.Unlock()
	select {
	case err := <-done:
		return last, err
	case <-ctx.Done():
		return last, fmt.Errorf("append to journal shard %d: no answer from a majority: %w: %w",
			l.shard, zinniapond.ErrNoQuorum, context.Cause(ctx))
	}
}

// wakeAll is called with the lock held.
func (l *shardLog) wakeAll() {
	for _, m := range l.members {
		m.kick()
	}
}

func (m *member) kick() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// fail ends the log: waiting and later appends get err.
func (l *shardLog) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failLocked(err)
}

func (l *shardLog) failLocked(err error) {
	if l.err == nil {
		l.err = err
	}
	for _, w := range l.waiters {
		w.done <- l.err
	}
	l.waiters = nil
	l.cancel()
}

func (l *shardLog) fenced(promised zinniapond.Epoch) {
	l.fail(fmt.Errorf("journal shard %d: epoch %d is promised to another owner: %w",
		l.shard, promised>>roundBits, zinniapond.ErrFenced))
}

// epochAt returns the epoch of an index, with the lock held.
func (l *shardLog) epochAt(index zinniapond.Index) zinniapond.Epoch {
	i := sort.Search(len(l.spans), func(i int) bool { return l.spans[i].First > index }) - 1
	if i < 0 {
		return 0
	}
	return l.spans[i].Epoch
}

// advance commits what a majority of the counting replicas has synced. An entry
// of an earlier owner is committed only by one of this owner's after it, since
// only then does every later recovery choose a log that has it.
func (l *shardLog) advance() {
	index := l.quorum(l.replicas)
	if l.joined != nil {
		index = min(index, l.quorum(l.joined))
	}
	if index <= l.commit || index < l.start {
		return
	}
	for i := l.commit + 1; i <= index; i++ {
		if i >= l.base {
			l.open -= len(l.entries[i-l.base].Data)
		}
	}
	l.commit = index
	n := 0
	for n < len(l.waiters) && l.waiters[n].index <= index {
		l.waiters[n].done <- nil
		n++
	}
	l.waiters = slices.Delete(l.waiters, 0, n)
	l.trim()
	for _, m := range l.members {
		if m.barrier > 0 && m.barrier <= index {
			m.kick()
		}
	}
}

// quorum returns the last index that a majority of hosts has synced.
func (l *shardLog) quorum(hosts []zinniapond.HostName) zinniapond.Index {
	matches := make([]zinniapond.Index, 0, 8)
	for _, h := range hosts {
		if m := l.members[h]; m != nil && m.voting {
			matches = append(matches, m.match)
		}
	}
	need := len(hosts)/2 + 1
	if len(matches) < need {
		return 0
	}
	slices.Sort(matches)
	return matches[len(matches)-need]
}

// trim drops entries that all replicas have, and committed ones beyond the
// bound.
func (l *shardLog) trim() {
	low := l.commit
	for _, m := range l.members {
		low = min(low, m.match)
	}
	n := 0
	for n < len(l.entries) {
		i := l.base + zinniapond.Index(n)
		if i > low && (i > l.commit || l.kept <= keepBytes) {
			break
		}
		l.kept -= len(l.entries[n].Data)
		n++
	}
	if n == 0 {
		return
	}
	l.base += zinniapond.Index(n)
	l.entries = slices.Delete(l.entries, 0, n)
}
