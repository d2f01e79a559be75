package drain

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

// socketPair returns a tracked server's end of a TCP connection on which bytes have
// arrived, and the caller's end.
func socketPair(t *testing.T, arrived string) (*conn, net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	inner, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close(); _ = inner.Close() })
	_, _ = io.WriteString(caller, arrived)
	return &conn{Conn: inner, t: Track(&http.Server{}, Options{})}, caller
}

func readText(c *conn) (string, error) {
	p := make([]byte, 64)
	n, err := c.Read(p)
	return string(p[:n]), err
}

// Guards against the loss of a request that arrived while the process stood still before
// it read it, until the idle time was over.
func TestRequestThatArrivedBeforeTheCloseIsRead(t *testing.T) {
	for _, arrived := range []string{"request", ""} {
		t.Run(arrived, func(t *testing.T) {
			c, _ := socketPair(t, arrived)
			c.phase, c.waiting = idle, true // about to read
			c.closeIfWaiting()
			text, err := readText(c)
			if text != arrived || (err == nil) != (arrived != "") || c.closed != (arrived == "") {
				t.Errorf("read %q, %v; closed: %v", text, err, c.closed)
			}
		})
	}
}

// Guards against the loss of a request that arrived in time and is read after the time
// limit of its header, since the process stood still.
func TestRequestThatArrivedBeforeTheDeadlineIsRead(t *testing.T) {
	c, _ := socketPair(t, "request")
	expires := time.Now().Add(time.Millisecond)
	if err := c.SetReadDeadline(expires); err != nil {
		t.Fatal(err)
	}
	for time.Now().Before(expires.Add(time.Millisecond)) {
	}
	if text, err := readText(c); text != "request" || err != nil {
		t.Errorf("read %q, %v", text, err)
	}
}

// Guards against a server that can't interrupt a read, since bytes have arrived.
func TestDeadlineInThePastEndsReads(t *testing.T) {
	c, _ := socketPair(t, "request")
	if err := c.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if text, err := readText(c); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %q, %v", text, err)
	}
}

// Guards against idle connections that are reset, which callers take for a fault.
func TestIdleConnectionIsClosedInOrder(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whole") })}
	tracker := Track(server, Options{})
	go func() { _ = tracker.Serve(l) }()
	defer server.Close()
	inner, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	c := &caller{t, inner, bufio.NewReader(inner)}
	c.send(fastRequest)
	if ok, _ := c.receive(); !ok {
		t.Fatal("not answered")
	}
	for closing := false; !closing; {
		tracker.evict(1, 0)
		tracker.mu.Lock()
		closing = len(tracker.conns) == 0
		tracker.mu.Unlock()
	}
	if _, err := c.r.ReadByte(); err != io.EOF {
		t.Errorf("%v", err)
	}
}

// Guards against a request whose first part arrives between the selection of its
// connection as idle and the close, and whose rest is still under way.
func TestPartOfARequestThatArrivedMeanwhileIsKept(t *testing.T) {
	c, _ := socketPair(t, "GET")
	c.phase = idle
	if text, err := readText(c); text != "GET" || err != nil {
		t.Fatalf("%q, %v", text, err)
	}
	c.waiting = true // as by the Read of the rest
	c.closeIfWaiting()
	if c.closing {
		t.Error("the Read of the rest is interrupted")
	}
}
