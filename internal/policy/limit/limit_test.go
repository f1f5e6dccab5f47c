package limit

import (
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var (
	startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	address   = netip.MustParseAddrPort("10.0.0.1:80")
)

// acquireAll takes all places of the server and returns how many there are.
func acquireAll(l *Limiter) int {
	count := 0
	for l.Acquire(startTime, address) {
		count++
	}
	return count
}

// runCalls gives places back and takes them again, with the given latency.
func runCalls(l *Limiter, calls int, first time.Duration) {
	for range calls {
		l.Release(startTime, address, zinniapond.Observation{TimeToFirstByte: first, Duration: time.Second, Usage: zinniapond.Usage{Prompt: 500}})
		acquireAll(l)
	}
}

func TestLimiter(t *testing.T) {
	t.Run("guards against a limit that does not hold", func(t *testing.T) {
		l := &Limiter{}
		assert.Equal(t, acquireAll(l), initialLimit)
		assert.True(t, !l.CanAcquire(startTime, address), "free beyond the limit")
		l.Release(startTime, address, zinniapond.Observation{Cancelled: true})
		assert.True(t, l.CanAcquire(startTime, address), "the place was not given back")
	})
	t.Run("guards against a limit that stays when calls wait in the engine", func(t *testing.T) {
		l := &Limiter{}
		acquireAll(l)
		runCalls(l, 100, 100*time.Millisecond)
		s, _ := l.servers.Get(address)
		high := s.limit
		runCalls(l, 40, time.Second)
		assert.True(t, high > 2*initialLimit && s.limit < high/4, "limit went from %.1f to %.1f", high, s.limit)
		assert.True(t, s.limit >= minLimit, "limit %.1f is below the floor", s.limit)
		low := s.limit
		runCalls(l, 200, 100*time.Millisecond)
		assert.True(t, s.limit > 2*low, "limit stays at %.1f", s.limit)
	})
	t.Run("guards against growth without use", func(t *testing.T) {
		l := &Limiter{}
		for range 1000 {
			l.Acquire(startTime, address)
			l.Release(startTime, address, zinniapond.Observation{TimeToFirstByte: time.Millisecond, Duration: time.Second, Usage: zinniapond.Usage{Prompt: 500}})
		}
		assert.Equal(t, acquireAll(l), initialLimit)
	})
}

func BenchmarkLimiter(b *testing.B) {
	l := &Limiter{}
	seen := zinniapond.Observation{TimeToFirstByte: time.Millisecond, Duration: time.Second, Usage: zinniapond.Usage{Prompt: 500}}
	b.ReportAllocs()
	for range b.N {
		if l.CanAcquire(startTime, address) && l.Acquire(startTime, address) {
			l.Release(startTime, address, seen)
		}
	}
}
