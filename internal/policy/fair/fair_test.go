package fair

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func admitAll(zinniapond.QueuedCall) bool { return true }

func newWaiting(id int, plan zinniapond.PlanName, class zinniapond.Class, weight int, at time.Time) zinniapond.QueuedCall {
	return zinniapond.QueuedCall{
		Call: zinniapond.CallID(fmt.Sprint("call-", id)), Program: zinniapond.ProgramID(fmt.Sprint("program-", id)),
		Plan: plan, Weight: weight, Class: class, Cost: 100, ArrivedAt: at, Deadline: at.Add(time.Hour),
	}
}

func pop(t *testing.T, q *Queue, now time.Time) zinniapond.QueuedCall {
	t.Helper()
	w, ok := q.Pop(now, admitAll)
	assert.True(t, ok, "queue is empty")
	return w
}

// serveProgram lets a program receive the given service.
func serveProgram(t *testing.T, q *Queue, w zinniapond.QueuedCall, served zinniapond.Tokens) {
	t.Helper()
	q.Push(startTime, w)
	pop(t, q, startTime)
	q.Charge(startTime, w.Plan, w.Program, w.Weight, served)
}

func TestOrder(t *testing.T) {
	t.Run("guards against short urgent calls waiting behind batch work", func(t *testing.T) {
		q := &Queue{}
		for i := range 100 {
			q.Push(startTime, newWaiting(i, "nightly", zinniapond.ClassBatch, 1, startTime))
		}
		q.Push(startTime, newWaiting(100, "yard", zinniapond.ClassInteractive, 1, startTime))
		assert.Equal(t, pop(t, q, startTime).Plan, "yard")
	})
	t.Run("guards against a straggler going before a new program of its plan", func(t *testing.T) {
		q := &Queue{}
		serveProgram(t, q, newWaiting(1, "yard", 0, 1, startTime), 50_000)
		q.Push(startTime, newWaiting(1, "yard", 0, 1, startTime))
		q.Push(startTime, newWaiting(2, "yard", 0, 1, startTime.Add(time.Second)))
		assert.Equal(t, pop(t, q, startTime.Add(time.Second)).Program, "program-2")
	})
	t.Run("guards against a straggler that never finishes", func(t *testing.T) {
		q := &Queue{}
		serveProgram(t, q, newWaiting(0, "yard", 0, 1, startTime), 1_000_000)
		q.Push(startTime, newWaiting(0, "yard", zinniapond.ClassInteractive, 1, startTime))
		now := startTime
		for i := 1; ; i++ {
			now = now.Add(100 * time.Millisecond)
			q.Push(now, newWaiting(i, "yard", zinniapond.ClassInteractive, 1, now))
			if pop(t, q, now).Program == "program-0" {
				break
			}
			assert.True(t, now.Sub(startTime) <= ageingDelay+time.Second, "straggler still waits after %s", now.Sub(startTime))
		}
	})
	t.Run("guards against batch work that starves behind the first class", func(t *testing.T) {
		q := &Queue{}
		q.Push(startTime, newWaiting(0, "nightly", zinniapond.ClassBatch, 1, startTime))
		now := startTime.Add(ageingDelay)
		for i := 1; ; i++ {
			q.Push(now, newWaiting(i, "yard", zinniapond.ClassInteractive, 1, now))
			if pop(t, q, now).Plan == "nightly" {
				break
			}
			assert.True(t, i <= lateCallInterval, "batch call passed over %d times after %s", i, ageingDelay)
		}
	})
	t.Run("guards against asking admit about every waiting call", func(t *testing.T) {
		q := &Queue{}
		for i := range 100 {
			q.Push(startTime, newWaiting(i, "yard", 0, 1, startTime))
		}
		count := 0
		_, ok := q.Pop(startTime, func(zinniapond.QueuedCall) bool { count++; return false })
		assert.True(t, !ok && count == maxOffers, "asked %d times", count)
		assert.Equal(t, q.Len(), 100)
		assert.Equal(t, pop(t, q, startTime).Call, "call-0")
	})
	t.Run("guards against a plan losing its turn because its call found no place", func(t *testing.T) {
		q := &Queue{}
		serveProgram(t, q, newWaiting(0, "busy", 0, 1, startTime), 10_000)
		for i := range 3 {
			q.Push(startTime, newWaiting(1+i, "idle", 0, 1, startTime))
		}
		for i := range 20 {
			q.Push(startTime, newWaiting(10+i, "busy", 0, 1, startTime))
		}
		for range 5 {
			_, ok := q.Pop(startTime, func(zinniapond.QueuedCall) bool { return false })
			assert.True(t, !ok, "a refused call came out")
		}
		for range 3 {
			w := pop(t, q, startTime)
			q.Charge(startTime, w.Plan, w.Program, 1, 1000)
			assert.Equal(t, w.Plan, "idle")
		}
	})
	t.Run("guards against memory kept for ended programs", func(t *testing.T) {
		q := &Queue{}
		for i := range 10 {
			q.Push(startTime, newWaiting(i, "yard", 0, 1, startTime))
			w := pop(t, q, startTime)
			if i%2 == 0 {
				q.Forget(w.Program)
				q.Charge(startTime, w.Plan, w.Program, 1, 10)
			} else {
				q.Charge(startTime, w.Plan, w.Program, 1, 10)
				q.Forget(w.Program)
			}
		}
		assert.Equal(t, len(q.programs), 0)
	})
}

func TestShares(t *testing.T) {
	weights := map[zinniapond.PlanName]int{"small": 1, "middle": 3, "large": 6}
	q := &Queue{}
	served := map[zinniapond.PlanName]float64{}
	id, total := 0, 0.0
	pushCall := func(plan zinniapond.PlanName) {
		id++
		w := newWaiting(id, plan, zinniapond.ClassStandard, weights[plan], startTime)
		w.Cost = zinniapond.Tokens(50 + id%7*40)
		q.Push(startTime, w)
	}
	for range 20 {
		for _, p := range []zinniapond.PlanName{"small", "middle", "large"} {
			pushCall(p)
		}
	}
	for range 3000 {
		w := pop(t, q, startTime)
		actual := w.Cost + zinniapond.Tokens(id%3*50) // the estimate is too low
		q.Charge(startTime, w.Plan, w.Program, w.Weight, actual)
		q.Forget(w.Program)
		served[w.Plan] += float64(actual)
		total += float64(actual)
		pushCall(w.Plan)
	}
	t.Run("guards against a plan taking more than its share", func(t *testing.T) {
		for p, w := range weights {
			share, expected := served[p]/total, float64(w)/10
			assert.True(t, share > expected*0.95 && share < expected*1.05, "%s has %.3f of the service, is due %.3f", p, share, expected)
		}
	})
}

// TestOracle compares the queue with a plain map of the waiting calls.
func TestOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &Queue{}
		now, next := startTime, 0
		waiting := map[zinniapond.CallID]zinniapond.QueuedCall{}
		removeWaiting := func(w zinniapond.QueuedCall) {
			_, ok := waiting[w.Call]
			assert.True(t, ok, "%s came out twice or was never put in", w.Call)
			delete(waiting, w.Call)
		}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				next++
				w := newWaiting(next, zinniapond.PlanName(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "plan")),
					zinniapond.Class(rapid.IntRange(0, 2).Draw(t, "class")), 1, now)
				w.Program = zinniapond.ProgramID(string(w.Plan) + fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "program")))
				w.Deadline = now.Add(time.Duration(rapid.IntRange(1, 100).Draw(t, "until")) * time.Second)
				q.Push(now, w)
				q.Push(now, w) // a second Push must not add the call again
				waiting[w.Call] = w
			},
			"pop": func(t *rapid.T) {
				refusals := rapid.IntRange(0, maxOffers).Draw(t, "refuse")
				acceptsFirst := refusals == 0
				w, ok := q.Pop(now, func(zinniapond.QueuedCall) bool { refusals--; return refusals < 0 })
				if ok {
					for _, o := range waiting {
						// Late calls of a plan and class go first, by arrival.
						late := now.Sub(o.ArrivedAt) >= ageingDelay && o.Plan == w.Plan && o.Class == w.Class
						assert.True(t, !acceptsFirst || !late || !w.ArrivedAt.After(o.ArrivedAt), "%s passed over %s", w.Call, o.Call)
					}
					removeWaiting(w)
					if rapid.Bool().Draw(t, "charge") {
						q.Charge(now, w.Plan, w.Program, w.Weight, zinniapond.Tokens(rapid.IntRange(0, 500).Draw(t, "served")))
					}
				}
			},
			"remove": func(t *rapid.T) {
				id := zinniapond.CallID(fmt.Sprint("call-", rapid.IntRange(1, next+1).Draw(t, "id")))
				_, ok := waiting[id]
				assert.Equal(t, q.Remove(id), ok)
				delete(waiting, id)
			},
			"forget": func(t *rapid.T) {
				q.Forget(zinniapond.ProgramID(rapid.SampledFrom([]string{"a0", "b1", "c2"}).Draw(t, "program")))
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "seconds")) * time.Second)
				for _, w := range q.Expire(now) {
					assert.True(t, !w.Deadline.After(now), "%s expired early", w.Call)
					removeWaiting(w)
				}
				for _, w := range waiting {
					assert.True(t, w.Deadline.After(now), "%s did not expire", w.Call)
				}
			},
			"": func(t *rapid.T) { assert.Equal(t, q.Len(), len(waiting)) },
		})
		for len(waiting) > 0 {
			w, ok := q.Pop(now, admitAll)
			assert.True(t, ok, "%d calls lost", len(waiting))
			removeWaiting(w)
		}
	})
}
