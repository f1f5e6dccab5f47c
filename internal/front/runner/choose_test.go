package runner

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/policy/robin"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// fakeThrottle limits the replicas with the given ids. grant is called for each
// permission that is asked for.
type fakeThrottle struct {
	limited map[string]bool
	wait    time.Duration // until the next permission of limited replicas
	grant   func(replica zinniapond.Backend, maxWait time.Duration) (zinniapond.Permit, error)
	asked   []string
}

func (f *fakeThrottle) Limited(_ time.Time, b zinniapond.Backend) (time.Duration, bool) {
	return f.wait, f.limited[b.ID]
}

func (f *fakeThrottle) Acquire(_ context.Context, _ time.Time, b zinniapond.Backend, maxWait time.Duration) (zinniapond.Permit, error) {
	if !f.limited[b.ID] {
		return zinniapond.Permit{}, nil
	}
	f.asked = append(f.asked, b.ID)
	return f.grant(b, maxWait)
}

func (f *fakeThrottle) SetHostCount(int) {}

func (f *fakeThrottle) refuse(zinniapond.Backend, time.Duration) (zinniapond.Permit, error) {
	f.wait = time.Minute
	return zinniapond.Permit{}, zinniapond.ErrOverload
}

func grantNow(zinniapond.Backend, time.Duration) (zinniapond.Permit, error) {
	now := time.Now()
	return zinniapond.Permit{SendAt: now, ExpiresAt: now.Add(time.Second)}, nil
}

// slowRouter expects each call to take a minute.
type slowRouter struct{ robin.Router }

func (r *slowRouter) Pick(now time.Time, need zinniapond.PickInfo, free func(netip.AddrPort) bool) (zinniapond.Choice, bool) {
	c, ok := r.Router.Pick(now, need, free)
	c.ExpectedTime = time.Minute
	return c, ok
}

func newThrottled(t *testing.T, ids ...string) (*testRunner, *fakeThrottle) {
	t.Helper()
	w := newTestRunner(t, zinniapond.Route{Kind: zinniapond.RequestUnsafe, MaxAttempts: 3}, answersWith(200, "answer", false, nil))
	f := &fakeThrottle{limited: make(map[string]bool)}
	f.grant = f.refuse
	for _, id := range ids {
		f.limited[id] = true
	}
	w.Throttle = f
	return w, f
}

func TestLimitedReplicas(t *testing.T) {
	t.Run("guards against requests to a limited replica without permission", func(t *testing.T) {
		w, _ := newThrottled(t, "a", "b")
		for range 6 {
			assert.Equal(t, w.forward(zinniapond.Request{}).body.String(), "answer")
		}
		for _, s := range w.sent {
			assert.Equal(t, s.Replica.ID, "c")
		}
	})
	t.Run("guards against a late refusal when every replica is over its limit", func(t *testing.T) {
		w, _ := newThrottled(t, "a", "b", "c")
		start := time.Now()
		to := w.forward(zinniapond.Request{})
		assert.ErrorIs(t, to.refused, zinniapond.ErrOverload)
		var e *zinniapond.Error
		assert.True(t, errors.As(to.refused, &e) && e.RetryAfter >= time.Minute, "retry after %v", to.refused)
		assert.True(t, time.Since(start) < 50*time.Millisecond, "refused after %s", time.Since(start))
		assert.Equal(t, len(w.sent), 0)
	})
	t.Run("guards against sending before the permission begins", func(t *testing.T) {
		w, f := newThrottled(t, "a", "b", "c")
		var sendAt time.Time
		f.grant = func(zinniapond.Backend, time.Duration) (zinniapond.Permit, error) {
			sendAt = time.Now().Add(40 * time.Millisecond)
			return zinniapond.Permit{SendAt: sendAt, ExpiresAt: sendAt.Add(time.Second)}, nil
		}
		assert.Equal(t, w.forward(zinniapond.Request{}).body.String(), "answer")
		assert.True(t, !time.Now().Before(sendAt), "sent too early")
	})
	t.Run("guards against using a permission that has expired during a pause", func(t *testing.T) {
		w, f := newThrottled(t, "a", "b", "c")
		f.grant = func(b zinniapond.Backend, wait time.Duration) (zinniapond.Permit, error) {
			if len(f.asked) > 1 {
				return grantNow(b, wait)
			}
			past := time.Now().Add(-time.Second)
			return zinniapond.Permit{SendAt: past, ExpiresAt: past}, nil
		}
		assert.Equal(t, w.forward(zinniapond.Request{}).body.String(), "answer")
		assert.Equal(t, len(f.asked), 2)
	})
	t.Run("guards against attempts after the first that no permission counts", func(t *testing.T) {
		w, f := newThrottled(t, "a", "b", "c")
		f.grant = grantNow
		w.replies = []reply{refusesRequest, refusesRequest, answersWith(200, "answer", false, nil)}
		assert.Equal(t, w.forward(zinniapond.Request{}).body.String(), "answer")
		assert.Equal(t, len(f.asked), len(w.sent))
	})
	t.Run("guards against a false refusal of a request that may have run before the limits", func(t *testing.T) {
		w, f := newThrottled(t)
		w.view.Routing.Routes[0].Kind = zinniapond.RequestSafe
		w.replies = []reply{func(zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
			f.limited = map[string]bool{"a": true, "b": true, "c": true}
			return nil, errBroken
		}}
		assert.ErrorIs(t, w.forward(zinniapond.Request{}).refused, zinniapond.ErrOutcomeUnknown)
		assert.Equal(t, len(w.sent), 1)
	})
	t.Run("guards against filling the unlimited replicas until nothing ends in time there", func(t *testing.T) {
		w, f := newThrottled(t, "a", "b")
		w.pools.Delete("pool")
		w.NewRouter = func() (zinniapond.Router, error) { return new(slowRouter), nil }
		assert.NoError(t, w.update())
		f.grant = grantNow
		for range 4 {
			assert.Equal(t, w.forward(zinniapond.Request{}).body.String(), "answer")
		}
		for _, s := range w.sent {
			assert.True(t, s.Replica.ID != "c", "sent to the slow replica")
		}
		f.grant = f.refuse
		assert.ErrorIs(t, w.forward(zinniapond.Request{}).refused, zinniapond.ErrOverload)
	})
	t.Run("guards against leaving the replica that has a conversation in its cache", func(t *testing.T) {
		w, f := newThrottled(t, "a")
		var accepted time.Duration
		f.wait = 100 * time.Millisecond
		f.grant = func(b zinniapond.Backend, wait time.Duration) (zinniapond.Permit, error) {
			accepted = wait
			return grantNow(b, wait)
		}
		u := &run{Runner: w.Runner, deadline: time.Now().Add(time.Second)}
		p, err := w.pool("pool")
		assert.NoError(t, err)
		need := zinniapond.PickInfo{PromptTokens: 1000, Exclude: []netip.AddrPort{w.list[1].Address, w.list[2].Address}}
		_, err = u.chooseReplica(t.Context(), p, need, time.Now())
		assert.ErrorIs(t, err, zinniapond.ErrOverload)
		need.PrefixBackend = w.list[0].Address
		c, err := u.chooseReplica(t.Context(), p, need, time.Now())
		assert.NoError(t, err)
		assert.Equal(t, c.ID, "a")
		assert.Equal(t, accepted, cachedWait)
	})
	t.Run("guards against a limit that the hosts do not learn of", func(t *testing.T) {
		w, _ := newThrottled(t)
		w.replies = []reply{func(s zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
			r, err := answersWith(200, "answer", false, nil)(s)
			r.RequestLimit = 5
			return r, err
		}}
		w.forward(zinniapond.Request{})
		rate, ok := w.Limits.Rate(time.Now(), w.sent[0].Replica.Address, w.sent[0].Replica.ID)
		assert.True(t, ok && rate == 5, "rate %v, known %t", rate, ok)
	})
}
