// Package clock provides the clock that measures the age of cached state.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Source returns the time since an arbitrary fixed moment. Tests supply their own sources.
type Source func() time.Duration

// SinceBoot returns the time since the VM booted. It includes the time that the VM was
// suspended, and changes of the wall clock do not affect it. Go's monotonic clock stops while a
// VM is suspended, so a key that was revoked in that time would seem recently confirmed after
// the VM resumes.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux since 2.6.39 has this clock. Without it no age can be measured.
		panic("no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
