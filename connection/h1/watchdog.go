package h1

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/pomelospool/pomelospool/internal/watchdog"
)

// ErrNoProgress is the error of an exchange whose target made no progress in time.
var ErrNoProgress = errors.New("no answer in time")

// newWatchdog returns a context that is cancelled with ErrNoProgress when a wait of
// the exchange exceeds its limit, and the watchdog, armed with r.First.
//
// An open connection can go silent for good while new ones work; the request
// on it would wait for its whole deadline. The watchdog runs only while the
// exchange waits for the target, so that a slow caller is not taken for a
// silent target.
func newWatchdog(ctx context.Context, r *Request) (context.Context, *watchdog.Watchdog, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	dog := watchdog.New(func() { cancel(ErrNoProgress) })
	dog.Arm(r.FirstByteTimeout)
	return ctx, dog, cancel
}

// dialWithin returns a dial function that ends after limit. The dialer's own
// timeout would also end a dial that was answered while this process was
// paused.
func dialWithin(d *net.Dialer, limit time.Duration) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		ctx, cancel := watchdog.WithTimeout(ctx, limit)
		defer cancel()
		c, err := d.DialContext(ctx, "tcp", addr)
		if err != nil {
			err = endOf(ctx, err)
		}
		return c, err
	}
}
