// Package fault names what tests do to connections.
package fault

import "time"

// Fault is what a connection suffers.
type Fault struct {
	// Request and Answer drop the bytes to the target and from it, for as long as
	// the connection lives: what comes later would not fit what was lost.
	Request, Answer bool
	// Delay holds each block up.
	Delay time.Duration
	// Refuse closes new connections at once.
	Refuse bool
}
