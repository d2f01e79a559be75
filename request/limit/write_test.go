package limit

import (
	"net/http/httptest"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

const stall = 300 * time.Millisecond

// connWriter is a ResponseWriter to a connection whose other end may take no
// byte. Deadlines end its writes as they end those of a net.Conn.
type connWriter struct {
	*httptest.ResponseRecorder
	blocked   bool
	deadlines []time.Time
	woken     chan struct{}
}

func newConnWriter() *connWriter {
	return &connWriter{ResponseRecorder: httptest.NewRecorder(), woken: make(chan struct{}, 1)}
}

func (c *connWriter) SetWriteDeadline(t time.Time) error {
	c.deadlines = append(c.deadlines, t)
	c.woken <- struct{}{}
	return nil
}

func (c *connWriter) Write(p []byte) (int, error) {
	if c.blocked {
		<-c.woken
		return 0, os.ErrDeadlineExceeded
	}
	return c.ResponseRecorder.Write(p)
}

// TestPausedProcessDoesNotExpireWrites guards against callers cut off
// because the daemon was paused between a write's deadline and its bytes.
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
		begun := time.Now()
		if err := w.Send([]byte("event")); err == nil || w.Err() == nil {
			t.Error("a write ended well that the caller took no byte of")
		}
		if took := time.Since(begun); took != stall {
			t.Errorf("ended after %v, want %v", took, stall)
		}
	})
}
