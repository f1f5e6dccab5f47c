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

// Take reports whether an event is let through, and how many were not since the last one
// that was.
func (s *Sampler) Take(now time.Time) (skipped int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.passed.IsZero() && now.Sub(s.passed) < s.Interval {
		s.skipped++
		return 0, false
	}
	skipped, s.skipped, s.passed = s.skipped, 0, now
	return skipped, true
}
