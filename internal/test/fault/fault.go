// Package fault defines the faults that tests inject into connections.
package fault

import "time"

// Fault is the set of faults of one connection. The zero value is a connection
// without faults.
type Fault struct {
	// DropRequests and DropAnswers drop all bytes to the target and from it until
	// the connection is closed: bytes after a gap would corrupt the TCP stream.
	DropRequests, DropAnswers bool
	// Delay is the time by which each block of bytes is delayed.
	Delay time.Duration
	// RefuseConnections closes new connections immediately after they are
	// accepted.
	RefuseConnections bool
}
