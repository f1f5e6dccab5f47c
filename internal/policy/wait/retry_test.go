package wait

import (
	"slices"
	"testing"
	"time"

	"zinniapond.example/zinniapond/internal/test/assert"
)

// newBusyQueue returns a queue with 200 turns before a first turn of a program, at 100
// free places a second.
func newBusyQueue() *Queue {
	q := new(Queue)
	for i := range 100 {
		q.RecordFree(start.Add(time.Duration(i-100)*10*time.Millisecond), 1)
	}
	for i := range uint64(200) {
		q.Push(start, newTurn(i, func(w *waiting) { w.Begins = true }))
	}
	return q
}

// countReturns returns the largest number of 200 refused callers that return within
// one tenth of a second.
func countReturns(retryAfter func(random float64) time.Duration) int {
	const window = 100 * time.Millisecond
	var returns []time.Duration
	for i := range 200 {
		returns = append(returns, retryAfter(float64(i)/200))
	}
	slices.Sort(returns)
	most := 0
	for i, first := range returns {
		count := 0
		for _, r := range returns[i:] {
			if r < first+window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

func TestRetryAfter(t *testing.T) {
	begins := newTurn(1000, func(w *waiting) { w.Begins = true })
	t.Run("guards against callers that return together after refusals", func(t *testing.T) {
		q := newBusyQueue()
		most := countReturns(func(random float64) time.Duration { return q.RetryAfter(start, begins, random) })
		assert.True(t, most <= 12, "%d callers return while 10 places become free", most)
		fixed := countReturns(func(float64) time.Duration { return minRetryAfter })
		assert.True(t, fixed == 200, "the load does not show the failure: %d callers", fixed)
	})
	t.Run("guards against programs that have begun and return after others", func(t *testing.T) {
		q := newBusyQueue()
		assert.True(t, 2*q.RetryAfter(start, newTurn(1000, nil), 0.9) <= q.RetryAfter(start, begins, 0.9), "a program that has begun returns late")
	})
	t.Run("guards against a time that clients do not honour", func(t *testing.T) {
		q := newBusyQueue()
		begins := begins
		begins.ClientDeadline = start.Add(900 * time.Millisecond)
		for _, random := range []float64{0, 0.5, 0.999} {
			after := q.RetryAfter(start, begins, random)
			assert.True(t, after >= minRetryAfter && after <= 300*time.Millisecond, "%s with 900 ms left", after)
		}
		assert.True(t, q.RetryAfter(start, begins, 0.9) > q.RetryAfter(start, begins, 0.1), "clients with little time return together")
		begins.ClientDeadline = start
		assert.Equal(t, q.RetryAfter(start, begins, 0.9), minRetryAfter)
	})
	t.Run("guards against callers that return together when the rate is not known", func(t *testing.T) {
		first := newTurn(1, func(w *waiting) { w.Begins = true })
		most := countReturns(func(random float64) time.Duration { return new(Queue).RetryAfter(start, first, random) })
		assert.True(t, most <= 101, "%d of 200 callers return within half of the time", most)
	})
}
