package limit

import (
	"net/http/httptest"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

const stall = 300 * time.Millisecond

// connWriter is a ResponseWriter for a connection whose peer may accept no
// bytes. Deadlines end its writes as those of a net.Conn do.
type connWriter struct {
	*httptest.ResponseRecorder
	blocked     bool
	deadlines   []time.Time
	deadlineSet chan struct{}
}

func newConnWriter() *connWriter {
	return &connWriter{ResponseRecorder: httptest.NewRecorder(), deadlineSet: make(chan struct{}, 1)}
}

func (c *connWriter) SetWriteDeadline(t time.Time) error {
	c.deadlines = append(c.deadlines, t)
	c.deadlineSet <- struct{}{}
	return nil
}

func (c *connWriter) Write(p []byte) (int, error) {
	if c.blocked {
		<-c.deadlineSet
		return 0, os.ErrDeadlineExceeded
	}
	return c.ResponseRecorder.Write(p)
}

// Guards against cutting off callers because the daemon was paused between
// setting a write deadline and writing.
func TestPausedProcessDoesNotExpireWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newConnWriter()
		w := NewWriter(c, stall)
		if err := w.Send([]byte("event")); err != nil {
			t.Fatal(err)
		}
		if len(c.deadlines) > 0 {
			t.Errorf("deadlines %v on the connection of a caller that reads", c.deadlines)
		}
	})
}

func TestWriteToStalledCallerFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newConnWriter()
		c.blocked = true
		w := NewWriter(c, stall)
		start := time.Now()
		if err := w.Send([]byte("event")); err == nil || w.Err() == nil {
			t.Error("a write succeeded although the caller accepted no bytes")
		}
		if took := time.Since(start); took != stall {
			t.Errorf("ended after %v, want %v", took, stall)
		}
	})
}
