package wait

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var start = time.Unix(1000, 0)

type waiting = zinniapond.WaitingRequest

// newTurn returns a turn that continues a program and arrived at the start.
func newTurn(ticket uint64, change func(*waiting)) waiting {
	w := waiting{Ticket: ticket, IsTurn: true, EnteredAt: start, LeaveAt: start.Add(time.Second), Deadline: start.Add(2 * time.Second)}
	if change != nil {
		change(&w)
	}
	return w
}

// assertOrder pushes the requests in reverse and asserts that they leave the queue in the
// given order.
func assertOrder(t *testing.T, now time.Time, requests ...waiting) {
	t.Helper()
	q := new(Queue)
	for _, w := range slices.Backward(requests) {
		q.Push(now, w)
	}
	for _, want := range requests {
		got, ok := q.Pop(now)
		assert.True(t, ok, "the queue is empty")
		assert.Equal(t, got, want)
	}
}

func TestOrder(t *testing.T) {
	second := newTurn(2, nil)
	for name, behind := range map[string]waiting{
		"a tenant of lower priority":           newTurn(1, func(w *waiting) { w.PlanPriority = 1 }),
		"a route of lower priority":            newTurn(1, func(w *waiting) { w.RoutePriority = 1 }),
		"the first turn of a program":          newTurn(1, func(w *waiting) { w.Begins = true }),
		"a program that is late":               newTurn(1, func(w *waiting) { w.FinishBy = start }),
		"a request that arrived later":         newTurn(3, nil),
		"a request that entered a queue later": newTurn(1, func(w *waiting) { w.EnteredAt = start.Add(1) }),
	} {
		t.Run("guards against a turn behind "+name, func(t *testing.T) { assertOrder(t, start, second, behind) })
	}
	t.Run("guards against a short call of a tool behind long turns", func(t *testing.T) {
		assertOrder(t, start, newTurn(2, func(w *waiting) { w.IsTurn = false }), newTurn(1, nil))
	})
	t.Run("guards against an urgent tenant behind all others of a route", func(t *testing.T) {
		urgent := newTurn(9, func(w *waiting) { w.RoutePriority, w.Begins = 2, true })
		assertOrder(t, start, urgent, newTurn(1, func(w *waiting) { w.PlanPriority = 1 }))
	})
	t.Run("guards against a program that becomes late while it waits and keeps its place", func(t *testing.T) {
		late := newTurn(1, func(w *waiting) { w.FinishBy = start.Add(100 * time.Millisecond) })
		assertOrder(t, start, late, second)
		assertOrder(t, start.Add(200*time.Millisecond), second, late)
	})
	t.Run("guards against a request that loses its place because a replica refused it", func(t *testing.T) {
		q := new(Queue)
		for i := range uint64(3) {
			q.Push(start, newTurn(i, nil))
		}
		first, _ := q.Pop(start)
		q.Push(start.Add(time.Millisecond), first)
		again, _ := q.Pop(start.Add(time.Millisecond))
		assert.Equal(t, again.Ticket, 0)
	})
}

func TestStarvation(t *testing.T) {
	t.Run("guards against a request of low priority that is never served while others arrive", func(t *testing.T) {
		q := new(Queue)
		low := newTurn(0, func(w *waiting) { w.PlanPriority, w.Begins = 5, true })
		q.Push(start, low)
		for i := uint64(1); ; i++ {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			assert.True(t, now.Before(low.LeaveAt), "not served while it waited")
			q.Push(now, newTurn(i, func(w *waiting) { w.EnteredAt, w.LeaveAt = now, now.Add(time.Second) }))
			if w, _ := q.Pop(now); w.Ticket == low.Ticket {
				break
			}
		}
	})
	t.Run("guards against aged requests that take the places of urgent ones", func(t *testing.T) {
		q := new(Queue)
		now := start.Add(900 * time.Millisecond)
		for i := range uint64(100) {
			q.Push(start, newTurn(i, func(w *waiting) { w.PlanPriority = 1 }))
			q.Push(now, newTurn(100+i, func(w *waiting) { w.EnteredAt, w.LeaveAt = now, now.Add(time.Second) }))
		}
		urgent := 0
		for range 100 {
			if w, _ := q.Pop(now); w.PlanPriority == 0 {
				urgent++
			}
		}
		assert.True(t, urgent >= 85, "%d of 100 places for urgent requests", urgent)
	})
}

func TestBound(t *testing.T) {
	t.Run("guards against a queue without a bound, and against refusing an urgent request for it", func(t *testing.T) {
		q := &Queue{Capacity: 3}
		for i := range uint64(3) {
			_, isFull := q.Push(start, newTurn(i, func(w *waiting) { w.Begins = i == 1 }))
			assert.True(t, !isFull, "full with %d requests", i)
		}
		removed, isFull := q.Push(start, newTurn(3, func(w *waiting) { w.IsTurn = false }))
		assert.True(t, isFull && removed.Ticket == 1, "removed %d", removed.Ticket)
		removed, isFull = q.Push(start, newTurn(4, nil))
		assert.True(t, isFull && removed.Ticket == 4, "removed %d", removed.Ticket)
		assert.Equal(t, q.Len(), 3)
	})
}

func TestEstimate(t *testing.T) {
	t.Run("guards against an estimate from too few places", func(t *testing.T) {
		q := new(Queue)
		q.RecordFree(start, minPlaces-1)
		_, ok := q.EstimateWait(start, newTurn(1, nil))
		assert.True(t, !ok, "known from %d places", minPlaces-1)
	})
	t.Run("guards against an estimate that ignores the order", func(t *testing.T) {
		q := new(Queue)
		now := start
		for range 50 { // 50 places in a second
			q.RecordFree(now, 1)
			now = now.Add(20 * time.Millisecond)
		}
		for i := range uint64(100) {
			q.Push(now, newTurn(i, nil))
		}
		behind, ok := q.EstimateWait(now, newTurn(100, nil))
		assert.True(t, ok && behind > 1900*time.Millisecond && behind < 2100*time.Millisecond, "estimate of %s for 101 places at 50 a second", behind)
		ahead, _ := q.EstimateWait(now, newTurn(100, func(w *waiting) { w.IsTurn = false }))
		assert.True(t, ahead < 30*time.Millisecond, "estimate of %s for the first place", ahead)
	})
	t.Run("guards against an estimate that counts the outage before places became free again", func(t *testing.T) {
		q := new(Queue)
		now := start
		for i := range 60 {
			if i < 20 || i >= 40 { // the pool is down for 1.6 s
				q.RecordFree(now, 1)
			}
			now = now.Add(80 * time.Millisecond)
		}
		wait, ok := q.EstimateWait(now, newTurn(1, nil))
		assert.True(t, ok && wait < 100*time.Millisecond, "estimate of %s at 12.5 places a second", wait)
	})
	t.Run("guards against an old rate after places have stopped becoming free", func(t *testing.T) {
		q := new(Queue)
		q.RecordFree(start, 100)
		_, ok := q.EstimateWait(start.Add(3*time.Second), newTurn(1, nil))
		assert.True(t, !ok, "known from places of 3 s ago")
	})
}

// TestAgainstList compares the queue with a list that is sorted before each Pop.
func TestAgainstList(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		q, now, pops := new(Queue), start, 0
		var list []waiting
		ticket := uint64(0)
		r.Repeat(map[string]func(*rapid.T){
			"push": func(r *rapid.T) {
				ticket++
				w := waiting{
					Ticket: ticket, PlanPriority: rapid.IntRange(0, 2).Draw(r, "plan"), RoutePriority: rapid.IntRange(0, 2).Draw(r, "route"),
					IsTurn: rapid.Bool().Draw(r, "turn"), Begins: rapid.Bool().Draw(r, "begins"), EnteredAt: now,
					LeaveAt: now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(r, "wait")) * time.Millisecond),
				}
				if rapid.Bool().Draw(r, "has aim") {
					w.FinishBy = now.Add(time.Duration(rapid.IntRange(-500, 500).Draw(r, "aim")) * time.Millisecond)
				}
				list = append(list, w)
				q.Push(now, w)
			},
			"remove": func(r *rapid.T) {
				gone := uint64(rapid.IntRange(0, 20).Draw(r, "ticket"))
				before := len(list)
				list = slices.DeleteFunc(list, func(w waiting) bool { return w.Ticket == gone })
				assert.Equal(r, q.Remove(gone), len(list) < before)
			},
			"pop": func(r *rapid.T) {
				got, ok := q.Pop(now)
				assert.Equal(r, ok, len(list) > 0)
				if !ok {
					return
				}
				pops++
				slices.SortFunc(list, func(a, b waiting) int { return slices.Compare(sortKey(now, a), sortKey(now, b)) })
				want := list[0]
				if pops%agedInterval == 0 {
					if aged := oldest(now, list); aged != nil {
						want = *aged
					}
				}
				if pops%agedInterval == 0 {
					assert.Equal(r, usedShare(now, &got), usedShare(now, &want))
					want = got
				}
				assert.Equal(r, got, want)
				list = slices.DeleteFunc(list, func(w waiting) bool { return w.Ticket == got.Ticket })
			},
			"pass time": func(r *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(r, "time")) * time.Millisecond)
			},
			"": func(r *rapid.T) { assert.Equal(r, q.Len(), len(list)) },
		})
	})
}

// sortKey returns the numbers by which the requests of the list are sorted.
func sortKey(now time.Time, w waiting) []int {
	number := map[bool]int{true: 1}
	late := !w.FinishBy.IsZero() && !w.FinishBy.After(now)
	return []int{w.PlanPriority, number[late], w.RoutePriority, number[w.IsTurn], number[w.Begins], int(w.EnteredAt.Sub(start)), int(w.Ticket)}
}

// oldest returns the request that has used the largest share of its waiting time; nil if
// none has used half of it.
func oldest(now time.Time, list []waiting) *waiting {
	var found *waiting
	for i := range list {
		used, allowed := now.Sub(list[i].EnteredAt), list[i].LeaveAt.Sub(list[i].EnteredAt)
		if 2*used >= allowed && (found == nil || usedShare(now, &list[i]) > usedShare(now, found)) {
			found = &list[i]
		}
	}
	return found
}
