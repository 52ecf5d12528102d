// Package clock gives the time by which beliefs age.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Source returns the time since an arbitrary start. Tests give their own.
type Source func() time.Duration

// SinceBoot counts the time that the VM was suspended, and steps of the time of
// day do not move it. Go's monotonic clock stops while a VM is suspended: a key
// that was revoked meanwhile would look freshly confirmed after the wake.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux since 2.6.39 has this clock; without it no age can be told.
		panic("no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
