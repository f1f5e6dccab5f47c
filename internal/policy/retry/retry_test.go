package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniapond.example/zinniapond/internal/test/assert"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestBudget(t *testing.T) {
	t.Run("guards against extra work above 5% at any time", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			b := &Budget{Seed: 1}
			requests, extra := 0, 0
			t.Repeat(map[string]func(*rapid.T){
				"request": func(t *rapid.T) {
					for range rapid.IntRange(1, 60).Draw(t, "count") {
						requests++
						b.CountRequest(startTime)
					}
				},
				"retry": func(t *rapid.T) {
					if _, ok := b.AllowRetry(startTime, rapid.IntRange(1, 6).Draw(t, "tries")); ok {
						extra++
					}
				},
				"hedge": func(*rapid.T) {
					if b.AllowHedge(startTime) {
						extra++
					}
				},
				"": func(t *rapid.T) {
					assert.True(t, float64(extra) <= 0.05*float64(requests)+1e-6, "%d extra in %d requests", extra, requests)
				},
			})
		})
	})
	t.Run("guards against a burst of hedges after a quiet time", func(t *testing.T) {
		b := &Budget{}
		for range 100_000 {
			b.CountRequest(startTime)
		}
		count := 0
		for b.AllowHedge(startTime) {
			count++
		}
		assert.True(t, count <= maxAllowance, "%d hedges at once", count)
	})
	t.Run("guards against hedges that leave nothing for retries", func(t *testing.T) {
		b := &Budget{}
		for range 100 {
			b.CountRequest(startTime)
		}
		for b.AllowHedge(startTime) {
			continue
		}
		_, ok := b.AllowRetry(startTime, 1)
		assert.True(t, ok, "no retry is left")
	})
	t.Run("guards against a hedge delay that keeps to an old percentile", func(t *testing.T) {
		b := &Budget{}
		_, ok := b.HedgeDelay(startTime, "m")
		assert.True(t, !ok, "a delay without observations")
		for range 200 {
			b.ObserveLatency(startTime, "m", 100*time.Millisecond)
		}
		after, _ := b.HedgeDelay(startTime, "m")
		assert.True(t, after >= 95*time.Millisecond && after <= 105*time.Millisecond, "delay is %s", after)
		for i := range 400 {
			b.ObserveLatency(startTime.Add(time.Duration(i)*time.Second), "m", time.Second)
		}
		after, _ = b.HedgeDelay(startTime, "m")
		assert.True(t, after >= 950*time.Millisecond, "delay is %s", after)
	})
}
