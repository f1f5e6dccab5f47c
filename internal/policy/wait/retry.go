package wait

import (
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// minRetryAfter is the shortest time after which a client returns. Places become free
	// at intervals of some tens of milliseconds at the least.
	minRetryAfter = 50 * time.Millisecond
	// unknownDrain is the time over which clients are spread if the rate at which places
	// become free is not known.
	unknownDrain = 200 * time.Millisecond
	// begunShare is the share of that time for requests of programs that have begun. They
	// return before those that begin one, as their program is lost otherwise.
	begunShare = 0.5
	// maxClientShare is the share of its remaining time for which a client waits before
	// it returns.
	maxClientShare = 1.0 / 3
)

// RetryAfter returns the time after which a refused client is to return: a random time
// within that in which the requests before it get their places.
func (q *Queue) RetryAfter(now time.Time, waiting zinniapond.WaitingRequest, random float64) time.Duration {
	span, ok := q.EstimateWait(now, waiting)
	if !ok {
		span = unknownDrain
	}
	if !waiting.Begins {
		span = time.Duration(begunShare * float64(span))
	}
	if !waiting.ClientDeadline.IsZero() {
		span = min(span, time.Duration(maxClientShare*float64(waiting.ClientDeadline.Sub(now)))-minRetryAfter)
	}
	return minRetryAfter + time.Duration(random*float64(max(span, 0)))
}
