// Package clock reads the time by which leases and ages are judged.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// start is the instant from which the time is counted, by both clocks.
type start struct {
	wall time.Time
	boot time.Duration
}

var origin = sync.OnceValue(func() start { return start{time.Now().Round(0), sinceBoot()} })

// Now returns the time of day at the start of the process plus the time since.
// It counts the time in which the machine is suspended, which Go's monotonic
// clock does not, and does not step with the time of day.
func Now() time.Time {
	o := origin()
	return o.wall.Add(sinceBoot() - o.boot)
}

func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(fallback)
	}
	return time.Duration(t.Nano())
}

// fallback is for systems without that clock.
var fallback = time.Now()
