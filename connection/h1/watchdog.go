package h1

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/pomelospool/pomelospool/internal/watchdog"
)

// ErrNoProgress is the error of an exchange whose target made no progress within
// the limits of the request.
var ErrNoProgress = errors.New("no answer in time")

// newWatchdog returns a context that is cancelled with ErrNoProgress when a wait
// of the exchange exceeds its limit, and the watchdog, armed with
// r.FirstByteTimeout.
//
// An open connection can stall for good while new connections work, and its
// request would then wait until its deadline. The watchdog is armed only while
// the exchange waits for the target, so that a slow caller isn't taken for a
// stalled target.
func newWatchdog(ctx context.Context, r *Request) (context.Context, *watchdog.Watchdog, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	wd := watchdog.New(func() { cancel(ErrNoProgress) })
	wd.Arm(r.FirstByteTimeout)
	return ctx, wd, cancel
}

// dialWithin returns a dial function with a time limit. The dialer's own timeout
// would also fail a dial that succeeded while this process was paused.
func dialWithin(d *net.Dialer, limit time.Duration) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		ctx, cancel := watchdog.WithTimeout(ctx, limit)
		defer cancel()
		c, err := d.DialContext(ctx, "tcp", addr)
		if err != nil {
			err = causeOf(ctx, err)
		}
		return c, err
	}
}
