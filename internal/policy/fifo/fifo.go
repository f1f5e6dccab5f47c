// Package fifo implements a queue that orders waiting calls by arrival. It is
// the baseline with which package fair is compared.
package fifo

import (
	"container/list"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

// maxOffers bounds the calls that one Pop offers to admit.
const maxOffers = 8

func init() {
	kernel.Register[zinniapond.Queue]("fifo", func(*kernel.Kernel) (zinniapond.Queue, error) {
		return &Queue{}, nil
	})
}

// Queue orders calls by arrival. Its zero value is ready for use.
type Queue struct {
	mu    sync.Mutex
	order list.List // of zinniapond.QueuedCall
	calls map[zinniapond.CallID]*list.Element
}

var _ zinniapond.Queue = (*Queue)(nil)

// Push adds a call. A call that already waits is not added again.
func (q *Queue) Push(_ time.Time, waiting zinniapond.QueuedCall) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.calls == nil {
		q.calls = make(map[zinniapond.CallID]*list.Element)
	}
	if _, ok := q.calls[waiting.Call]; !ok {
		q.calls[waiting.Call] = q.order.PushBack(waiting)
	}
}

// Pop removes and returns the first call in order that admit accepts.
func (q *Queue) Pop(_ time.Time, admit func(zinniapond.QueuedCall) bool) (zinniapond.QueuedCall, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.order.Front()
	for i := 0; e != nil && i < maxOffers; i++ {
		if w := e.Value.(zinniapond.QueuedCall); admit(w) {
			q.remove(e)
			return w, true
		}
		e = e.Next()
	}
	return zinniapond.QueuedCall{}, false
}

// Remove takes a call out of the queue and tells whether it was waiting.
func (q *Queue) Remove(call zinniapond.CallID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.calls[call]
	if ok {
		q.remove(e)
	}
	return ok
}

// Expire removes and returns the calls whose Deadline has passed.
func (q *Queue) Expire(now time.Time) []zinniapond.QueuedCall {
	q.mu.Lock()
	defer q.mu.Unlock()
	var expired []zinniapond.QueuedCall
	for e := q.order.Front(); e != nil; {
		next := e.Next()
		if w := e.Value.(zinniapond.QueuedCall); !w.Deadline.IsZero() && !w.Deadline.After(now) {
			q.remove(e)
			expired = append(expired, w)
		}
		e = next
	}
	return expired
}

// Charge does nothing: the order does not depend on received service.
func (q *Queue) Charge(time.Time, zinniapond.PlanName, zinniapond.ProgramID, int, zinniapond.Tokens) {
}

// Forget does nothing: nothing is kept for programs.
func (q *Queue) Forget(zinniapond.ProgramID) {}

// Len returns the number of waiting calls.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.calls)
}

func (q *Queue) remove(e *list.Element) {
	delete(q.calls, e.Value.(zinniapond.QueuedCall).Call)
	q.order.Remove(e)
}
