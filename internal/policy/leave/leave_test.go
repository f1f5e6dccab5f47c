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

// answeredAt returns the progress of a stream whose answer has begun, with events at
// regular intervals.
func answeredAt(gap time.Duration, events int) zinniapond.StreamProgress {
	s := progressAt(usualFirst, gap, events)
	s.AnsweredAt, s.Deadline = start.Add(usualFirst), start.Add(time.Minute)
	return s
}

// assertStallsAfter checks from which silence on a stream has stalled.
func assertStallsAfter(t *testing.T, p *Policy, s zinniapond.StreamProgress, want time.Duration) {
	t.Helper()
	at := silentSince(s).Add(want)
	before, after := p.Stall(at.Add(-1), s), p.Stall(at, s)
	assert.True(t, !before.IsStalled && after.IsStalled, "not stalled after %s but %t before: %t", want, after.IsStalled, before.IsStalled)
	assert.True(t, before.AskAt.Equal(at), "to be asked at %s", before.AskAt.Sub(silentSince(s)))
}

func TestStall(t *testing.T) {
	t.Run("guards against taking the usual pauses for a stall", func(t *testing.T) {
		assertStallsAfter(t, newPolicy(), answeredAt(usualGap, 5), minStall)
		slow := new(Policy)
		for range 100 {
			slow.ObserveEnd(start, progressAt(usualFirst, 100*time.Millisecond, eventCount))
		}
		assert.True(t, slow.gap >= float64(95*time.Millisecond), "usual time between events %s", time.Duration(slow.gap))
		assertStallsAfter(t, slow, answeredAt(usualGap, 5), time.Duration(stallRatio*slow.gap))
	})
	t.Run("guards against a stall before the route's target has passed several times", func(t *testing.T) {
		s := answeredAt(usualGap, 5)
		s.TargetGap = 700 * time.Millisecond
		assertStallsAfter(t, newPolicy(), s, stallTargets*s.TargetGap)
	})
	t.Run("guards against taking a regularly slow stream for a stalled one", func(t *testing.T) {
		assertStallsAfter(t, newPolicy(), answeredAt(2*time.Second, 5), ownRatio*2*time.Second)
	})
	t.Run("guards against a stall while nothing is known or no answer has come", func(t *testing.T) {
		assert.Equal(t, new(Policy).Stall(start.Add(time.Hour), answeredAt(usualGap, 5)), zinniapond.StreamStall{})
		assert.Equal(t, newPolicy().Stall(start.Add(time.Hour), progressAt(usualFirst, usualGap, 0)), zinniapond.StreamStall{})
	})
	t.Run("guards against counting the time for which this host was held up", func(t *testing.T) {
		s := answeredAt(usualGap, 5)
		s.ResumedAt = s.LastEventAt.Add(10 * time.Second)
		assertStallsAfter(t, newPolicy(), s, minStall)
	})
	t.Run("guards against a stall as the header of an answer comes that was long in coming", func(t *testing.T) {
		p, s := newPolicy(), answeredAt(usualGap, 0)
		s.AnsweredAt = start.Add(10 * time.Second)
		silence := time.Duration(stallRatio * p.first)
		assert.True(t, !p.Stall(s.AnsweredAt.Add(silence-1), s).IsStalled, "stalled before %s without an event", silence)
		assert.True(t, p.Stall(s.AnsweredAt.Add(silence), s).IsStalled, "not stalled after %s without an event", silence)
	})
	t.Run("guards against more streams that leave early than the share of those that end", func(t *testing.T) {
		p, s := newPolicy(), answeredAt(usualGap, 5)
		leaves := func() (n int) {
			for range 100 {
				if leave, _ := p.ShouldLeave(start.Add(10*time.Second), s); leave {
					n++
				}
			}
			return n
		}
		assert.Equal(t, leaves(), maxLeaves)
		for range int(2 / leavesPerStream) {
			p.ObserveEnd(start, progressAt(usualFirst, usualGap, eventCount))
		}
		assert.Equal(t, leaves(), 2)
	})
}
