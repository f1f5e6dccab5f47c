package runner

import (
	"errors"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestReservedStatuses(t *testing.T) {
	unsafe := zinniapond.Route{Kind: zinniapond.RequestUnsafe, MaxAttempts: 2}
	safe := zinniapond.Route{Kind: zinniapond.RequestSafe, MaxAttempts: 2}
	turns := zinniapond.Route{Kind: zinniapond.RequestStream, MaxAttempts: 2, Retained: true}
	resumable := zinniapond.Route{Kind: zinniapond.RequestStream, MaxAttempts: 2, Resumable: true}
	assertUnknown := func(t *testing.T, route zinniapond.Route, q zinniapond.Request, status, sent int) {
		t.Helper()
		w := newTestRunner(t, route, answersWith(status, "failed", false, nil))
		w.turns.chain = []zinniapond.Turn{{}}
		to := w.forward(q)
		assert.Equal(t, to.status, 0)
		assert.ErrorIs(t, to.refused, zinniapond.ErrOutcomeUnknown)
		assert.Equal(t, len(w.sent), sent)
	}
	t.Run("guards against a status that promises that a request has not run although its replica has run it", func(t *testing.T) {
		for _, status := range []int{408, 421, 429, 503} {
			assertUnknown(t, unsafe, zinniapond.Request{}, status, 1)
			assertUnknown(t, turns, zinniapond.Request{Program: "p", TokenBudget: 100}, status, 1)
			assertUnknown(t, safe, zinniapond.Request{}, status, 2)
			assertUnknown(t, resumable, zinniapond.Request{ClientTimeout: 2 * time.Second}, status, 2)
		}
	})
	t.Run("guards against a replica's status that ends a program as if its budget was used up or its turn was gone", func(t *testing.T) {
		assertUnknown(t, turns, zinniapond.Request{Program: "p", TokenBudget: 100}, 402, 1)
		for _, status := range []int{404, 410} {
			assertUnknown(t, turns, zinniapond.Request{Program: "p", PreviousTurn: "before"}, status, 1)
		}
	})
	t.Run("guards against other statuses of replicas that are not returned unchanged", func(t *testing.T) {
		for _, status := range []int{400, 402, 404, 410, 500, 504} {
			w := newTestRunner(t, unsafe, answersWith(status, "failed", false, nil))
			to := w.forward(zinniapond.Request{})
			assert.Equal(t, to.status, status)
			assert.Equal(t, to.body.String(), "failed")
		}
	})
}

// Guards against a refusal that promises that a request has not run after an attempt that may
// have run, whatever the refusal's own reason is.
func TestRefusalReason(t *testing.T) {
	reasons := []error{
		zinniapond.ErrOverload, zinniapond.ErrUnavailable, zinniapond.ErrStaleConfig, zinniapond.ErrRateLimited,
		zinniapond.ErrNoQuorum, zinniapond.ErrInvalidKey, zinniapond.ErrNotFound, zinniapond.ErrBudgetExhausted,
	}
	for _, reason := range reasons {
		u := &run{possibleRuns: 1}
		assert.ErrorIs(t, u.refusalReason(reason), zinniapond.ErrOutcomeUnknown)
		u.possibleRuns = 0
		assert.True(t, !errors.Is(u.refusalReason(reason), zinniapond.ErrOutcomeUnknown), "a request that has not run is refused as one that may have run: %v", reason)
	}
}
