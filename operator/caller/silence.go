package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"time"
)

// A daemon that is paused, or a connection that something between the two ends
// has lost track of, gives no error: the request would wait for its whole
// deadline. So an attempt that may be repeated ends when nothing came for a
// while, and the next one goes to another address over a new connection. What
// is cut off this way ran in vain at most; a key keeps it from running twice.
const (
	firstLeast   = 5 * time.Second // for an answer's header, or a third of the deadline
	firstShare   = 3
	betweenReads = 5 * time.Second // daemons notice a silent target within half of it
)

// keepAlive finds a path that drops everything, within about four seconds,
// also for requests that can't be repeated.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}

var errSilent = errors.New("nothing came for too long")

// watch ends an attempt that makes no progress.
type watch struct {
	timer   *time.Timer
	between time.Duration
}

// watchSilence returns a context that ends with errSilent when nothing comes.
// Requests that can't be repeated are left to wait: an end wouldn't help them.
func (t *try) watchSilence(ctx context.Context) (context.Context, *watch, context.CancelFunc) {
	if !t.r.Idempotent && t.r.Key == "" {
		return ctx, nil, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	first := max(t.c.opts.MinHeaderTimeout, t.r.Deadline/firstShare)
	w := &watch{between: t.c.opts.ReadTimeout}
	w.timer = time.AfterFunc(first, func() { cancel(errSilent) })
	return ctx, w, func() {
		w.timer.Stop()
		cancel(nil)
	}
}

// body tells the watch of each read.
func (w *watch) body(r io.Reader) io.Reader {
	if w == nil {
		return r
	}
	w.timer.Reset(w.between)
	return &watchedBody{r, w}
}

type watchedBody struct {
	io.Reader
	w *watch
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if n > 0 {
		b.w.timer.Reset(b.w.between)
	}
	return n, err
}
