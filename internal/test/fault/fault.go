// Package fault defines the faults that tests inject into connections.
package fault

import "time"

// Fault is the set of faults of one connection. The zero value is a connection
// without faults.
type Fault struct {
	// Request and Answer drop all bytes to the target and from it until the
	// connection is closed: bytes after a gap would corrupt the TCP stream.
	Request, Answer bool
	// Delay is the time by which each block of bytes is delayed.
	Delay time.Duration
	// Refuse closes new connections immediately after they are accepted.
	Refuse bool
}
