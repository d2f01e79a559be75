package h1

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/internal/linkfault"
)

// dropAll drops all segments that arrive for a connection until the returned function is
// called.
func dropAll(t *testing.T, c syscall.Conn) (restore func()) {
	t.Helper()
	set := func(drop bool) {
		if err := linkfault.SetDropArriving(c, drop); err != nil {
			t.Fatal(err)
		}
	}
	set(true)
	return func() { set(false) }
}

// requestTo sends a request that nobody answers over a connection that is open
// already.
func requestTo(t *testing.T, prepare func(server *net.TCPConn)) (server *net.TCPConn, sendErr *Error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	server = accepted.(*net.TCPConn)
	t.Cleanup(func() { _ = server.Close() })
	prepare(server)
	p := New(Options{Dial: func(context.Context, string) (net.Conn, error) { return client, nil }})
	_, err = p.Do(t.Context(), &Request{Addr: "a:1", Method: "GET", URI: "/", Host: "h", FirstByteTimeout: 50 * time.Millisecond})
	if !errors.As(err, &sendErr) || !sendErr.Written || !errors.Is(err, ErrNoProgress) {
		t.Fatalf("%+v", err)
	}
	return server, sendErr
}

// Guards against a request that a target receives long after it was given up,
// because the kernel goes on sending it when the link is back.
func TestUnacknowledgedRequestIsNotDeliveredLater(t *testing.T) {
	var restore func()
	server, err := requestTo(t, func(server *net.TCPConn) { restore = dropAll(t, server) })
	if !err.Unacknowledged {
		t.Errorf("%+v", err)
	}
	restore()
	_ = server.SetReadDeadline(time.Now().Add(time.Second)) // longer than the first retransmissions take
	if n, err := server.Read(make([]byte, 1)); n > 0 {
		t.Errorf("the target read the request, %v", err)
	}
}

// Guards against taking a request for undelivered that the kernel of a stopped
// target has acknowledged, and keeps until the target continues.
func TestRequestToAStoppedTargetIsDelivered(t *testing.T) {
	server, err := requestTo(t, func(*net.TCPConn) {})
	if err.Unacknowledged {
		t.Errorf("%+v", err)
	}
	if n, err := server.Read(make([]byte, 1)); n == 0 {
		t.Errorf("the target couldn't read the request: %v", err)
	}
}
