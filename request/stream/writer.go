package stream

import (
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/request/limit"
)

var errClosed = errors.New("stream writer closed")

// Writer writes events to a caller. It buffers about maxBytes bytes and then
// blocks the target's side. A caller that reads nothing for the write timeout
// is disconnected.
//
// Without the limit, a slow caller would either occupy the engine's slot for as
// long as it takes, or make the daemon's memory grow with each unread token.
// Two buffers of half the limit each are swapped: one is filled while the other
// is written, so the limit holds however slowly the caller reads.
type Writer struct {
	dst     *limit.Writer
	maxFill int
	onError func(error)
	stopped chan struct{}

	mu     sync.Mutex
	cond   *sync.Cond
	fill   []byte
	closed bool
	err    error
}

// NewWriter returns a Writer to dst, whose header must already be set. It calls
// onError once if writing to the caller fails.
func NewWriter(dst http.ResponseWriter, maxBytes int, timeout time.Duration, onError func(error)) *Writer {
	w := &Writer{
		dst:     limit.NewWriter(dst, timeout),
		maxFill: maxBytes / 2,
		onError: onError,
		stopped: make(chan struct{}),
	}
	w.cond = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Event adds one event. It blocks while the buffer is full.
func (w *Writer) Event(data []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.err == nil && !w.closed && len(w.fill) > 0 && len(w.fill)+len(data) > w.maxFill {
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

// Close writes the buffered events and stops the Writer. It must be called
// before the HTTP handler returns.
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
	var free []byte
	for {
		buf := w.swap(free)
		if buf == nil {
			return
		}
		if err := w.dst.Send(buf); err != nil {
			w.fail(err)
			return
		}
		free = buf[:0]
	}
}

// swap waits for events and returns them. It returns nil once the Writer is
// closed and empty.
func (w *Writer) swap(free []byte) []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.fill) == 0 && !w.closed {
		w.cond.Wait()
	}
	if len(w.fill) == 0 {
		return nil
	}
	buf := w.fill
	w.fill = free
	w.cond.Broadcast()
	return buf
}

func (w *Writer) fail(err error) {
	w.mu.Lock()
	w.err = err
	w.cond.Broadcast()
	w.mu.Unlock()
	w.onError(err)
}
