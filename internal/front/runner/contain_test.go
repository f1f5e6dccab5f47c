package runner

import (
	"testing"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestContain(t *testing.T) {
	t.Run("guards against an unexpected error of one reservation that ends the process", func(t *testing.T) {
		w := newTestRunner(t, zinniapond.Route{Kind: zinniapond.RequestStream, MaxAttempts: 1}, answersWith(200, "data: x\n\n", true, nil))
		request := zinniapond.Request{Program: "p", TokenBudget: 100, MaxGenerated: 50}
		w.turns.onReserve = func() { panic("unexpected value") }
		assert.True(t, w.forward(request).refused != nil, "not refused")
		assert.Equal(t, len(w.sent), 0)
		w.turns.onReserve = nil
		assert.True(t, w.forward(request).ended, "the next turn does not end")
	})
}
