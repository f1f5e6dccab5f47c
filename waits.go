package zinniapond

import "time"

// WaitingRequest is a request that waits at a front because all replicas of its pool
// are full.
type WaitingRequest struct {
	// Ticket identifies the request in its queue. Tickets increase in the order of
	// arrival.
	Ticket uint64
	// PlanPriority is the priority of the client's plan, 0 is the highest; 0 if the
	// route needs no key.
	PlanPriority  int
	RoutePriority int  // 0 is the highest
	IsTurn        bool // the answer is a stream; other requests are calls of tools
	Begins        bool // the first turn of a program
	// FinishBy is the instant by which the program should finish; zero if unknown.
	FinishBy time.Time
	// EnteredAt is when the request first entered the queue, and LeaveAt when it
	// leaves it at the latest.
	EnteredAt, LeaveAt time.Time
	// Deadline is the instant by which the answer has to be complete.
	Deadline time.Time
	// ClientDeadline is when the client stops waiting; zero if unknown.
	ClientDeadline time.Time
}

// WaitState describes a queue of waiting requests.
type WaitState struct {
	Length      int
	LongestWait time.Duration // 0 if the queue is empty
	// FreedPerS is the rate at which places at replicas became free lately; 0 if it is
	// not known.
	FreedPerS float64
}

// WaitQueue orders the requests that wait at one front for the replicas of one pool. It
// is safe for concurrent use.
type WaitQueue interface {
	// Push adds a request. A request that was in the queue before gets its old place. If
	// the queue is full, the request that would be served last is removed and returned,
	// which may be the added one.
	Push(now time.Time, waiting WaitingRequest) (removed WaitingRequest, isFull bool)
	// Pop removes and returns the request to be served next.
	Pop(now time.Time) (WaitingRequest, bool)
	// Remove removes a request, for example if its client has gone. It returns false if
	// the request is not in the queue.
	Remove(ticket uint64) bool
	// IsFirst reports whether a request that is not in the queue would be served before
	// all requests in it.
	IsFirst(now time.Time, waiting WaitingRequest) bool
	Len() int
	// State describes the queue for operators.
	State(now time.Time) WaitState
	// RecordFree records that places at replicas have become free.
	RecordFree(now time.Time, places int)
	// EstimateWait returns how long a request that enters the queue will wait, from the
	// rate at which places became free lately; ok is false if the rate is not known.
	EstimateWait(now time.Time, waiting WaitingRequest) (wait time.Duration, ok bool)
	// RetryAfter returns the time after which a refused client is to return. random is
	// from [0, 1) and spreads the clients over the time in which places become free.
	RetryAfter(now time.Time, waiting WaitingRequest, random float64) time.Duration
}
