package runner

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// resumesAfter answers as the replica of a resumable route: with the events after the
// one that the request names, from the first one if it names none. It breaks off with
// err after the event with number breakAfter, if that is positive.
func resumesAfter(count, breakAfter int, err error) reply {
	return func(s zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
		last := 0
		if s.LastEventID != "" {
			if _, err := fmt.Sscan(s.LastEventID, &last); err != nil {
				return nil, err
			}
		}
		end := error(nil)
		if breakAfter > 0 {
			count, end = breakAfter, err
		}
		_, text := numbered(last+1, count)
		return answersWith(200, text, true, end)(s)
	}
}

func TestResumedTurns(t *testing.T) {
	both := zinniapond.Route{Kind: zinniapond.RequestStream, MaxAttempts: 2, Retained: true, Retention: time.Minute, Resumable: true}
	turn := zinniapond.Request{Program: "p", SessionID: "s", TokenBudget: 100, MaxGenerated: 50, Body: []byte("in"), LastEventID: "2", ClientTimeout: time.Second}
	const output = "1\n2\n3\n4\n5\n"
	_, rest := numbered(3, 5)
	assertStored := func(t *testing.T, w *testRunner, to *recorder, received string) {
		t.Helper()
		assert.Equal(t, to.body.String(), received)
		assert.True(t, to.ended && !to.aborted, "the stream is broken off")
		assert.Equal(t, len(w.turns.kept), 1)
		assert.Equal(t, string(w.turns.kept[0].Output), output)
	}
	assertNotStored := func(t *testing.T, w *testRunner, to *recorder) {
		t.Helper()
		assert.True(t, to.aborted && !to.ended, "the stream ends as complete")
		assert.Equal(t, len(w.turns.kept), 0)
	}
	t.Run("guards against a resumed turn that is stored without its first events", func(t *testing.T) {
		w := newTestRunner(t, both, resumesAfter(5, 0, nil))
		assertStored(t, w, w.forward(turn), rest)
	})
	t.Run("guards against a resumed turn that breaks off again and is stored without some events", func(t *testing.T) {
		for _, breakAfter := range []int{1, 2, 4} {
			w := newTestRunner(t, both, resumesAfter(5, breakAfter, errBroken), resumesAfter(5, 0, nil))
			assertStored(t, w, w.forward(turn), rest)
			assert.Equal(t, w.sent[1].LastEventID, fmt.Sprint(breakAfter))
		}
	})
	t.Run("guards against a resumed turn that looks complete though it ends before the event that the client has", func(t *testing.T) {
		w := newTestRunner(t, both, resumesAfter(1, 0, nil))
		to := w.forward(turn)
		assert.Equal(t, to.body.Len(), 0)
		assertNotStored(t, w, to)
	})
	t.Run("guards against a client that has all events and gets one again", func(t *testing.T) {
		w := newTestRunner(t, both, resumesAfter(5, 0, nil))
		q := turn
		q.LastEventID = "5"
		assertStored(t, w, w.forward(q), "")
	})
	t.Run("guards against events without a number that are repeated or lost", func(t *testing.T) {
		const before, after = "id: x\ndata: 1\n\ndata: 2\n\nid: y\ndata: 3\n\n", ": ping\n\ndata: 4\n\nid: z\ndata: 5\n\n"
		for last, received := range map[string]string{"y": after, "none": ""} {
			w := newTestRunner(t, both, answersWith(200, before+after, true, nil))
			q := turn
			q.LastEventID = last
			to := w.forward(q)
			assert.Equal(t, to.body.String(), received)
			if last == "none" {
				assertNotStored(t, w, to)
			} else {
				assertStored(t, w, to, received)
			}
		}
	})
	t.Run("guards against a missing number after which nothing is sent", func(t *testing.T) {
		parts, _ := numbered(1, 5)
		w := newTestRunner(t, both, answersWith(200, parts[0]+parts[2]+parts[3], true, nil))
		to := w.forward(turn)
		assert.Equal(t, to.body.String(), parts[2]+parts[3])
	})
	t.Run("guards against an error whose first events are dropped", func(t *testing.T) {
		_, text := numbered(1, 1)
		w := newTestRunner(t, both, answersWith(500, text, true, nil))
		to := w.forward(turn)
		assert.Equal(t, to.body.String(), text)
		assert.True(t, to.ended, "the error is broken off")
		assert.Equal(t, len(w.turns.kept), 0)
	})
	t.Run("guards against a turn of a route without resumption that is stored without its first events", func(t *testing.T) {
		route := both
		route.Resumable = false
		w := newTestRunner(t, route, resumesAfter(5, 0, nil))
		_, whole := numbered(1, 5)
		assertStored(t, w, w.forward(turn), whole)
	})
	t.Run("guards against events that are generated again where nothing is stored", func(t *testing.T) {
		unstored, unretained := turn, both
		unstored.Program, unretained.Retained = "", false
		w := newTestRunner(t, both, resumesAfter(5, 0, nil))
		assert.Equal(t, w.forward(unstored).body.String(), rest)
		assert.Equal(t, w.sent[0].LastEventID, "2")
		w = newTestRunner(t, unretained, resumesAfter(5, 0, nil))
		assert.Equal(t, w.forward(turn).body.String(), rest)
		assert.Equal(t, w.sent[0].LastEventID, "2")
	})
	t.Run("guards against a resumed turn that a slow client reads after the deadline and that is stored in part", func(t *testing.T) {
		parts, _ := numbered(1, 5)
		w, to := newSlowRunner(t, both, &partsBody{parts: parts, err: io.EOF}), newSlowClient()
		q := turn
		q.ClientTimeout = 300 * time.Millisecond
		wait := w.start(t.Context(), q, to)
		time.Sleep(q.ClientTimeout + 50*time.Millisecond)
		close(to.release)
		wait()
		assertStored(t, w.testRunner, &to.recorder, strings.Join(parts[2:], ""))
	})
}
