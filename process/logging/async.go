package logging

import (
	"io"
	"sync"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
)

// DefaultQueueSize is the number of lines that wait for a slow reader: at some 300
// bytes a line about 1 MB.
const DefaultQueueSize = 4096

// Async is a log.Handler that writes JSON lines without ever making the caller
// wait. It is safe for concurrent use.
//
// The guard is against a reader of standard output that is slow or stuck: a
// full pipe would block whoever logs, and with it requests. Lines that find
// the queue full are counted, and the next line that is written says how many.
type Async struct {
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	dropped int
	closed  bool
}

// NewAsync returns an Async over w with a queue of that many lines.
func NewAsync(w io.Writer, queue int) *Async {
	a := &Async{lines: make(chan []byte, queue), done: make(chan struct{})}
	go a.write(w)
	return a
}

func (a *Async) write(w io.Writer) {
	defer close(a.done)
	for line := range a.lines {
		// There is nobody to tell that a line could not be written.
		_, _ = w.Write(line)
	}
}

// HandleLog queues the entry, or counts it.
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
		a.sayDropped(e)
	}
	select {
	case a.lines <- line:
		counts.Add("written", 1)
	default:
		a.dropped++
		counts.Add("queue_full", 1)
	}
	return nil
}

// sayDropped queues a line with the number of lines lost. Callers hold a.mu.
func (a *Async) sayDropped(e *log.Entry) {
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

// lineBuffer collects one line.
type lineBuffer []byte

// Write implements io.Writer.
func (b *lineBuffer) Write(p []byte) (int, error) {
	*b = append(*b, p...)
	return len(p), nil
}

// Close writes what is queued and ends.
func (a *Async) Close() {
	a.mu.Lock()
	if !a.closed {
		a.closed = true
		close(a.lines)
	}
	a.mu.Unlock()
	<-a.done
}
