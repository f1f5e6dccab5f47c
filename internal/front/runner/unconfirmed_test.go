package runner

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestUnconfirmedConfiguration(t *testing.T) {
	const maxApplyTime = 2500 * time.Millisecond
	safe := zinniapond.Route{Kind: zinniapond.RequestSafe, MaxAttempts: 2}
	elsewhere := zinniapond.Request{Host: "h", Path: "/added/x", ReceivedAt: time.Now()}
	refusal := func(t *testing.T, age time.Duration) error {
		t.Helper()
		w := newTestRunner(t, safe, answersWith(200, "ok", false, nil))
		w.MaxApplyTime, w.confirmedAge = maxApplyTime, age
		to := new(recorder)
		w.Forward(t.Context(), time.Now(), elsewhere, to)
		return to.refused
	}
	t.Run("guards against a final refusal by a configuration that may have been replaced", func(t *testing.T) {
		assert.ErrorIs(t, refusal(t, maxApplyTime+time.Millisecond), zinniapond.ErrStaleConfig)
	})
	t.Run("guards against the same before the body is read", func(t *testing.T) {
		w := newKeyedRunner(t, safe, answersWith(200, "ok", false, nil))
		w.confirmedAge = maxApplyTime + time.Millisecond
		q := withKey(blueKey)
		q.Host, q.Path = elsewhere.Host, elsewhere.Path
		assert.ErrorIs(t, w.Authenticate(time.Now(), q), zinniapond.ErrStaleConfig)
	})
	t.Run("guards against a client that comes back to a route that does not exist", func(t *testing.T) {
		assert.ErrorIs(t, refusal(t, maxApplyTime/2), zinniapond.ErrNotFound)
	})
	t.Run("guards against a host that no longer serves without its control hosts", func(t *testing.T) {
		w := newTestRunner(t, safe, answersWith(200, "ok", false, nil))
		w.MaxApplyTime, w.confirmedAge = maxApplyTime, time.Hour
		assert.True(t, w.forward(zinniapond.Request{}).ended, "the answer is not complete")
	})
}
