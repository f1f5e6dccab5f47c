package limit

import (
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var (
	begin   = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	address = netip.MustParseAddrPort("10.0.0.1:80")
)

// fill takes all places of the server and returns how many there are.
func fill(l *Limiter) int {
	count := 0
	for l.Acquire(begin, address) {
		count++
	}
	return count
}

// serve gives places back and takes them again, with the given latency.
func serve(l *Limiter, calls int, first time.Duration) {
	for range calls {
		l.Release(begin, address, zinniapond.Observation{First: first, Total: time.Second, Usage: zinniapond.Usage{Prompt: 500}})
		fill(l)
	}
}

func TestLimiter(t *testing.T) {
	t.Run("guards against a limit that does not hold", func(t *testing.T) {
		l := &Limiter{}
		assert.Equal(t, fill(l), start)
		assert.True(t, !l.Free(begin, address), "free beyond the limit")
		l.Release(begin, address, zinniapond.Observation{Cancelled: true})
		assert.True(t, l.Free(begin, address), "the place was not given back")
	})
	t.Run("guards against a limit that stays when calls wait in the engine", func(t *testing.T) {
		l := &Limiter{}
		fill(l)
		serve(l, 100, 100*time.Millisecond)
		s, _ := l.servers.Get(address)
		high := s.limit
		serve(l, 40, time.Second)
		assert.True(t, high > 2*start && s.limit < high/4, "limit went from %.1f to %.1f", high, s.limit)
		assert.True(t, s.limit >= floor, "limit %.1f is below the floor", s.limit)
		low := s.limit
		serve(l, 200, 100*time.Millisecond)
		assert.True(t, s.limit > 2*low, "limit stays at %.1f", s.limit)
	})
	t.Run("guards against growth without use", func(t *testing.T) {
		l := &Limiter{}
		for range 1000 {
			l.Acquire(begin, address)
			l.Release(begin, address, zinniapond.Observation{First: time.Millisecond, Total: time.Second, Usage: zinniapond.Usage{Prompt: 500}})
		}
		assert.Equal(t, fill(l), start)
	})
}

func BenchmarkLimiter(b *testing.B) {
	l := &Limiter{}
	seen := zinniapond.Observation{First: time.Millisecond, Total: time.Second, Usage: zinniapond.Usage{Prompt: 500}}
	b.ReportAllocs()
	for range b.N {
		if l.Free(begin, address) && l.Acquire(begin, address) {
			l.Release(begin, address, seen)
		}
	}
}
