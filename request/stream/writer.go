package stream

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/request/limit"
)

var errClosed = errors.New("stream writer closed")

// Writer writes events to a caller. It holds at most about maxBytes bytes, then
// makes the target wait; a caller that takes nothing for the write timeout is
// cut off.
//
// Without it one slow caller would either hold the engine's slot for as long
// as it pleases, or let the daemon's memory grow with each token it doesn't
// read. Two buffers of half the limit swap places: one fills while the other
// is written, so the bound holds whatever the caller does.
type Writer struct {
	dst     *limit.Writer
	limit   int
	gone    func(error)
	stopped chan struct{}

	mu     sync.Mutex
	cond   *sync.Cond
	fill   []byte
	closed bool
	err    error
}

// NewWriter returns a Writer to dst, whose header is already set. It calls
// gone once when the caller can't be written to.
func NewWriter(dst http.ResponseWriter, maxBytes int, timeout time.Duration, gone func(error)) *Writer {
	w := &Writer{
		dst:     limit.NewWriter(dst, timeout),
		limit:   maxBytes / 2,
		gone:    gone,
		stopped: make(chan struct{}),
	}
	w.cond = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Event adds one event and waits while the buffer is full.
func (w *Writer) Event(data []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.err == nil && !w.closed && len(w.fill) > 0 && len(w.fill)+len(data) > w.limit {
		w.cond.Wait()
	}
	if w.err != nil {
		return w.err
	}
	if w.closed {
		return errClosed
	}
	w.fill = append(w.fill, "data: "...)
	w.fill = append(w.fill, data...)
	w.fill = append(w.fill, "\n\n"...)
	w.cond.Broadcast()
	return nil
}

// Close writes what is held and ends the Writer. It must be called before the
// HTTP handler returns.
func (w *Writer) Close() error {
	w.mu.Lock()
	w.closed = true
	w.cond.Broadcast()
	w.mu.Unlock()
	<-w.stopped
	return w.err
}

func (w *Writer) run() {
	defer close(w.stopped)
	var spare []byte
	for {
		buf := w.swap(spare)
		if buf == nil {
			return
		}
		if err := w.dst.Send(buf); err != nil {
			w.fail(err)
			return
		}
		spare = buf[:0]
	}
}

// swap waits for events and returns them, nil at the end.
func (w *Writer) swap(spare []byte) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.fill) == 0 && !w.closed {
		w.cond.Wait()
	}
	if len(w.fill) == 0 {
		return nil
	}
	buf := w.fill
	w.fill = spare
	w.cond.Broadcast()
	return buf
}

func (w *Writer) fail(err error) {
	w.mu.Lock()
	w.err = err
	w.cond.Broadcast()
	w.mu.Unlock()
	w.gone(err)
}
