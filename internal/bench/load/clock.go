package load

import (
	"container/heap"
	"time"
)

// startTime is the first instant of each run in simulated time.
var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is an action at an instant of simulated time.
type event struct {
	dueAt    time.Time
	sequence uint64 // events of one instant run in the order in which they were scheduled
	action   func(now time.Time)
}

// timeline runs events in order of simulated time. Experiments use no other
// clock, so that the load of the machine does not change their figures.
type timeline struct {
	now          time.Time
	lastSequence uint64
	events       eventHeap
}

// schedule adds an action that runs at the given instant.
func (t *timeline) schedule(at time.Time, action func(now time.Time)) {
	t.lastSequence++
	heap.Push(&t.events, event{dueAt: at, sequence: t.lastSequence, action: action})
}

// runUntil runs all events up to the given instant.
func (t *timeline) runUntil(until time.Time) {
	for len(t.events) > 0 && !t.events[0].dueAt.After(until) {
		e := heap.Pop(&t.events).(event)
		if e.dueAt.After(t.now) {
			t.now = e.dueAt
		}
		e.action(t.now)
	}
}

// eventHeap orders events by instant, then by sequence. It implements
// heap.Interface.
type eventHeap []event

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	if !e[i].dueAt.Equal(e[j].dueAt) {
		return e[i].dueAt.Before(e[j].dueAt)
	}
	return e[i].sequence < e[j].sequence
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}
