package prefix

import "time"

// openCost is the expected time for opening a connection: a round trip between data
// centres, and 1 ms at the server.
const openCost = 2 * time.Millisecond

// openNanos returns the time, in nanoseconds, for opening a connection to the server
// if this host has no idle one.
func (o *candidate) openNanos() float64 {
	if o.needsConnection {
		return float64(openCost)
	}
	return 0
}
