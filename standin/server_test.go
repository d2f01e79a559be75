package standin

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// startCountingServer starts a server and returns it with the number of requests
// that its handler has served.
func startCountingServer(t *testing.T) (*Server, *atomic.Int64) {
	t.Helper()
	var runs atomic.Int64
	s, err := Serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.WriteHeader(http.StatusNoContent)
	}), "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s, &runs
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// roundTrip sends one request over c and reads the answer.
func roundTrip(t *testing.T, c net.Conn) {
	t.Helper()
	io.WriteString(c, request)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusNoContent {
		t.Fatalf("answer %v, %v", resp, err)
	}
}

// Requests over a stalled keep-alive connection must get no answer, and must not
// reach the handler, while a new connection is served.
func TestStall(t *testing.T) {
	s, runs := startCountingServer(t)
	old := dial(t, s)
	roundTrip(t, old)
	if n := s.Stall(context.Background()); n != 1 {
		t.Fatalf("%d connections stalled", n)
	}
	io.WriteString(old, request)
	roundTrip(t, dial(t, s))
	s.Close()
	rest, _ := io.ReadAll(old)
	if len(rest) != 0 || runs.Load() != 2 {
		t.Fatalf("the stalled connection sent %q, %d runs", rest, runs.Load())
	}
}

func TestCrash(t *testing.T) {
	s, _ := startCountingServer(t)
	c := dial(t, s)
	roundTrip(t, c)
	s.Crash()
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, io.EOF) {
		t.Fatalf("read after the crash: %v, want a reset", err)
	}
	if _, err := net.Dial("tcp", s.Addr()); err == nil {
		t.Fatal("still listening")
	}
	restarted, err := Serve(http.NotFoundHandler(), s.Addr())
	if err != nil {
		t.Fatalf("restart at the same address: %v", err)
	}
	restarted.Close()
}

func TestSwapper(t *testing.T) {
	var s Swapper[string]
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if got := s.Swap(ctx, "own"); got != "own" {
		t.Fatalf("got %q", got)
	}
	first := make(chan string, 1)
	go func() { first <- s.Swap(t.Context(), "a") }()
	b := s.Swap(t.Context(), "b")
	if a := <-first; a != "b" || b != "a" {
		t.Fatalf("a got %q, b got %q", a, b)
	}
}
