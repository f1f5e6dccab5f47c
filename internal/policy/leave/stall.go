package leave

import (
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// stallRatio, stallTargets and ownRatio are the times without a complete event from
	// which a stream has stalled, as multiples of the pool's usual time between events, of
	// the route's target for it, and of the stream's own mean, the longest of which counts.
	// A stream that is regularly slow has not stalled.
	stallRatio   = 20
	stallTargets = 3
	ownRatio     = 4
	// minStall is the shortest time without an event from which a stream has stalled.
	// Processes on shared cores pause for some 100 ms.
	minStall = time.Second
	// maxLeaves bounds the streams that leave early because they have stalled, and
	// leavesPerStream is what each stream that ends adds again. A pool that stalls as a
	// whole, or appears to as this host is cut off, gets no additional load.
	maxLeaves       = 5
	leavesPerStream = 0.05
)

// Stall tells whether the stream has stalled.
func (p *Policy) Stall(now time.Time, s zinniapond.StreamProgress) zinniapond.StreamStall {
	p.mu.Lock()
	defer p.mu.Unlock()
	stallsAt := p.stallsAt(s)
	if stallsAt.IsZero() || now.Before(stallsAt) {
		return zinniapond.StreamStall{AskAt: stallsAt}
	}
	return zinniapond.StreamStall{IsStalled: true}
}

// stallsAt returns when the stream has stalled if no event comes before; zero if neither
// the pool's usual times nor the route's targets are known.
func (p *Policy) stallsAt(s zinniapond.StreamProgress) time.Time {
	usual, target, own := p.first, s.TargetLatency, time.Duration(0)
	if s.Events > 0 {
		usual, target, own = p.gap, s.TargetGap, ownRatio*meanGap(s)
	}
	if p.streams < minStreams {
		usual = 0
	}
	if usual <= 0 && target <= 0 || s.AnsweredAt.IsZero() {
		return time.Time{}
	}
	return silentSince(s).Add(max(time.Duration(stallRatio*usual), stallTargets*target, own, minStall))
}
