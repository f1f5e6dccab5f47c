package runner

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// lateBody ends after a delay.
type lateBody struct {
	io.Reader
	delay time.Duration
}

func (b *lateBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err != nil {
		time.Sleep(b.delay)
	}
	return n, err
}
func (b *lateBody) Close() error { return nil }

func TestLateAnswer(t *testing.T) {
	answersAfter := func(delay time.Duration) reply {
		return func(zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
			return &zinniapond.ReplicaAnswer{Status: 200, Length: -1, Verified: true, Body: &lateBody{strings.NewReader("answer"), delay}}, nil
		}
	}
	t.Run("guards against dropping an answer that was read whole as the deadline passed", func(t *testing.T) {
		w := newTestRunner(t, zinniapond.Route{Kind: zinniapond.RequestUnsafe, MaxAttempts: 1}, answersAfter(200*time.Millisecond))
		to := w.forward(zinniapond.Request{ClientTimeout: 100 * time.Millisecond})
		assert.Equal(t, to.body.String(), "answer")
		assert.True(t, to.ended, "the answer is not complete")
	})
	// In a bubble a suspension of the process does not let the answer end before its client.
	inBubble(t, "guards against an answer for a client that has gone", func(t *testing.T) {
		w := newTestRunner(t, zinniapond.Route{Kind: zinniapond.RequestUnsafe, MaxAttempts: 1}, answersAfter(100*time.Millisecond))
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		to := new(recorder)
		w.Forward(ctx, time.Now(), zinniapond.Request{ID: "id", Host: "h", Path: "/r/x", ReceivedAt: time.Now(), ClientTimeout: time.Second}, to)
		assert.Equal(t, to.body.Len(), 0)
	})
}
