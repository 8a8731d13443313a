// Package boottime reads the clock that goes on while the machine is suspended.
//
// Go's monotonic clock stands still during a suspension and the time of day may
// be set, so neither can tell how old a belief is. Ages of configurations,
// endpoints and peers are differences of boottime values.
//
// # Usage
//
//	confirmed := boottime.Now()
//	...
//	age := boottime.Now() - confirmed
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, suspensions included.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: the kernel has no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
