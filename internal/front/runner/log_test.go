package runner

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/files/logs"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// recordNamedLog replaces the logger of the runner by one with a name, as hosts have.
func (w *testRunner) recordNamedLog() *logText {
	l := w.recordLog()
	w.Logger = w.Logger.Named("host.front")
	return l
}

// parseOnly returns the event of the only line with the given message.
func (l *logText) parseOnly(t *testing.T, message string) zinniapond.LogEvent {
	t.Helper()
	lines := l.lines(message)
	assert.Equal(t, len(lines), 1)
	e, err := logs.Parser{}.Parse([]byte(strings.TrimSpace(lines[0])))
	assert.NoError(t, err)
	return e
}

// The command `log causes` reads these lines.
func TestLogLines(t *testing.T) {
	const wait = 300 * time.Millisecond
	stream := zinniapond.Route{Kind: zinniapond.RequestStream, MaxAttempts: 1, TargetLatency: wait / 2}
	request := zinniapond.Request{KeyHash: planKey, Program: "p"}
	t.Run("guards against a wait for tokens that is taken for that of a replica, and a line without pool", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			w, f := newAllowed(t, 1, 1, stream, answersWith(200, "data: x\n\n", true, nil))
			log := w.recordNamedLog()
			f.onAcquire = func(int) { time.Sleep(wait) }
			assert.Equal(t, w.forward(request).status, 200)
			e := log.parseOnly(t, "served late")
			assert.Equal(t, []time.Duration{e.Tokens, e.Permits}, []time.Duration{wait, 0})
			assert.True(t, e.First >= wait, "first byte after %s", e.First)
			assert.Equal(t, []any{e.Pool, e.Program}, []any{zinniapond.PoolName("pool"), zinniapond.ProgramID("p")})
		})
	})
	t.Run("guards against a refusal that the command cannot read", func(t *testing.T) {
		w, _ := newAllowed(t, 1, 0, stream)
		log := w.recordNamedLog()
		assert.ErrorIs(t, w.forward(request).refused, zinniapond.ErrRateLimited)
		e := log.parseOnly(t, "not served")
		assert.Equal(t, e.Reason, "check request limit: request limit of the plan is reached")
		assert.True(t, e.Pool != "", "line without pool")
	})
}
