package writer

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"sync"

	"zinniapond.example/zinniapond"
)

// maxCachedBytes bounds the committed entries that stay in memory for replicas
// that lag a little; a replica further behind gets them from another replica.
const maxCachedBytes = 4 << 20

// maxUncommittedBytes bounds the entries that are not committed. Appends beyond
// it are refused, so that an owner without a majority does not fill its memory.
const maxUncommittedBytes = 64 << 20

// shardLog is the owner's state of the journal of one shard.
type shardLog struct {
	writer *Writer
	shard  zinniapond.ShardID
	ballot zinniapond.Epoch
	ctx    context.Context
	cancel context.CancelFunc

	mu          sync.Mutex
	lowestEpoch zinniapond.Epoch // assignment epochs under which appends are accepted
	newestEpoch zinniapond.Epoch
	spans       []zinniapond.EpochSpan
	// entries holds the indexes from firstCached to lastIndex without gaps.
	entries          []zinniapond.JournalEntry
	firstCached      zinniapond.Index
	lastIndex        zinniapond.Index
	commitIndex      zinniapond.Index
	ballotStart      zinniapond.Index // first index of this ballot
	cachedBytes      int              // bytes in entries
	uncommittedBytes int              // bytes of entries that are not committed
	waiters          []waiter         // ordered by index
	err              error
	// An entry is committed by a majority of replicas. Once a joining replica
	// votes, newReplicas is set and a majority of it is needed as well.
	replicas    []zinniapond.HostName
	newReplicas []zinniapond.HostName
	followers   map[zinniapond.HostName]*follower
	joining     zinniapond.HostName
}

type waiter struct {
	index zinniapond.Index
	done  chan error // buffered
}

func (l *shardLog) acceptsEpoch(epoch zinniapond.Epoch) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return epoch >= l.lowestEpoch && epoch <= l.newestEpoch
}

// append adds entries and waits until they are committed.
func (l *shardLog) append(ctx context.Context, entries []zinniapond.JournalEntry) (zinniapond.Index, error) {
	l.mu.Lock()
	if l.err != nil {
		defer l.mu.Unlock()
		return 0, l.err
	}
	if l.uncommittedBytes > maxUncommittedBytes {
		defer l.mu.Unlock()
		return 0, fmt.Errorf("append to journal shard %d: %d bytes are not committed: %w",
			l.shard, l.uncommittedBytes, zinniapond.ErrNoQuorum)
	}
	for _, e := range entries {
		l.lastIndex++
		e.Index, e.Epoch = l.lastIndex, l.ballot
		l.entries = append(l.entries, e)
		l.cachedBytes += len(e.Data)
		l.uncommittedBytes += len(e.Data)
	}
	last := l.lastIndex
	done := make(chan error, 1)
	l.waiters = append(l.waiters, waiter{index: last, done: done})
	l.wakeFollowers()
	l.mu.Unlock()
	select {
	case err := <-done:
		return last, err
	case <-ctx.Done():
		return last, fmt.Errorf("append to journal shard %d: no answer from a majority: %w: %w",
			l.shard, zinniapond.ErrNoQuorum, context.Cause(ctx))
	}
}

// wakeFollowers starts the next request to each replica. It is called with the
// lock held.
func (l *shardLog) wakeFollowers() {
	for _, f := range l.followers {
		f.wake()
	}
}

func (f *follower) wake() {
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
}

// fail ends the log: pending and later appends return err, or the error that
// ended the log first.
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

func (l *shardLog) failFenced(promised zinniapond.Epoch) {
	l.fail(fmt.Errorf("journal shard %d: epoch %d is promised to another owner: %w",
		l.shard, promised>>roundBits, zinniapond.ErrFenced))
}

// epochAt returns the epoch of the entry at index. It is called with the lock
// held.
func (l *shardLog) epochAt(index zinniapond.Index) zinniapond.Epoch {
	i := sort.Search(len(l.spans), func(i int) bool { return l.spans[i].FirstIndex > index }) - 1
	if i < 0 {
		return 0
	}
	return l.spans[i].Epoch
}

// advanceCommit commits the entries that a majority of voting replicas has synced.
// An entry of an earlier owner is committed only together with a later entry of
// this owner, since only then does every later recovery choose a log that has it.
func (l *shardLog) advanceCommit() {
	index := l.quorumIndex(l.replicas)
	if l.newReplicas != nil {
		index = min(index, l.quorumIndex(l.newReplicas))
	}
	if index <= l.commitIndex || index < l.ballotStart {
		return
	}
	for i := l.commitIndex + 1; i <= index; i++ {
		if i >= l.firstCached {
			l.uncommittedBytes -= len(l.entries[i-l.firstCached].Data)
		}
	}
	l.commitIndex = index
	n := 0
	for n < len(l.waiters) && l.waiters[n].index <= index {
		l.waiters[n].done <- nil
		n++
	}
	l.waiters = slices.Delete(l.waiters, 0, n)
	l.trimCache()
	for _, f := range l.followers {
		if f.barrierIndex > 0 && f.barrierIndex <= index {
			f.wake()
		}
	}
}

// quorumIndex returns the last index that a majority of hosts has synced, or 0 if
// fewer than a majority vote.
func (l *shardLog) quorumIndex(hosts []zinniapond.HostName) zinniapond.Index {
	matches := make([]zinniapond.Index, 0, 8)
	for _, h := range hosts {
		if f := l.followers[h]; f != nil && f.voting {
			matches = append(matches, f.matchIndex)
		}
	}
	majority := len(hosts)/2 + 1
	if len(matches) < majority {
		return 0
	}
	slices.Sort(matches)
	return matches[len(matches)-majority]
}

// trimCache drops the cached entries that all replicas have, and committed ones
// beyond maxCachedBytes.
func (l *shardLog) trimCache() {
	replicated := l.commitIndex
	for _, f := range l.followers {
		replicated = min(replicated, f.matchIndex)
	}
	n := 0
	for n < len(l.entries) {
		i := l.firstCached + zinniapond.Index(n)
		if i > replicated && (i > l.commitIndex || l.cachedBytes <= maxCachedBytes) {
			break
		}
		l.cachedBytes -= len(l.entries[n].Data)
		n++
	}
	if n == 0 {
		return
	}
	l.firstCached += zinniapond.Index(n)
	l.entries = slices.Delete(l.entries, 0, n)
}
