// Package wait orders the requests that wait at a front while all replicas of a pool are
// full, and estimates how long they will wait. It answers bursts of 1.4 to 2.2 times the
// load for some seconds: without an order a request that arrives when a replica has
// room is served before requests that have waited, first turns of new programs take the
// place of turns whose program then fails, and programs that are late keep others from
// being in time.
package wait

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

const (
	// defaultCapacity bounds the waiting requests of one pool. A front of the smallest
	// size answers about a hundred requests a second, so that more of them would not be
	// served within the timeout of a turn.
	defaultCapacity = 512
	// agedShare is the share of its waiting time after which a request is served from
	// the places for aged requests.
	agedShare = 0.5
	// agedInterval is the number of places of which one goes to the request that has
	// used most of its waiting time. Requests of low priority are then served at all
	// times, and the others lose an eighth of the places at most.
	agedInterval = 8
)

func init() {
	kernel.Register("default", func(*kernel.Kernel) (zinniapond.WaitQueue, error) { return new(Queue), nil })
}

// Queue implements zinniapond.WaitQueue. Its zero value is ready for use. It is short, so
// that it is searched from end to end, because the order changes with time.
type Queue struct {
	// Capacity is the largest number of requests; zero for the default. It is set
	// before use.
	Capacity int

	mu       sync.Mutex
	waiting  []zinniapond.WaitingRequest
	popCount uint64
	freed    freeRate
}

var _ zinniapond.WaitQueue = (*Queue)(nil)

// compare orders requests by the priority of the plan, whether the program can still
// finish in time, the priority of the route, calls of tools before turns, turns that
// continue a program before those that begin one, and arrival.
func compare(now time.Time, a, b *zinniapond.WaitingRequest) int {
	return cmp.Or(
		cmp.Compare(a.PlanPriority, b.PlanPriority),
		compareBool(isLate(now, a), isLate(now, b)),
		cmp.Compare(a.RoutePriority, b.RoutePriority),
		compareBool(a.IsTurn, b.IsTurn),
		compareBool(a.Begins, b.Begins),
		a.EnteredAt.Compare(b.EnteredAt),
		cmp.Compare(a.Ticket, b.Ticket),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

func isLate(now time.Time, w *zinniapond.WaitingRequest) bool {
	return !w.FinishBy.IsZero() && !now.Before(w.FinishBy)
}

// usedShare returns the share of its waiting time that a request has used.
func usedShare(now time.Time, w *zinniapond.WaitingRequest) float64 {
	return float64(now.Sub(w.EnteredAt)) / float64(max(w.LeaveAt.Sub(w.EnteredAt), 1))
}

// Push adds a request.
func (q *Queue) Push(now time.Time, waiting zinniapond.WaitingRequest) (removed zinniapond.WaitingRequest, isFull bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, waiting)
	if len(q.waiting) <= cmp.Or(q.Capacity, defaultCapacity) {
		return zinniapond.WaitingRequest{}, false
	}
	last := 0
	for i := range q.waiting {
		if compare(now, &q.waiting[i], &q.waiting[last]) > 0 {
			last = i
		}
	}
	return q.removeAt(last), true
}

// Pop removes and returns the request to be served next.
func (q *Queue) Pop(now time.Time) (zinniapond.WaitingRequest, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		return zinniapond.WaitingRequest{}, false
	}
	q.popCount++
	if q.popCount%agedInterval == 0 {
		if i, ok := q.mostAged(now); ok {
			return q.removeAt(i), true
		}
	}
	first := 0
	for i := range q.waiting {
		if compare(now, &q.waiting[i], &q.waiting[first]) < 0 {
			first = i
		}
	}
	return q.removeAt(first), true
}

// mostAged returns the index of the request that has used the largest share of its
// waiting time, if that is at least agedShare. The caller holds the lock.
func (q *Queue) mostAged(now time.Time) (index int, ok bool) {
	largest := agedShare
	for i := range q.waiting {
		if share := usedShare(now, &q.waiting[i]); share > largest || !ok && share == largest {
			index, largest, ok = i, share, true
		}
	}
	return index, ok
}

// removeAt removes and returns a request. The caller holds the lock.
func (q *Queue) removeAt(i int) zinniapond.WaitingRequest {
	w := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return w
}

// Remove removes a request.
func (q *Queue) Remove(ticket uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	i := slices.IndexFunc(q.waiting, func(w zinniapond.WaitingRequest) bool { return w.Ticket == ticket })
	if i < 0 {
		return false
	}
	q.removeAt(i)
	return true
}

// IsFirst reports whether a request would be served before all requests in the queue.
func (q *Queue) IsFirst(now time.Time, waiting zinniapond.WaitingRequest) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.countAhead(now, &waiting) == 0
}

// countAhead returns the number of requests that are served before another one. The
// caller holds the lock.
func (q *Queue) countAhead(now time.Time, waiting *zinniapond.WaitingRequest) int {
	count := 0
	for i := range q.waiting {
		if compare(now, &q.waiting[i], waiting) < 0 {
			count++
		}
	}
	return count
}

// Len returns the number of requests in the queue.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// State describes the queue for operators.
func (q *Queue) State(now time.Time) zinniapond.WaitState {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := zinniapond.WaitState{Length: len(q.waiting)}
	for i := range q.waiting {
		s.LongestWait = max(s.LongestWait, now.Sub(q.waiting[i].EnteredAt))
	}
	s.FreedPerS, _ = q.freed.perSecond(now)
	return s
}

// RecordFree records that places at replicas have become free.
func (q *Queue) RecordFree(now time.Time, places int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.freed.add(now, places)
}

// EstimateWait returns how long a request that enters the queue will wait. More urgent
// requests that arrive later lengthen the wait, so that the estimate is a lower bound.
func (q *Queue) EstimateWait(now time.Time, waiting zinniapond.WaitingRequest) (wait time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	rate, ok := q.freed.perSecond(now)
	if !ok {
		return 0, false
	}
	return time.Duration(float64(q.countAhead(now, &waiting)+1) / rate * float64(time.Second)), true
}
