package daemon

import (
	"context"
	"time"

	"github.com/pomelospool/pomelospool/internal/shutdown"
)

const (
	// endTime is the part of a stop's time that is kept for what comes after the last
	// request: the release of leases, the last answers and the end of all parts.
	endTime = releaseTimeout + 2*time.Second
	// maxEndShare is the largest share of a stop's time that is kept for its end.
	maxEndShare = 0.25
)

// stopWithin runs the stop so that it returns before the deadline of ctx, whatever the
// log, the targets and the other daemons do. After an error that wraps
// shutdown.ErrDeadline parts of the daemon still run, and the process must exit.
func stopWithin(ctx context.Context, stop func(ctx context.Context) error) error {
	end, bounded := ctx.Deadline()
	if !bounded {
		return stop(ctx)
	}
	var steps shutdown.Sequence
	return steps.Within(time.Until(end), func() (err error) {
		steps.Step("stop", func() { err = stop(ctx) })
		return err
	})
}

// withTimeToEnd returns the part of ctx in which a stop waits for open requests.
func withTimeToEnd(ctx context.Context) (context.Context, context.CancelFunc) {
	end, bounded := ctx.Deadline()
	if !bounded {
		return ctx, func() {}
	}
	left := time.Until(end)
	return context.WithTimeout(ctx, left-min(endTime, time.Duration(maxEndShare*float64(left))))
}
