// Package sample bounds the number of log lines about events that may be frequent.
package sample

import (
	"sync"
	"time"
)

// Sampler lets one event through in each interval and counts the others. Its exported
// field is set before use.
type Sampler struct {
	Interval time.Duration

	mu      sync.Mutex
	passed  time.Time // when the last event was let through
	skipped int
}

// IsDue reports whether Take would let an event through, so that the caller can leave out
// work for events that are not.
func (s *Sampler) IsDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isDue(now)
}

// isDue is IsDue for a caller that holds the lock.
func (s *Sampler) isDue(now time.Time) bool {
	return s.passed.IsZero() || now.Sub(s.passed) >= s.Interval
}

// Skip counts an event that the caller does not want to be let through.
func (s *Sampler) Skip() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.skipped++
}

// Take reports whether an event is let through, and how many were not since the last one
// that was.
func (s *Sampler) Take(now time.Time) (skipped int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isDue(now) {
		s.skipped++
		return 0, false
	}
	skipped, s.skipped, s.passed = s.skipped, 0, now
	return skipped, true
}
