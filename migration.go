package zinniapond

import "time"

// StreamProgress describes a stream that runs at a replica.
type StreamProgress struct {
	StartedAt time.Time // when the request was sent to this replica
	// AnsweredAt is when the header of the answer came; zero before.
	AnsweredAt time.Time
	// FirstEventAt and LastEventAt are the instants of the first and the last complete
	// event with data from this replica, and Events is their number.
	FirstEventAt, LastEventAt time.Time
	Events                    int
	// ResumedAt is when this host went on after it had been held up, such as by a pause
	// of its process; zero if it was not. Events may have been unread until then.
	ResumedAt time.Time
	// Generated is the number of tokens that all replicas together have generated.
	Generated      Tokens
	MaxGenerated   Tokens // zero if unknown
	TokensPerEvent Tokens // zero if unknown
	// TargetLatency and TargetGap are the times to the first event and between two events
	// that the route expects; zero if it expects none.
	TargetLatency, TargetGap time.Duration
	// Deadline is the instant by which the stream has to be complete.
	Deadline time.Time
}

// StreamStall tells whether a stream has stalled: its answer has begun, and no complete
// event has come for much longer than is usual. Bytes of an incomplete event do not count.
// A stall is a reason to ask the replica whether the run goes on, not to end the stream.
type StreamStall struct {
	IsStalled bool
	// AskAt is when this changes if no event has come until then; zero for never.
	AskAt time.Time
}

// Migration decides when a stream that will not end in time at its replica, or that has
// stalled, is to be continued at another one. It is for the replicas of one pool and safe
// for concurrent use.
type Migration interface {
	// ObserveEnd records a stream that has come from one replica from its beginning to its
	// end.
	ObserveEnd(now time.Time, progress StreamProgress)
	// ShouldLeave reports whether the stream is to leave its replica now; the caller then
	// ends it there. If not, it returns when to ask again if no event has come until then;
	// zero for never.
	ShouldLeave(now time.Time, progress StreamProgress) (leave bool, askAt time.Time)
	// Stall tells whether the stream has stalled.
	Stall(now time.Time, progress StreamProgress) StreamStall
}
