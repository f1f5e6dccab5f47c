package runner

import (
	"context"
	"errors"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// fakeAllowances grants permits, as many as there are. The first ones have expired.
type fakeAllowances struct {
	tokens   int
	expired  int
	acquired int
	returned int
	begins   []bool
	// onAcquire is called with the number of each permit; may be nil.
	onAcquire func(number int)
}

func (f *fakeAllowances) Acquire(_ context.Context, now time.Time, _ *zinniapond.Plan, begins bool) (zinniapond.Permit, error) {
	f.begins = append(f.begins, begins)
	if f.acquired-f.returned >= f.tokens {
		return zinniapond.Permit{}, &zinniapond.Error{Step: "check request limit", RetryAfter: time.Second, Err: zinniapond.ErrRateLimited}
	}
	f.acquired++
	if f.onAcquire != nil {
		f.onAcquire(f.acquired)
	}
	if f.acquired <= f.expired {
		return zinniapond.Permit{ExpiresAt: now.Add(-time.Millisecond)}, nil
	}
	return zinniapond.Permit{ExpiresAt: now.Add(time.Minute)}, nil
}
func (f *fakeAllowances) Return(time.Time, *zinniapond.Plan, zinniapond.Permit) { f.returned++ }
func (f *fakeAllowances) SetHostCount(int)                                      {}

var planKey = [32]byte{1}

// newAllowed returns a runner with one plan and a number of tokens for it.
func newAllowed(t *testing.T, rate zinniapond.RequestRate, tokens int, route zinniapond.Route, replies ...reply) (*testRunner, *fakeAllowances) {
	t.Helper()
	w := newTestRunner(t, route, replies...)
	routing := *w.view.Routing
	routing.Version++
	routing.HasPlans = true
	routing.Plans = []zinniapond.Plan{{Name: "plan", RequestRate: rate, RequestBurst: 5, Customers: []zinniapond.Customer{{Name: "plan", KeyHash: planKey}}}}
	w.view.Routing = &routing
	assert.NoError(t, w.update())
	f := &fakeAllowances{tokens: tokens}
	w.Allowances = f
	return w, f
}

// assertUsed fails unless a number of tokens was used for requests that may have run.
func assertUsed(t *testing.T, f *fakeAllowances, want int) {
	t.Helper()
	assert.Equal(t, f.acquired-f.returned, want)
}

func TestAllowance(t *testing.T) {
	safe := zinniapond.Route{Kind: zinniapond.RequestSafe, MaxAttempts: 3}
	stream := zinniapond.Route{Kind: zinniapond.RequestStream, MaxAttempts: 1}
	request := zinniapond.Request{KeyHash: planKey}
	t.Run("guards against requests without a token", func(t *testing.T) {
		w, _ := newAllowed(t, 1, 0, safe, answersWith(200, "x", false, nil))
		to := w.forward(request)
		assert.ErrorIs(t, to.refused, zinniapond.ErrRateLimited)
		var e *zinniapond.Error
		assert.True(t, errors.As(to.refused, &e) && e.RetryAfter > 0, "no time to retry in %v", to.refused)
		assert.Equal(t, len(w.sent), 0)
	})
	t.Run("guards against a refusal after the tokens of the turn were reserved", func(t *testing.T) {
		w, _ := newAllowed(t, 1, 0, stream, answersWith(200, "x", true, nil))
		q := request
		q.Program, q.TokenBudget = "p", 100
		w.forward(q)
		assert.Equal(t, w.turns.reserved.Program, "")
	})
	t.Run("guards against messages for plans without a limit", func(t *testing.T) {
		w, f := newAllowed(t, 0, 0, safe, answersWith(200, "x", false, nil))
		assert.Equal(t, w.forward(request).status, 200)
		assert.Equal(t, len(f.begins), 0)
	})
	t.Run("guards against counting attempts that replicas refused or that were not sent", func(t *testing.T) {
		w, f := newAllowed(t, 1, 1, safe, refusesRequest, failsBeforeSend, answersWith(200, "x", false, nil))
		assert.Equal(t, w.forward(request).status, 200)
		assert.Equal(t, f.acquired, 1)
		assertUsed(t, f, 1)
	})
	t.Run("guards against tokens that are lost although no replica ran the request", func(t *testing.T) {
		w, f := newAllowed(t, 1, 1, safe, refusesRequest)
		w.forward(request)
		assertUsed(t, f, 0)
	})
	t.Run("guards against a second run without a token", func(t *testing.T) {
		w, f := newAllowed(t, 1, 5, safe, failsAfterSend, answersWith(200, "x", false, nil))
		assert.Equal(t, w.forward(request).status, 200)
		assertUsed(t, f, 2)
	})
	t.Run("guards against status 429 for a request that may have run", func(t *testing.T) {
		w, _ := newAllowed(t, 1, 1, safe, failsAfterSend)
		to := w.forward(request)
		assert.ErrorIs(t, to.refused, zinniapond.ErrOutcomeUnknown)
		assert.Equal(t, len(w.sent), 1)
	})
	t.Run("guards against sending with a token that has expired while the process was suspended", func(t *testing.T) {
		w, f := newAllowed(t, 1, 5, safe, answersWith(200, "x", false, nil))
		f.expired = 1
		assert.Equal(t, w.forward(request).status, 200)
		assert.Equal(t, f.acquired, 2)
		assertUsed(t, f, 1)
	})
	t.Run("guards against sending with a token that has expired while the request was prepared", func(t *testing.T) {
		w, f := newAllowed(t, 1, 5, stream, answersWith(200, "data: x\n\n", true, nil))
		skew := time.Duration(0)
		w.Clock = func() time.Time { return time.Now().Add(skew) }
		w.turns.onReserve = func() { skew = 2 * time.Minute }
		q := request
		q.Program, q.TokenBudget, q.ClientTimeout = "p", 100, time.Hour
		w.view.Routing.Routes[0].Timeout = time.Hour
		assert.Equal(t, w.forward(q).status, 200)
		assert.Equal(t, f.acquired, 2)
		assertUsed(t, f, 1)
	})
	t.Run("guards against sending with a replica's permission that has expired while the request waited for a token", func(t *testing.T) {
		w, f := newAllowed(t, 1, 5, safe, answersWith(200, "x", false, nil))
		skew := time.Duration(0)
		w.Clock = func() time.Time { return time.Now().Add(skew) }
		f.onAcquire = func(number int) {
			if number == 2 {
				skew += 2 * time.Second
			}
		}
		throttle := &fakeThrottle{limited: map[string]bool{"a": true, "b": true, "c": true}}
		throttle.grant = func(zinniapond.Backend, time.Duration) (zinniapond.Permit, error) {
			if len(throttle.asked) == 1 {
				skew += 2 * time.Minute // the token expires
			}
			return zinniapond.Permit{SendAt: w.Clock(), ExpiresAt: w.Clock().Add(time.Second)}, nil
		}
		w.Throttle = throttle
		w.view.Routing.Routes[0].Timeout = time.Hour
		q := request
		q.ClientTimeout = time.Hour
		assert.Equal(t, w.forward(q).status, 200)
		assert.Equal(t, len(throttle.asked), 2)
		assertUsed(t, f, 1)
	})
	t.Run("guards against sending with a token that expires while the request connects to a replica", func(t *testing.T) {
		connectsLate := func(zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
			return nil, zinniapond.Join(zinniapond.ErrNotSent, zinniapond.ErrPermitExpired)
		}
		w, f := newAllowed(t, 1, 5, safe, connectsLate, answersWith(200, "x", false, nil))
		p, ok := w.pools.Get("pool")
		assert.True(t, ok, "no pool")
		router := &observingRouter{p.router, make(chan zinniapond.Observation, 2)}
		p.router = router
		assert.Equal(t, w.forward(request).status, 200)
		for _, s := range w.sent {
			assert.True(t, time.Until(s.SendUntil) > 30*time.Second && time.Until(s.SendUntil) <= time.Minute, "to be sent until %s", s.SendUntil)
		}
		assertUsed(t, f, 1)
		assert.True(t, !(<-router.seen).Failed, "the replica counts as failed")
	})
	t.Run("guards against requests without a limit that are not sent", func(t *testing.T) {
		w, _ := newAllowed(t, 0, 0, safe, answersWith(200, "x", false, nil))
		w.forward(request)
		assert.True(t, w.sent[0].SendUntil.IsZero(), "to be sent until %s", w.sent[0].SendUntil)
	})
	t.Run("guards against requests of a running program that count as beginning one", func(t *testing.T) {
		w, f := newAllowed(t, 1, 9, stream, answersWith(200, "data: x\n\n", true, nil))
		first, next, resumed := request, request, request
		first.Program, next.Program, next.PreviousTurn, resumed.LastEventID = "p", "q", "t", "3"
		for _, q := range []zinniapond.Request{first, first, next, resumed} {
			w.forward(q)
		}
		assert.Equal(t, f.begins, []bool{true, false, false, false})
	})
	t.Run("guards against a refused program that counts as begun", func(t *testing.T) {
		w, f := newAllowed(t, 1, 0, stream, answersWith(200, "data: x\n\n", true, nil))
		q := request
		q.Program = "p"
		w.forward(q)
		w.forward(q)
		assert.Equal(t, f.begins, []bool{true, true})
	})
	t.Run("guards against tool calls that wait like programs yet to begin", func(t *testing.T) {
		w, f := newAllowed(t, 1, 1, safe, answersWith(200, "x", false, nil))
		w.forward(request)
		assert.Equal(t, f.begins, []bool{false})
	})
}
