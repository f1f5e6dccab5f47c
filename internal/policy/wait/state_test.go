package wait

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestState(t *testing.T) {
	now := start.Add(time.Second)
	assertState := func(t *testing.T, q *Queue, want zinniapond.WaitState) {
		t.Helper()
		assert.Equal(t, q.State(now), want)
	}
	t.Run("guards against a wait or a rate of an empty queue", func(t *testing.T) {
		assertState(t, new(Queue), zinniapond.WaitState{})
	})
	t.Run("guards against showing the wait of the first request in place of the longest", func(t *testing.T) {
		q := new(Queue)
		q.Push(now, newTurn(1, func(w *waiting) { w.EnteredAt = start.Add(900 * time.Millisecond) }))
		q.Push(now, newTurn(2, func(w *waiting) { w.PlanPriority = 3 }))
		q.RecordFree(start, 10)
		assertState(t, q, zinniapond.WaitState{Length: 2, LongestWait: time.Second, FreedPerS: 10})
	})
}
