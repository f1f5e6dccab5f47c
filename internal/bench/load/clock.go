package load

import (
	"container/heap"
	"time"
)

// begin is the first instant of each run.
var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// event is work at an instant.
type event struct {
	at     time.Time
	number uint64 // events of one instant run in order of their making
	work   func(now time.Time)
}

// timeline runs events in order of time. Experiments run in its time, so that a
// busy machine does not change their figures.
type timeline struct {
	now    time.Time
	made   uint64
	events events
}

func (t *timeline) at(at time.Time, work func(now time.Time)) {
	t.made++
	heap.Push(&t.events, event{at: at, number: t.made, work: work})
}

// run runs all events up to the given instant.
func (t *timeline) run(until time.Time) {
	for len(t.events) > 0 && !t.events[0].at.After(until) {
		e := heap.Pop(&t.events).(event)
		if e.at.After(t.now) {
			t.now = e.at
		}
		e.work(t.now)
	}
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return last
}
