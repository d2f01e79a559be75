package drain

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/internal/pipenet"
)

// lateBy is how late connections of a lateListener return what they have read.
const lateBy = 20 * time.Millisecond

// lateListener accepts connections whose Read returns late, as that of a process which
// gets its processor late.
type lateListener struct{ net.Listener }

func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return lateConn{c}, err
}

type lateConn struct{ net.Conn }

func (c lateConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		time.Sleep(lateBy)
	}
	return n, err
}

// fixture is a tracked server on an in-memory network. Requests for /slow take slow.
type fixture struct {
	t       *testing.T
	net     pipenet.Net
	l       net.Listener
	tracker *Tracker
	runs    atomic.Int64
	stopped chan error
}

const slow = time.Second

func newFixture(t *testing.T, o Options) *fixture {
	f := &fixture{t: t, stopped: make(chan error, 1)}
	f.l = f.net.Listen("server")
	server := &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		f.runs.Add(1)
		if req.URL.Path == "/slow" {
			time.Sleep(slow)
		}
		_, _ = io.WriteString(w, "whole")
	})}
	f.tracker = Track(server, o)
	go func() { _ = f.tracker.Serve(lateListener{f.l}) }()
	return f
}

func (f *fixture) stop() {
	go func() { f.stopped <- f.tracker.Shutdown(f.t.Context(), f.l) }()
}

// caller is a connection to a fixture's server.
type caller struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func (f *fixture) dial() *caller {
	c, err := f.net.Dial(f.t.Context(), "server")
	if err != nil {
		f.t.Fatal(err)
	}
	return &caller{f.t, c, bufio.NewReader(c)}
}

const (
	fastRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	slowRequest = "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n"
)

func (c *caller) send(text string) { _, _ = io.WriteString(c.conn, text) }

// receive reads an answer. It returns whether the answer is complete, and whether it
// asks to close the connection.
func (c *caller) receive() (ok, closes bool) {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return false, false
	}
	body, err := io.ReadAll(resp.Body)
	return err == nil && string(body) == "whole", resp.Close
}

// isOpen reports whether the server hasn't closed the connection.
func (c *caller) isOpen() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	defer c.conn.SetReadDeadline(time.Time{})
	_, err := c.r.Peek(1)
	return err != io.EOF
}

// Guards against requests that a planned stop reads and doesn't answer, since their
// connections were accepted just before it.
func TestRequestOfNewConnectionIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Options{})
		c := f.dial()
		synctest.Wait()
		f.stop()
		time.Sleep(100 * time.Millisecond)
		c.send(fastRequest)
		if ok, closes := c.receive(); !ok || !closes {
			t.Errorf("answered: %v, connection closed: %v", ok, closes)
		}
		if err := <-f.stopped; err != nil {
			t.Error(err)
		}
	})
}

// Guards against a stop that waits for callers that connect and send nothing.
func TestSilentConnectionEndsTheWait(t *testing.T) {
	for name, sent := range map[string]string{"nothing": "", "part of a header": "GET / HTT"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, Options{})
				f.dial().send(sent)
				synctest.Wait()
				begun := time.Now()
				f.stop()
				if err := <-f.stopped; err != nil {
					t.Error(err)
				}
				if took := time.Since(begun); took > maxNewWait+100*time.Millisecond {
					t.Errorf("took %v", took)
				}
			})
		})
	}
}

// Guards against requests that a planned stop reads, runs and doesn't answer, since
// their connections count as idle until their headers are parsed.
func TestRequestReadDuringStopIsAnswered(t *testing.T) {
	for name, otherOpen := range map[string]bool{"another request is open": true, "alone": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, Options{})
				kept, other := f.dial(), f.dial()
				kept.send(fastRequest)
				kept.receive()
				if otherOpen {
					other.send(slowRequest)
					time.Sleep(2 * lateBy)
				} else {
					_ = other.conn.Close()
				}
				kept.send(fastRequest)
				f.stop()
				if ok, closes := kept.receive(); !ok || !closes {
					t.Errorf("answered: %v, connection closed: %v", ok, closes)
				}
				if ok, _ := other.receive(); ok != otherOpen {
					t.Errorf("the other request: answered: %v", ok)
				}
				if err := <-f.stopped; err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// Guards against callers in doubt whether a request ran that they sent on an idle
// connection while the server was still busy with others.
func TestIdleConnectionsStayOpenWhileRequestsAreOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Options{})
		kept, other := f.dial(), f.dial()
		kept.send(fastRequest)
		kept.receive()
		begun := time.Now()
		other.send(slowRequest)
		time.Sleep(2 * lateBy)
		f.stop()
		time.Sleep(slow / 2)
		kept.send(fastRequest)
		if ok, closes := kept.receive(); !ok || !closes {
			t.Errorf("answered: %v, connection closed: %v", ok, closes)
		}
		if ok, _ := other.receive(); !ok {
			t.Error("the open request wasn't answered")
		}
		<-f.stopped
		if took := time.Since(begun); took > slow+3*lateBy {
			t.Errorf("stopped after %v", took)
		}
	})
}

// Guards against a pipelined request whose connection is closed after the answer to the
// one before it.
func TestPipelinedRequestsAreAnswered(t *testing.T) {
	cases := map[string]func(c *caller){
		"read at once": func(c *caller) { go c.send(slowRequest + fastRequest) },
		"read by the handler's read ahead": func(c *caller) {
			go c.send(slowRequest)
			time.Sleep(slow / 2)
			go c.send(fastRequest)
		},
	}
	for name, send := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, Options{})
				c := f.dial()
				send(c)
				time.Sleep(2 * lateBy)
				// The first answer was begun before the stop, so it doesn't close.
				f.stop()
				for i := range 2 {
					if ok, _ := c.receive(); !ok {
						t.Errorf("request %d wasn't answered", i)
					}
				}
				<-f.stopped
			})
		})
	}
}

// Guards against a pipelined request of which only a part has arrived when the answer to
// the one before it ends: the connection counts as idle, and is closed.
func TestPartOfAPipelinedRequestKeepsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Options{})
		c := f.dial()
		c.send(slowRequest)
		time.Sleep(slow / 2)
		const part = 1 // byte, as much as net/http reads ahead
		c.send(fastRequest[:part])
		time.Sleep(2 * lateBy)
		f.stop()
		if ok, _ := c.receive(); !ok {
			t.Error("the first request wasn't answered")
		}
		time.Sleep(maxNewWait / 2)
		go c.send(fastRequest[part:])
		if ok, closes := c.receive(); !ok || !closes {
			t.Errorf("the second request: answered: %v, connection closed: %v", ok, closes)
		}
		<-f.stopped
	})
}

// Guards against requests that are cut when a stop's time is over though they were the
// only ones, and against a stop that doesn't end.
func TestStopEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, Options{})
		c := f.dial()
		c.send(slowRequest)
		time.Sleep(2 * lateBy)
		ctx, cancel := context.WithTimeout(t.Context(), slow/2)
		defer cancel()
		begun := time.Now()
		if err := f.tracker.Shutdown(ctx, f.l); err == nil || time.Since(begun) != slow/2 {
			t.Errorf("after %v: %v", time.Since(begun), err)
		}
		c.receive()
	})
}
