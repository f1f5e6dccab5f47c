package zinniapond

import "time"

// StreamProgress describes a stream that runs at a replica.
type StreamProgress struct {
	StartedAt time.Time // when the request was sent to this replica
	// FirstEventAt and LastEventAt are the instants of the first and the last event from
	// this replica, and Events is their number.
	FirstEventAt, LastEventAt time.Time
	Events                    int
	// Generated is the number of tokens that all replicas together have generated.
	Generated      Tokens
	MaxGenerated   Tokens
	TokensPerEvent Tokens
	// Deadline is the instant by which the stream has to be complete.
	Deadline time.Time
}

// Migration decides when a stream that will not end in time at its replica is to be
// continued at another one. It is for the replicas of one pool and safe for concurrent
// use.
type Migration interface {
	// ObserveEnd records a stream that has come from one replica from its beginning to its
	// end.
	ObserveEnd(now time.Time, progress StreamProgress)
	// ShouldLeave reports whether the stream is to leave its replica now. If not, it
	// returns when to ask again if no event has come until then; zero for never.
	ShouldLeave(now time.Time, progress StreamProgress) (leave bool, askAt time.Time)
}
