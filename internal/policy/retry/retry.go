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
	// earned is the share of extra work that each request allows.
	earned = 0.05
	// saved bounds the unused allowance. It is small so that a burst of
	// hedges cannot follow a quiet time.
	saved = 5
	// kept is the allowance that hedges leave to retries: a retry saves a call,
	// a hedge only time.
	kept = 2
	// attempts bounds the attempts of one call.
	attempts = 4
	// firstDelay doubles with each retry, up to lastDelay.
	firstDelay = 50 * time.Millisecond
	lastDelay  = 2 * time.Second
	// hedged is the percentile of the latency after which a hedge is sent. At the
	// 95th, long prompts alone use up the whole allowance on healthy servers, and
	// none is left when a server slows down.
	hedged = 99
	// enough is the number of observations from which the percentile is used.
	enough = 40
	// turn is the span after which the older half of the observations is
	// dropped, so that the percentile follows a change of load.
	turn = time.Minute
	// refresh is the number of observations between two computations of the
	// percentile, which takes much longer than one observation.
	refresh = 16
	longest = int64(10 * time.Minute / time.Millisecond)
)

func init() {
	kernel.Register[zinniapond.Retrier]("default", func(k *kernel.Kernel) (zinniapond.Retrier, error) {
		return &Budget{Seed: xxhash.Sum64String(string(k.Settings.Host))}, nil
	})
}

// Budget is a token bucket that is filled by requests. Its zero value is ready
// for use.
type Budget struct {
	// Seed makes the delays differ between hosts. Set it before the first use.
	Seed uint64

	mu     sync.Mutex
	random *rand.Rand
	left   float64
	pools  map[zinniapond.PoolName]*latency
}

var _ zinniapond.Retrier = (*Budget)(nil)

// latency has the latencies of one pool in two histograms that take turns.
type latency struct {
	recent, older *hdrhistogram.Histogram
	turned        time.Time
	count         int // since the percentile was computed
	after         time.Duration
}

// Request counts a first attempt.
func (b *Budget) Request(time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+earned, saved)
}

// Retry takes the cost of one retry and returns its delay, or refuses it.
func (b *Budget) Retry(_ time.Time, tries int) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if tries >= attempts || !b.take(1) {
		return 0, false
	}
	if b.random == nil {
		b.random = rand.New(rand.NewPCG(b.Seed, 1))
	}
	delay := min(firstDelay<<max(tries-1, 0), lastDelay)
	return delay/2 + time.Duration(b.random.Int64N(int64(delay))), true
}

// HedgeAfter is the observed 99th percentile of the time to the first byte.
func (b *Budget) HedgeAfter(_ time.Time, pool zinniapond.PoolName) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.pools[pool]
	if !ok || l.after == 0 {
		return 0, false
	}
	return l.after, true
}

// Hedge takes the cost of one hedge, or refuses it.
func (b *Budget) Hedge(time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(1 + kept)
}

// Observe adds the latency of an attempt to the first byte.
func (b *Budget) Observe(now time.Time, pool zinniapond.PoolName, first time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pools == nil {
		b.pools = make(map[zinniapond.PoolName]*latency)
	}
	l, ok := b.pools[pool]
	if !ok {
		l = &latency{recent: histogram(), older: histogram(), turned: now}
		b.pools[pool] = l
	}
	if now.Sub(l.turned) >= turn {
		l.recent, l.older = l.older, l.recent
		l.recent.Reset()
		l.turned = now
	}
	// The value is within the histogram's range, so there is no error.
	_ = l.recent.RecordValue(min(max(first.Milliseconds(), 1), longest))
	if l.count++; l.count >= refresh {
		l.count = 0
		l.compute()
	}
}

// take takes one extra attempt if the allowance is at least the given one.
func (b *Budget) take(least float64) bool {
	// Sums of 0.05 fall short of a whole by rounding.
	if b.left < least-1e-9 {
		return false
	}
	b.left--
	return true
}

func (l *latency) compute() {
	both := l.recent
	if l.recent.TotalCount() < enough {
		both = histogram()
		both.Merge(l.recent)
		both.Merge(l.older)
	}
	if both.TotalCount() >= enough {
		l.after = time.Duration(both.ValueAtPercentile(hedged)) * time.Millisecond
	}
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longest, 2) }
