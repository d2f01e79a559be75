// Package clock provides the clocks that measure the validity of leases, and an
// estimate of the time of day. Unlike Go's monotonic clock, the lease clock includes the time
// for which a VM is suspended.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary start that is fixed for the life of
// the process. It never goes back. Times of different processes are not
// comparable.
type Clock interface {
	Now() time.Duration
}

// Boot is a Clock that reads CLOCK_BOOTTIME, which includes time spent suspended.
//
// The monotonic reading of time.Now stops while a VM is suspended. After a
// suspension of minutes, a lease would seem valid although another process had
// taken it over.
type Boot struct{}

// Now returns the time since boot, including time spent suspended.
func (Boot) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Runtime is a Clock that follows Go's monotonic clock, which is virtual inside a
// testing/synctest bubble. It is not suitable for production.
type Runtime struct{ start time.Time }

// NewRuntime returns a Runtime clock that starts at zero.
func NewRuntime() Runtime { return Runtime{start: time.Now()} }

// Now returns the time since NewRuntime.
func (r Runtime) Now() time.Duration { return time.Since(r.start) }

// Manual is a Clock that moves only when Advance is called. The zero value is at 0.
type Manual struct{ ns atomic.Int64 }

// Now returns the sum of all calls of Advance.
func (m *Manual) Now() time.Duration { return time.Duration(m.ns.Load()) }

// Advance moves the clock forward by d.
func (m *Manual) Advance(d time.Duration) { m.ns.Add(int64(d)) }
