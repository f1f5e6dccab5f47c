package runner

import (
	"bytes"
	"context"
	"fmt"
	"regexp"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// logText collects log lines.
type logText struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logText) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// lines returns the lines with the given message.
func (l *logText) lines(message string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for line := range strings.Lines(l.text.String()) {
		if strings.Contains(line, message) {
			found = append(found, line)
		}
	}
	return found
}

// recordLog replaces the logger of the runner.
func (w *testRunner) recordLog() *logText {
	l := new(logText)
	w.Logger = hclog.New(&hclog.LoggerOptions{Output: l})
	return l
}

func (w *testRunner) queue(t *testing.T) zinniapond.QueueOverview {
	t.Helper()
	var o zinniapond.HostOverview
	w.AddOverview(time.Now(), &o)
	assert.Equal(t, len(o.Queues), 1)
	return o.Queues[0]
}

func TestAccessLog(t *testing.T) {
	safe := zinniapond.Route{Kind: zinniapond.RequestSafe, MaxAttempts: 2}
	whole := answersWith(200, "answer", false, nil)
	// assertChanges asserts that each change of the lease is logged once if it is checked
	// several times in the given way.
	assertChanges := func(t *testing.T, check func(*testRunner)) {
		t.Helper()
		w := newKeyedRunner(t, safe, whole)
		log := w.recordLog()
		for _, step := range []struct {
			age  time.Duration
			want string
		}{{0, ""}, {4600 * time.Millisecond, "valid=false"}, {0, "valid=false valid=true"}} {
			w.confirmedAge = step.age
			for range 3 {
				check(w)
			}
			var got []string
			for _, line := range log.lines("lease for checking keys") {
				got = append(got, regexp.MustCompile("valid=(true|false)").FindString(line))
			}
			assert.Equal(t, strings.Join(got, " "), step.want)
		}
	}
	t.Run("guards against a lease whose end and return only readiness shows", func(t *testing.T) {
		assertChanges(t, func(w *testRunner) { w.forward(withKey(blueKey)) })
	})
	t.Run("guards against readiness that does not show them, and a second line for requests", func(t *testing.T) {
		assertChanges(t, func(w *testRunner) {
			w.Ready()
			w.forward(withKey(blueKey))
		})
	})
	t.Run("guards against lines of checks that began before the lease changed", func(t *testing.T) {
		w := newKeyedRunner(t, safe, whole)
		log, now := w.recordLog(), time.Now()
		w.recordLease(now, now.Add(-5*time.Second), false)
		w.recordLease(now.Add(time.Second), now.Add(time.Second), true)
		w.recordLease(now.Add(-time.Second), now.Add(-6*time.Second), false)
		assert.Equal(t, len(log.lines("lease for checking keys")), 2)
	})
	inBubble(t, "guards against a line for each rejected key, and against keys in them", func(t *testing.T) {
		w := newKeyedRunner(t, safe, whole)
		log := w.recordLog()
		for range 20 {
			w.forward(withKey("other-key"))
		}
		assert.Equal(t, len(log.lines("key rejected")), 1)
		time.Sleep(rejectionPause)
		w.forward(withKey("other-key"))
		lines := log.lines("key rejected")
		assert.Equal(t, len(lines), 2)
		assert.Contains(t, lines[1], "others=19")
		q := withKey("other-key")
		for _, secret := range []string{"other-key", fmt.Sprintf("%x", q.KeyHash), fmt.Sprintf("%x", q.KeyHash[:4])} {
			assert.Equal(t, len(log.lines(secret)), 0)
		}
	})
}

func TestQueueOverview(t *testing.T) {
	ctx := context.Background()
	inBubble(t, "guards against requests that wait or were refused unseen", func(t *testing.T) {
		s := newSlotPool(t, 1, 1, time.Millisecond)
		log := s.recordLog()
		free := s.occupy()
		done := s.start(ctx, "/r/0", 2*time.Second)
		// Between two scans. The request is tried again with each, and keeps the time of
		// its arrival.
		time.Sleep(350 * time.Millisecond)
		got := s.queue(t)
		assert.Equal(t, got.Length, 1)
		assert.True(t, got.LongestWait.Duration() >= 340*time.Millisecond, "longest wait %s", got.LongestWait.Duration())
		assert.ErrorIs(t, (<-done).refused, zinniapond.ErrOverload)
		free()
		got = s.queue(t)
		assert.Equal(t, got.Length, 0)
		assert.Equal(t, got.Expired, 1)
		assert.Contains(t, strings.Join(log.lines("queue decision"), ""), `outcome=woken`)
	})
	inBubble(t, "guards against more than one line in a second for a queue", func(t *testing.T) {
		s := newSlotPool(t, 1, 1, 10*time.Millisecond)
		log := s.recordLog()
		var all []<-chan *recorder
		for i := range 90 {
			all = append(all, s.start(ctx, fmt.Sprint("/r/", i), 10*time.Second))
			synctest.Wait()
		}
		assertAnswered(t, all...)
		assert.Equal(t, len(log.lines("queue decision")), 1)
	})
	inBubble(t, "guards against refusals at once that are not counted", func(t *testing.T) {
		s := newSlotPool(t, 1, 1, 400*time.Millisecond)
		var all []<-chan *recorder
		for i := range 8 {
			all = append(all, s.start(ctx, fmt.Sprint("/r/", i), 20*time.Second))
			synctest.Wait()
		}
		time.Sleep(1900 * time.Millisecond) // four places have become free, and some requests wait
		assert.ErrorIs(t, (<-s.start(ctx, "/r/late", 500*time.Millisecond)).refused, zinniapond.ErrOverload)
		assert.Equal(t, s.queue(t).Refused, 1)
		assertAnswered(t, all...)
	})
}
