package quota_test

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestNewCount(t *testing.T) {
	plan := &zinniapond.Plan{Name: "p", RequestRate: 100, RequestBurst: 100}
	missing := zinniapond.QuotaGrant{BeginWait: 400 * time.Millisecond, OtherWait: 400 * time.Millisecond, Lifetime: time.Second}
	late := zinniapond.QuotaGrant{BeginWait: 4 * time.Second, OtherWait: 400 * time.Millisecond, Lifetime: time.Second}
	t.Run("guards against refusals while the buckets of a new count fill", func(t *testing.T) {
		withHost(t, missing, func(t *testing.T, h *controlHost) {
			h.answer(missing, 7*time.Second)
			time.AfterFunc(1100*time.Millisecond, func() {
				h.answer(zinniapond.QuotaGrant{Continuing: 1, Lifetime: time.Second}, 6*time.Second)
			})
			waited, err := h.waitFor(t, plan, false, 4*time.Second)
			assert.NoError(t, err)
			assert.True(t, waited < 1300*time.Millisecond, "allowed after %s", waited)
			assert.True(t, len(h.seen()) <= 4, "%d messages", len(h.seen()))
		})
	})
	t.Run("guards against requests that wait for more than half of their time", func(t *testing.T) {
		withHost(t, missing, func(t *testing.T, h *controlHost) {
			h.answer(missing, 7*time.Second)
			waited, err := h.waitFor(t, plan, false, 4*time.Second)
			assertRefused(t, err, 100*time.Millisecond, time.Second)
			assert.True(t, waited >= 1500*time.Millisecond && waited <= 2*time.Second, "refused after %s", waited)
		})
	})
	t.Run("guards against requests that wait in vain", func(t *testing.T) {
		withHost(t, late, func(t *testing.T, h *controlHost) {
			h.answer(late, 7*time.Second)
			for range 10 {
				waited, err := h.waitFor(t, plan, true, 4*time.Second)
				// There is room after 4 s; clients return after 2 s at the most without the random part.
				assertRefused(t, err, 1500*time.Millisecond, 3*time.Second)
				assert.True(t, waited < 100*time.Millisecond, "refused after %s", waited)
			}
			assert.Equal(t, len(h.seen()), 1)
			_, err := h.waitFor(t, plan, true, 20*time.Second)
			assertRefused(t, err, 100*time.Millisecond, 3*time.Second)
		})
	})
	t.Run("guards against waits in vain of plans above their limits when the count is not new", func(t *testing.T) {
		withHost(t, missing, func(t *testing.T, h *controlHost) {
			waited, err := h.waitFor(t, plan, false, 4*time.Second)
			assertRefused(t, err, 300*time.Millisecond, 600*time.Millisecond)
			assert.True(t, waited <= 410*time.Millisecond, "refused after %s", waited)
		})
		withHost(t, late, func(t *testing.T, h *controlHost) {
			waited, err := h.waitFor(t, plan, true, 4*time.Second)
			assertRefused(t, err, 1500*time.Millisecond, 3*time.Second)
			assert.True(t, waited <= 10*time.Millisecond, "refused after %s", waited)
		})
	})
	t.Run("guards against the refusal of a request for which there is a token soon", func(t *testing.T) {
		withHost(t, missing, func(t *testing.T, h *controlHost) {
			time.AfterFunc(200*time.Millisecond, func() { h.answer(zinniapond.QuotaGrant{Continuing: 1, Lifetime: time.Second}, 0) })
			waited, err := h.waitFor(t, plan, false, 4*time.Second)
			assert.NoError(t, err)
			assert.True(t, waited < 500*time.Millisecond, "allowed after %s", waited)
		})
	})
	t.Run("guards against tokens in advance that requests of other fronts need", func(t *testing.T) {
		withHost(t, zinniapond.QuotaGrant{Continuing: 1, Lifetime: time.Second}, func(t *testing.T, h *controlHost) {
			h.answer(zinniapond.QuotaGrant{Continuing: 1, Lifetime: time.Second}, 7*time.Second)
			for range 20 {
				_, err := h.acquire(plan, false)
				assert.NoError(t, err)
			}
			for _, r := range h.seen() {
				assert.Equal(t, r.Needs[0].Continuing, 1)
			}
		})
	})
}
