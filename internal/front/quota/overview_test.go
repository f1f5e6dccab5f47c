package quota_test

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// assertAtLimit fails unless a front shows the given plans at their limits.
func assertAtLimit(t *testing.T, h *controlHost, want ...zinniapond.PlanName) zinniapond.LimitOverview {
	t.Helper()
	o := zinniapond.HostOverview{Limits: zinniapond.LimitOverview{AtLimit: []zinniapond.PlanName{}}}
	h.AddOverview(time.Now(), &o)
	assert.Equal(t, o.Limits.AtLimit, append([]zinniapond.PlanName{}, want...))
	assert.Equal(t, o.Limits.AtLimitCount, len(want))
	return o.Limits
}

func TestOverview(t *testing.T) {
	plan := &zinniapond.Plan{Name: "p", RequestRate: 100, RequestBurst: 100}
	t.Run("guards against a refused plan that is not shown, or is shown long after", func(t *testing.T) {
		withHost(t, zinniapond.QuotaGrant{Lifetime: time.Second, BeginWait: time.Second, OtherWait: time.Second}, func(t *testing.T, h *controlHost) {
			assertAtLimit(t, h)
			_, err := h.acquire(plan, false)
			assert.ErrorIs(t, err, zinniapond.ErrRateLimited)
			limits := assertAtLimit(t, h, "p")
			assert.Equal(t, limits.Counted, 1)
			assert.Equal(t, limits.Counter.String(), "10.1.0.1:7000")
			assert.True(t, !limits.IsCounter, "the front counts")
			time.Sleep(6 * time.Second)
			assertAtLimit(t, h)
		})
	})
	t.Run("guards against a plan that is shown in turn at and below its limit", func(t *testing.T) {
		withHost(t, zinniapond.QuotaGrant{Lifetime: time.Second, BeginWait: time.Second, OtherWait: time.Second}, func(t *testing.T, h *controlHost) {
			_, err := h.acquire(plan, false)
			assert.ErrorIs(t, err, zinniapond.ErrRateLimited)
			time.Sleep(time.Second)
			h.grant = zinniapond.QuotaGrant{Lifetime: time.Second, Continuing: 5}
			_, err = h.acquire(plan, false)
			assert.NoError(t, err)
			assertAtLimit(t, h, "p")
		})
	})
	t.Run("guards against a plan at its limit although all its requests are served", func(t *testing.T) {
		withHost(t, zinniapond.QuotaGrant{Lifetime: time.Second, Continuing: 5}, func(t *testing.T, h *controlHost) {
			_, err := h.acquire(plan, false)
			assert.NoError(t, err)
			assertAtLimit(t, h)
		})
	})
}
