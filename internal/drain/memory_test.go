package drain

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/internal/quota"
)

// memoryFixture is a tracked server on loopback that reads bodies and charges them.
type memoryFixture struct {
	t       *testing.T
	l       net.Listener
	memory  *quota.Memory
	tracker *Tracker
	runs    chan struct{} // a request runs for each that is received
}

const memoryLimit = 2 << 20

func newMemoryFixture(t *testing.T, o Options) *memoryFixture {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &memoryFixture{t: t, l: l, memory: quota.New(memoryLimit), runs: make(chan struct{}, 100)}
	o.Memory = f.memory
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		a := quota.FromContext(req.Context())
		_, err := quota.ReadBody(a, req.Body, req.ContentLength, memoryLimit)
		if a.Run() != nil || err != nil {
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		f.runs <- struct{}{}
		_, _ = io.WriteString(w, "whole")
	})}
	f.tracker = Track(server, o)
	go func() { _ = f.tracker.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return f
}

// send opens a connection and sends text.
func (f *memoryFixture) send(text string) net.Conn {
	f.t.Helper()
	c, err := net.Dial("tcp", f.l.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		f.t.Fatal(err)
	}
	return c
}

// status returns the status of the next answer, 0 if the connection was closed.
func (f *memoryFixture) status(c net.Conn) int {
	f.t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		f.t.Fatal("no answer")
	}
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// waitUsed waits until the memory in use has a property.
func (f *memoryFixture) waitUsed(what string, ok func(used int64) bool) {
	f.t.Helper()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for end := time.After(20 * time.Second); !ok(f.memory.Used()); {
		select {
		case <-tick.C:
		case <-end:
			f.t.Fatalf("%s: %d bytes are used", what, f.memory.Used())
		}
	}
}

func post(length int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", length)
}

// Guards against a caller that gets no answer while its request is refused, and against an
// ordinary request that is refused in its place.
func TestLargestBodyIsRefusedWhileItArrives(t *testing.T) {
	f := newMemoryFixture(t, Options{})
	const (
		part   = 1000 << 10
		second = 520 << 10
		older  = 300 * time.Millisecond // by which the first request has cost more
	)
	first := f.send(post(part+1) + strings.Repeat("x", part))
	f.waitUsed("the first body", func(n int64) bool { return n > part })
	<-time.After(older)
	if got := f.status(f.send(post(second) + strings.Repeat("x", second))); got != http.StatusOK {
		t.Errorf("the second body: status %d", got)
	}
	if got := f.status(first); got != http.StatusServiceUnavailable {
		t.Errorf("the first body: status %d", got)
	}
	if len(f.runs) != 1 {
		t.Errorf("%d requests ran", len(f.runs))
	}
}

// Guards against memory that stays charged for connections that are closed or idle.
func TestConnectionsReleaseTheirMemory(t *testing.T) {
	f := newMemoryFixture(t, Options{})
	c := f.send(post(100_000) + strings.Repeat("x", 100_000))
	if got := f.status(c); got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	f.waitUsed("an idle connection", func(n int64) bool { return n == quota.ConnCost })
	_ = c.Close()
	f.waitUsed("a closed connection", func(n int64) bool { return n == 0 })
}

// Guards against a header of the configuration's size that is refused, and a longer one
// that is read on and on.
func TestUnendedHeaderIsRefused(t *testing.T) {
	const limit = 4 << 10
	f := newMemoryFixture(t, Options{HeaderBytes: func() int { return limit }})
	start := "GET / HTTP/1.1\r\nHost: h\r\n"
	c := f.send(start + strings.Repeat("a: b\r\n", (limit-len(start))/6) + "\r\n")
	if got := f.status(c); got != http.StatusOK {
		t.Errorf("at the limit: status %d", got)
	}
	c = f.send(start + strings.Repeat("a: b\r\n", (limit+headerSlack)/6+1))
	if got := f.status(c); got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("over the limit: status %d", got)
	}
}

// Guards against a header timeout of the configuration that isn't applied.
func TestHeaderTimeoutMayChange(t *testing.T) {
	f := newMemoryFixture(t, Options{HeaderTimeout: func() time.Duration { return 50 * time.Millisecond }})
	c := f.send("GET / HTTP/1.1\r\nHost: h\r\n")
	if got := f.status(c); got != 0 {
		t.Errorf("status %d", got)
	}
}

// Guards against a port whose connections are all taken by requests that never end.
func TestUnendedRequestsMakeRoomForNewConnections(t *testing.T) {
	const conns = 10
	f := newMemoryFixture(t, Options{MaxConns: conns})
	for range conns {
		f.send(post(100) + "x")
	}
	f.waitUsed("the connections", func(n int64) bool { return n >= (conns-1)*quota.ConnCost })
	answered := false
	for end := time.Now().Add(20 * time.Second); !answered && time.Now().Before(end); {
		answered = f.status(f.send(post(1)+"x")) == http.StatusOK
	}
	if !answered {
		t.Error("no new connection is served")
	}
}

// Guards against bytes that a caller sends while its request runs, and that nobody counts.
func TestPipelinedBytesAreCounted(t *testing.T) {
	hold := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := &memoryFixture{t: t, l: l, memory: quota.New(memoryLimit)}
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		select {
		case <-hold:
		case <-req.Context().Done():
		}
	})}
	f.tracker = Track(server, Options{Memory: f.memory})
	go func() { _ = f.tracker.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	defer close(hold)
	const pipelined = 40_000
	for range memoryLimit / unreadShare / idleWindow {
		f.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n" + strings.Repeat("x", pipelined))
	}
	f.waitUsed("unread bytes", func(n int64) bool { return n > pipelined })
}
