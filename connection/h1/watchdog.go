package h1

import (
	"context"
	"errors"
	"time"
)

// ErrSilent is the error of an exchange whose target made no progress in time.
var ErrSilent = errors.New("no answer in time")

// watchdog ends an exchange that makes no progress.
//
// An open connection can go silent for good while new ones work; the request
// on it would wait for its whole deadline. The watchdog runs only while the
// exchange waits for the target, so that a slow caller is not taken for a
// silent target.
type watchdog struct {
	timer  *time.Timer // nil: none is asked for
	cancel context.CancelCauseFunc
}

func newWatchdog(ctx context.Context, r *Request) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{cancel: cancel}
	if longest := max(r.First, r.Between); longest > 0 {
		w.timer = time.AfterFunc(longest, func() { cancel(ErrSilent) })
		w.arm(r.First)
	}
	if r.First <= 0 {
		w.disarm()
	}
	return ctx, w
}

func (w *watchdog) arm(d time.Duration) {
	if d > 0 {
		w.timer.Reset(d)
	}
}

func (w *watchdog) disarm() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// end frees what the watchdog holds.
func (w *watchdog) end() {
	w.disarm()
	w.cancel(nil)
}
