// Package stopping ends the calls that are open when a daemon stops as planned, on the
// platform's protocol and on the product's own.
package stopping

import (
	"context"
	"errors"
	"fmt"

	"github.com/pomelospool/pomelospool/code"
)

// errStopping is the cause of contexts that a stop ends. It is a DeadlineExceeded,
// since the call's time is over.
var errStopping = fmt.Errorf("the daemon stops: %w", context.DeadlineExceeded)

// WithStop returns a context for a call's run that also ends with stop, if mayEnd
// returns true then.
func WithStop(ctx, stop context.Context, mayEnd func() bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(stop, func() {
		if mayEnd() {
			cancel(errStopping)
		}
	})
	return ctx, func() {
		detach()
		cancel(nil)
	}
}

// Error returns the error of a call, with the code Stopped if a stop has ended its
// context, which WithStop returned or which derives from such a one.
func Error(ctx context.Context, err error) error {
	if code.Of(err) == code.DeadlinePassed && errors.Is(context.Cause(ctx), errStopping) {
		return code.Wrap(code.Stopped, err, "")
	}
	return err
}
