package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"time"
)

// A paused daemon, or a connection whose state a middlebox has dropped, returns
// no error, so the request would wait until its deadline. An attempt that may be
// repeated is therefore aborted when no data arrives within a timeout, and the
// next attempt goes to another address over a new connection. At worst the work
// of the aborted attempt is wasted; an idempotency key prevents a second run.
const (
	defaultMinHeaderTimeout = 5 * time.Second // for the header of an answer; a third of the deadline if that is longer
	headerTimeoutDivisor    = 3
	defaultReadTimeout      = 5 * time.Second // daemons detect a stalled target within half of this time
)

// keepAliveConfig makes TCP detect a path that drops all packets within about
// four seconds. It also covers requests that can't be repeated, which have no
// stall timer.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

var errNoProgress = errors.New("no data received within the timeout")

// stallTimer aborts an attempt that makes no progress.
type stallTimer struct {
	timer       *time.Timer
	readTimeout time.Duration
}

// withStallTimer returns a context that is cancelled with errNoProgress when no
// data arrives in time. Requests that can't be repeated get no timer, because
// aborting them wouldn't help the caller.
func (at *attempt) withStallTimer(ctx context.Context) (context.Context, *stallTimer, context.CancelFunc) {
	if !at.r.Idempotent && at.r.Key == "" {
		return ctx, nil, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	headerTimeout := max(at.c.opts.MinHeaderTimeout, at.r.Deadline/headerTimeoutDivisor)
	s := &stallTimer{readTimeout: at.c.opts.ReadTimeout}
	s.timer = time.AfterFunc(headerTimeout, func() { cancel(errNoProgress) })
	return ctx, s, func() {
		s.timer.Stop()
		cancel(nil)
	}
}

// wrapBody returns a reader that resets the timer on each read. It also switches
// the timer from the header timeout to the read timeout.
func (s *stallTimer) wrapBody(r io.Reader) io.Reader {
	if s == nil {
		return r
	}
	s.timer.Reset(s.readTimeout)
	return &stallTimerBody{r, s}
}

// stallTimerBody is an answer's body that resets a stallTimer on each read.
type stallTimerBody struct {
	io.Reader
	timer *stallTimer
}

// Read implements io.Reader.
func (b *stallTimerBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 {
		b.timer.timer.Reset(b.timer.readTimeout)
	}
	return n, err
}
