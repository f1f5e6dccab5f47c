// Package clock provides the time that leases and ages are measured with.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// reference is one instant on both clocks; Now counts from it.
type reference struct {
	wall time.Time
	boot time.Duration
}

var origin = sync.OnceValue(func() reference { return reference{time.Now().Round(0), sinceBoot()} })

// Now returns the time of day at the first use of this package plus the time
// since. It includes time in which the machine was suspended, which Go's
// monotonic clock does not, and does not jump when the time of day is set.
func Now() time.Time {
	o := origin()
	return o.wall.Add(sinceBoot() - o.boot)
}

func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(t.Nano())
}

// processStart is the reference for systems without CLOCK_BOOTTIME.
var processStart = time.Now()
