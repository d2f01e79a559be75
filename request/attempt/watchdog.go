package attempt

import (
	"context"
	"errors"
	"io"
	"time"
)

var errSilent = errors.New("no progress")

// watchdog cancels an attempt that makes no progress.
//
// An open connection can go silent for good while new ones work; the request
// on it would wait for its whole deadline. The watchdog runs only while the
// attempt waits for the target, so that a slow caller is not taken for a
// silent target.
type watchdog struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

func newWatchdog(ctx context.Context, first time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{cancel: cancel}
	w.timer = time.AfterFunc(first, func() { cancel(errSilent) })
	return ctx, w
}

func (w *watchdog) arm(d time.Duration) { w.timer.Reset(d) }
func (w *watchdog) disarm()             { w.timer.Stop() }

func (w *watchdog) end() {
	w.timer.Stop()
	w.cancel(nil)
}

// watchedBody arms the watchdog around each read of an answer. An engine sends
// the header when it takes a request and the first token when the prompt is
// computed, so the first read may wait for as long as the header.
type watchedBody struct {
	src   io.Reader
	dog   *watchdog
	first time.Duration
	next  time.Duration
	begun bool
}

func (b *watchedBody) Read(p []byte) (int, error) {
	b.dog.arm(b.patience())
	n, err := b.src.Read(p)
	b.dog.disarm()
	b.begun = b.begun || n > 0
	return n, err
}

func (b *watchedBody) patience() time.Duration {
	if b.begun {
		return b.next
	}
	return b.first
}
