package sample

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestSampler(t *testing.T) {
	start := time.Unix(1000, 0)
	assertTaken := func(t *testing.T, s *Sampler, after time.Duration, wantSkipped int, wantOK bool) {
		t.Helper()
		skipped, ok := s.Take(start.Add(after))
		assert.Equal(t, ok, wantOK)
		assert.Equal(t, skipped, wantSkipped)
	}
	t.Run("guards against a line for each event, and against events that no line counts", func(t *testing.T) {
		s := &Sampler{Interval: time.Second}
		assertTaken(t, s, 0, 0, true)
		assertTaken(t, s, 10*time.Millisecond, 0, false)
		assertTaken(t, s, 999*time.Millisecond, 0, false)
		assertTaken(t, s, time.Second, 2, true)
		assertTaken(t, s, 3*time.Second, 0, true)
	})
	t.Run("guards against work for an event that is not let through, and against not counting it", func(t *testing.T) {
		s := &Sampler{Interval: time.Second}
		assert.True(t, s.IsDue(start), "the first event is not due")
		assertTaken(t, s, 0, 0, true)
		assert.True(t, !s.IsDue(start.Add(999*time.Millisecond)), "an event is due too early")
		s.Skip()
		assert.True(t, s.IsDue(start.Add(time.Second)), "an event is not due")
		assertTaken(t, s, time.Second, 1, true)
	})
}
