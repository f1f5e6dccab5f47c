package runner

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestSuspended(t *testing.T) {
	t.Run("guards against a turn that runs with a reservation after its host was suspended beyond the deadline", func(t *testing.T) {
		w := newTestRunner(t, zinniapond.Route{Kind: zinniapond.RequestStream, MaxAttempts: 1}, answersWith(200, "data: x\n\n", true, nil))
		pause := time.Duration(0)
		w.Clock = func() time.Time { return time.Now().Add(pause) }
		w.turns.onReserve = func() { pause = 10 * time.Second }
		to := w.forward(zinniapond.Request{Program: "p", TokenBudget: 100, MaxGenerated: 50})
		assert.Equal(t, len(w.sent), 0)
		assert.ErrorIs(t, to.refused, zinniapond.ErrOverload)
		assert.Equal(t, len(w.turns.settled), 1)
		assert.Equal(t, w.turns.settled[0].Used, zinniapond.Tokens(0))
	})
}
