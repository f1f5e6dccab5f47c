package runner

import (
	"bytes"
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// silentClient stands in for replicas that answer after a time. One of them runs requests
// and never answers while silent is set.
type silentClient struct {
	*testRunner
	mu       sync.Mutex
	silent   netip.AddrPort
	answerIn time.Duration
	runs     []netip.AddrPort
}

func (c *silentClient) Send(ctx context.Context, _ time.Time, q zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
	c.mu.Lock()
	c.runs = append(c.runs, q.Replica.Address)
	isSilent, answerIn := c.silent == q.Replica.Address, c.answerIn
	c.mu.Unlock()
	if isSilent {
		answerIn = time.Hour
	}
	timer := time.NewTimer(answerIn)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-timer.C:
	}
	return &zinniapond.ReplicaAnswer{Status: 200, Length: 2, Verified: true, Body: &body{Reader: bytes.NewReader([]byte("ok"))}}, nil
}

const usualAnswer = 20 * time.Millisecond

// newSilentClient returns replicas of which the usual time is known, for a route of a kind
// with a number of attempts.
func newSilentClient(t *testing.T, kind zinniapond.RequestKind, maxAttempts int) *silentClient {
	t.Helper()
	w := newTestRunner(t, zinniapond.Route{Kind: kind, MaxAttempts: maxAttempts, TargetLatency: 60 * time.Millisecond}, refusesRequest)
	c := &silentClient{testRunner: w, answerIn: usualAnswer}
	w.Client = c
	for range 60 {
		assert.True(t, c.call().ended, "a usual call does not end")
	}
	c.runs = nil
	return c
}

func (c *silentClient) call() *recorder {
	return c.forward(zinniapond.Request{ClientTimeout: time.Second})
}

// callUntilSilent calls until a request has reached the silent replica, and returns what
// the client of this request received and after which time.
func (c *silentClient) callUntilSilent(t *testing.T) (*recorder, time.Duration) {
	t.Helper()
	for range 10 {
		c.runs = nil
		begin := time.Now()
		to := c.call()
		if c.runs[0] == c.silent {
			return to, time.Since(begin)
		}
	}
	t.Fatal("no request reached the silent replica")
	return nil, 0
}

func TestOverdue(t *testing.T) {
	inBubble(t, "guards against a call that is lost with the answer of one replica while others answer", func(t *testing.T) {
		c := newSilentClient(t, zinniapond.RequestSafe, 2)
		c.silent = c.list[1].Address
		to, took := c.callUntilSilent(t)
		assert.True(t, to.ended && !to.aborted, "the call does not end: %v", to.refused)
		assert.True(t, took < 200*time.Millisecond, "the call ends after %s", took)
		assert.Equal(t, c.Stats.Value("front.overdue"), 1)
	})
	inBubble(t, "guards against a second run of a call that must not be repeated", func(t *testing.T) {
		c := newSilentClient(t, zinniapond.RequestUnsafe, 2)
		c.silent = c.list[1].Address
		to, _ := c.callUntilSilent(t)
		assert.True(t, !to.ended, "the call ends")
		assert.Equal(t, len(c.runs), 1)
	})
	inBubble(t, "guards against more runs than the route allows", func(t *testing.T) {
		c := newSilentClient(t, zinniapond.RequestSafe, 1)
		c.silent = c.list[1].Address
		to, _ := c.callUntilSilent(t)
		assert.True(t, !to.ended, "the call ends")
		assert.Equal(t, len(c.runs), 1)
	})
	inBubble(t, "guards against leaving replicas of a pool that has become slow as a whole", func(t *testing.T) {
		c := newSilentClient(t, zinniapond.RequestSafe, 2)
		c.answerIn = 300 * time.Millisecond
		for range 100 {
			assert.True(t, c.call().ended, "a slow call does not end")
		}
		extra := len(c.runs) - 100
		assert.True(t, extra <= 10, "%d further attempts for 100 calls", extra)
	})
	inBubble(t, "guards against ending an attempt whose answer has begun", func(t *testing.T) {
		c := newSilentClient(t, zinniapond.RequestSafe, 2)
		c.Client = slowBodyClient{c.testRunner}
		to := c.call()
		assert.True(t, to.ended, "the call does not end: %v", to.refused)
		assert.Equal(t, c.Stats.Value("front.overdue"), 0)
	})
}

// slowBodyClient stands in for replicas whose answers have their heads at once and their
// bodies late.
type slowBodyClient struct{ *testRunner }

func (slowBodyClient) Send(context.Context, time.Time, zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
	return &zinniapond.ReplicaAnswer{Status: 200, Length: 2, Verified: true, Body: slowBody{bytes.NewReader([]byte("ok"))}}, nil
}

type slowBody struct{ *bytes.Reader }

func (b slowBody) Read(part []byte) (int, error) {
	time.Sleep(200 * time.Millisecond)
	return b.Reader.Read(part)
}

func (slowBody) Close() error { return nil }
