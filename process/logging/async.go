package logging

import (
	"io"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

// DefaultQueueSize is the default number of queued lines. At some 300 bytes a line
// the queue takes about 1 MB.
const DefaultQueueSize = 4096

// Async is a log.Handler that writes JSON lines from a queue and never blocks the
// caller. It is safe for concurrent use.
//
// Without the queue, a slow or blocked reader of standard output would fill the
// pipe, and each request that writes a log line would block. Lines that find the
// queue full are dropped and counted, and a later line reports their number.
type Async struct {
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	dropped int
	closed  bool
}

// NewAsync returns an Async that writes to w and queues up to the given number of
// lines.
func NewAsync(w io.Writer, queue int) *Async {
	a := &Async{lines: make(chan []byte, queue), done: make(chan struct{})}
	go a.write(w)
	return a
}

func (a *Async) write(w io.Writer) {
	defer close(a.done)
	for line := range a.lines {
		// A failed write can't be logged either.
		_, _ = w.Write(line)
	}
}

// HandleLog queues the entry, or drops and counts it if the queue is full.
func (a *Async) HandleLog(e *log.Entry) error {
	line, err := encode(e)
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return nil
	}
	if a.dropped > 0 && len(a.lines) < cap(a.lines)-1 {
		a.reportDropped(e)
	}
	select {
	case a.lines <- line:
		metrics.Add("written", 1)
	default:
		a.dropped++
		metrics.Add("queue_full", 1)
	}
	return nil
}

// reportDropped queues a line with the number of dropped lines. The caller must
// hold a.mu.
func (a *Async) reportDropped(e *log.Entry) {
	line, err := encode(&log.Entry{
		Level: log.WarnLevel, Timestamp: e.Timestamp, Message: DroppedMessage,
		Fields: log.Fields{"message": "(queue full)", "count": a.dropped},
	})
	if err != nil {
		return
	}
	a.lines <- line
	a.dropped = 0
}

func encode(e *log.Entry) ([]byte, error) {
	var b lineBuffer
	if err := json.New(&b).HandleLog(e); err != nil {
		return nil, err
	}
	return b, nil
}

// lineBuffer is an io.Writer that collects the bytes of one line.
type lineBuffer []byte

// Write implements io.Writer.
func (b *lineBuffer) Write(p []byte) (int, error) {
	*b = append(*b, p...)
	return len(p), nil
}

// closeTimeout bounds the wait of Close for a writer that blocks. It is part of the
// time that a stopping process has left after its last request.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines and stops the writer. Later entries are ignored. Lines
// that can't be written within closeTimeout are lost.
func (a *Async) Close() {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.mu.Unlock()
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	select {
	case <-a.done:
	case <-timeout.C:
		// The line that would report this can't be written either.
		metrics.Add("unwritten", int64(len(a.lines)))
	}
}
