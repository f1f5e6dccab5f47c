package allow

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var (
	start  = time.Unix(1000, 0)
	policy = Policy{Access: zinniapond.AccessSettings{QuotaWindow: 5 * time.Second, QuotaOverage: 0.1, QuotaSlack: 20}}
)

// use is a number of requests at one instant.
type use struct {
	at      time.Time
	count   int
	reserve bool // with tokens of a reserve
}

// assertWindows fails if more than allowed(span) requests were used in some interval.
func assertWindows(t assert.TB, uses []use, allowed func(span time.Duration) float64) {
	t.Helper()
	for i := range uses {
		count := 0
		for _, u := range uses[i:] {
			count += u.count
			span := u.at.Sub(uses[i].at)
			assert.True(t, float64(count) <= allowed(span)+1e-6, "%d requests within %s, allowed are %.3f", count, span, allowed(span))
		}
	}
}

func bucketBound(limit zinniapond.PlanLimit) func(time.Duration) float64 {
	return func(span time.Duration) float64 {
		return float64(limit.Rate)*span.Seconds() + float64(max(limit.Burst, 1))
	}
}

// full returns a bucket for which no token was taken for a long time.
func full(limit zinniapond.PlanLimit) zinniapond.AllowanceBucket {
	return policy.NewBucket(start, start.Add(-time.Hour), limit)
}

// holding is a reserve of one front.
type holding struct {
	at    time.Time
	count int
}

// TestOracle compares the bucket with a count of each interval. Tokens that are returned
// do not count, and those of a reserve count when they are used.
func TestOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := zinniapond.PlanLimit{Rate: zinniapond.RequestRate(rapid.Float64Range(0.2, 80).Draw(t, "rate")), Burst: rapid.IntRange(0, 60).Draw(t, "burst")}
		b := policy.NewBucket(start, start.Add(-rapid.SampledFrom([]time.Duration{0, time.Second, time.Hour}).Draw(t, "age")), limit)
		var uses []use
		reserves := make([]holding, 4)
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 30, 99, 250, 700, 2500}).Draw(t, "pause")) * time.Millisecond)
			held := &reserves[rapid.IntRange(0, len(reserves)-1).Draw(t, "front")]
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				begin, other := b.Take(now, rapid.IntRange(0, 40).Draw(t, "beginning"), rapid.IntRange(0, 40).Draw(t, "continuing"))
				uses = append(uses, use{at: now, count: begin + other})
			case 1:
				if len(uses) == 0 {
					continue
				}
				u := &uses[rapid.IntRange(0, len(uses)-1).Draw(t, "batch")]
				if u.reserve {
					continue
				}
				count := rapid.IntRange(0, u.count).Draw(t, "returned")
				u.count -= count
				b.Return(now, u.at, count)
			case 2:
				*held = holding{now, b.Reserve(now, rapid.IntRange(0, 20).Draw(t, "reserve"))}
			default:
				if now.Sub(held.at) >= zinniapond.ReserveLifetime {
					continue
				}
				count := rapid.IntRange(0, held.count).Draw(t, "used")
				held.count -= count
				uses = append(uses, use{now, count, true})
			}
			assertWindows(t, uses, bucketBound(limit))
		}
	})
}

// TestWindow uses each token at some time of its lifetime, and checks the bound that is
// agreed with the users in each window.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := zinniapond.PlanLimit{Rate: zinniapond.RequestRate(rapid.Float64Range(1, 200).Draw(t, "rate")), Burst: rapid.IntRange(1, 400).Draw(t, "burst")}
		lifetime := policy.Lifetime(limit)
		b := full(limit)
		var uses []use
		for now := start; now.Before(start.Add(12 * time.Second)); now = now.Add(time.Duration(rapid.IntRange(5, 400).Draw(t, "pause")) * time.Millisecond) {
			begin, other := b.Take(now, rapid.IntRange(0, 300).Draw(t, "beginning"), rapid.IntRange(0, 300).Draw(t, "continuing"))
			uses = append(uses, use{at: now.Add(time.Duration(rapid.Int64Range(0, int64(lifetime)).Draw(t, "delay"))), count: begin + other})
		}
		slices.SortFunc(uses, func(x, y use) int { return x.at.Compare(y.at) })
		assertWindows(t, uses, windowBound(limit))
	})
}

// TestHandOver lets one bucket follow another one at some time, and checks each window that
// contains tokens of both.
func TestHandOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := zinniapond.PlanLimit{Rate: zinniapond.RequestRate(rapid.Float64Range(0.1, 100).Draw(t, "rate")), Burst: rapid.IntRange(1, 200).Draw(t, "burst")}
		lifetime := policy.Lifetime(limit)
		b := full(limit)
		changed := start.Add(time.Duration(rapid.IntRange(0, 10_000).Draw(t, "change")) * time.Millisecond)
		var uses []use
		hasChanged := false
		for now := start; now.Before(start.Add(25 * time.Second)); now = now.Add(time.Duration(rapid.IntRange(5, 900).Draw(t, "pause")) * time.Millisecond) {
			if !hasChanged && !now.Before(changed) {
				hasChanged = true
				b = policy.NewBucket(now, changed, limit)
			}
			_, other := b.Take(now, 0, rapid.IntRange(0, 300).Draw(t, "continuing"))
			uses = append(uses, use{at: now.Add(time.Duration(rapid.Int64Range(0, int64(lifetime)).Draw(t, "delay"))), count: other})
		}
		slices.SortFunc(uses, func(x, y use) int { return x.at.Compare(y.at) })
		assertWindows(t, uses, windowBound(limit))
	})
}

// windowBound returns the bound of a window without the half of the accepted excess and
// the slack that are left to other cases.
func windowBound(limit zinniapond.PlanLimit) func(time.Duration) float64 {
	window := policy.Access.QuotaWindow
	allowed := (float64(limit.Rate)*window.Seconds() + float64(limit.Burst)) * (1 + policy.Access.QuotaOverage/2)
	return func(span time.Duration) float64 {
		if span > window {
			return math.Inf(1)
		}
		return allowed
	}
}

func TestTake(t *testing.T) {
	limit := zinniapond.PlanLimit{Rate: 10, Burst: 20}
	t.Run("guards against programs that begin with the tokens of those that were begun", func(t *testing.T) {
		b := full(limit)
		begin, _ := b.Take(start, 100, 0)
		assert.Equal(t, begin, 10)
		begin, other := b.Take(start, 5, 100)
		assert.Equal(t, begin, 0)
		assert.Equal(t, other, 10)
	})
	t.Run("guards against the burst of a bucket that is new on its host", func(t *testing.T) {
		b := policy.NewBucket(start, start, limit)
		begin, other := b.Take(start, 5, 5)
		assert.Equal(t, begin+other, 0)
		_, other = b.Take(start.Add(time.Second), 0, 100)
		assert.Equal(t, other, 10)
	})
	t.Run("guards against slow plans that are refused long after a change of the host", func(t *testing.T) {
		slow := zinniapond.PlanLimit{Rate: 0.1, Burst: 20}
		b := policy.NewBucket(start, start, slow)
		_, other := b.Take(start.Add(6900*time.Millisecond), 0, 100)
		assert.Equal(t, other, 0)
		_, other = b.Take(start.Add(7*time.Second), 0, 100)
		assert.Equal(t, other, 20)
	})
	t.Run("guards against programs that do not begin for as long as a new bucket fills", func(t *testing.T) {
		b := policy.NewBucket(start, start, limit)
		served := 0
		for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(125 * time.Millisecond) {
			begin, _ := b.Take(now, 1, 0)
			served += begin
		}
		assert.True(t, served >= 38, "%d of 40 programs begin at 0.8 of the limit", served)
	})
	t.Run("guards against programs that begin with tokens for which begun ones wait elsewhere", func(t *testing.T) {
		b := full(limit)
		b.Take(start, 0, 5)
		b.SetWaiting(0, 13)
		begin, _ := b.Take(start, 100, 0)
		assert.Equal(t, begin, 2)
		begin, other := b.Take(start, 1, 100)
		assert.Equal(t, begin, 0)
		assert.Equal(t, other, 13)
	})
	t.Run("guards against plans with a burst of one request that never begin a program", func(t *testing.T) {
		begin, _ := full(zinniapond.PlanLimit{Rate: 1, Burst: 1}).Take(start, 1, 0)
		assert.Equal(t, begin, 1)
	})
	t.Run("guards against the burst of the former limit", func(t *testing.T) {
		b := full(limit)
		b.SetLimit(start, zinniapond.PlanLimit{Rate: 1, Burst: 2})
		_, other := b.Take(start, 0, 100)
		assert.Equal(t, other, 2)
	})
	t.Run("guards against refusals that do not tell when to return", func(t *testing.T) {
		b := full(limit)
		b.Take(start, 0, 100)
		b.Take(start, 5, 0)
		begin, other := b.Wait(start)
		assert.Equal(t, other, 100*time.Millisecond)
		assert.Equal(t, begin, 1500*time.Millisecond)
	})
	t.Run("guards against many hosts that are told to return for the same token", func(t *testing.T) {
		b := full(limit)
		b.Take(start, 0, 100)
		b.SetWaiting(3, 4)
		b.Take(start, 5, 1)
		begin, other := b.Wait(start)
		assert.Equal(t, other, 500*time.Millisecond)
		assert.Equal(t, begin, 1800*time.Millisecond)
	})
	t.Run("guards against clients of a slow plan that return long after its new bucket is full", func(t *testing.T) {
		b := policy.NewBucket(start, start, zinniapond.PlanLimit{Rate: 0.1, Burst: 20})
		now := start.Add(time.Second)
		b.Take(now, 0, 1)
		_, other := b.Wait(now)
		assert.Equal(t, other, 6*time.Second)
	})
}

func TestReturn(t *testing.T) {
	limit := zinniapond.PlanLimit{Rate: 10, Burst: 20}
	t.Run("guards against unused tokens that are lost", func(t *testing.T) {
		b := full(limit)
		b.Take(start, 0, 20)
		b.Return(start.Add(100*time.Millisecond), start, 20)
		_, other := b.Take(start.Add(100*time.Millisecond), 0, 100)
		assert.Equal(t, other, 20)
	})
	t.Run("guards against refill that is counted in addition to returned tokens", func(t *testing.T) {
		b := full(limit)
		b.Take(start, 0, 10)
		now := start.Add(500 * time.Millisecond)
		b.Take(now, 0, 15)
		b.Return(now, start, 10)
		_, other := b.Take(now, 0, 100)
		assert.Equal(t, other, 5)
	})
	t.Run("guards against tokens of the past", func(t *testing.T) {
		b := full(limit)
		b.Take(start, 0, 20)
		b.Return(start.Add(time.Hour), start, 1<<30)
		assert.True(t, b.IsFull(start.Add(time.Hour)), "the bucket is not full after an hour")
	})
}

func TestReserve(t *testing.T) {
	limit := zinniapond.PlanLimit{Rate: 10, Burst: 40}
	t.Run("guards against reserves of a plan near its limit", func(t *testing.T) {
		b := full(limit)
		assert.Equal(t, b.Reserve(start, 100), 10)
		assert.Equal(t, b.Reserve(start, 100), 0)
	})
	t.Run("guards against a reserve that is refilled before it has expired", func(t *testing.T) {
		b := full(limit)
		b.Reserve(start, 10)
		_, other := b.Take(start.Add(zinniapond.ReserveLifetime), 0, 100)
		assert.Equal(t, other, 30)
	})
	t.Run("guards against reserves that use the burst up while they are renewed", func(t *testing.T) {
		b := full(limit)
		for i := range 30 {
			assert.Equal(t, b.Reserve(start.Add(time.Duration(i)*zinniapond.ReserveLifetime/2), 3), 3)
		}
	})
}

func TestOwnInterval(t *testing.T) {
	t.Run("guards against hosts that together exceed the limit while no control host counts", func(t *testing.T) {
		for _, hosts := range []int{1, 7, 54, 171, 390} {
			limit := zinniapond.PlanLimit{Rate: 60, Burst: 100}
			interval := policy.OwnInterval(limit, hosts)
			if interval == 0 {
				continue
			}
			sent := hosts * (int((policy.Access.QuotaWindow+shareLatency)/interval) + 1)
			assert.True(t, sent <= 30, "%d hosts send %d requests in a window", hosts, sent)
		}
	})
	t.Run("guards against a share without knowing the number of hosts", func(t *testing.T) {
		assert.Equal(t, policy.OwnInterval(zinniapond.PlanLimit{Rate: 60, Burst: 100}, 0), 0)
	})
}

// TestLimit adds up what a window may contain at most: a bucket with the tokens that were
// granted before the window, and the share of all hosts without a control host.
func TestLimit(t *testing.T) {
	t.Run("guards against parts of the accepted excess that are given away twice", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			plan := &zinniapond.Plan{RequestRate: zinniapond.RequestRate(rapid.Float64Range(1, 700).Draw(t, "rate")), RequestBurst: rapid.IntRange(1, 700).Draw(t, "burst")}
			hosts := rapid.IntRange(1, 400).Draw(t, "hosts")
			window := policy.Access.QuotaWindow
			limit := policy.Limit(plan)
			counted := float64(limit.Burst) + float64(limit.Rate)*(window+policy.Lifetime(limit)).Seconds()
			own := 0
			if interval := policy.OwnInterval(limit, hosts); interval > 0 {
				own = hosts * (int((window+shareLatency)/interval) + 1)
			}
			allowed := (float64(plan.RequestRate)*window.Seconds()+float64(plan.RequestBurst))*(1+policy.Access.QuotaOverage) + float64(policy.Access.QuotaSlack)
			assert.True(t, counted+float64(own) <= allowed, "%f and %d of %f requests", counted, own, allowed)
		})
	})
	t.Run("guards against a limit for plans without one", func(t *testing.T) {
		assert.Equal(t, policy.Limit(&zinniapond.Plan{RequestBurst: 5}).Rate, 0)
	})
}
