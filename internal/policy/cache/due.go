package cache

import (
	"container/heap"
	"time"

	"zinniapond.example/zinniapond"
)

// expiry is an instant at which a program may have an expired pin. Entries of
// renewed and removed pins stay queued; RemoveExpired then finds no pin to
// remove.
type expiry struct {
	at      time.Time
	program zinniapond.ProgramID
}

type expiryQueue struct{ heap expiryHeap }

func (e *expiryQueue) add(x expiry) { heap.Push(&e.heap, x) }

// popUntil removes and returns the expiries up to now.
func (e *expiryQueue) popUntil(now time.Time) []expiry {
	var expired []expiry
	for len(e.heap) > 0 && !e.heap[0].at.After(now) {
		expired = append(expired, heap.Pop(&e.heap).(expiry))
	}
	return expired
}

type expiryHeap []expiry

func (e expiryHeap) Len() int           { return len(e) }
func (e expiryHeap) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e expiryHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *expiryHeap) Push(x any)        { *e = append(*e, x.(expiry)) }
func (e *expiryHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
