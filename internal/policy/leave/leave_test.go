package leave

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

const (
	usualFirst = 60 * time.Millisecond
	usualGap   = 20 * time.Millisecond
	eventCount = 20
	timeout    = 3 * time.Second
)

var start = time.Unix(1000, 0)

// progressAt returns the progress of a stream with events at regular intervals.
func progressAt(first, gap time.Duration, events int) zinniapond.StreamProgress {
	s := zinniapond.StreamProgress{StartedAt: start, Events: events, Generated: zinniapond.Tokens(10 * events), MaxGenerated: 10 * eventCount, TokensPerEvent: 10, Deadline: start.Add(timeout)}
	if events > 0 {
		s.FirstEventAt = start.Add(first)
		s.LastEventAt = s.FirstEventAt.Add(time.Duration(events-1) * gap)
	}
	return s
}

// newPolicy returns a policy that has observed usual streams.
func newPolicy() *Policy {
	p := new(Policy)
	for range 100 {
		p.ObserveEnd(start, progressAt(usualFirst, usualGap, eventCount))
	}
	return p
}

// leavesAfter replays a stream that stops after a number of events, or goes on to its end.
// It returns when the stream leaves its replica; zero if it does not.
func leavesAfter(p *Policy, first, gap time.Duration, stopsAfter int) time.Duration {
	at := func(events int) time.Duration { return first + time.Duration(events-1)*gap }
	ask := func(now time.Duration, events int) (time.Duration, time.Duration) {
		leave, askAt := p.ShouldLeave(start.Add(now), progressAt(first, gap, events))
		if leave {
			return now, 0
		}
		if askAt.IsZero() {
			return 0, timeout
		}
		return 0, askAt.Sub(start)
	}
	_, next := ask(0, 0)
	for events := 1; events <= eventCount && at(events) < timeout; events++ {
		isStopped := events > stopsAfter
		for isStopped && next < timeout || next < at(events) {
			left, again := ask(next, events-1)
			if left > 0 {
				return left
			}
			next = max(again, next+time.Millisecond)
		}
		if isStopped {
			return 0
		}
		left, again := ask(at(events), events)
		if left > 0 {
			return left
		}
		next = again
	}
	return 0
}

func TestLeave(t *testing.T) {
	inTime := func(t *testing.T, left time.Duration, events int) {
		t.Helper()
		rest := usualFirst + time.Duration(eventCount-events)*usualGap
		assert.True(t, left > 0, "the stream does not leave")
		assert.True(t, left+leaveTime+rest <= timeout, "leaves after %s, too late to end elsewhere", left)
	}
	t.Run("guards against a turn that ends late at a replica that is slow from the beginning", func(t *testing.T) {
		left := leavesAfter(newPolicy(), 10*usualFirst, 10*usualGap, eventCount)
		inTime(t, left, minEvents)
		assert.True(t, left <= 10*usualFirst+minEvents*10*usualGap, "leaves after %s", left)
	})
	t.Run("guards against a turn that ends late at a replica that hangs", func(t *testing.T) {
		for _, events := range []int{0, 1, 10} {
			inTime(t, leavesAfter(newPolicy(), usualFirst, usualGap, events), events)
		}
	})
	t.Run("guards against leaving a replica at which the turn ends in time", func(t *testing.T) {
		for _, slowness := range []time.Duration{1, 2, 5} {
			assert.Equal(t, leavesAfter(newPolicy(), slowness*usualFirst, slowness*usualGap, eventCount), 0)
		}
	})
	t.Run("guards against leaving without time to end elsewhere", func(t *testing.T) {
		p := newPolicy()
		s := progressAt(2*time.Second, 150*time.Millisecond, minEvents)
		leave, _ := p.ShouldLeave(s.LastEventAt, s)
		assert.True(t, !leave, "leaves %s before the deadline", s.Deadline.Sub(s.LastEventAt))
	})
	t.Run("guards against leaving before the usual times are known", func(t *testing.T) {
		assert.Equal(t, leavesAfter(new(Policy), usualFirst, usualGap, 0), 0)
	})
}
