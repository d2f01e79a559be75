// Package clock gives the time by which leases are judged. It goes on while a
// VM is suspended, which Go's own monotonic clock does not.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time since an arbitrary start that stays fixed while the
// process lives. It never goes back. Times of two processes don't compare.
type Clock interface {
	Now() time.Duration
}

// Boot reads CLOCK_BOOTTIME.
//
// The guard is against a VM that is suspended for minutes: time.Now's
// monotonic part stands still meanwhile, so a lease would seem young after the
// resume although another process took it over. CLOCK_BOOTTIME counts the time
// spent suspended.
type Boot struct{}

// Now returns the time since boot, suspended time included.
func (Boot) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Runtime follows Go's monotonic clock, so that it is virtual inside a
// testing/synctest bubble. It isn't fit for production.
type Runtime struct{ start time.Time }

// NewRuntime returns a Runtime clock that starts at zero.
func NewRuntime() Runtime { return Runtime{start: time.Now()} }

// Now returns the time since NewRuntime.
func (r Runtime) Now() time.Duration { return time.Since(r.start) }

// Manual stands still until it is moved. The zero value shows 0.
type Manual struct{ ns atomic.Int64 }

// Now returns the time that was set.
func (m *Manual) Now() time.Duration { return time.Duration(m.ns.Load()) }

// Advance moves the clock on by d.
func (m *Manual) Advance(d time.Duration) { m.ns.Add(int64(d)) }
