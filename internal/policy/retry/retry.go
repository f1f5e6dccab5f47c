// Package retry allows retries and hedges within a share of all requests.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

const (
	// allowancePerRequest is the number of extra attempts that each request
	// adds to the allowance.
	allowancePerRequest = 0.05
	// maxAllowance bounds the unused allowance. It is small so that a burst of
	// hedges cannot follow a quiet time.
	maxAllowance = 5
	// retryReserve is the allowance that hedges leave to retries: a retry saves
	// a call, a hedge only time.
	retryReserve = 2
	// maxAttempts bounds the attempts of one call.
	maxAttempts = 4
	// initialDelay is the mean back-off before the first retry. It doubles with
	// each further retry, up to maxDelay.
	initialDelay = 50 * time.Millisecond
	maxDelay     = 2 * time.Second
	// hedgePercentile is the percentile of the latency after which a hedge is
	// sent. At the 95th, long prompts alone use up the whole allowance on
	// healthy servers, and none is left when a server slows down.
	hedgePercentile = 99
	// minObservations is the number of observations from which the percentile
	// is used.
	minObservations = 40
	// rotationInterval is the time after which the older histogram of
	// observations is dropped, so that the percentile follows a change of load.
	rotationInterval = time.Minute
	// recomputeInterval is the number of observations between two computations
	// of the percentile, which takes much longer than one observation.
	recomputeInterval = 16
	// maxLatencyMillis bounds the recorded latencies.
	maxLatencyMillis = int64(10 * time.Minute / time.Millisecond)
)

func init() {
	kernel.Register[zinniapond.Retrier]("default", func(k *kernel.Kernel) (zinniapond.Retrier, error) {
		return &Budget{Seed: xxhash.Sum64String(string(k.Settings.Host))}, nil
	})
}

// Budget is a token bucket of extra attempts that is filled by requests. Its
// zero value is ready for use.
type Budget struct {
	// Seed makes the random back-offs differ between hosts. It must be set
	// before the first use.
	Seed uint64

	mu        sync.Mutex
	random    *rand.Rand
	allowance float64
	pools     map[zinniapond.PoolName]*latency
}

var _ zinniapond.Retrier = (*Budget)(nil)

// latency has the latencies of one pool in two histograms; every
// rotationInterval the older one is emptied and becomes the recent one.
type latency struct {
	recent, older   *hdrhistogram.Histogram
	rotatedAt       time.Time
	newObservations int // since the percentile was last computed
	hedgeDelay      time.Duration
}

// CountRequest counts a first attempt.
func (b *Budget) CountRequest(time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.allowance = min(b.allowance+allowancePerRequest, maxAllowance)
}

// AllowRetry takes the cost of one retry from the allowance and returns its
// back-off, or refuses the retry.
func (b *Budget) AllowRetry(_ time.Time, tries int) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if tries >= maxAttempts || !b.spend(1) {
		return 0, false
	}
	if b.random == nil {
		b.random = rand.New(rand.NewPCG(b.Seed, 1))
	}
	delay := min(initialDelay<<max(tries-1, 0), maxDelay)
	return delay/2 + time.Duration(b.random.Int64N(int64(delay))), true
}

// HedgeDelay returns the observed 99th percentile of the time to the first
// byte; false while there are too few observations.
func (b *Budget) HedgeDelay(_ time.Time, pool zinniapond.PoolName) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.pools[pool]
	if !ok || l.hedgeDelay == 0 {
		return 0, false
	}
	return l.hedgeDelay, true
}

// AllowHedge takes the cost of one hedge from the allowance, or refuses the
// hedge.
func (b *Budget) AllowHedge(time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spend(1 + retryReserve)
}

// ObserveLatency adds the latency of an attempt to the first byte.
func (b *Budget) ObserveLatency(now time.Time, pool zinniapond.PoolName, first time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pools == nil {
		b.pools = make(map[zinniapond.PoolName]*latency)
	}
	l, ok := b.pools[pool]
	if !ok {
		l = &latency{recent: newHistogram(), older: newHistogram(), rotatedAt: now}
		b.pools[pool] = l
	}
	if now.Sub(l.rotatedAt) >= rotationInterval {
		l.recent, l.older = l.older, l.recent
		l.recent.Reset()
		l.rotatedAt = now
	}
	// The value is within the histogram's range, so there is no error.
	_ = l.recent.RecordValue(min(max(first.Milliseconds(), 1), maxLatencyMillis))
	if l.newObservations++; l.newObservations >= recomputeInterval {
		l.newObservations = 0
		l.computeHedgeDelay()
	}
}

// spend takes one extra attempt from the allowance, if this is at least the
// required one.
func (b *Budget) spend(required float64) bool {
	// Rounding leaves sums of 0.05 just below a whole number.
	if b.allowance < required-1e-9 {
		return false
	}
	b.allowance--
	return true
}

func (l *latency) computeHedgeDelay() {
	merged := l.recent
	if l.recent.TotalCount() < minObservations {
		merged = newHistogram()
		merged.Merge(l.recent)
		merged.Merge(l.older)
	}
	if merged.TotalCount() >= minObservations {
		l.hedgeDelay = time.Duration(merged.ValueAtPercentile(hedgePercentile)) * time.Millisecond
	}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatencyMillis, 2) }
