package cache

import (
	"container/heap"
	"time"

	"zinniapond.example/zinniapond"
)

// expiry is an instant at which a program may have a pin that is over. Renewed
// and removed pins leave theirs behind; it then finds nothing.
type expiry struct {
	at      time.Time
	program zinniapond.ProgramID
}

type expiries struct{ list entries }

func (e *expiries) add(x expiry) { heap.Push(&e.list, x) }

// until removes and returns the expiries up to now.
func (e *expiries) until(now time.Time) []expiry {
	var over []expiry
	for len(e.list) > 0 && !e.list[0].at.After(now) {
		over = append(over, heap.Pop(&e.list).(expiry))
	}
	return over
}

type entries []expiry

func (e entries) Len() int           { return len(e) }
func (e entries) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e entries) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *entries) Push(x any)        { *e = append(*e, x.(expiry)) }
func (e *entries) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
