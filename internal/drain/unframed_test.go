package drain

import (
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
)

// serveOld serves handler over TCP and returns what a caller that speaks HTTP/1.0 reads.
func serveOld(t *testing.T, handler http.HandlerFunc) (string, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	tracker := Track(server, Options{})
	go func() { _ = tracker.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, "GET / HTTP/1.0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(c)
	return string(text), err
}

// part writes a part of an answer without a length.
func part(w http.ResponseWriter) {
	_, _ = io.WriteString(w, "data: 1\n\n")
	_ = http.NewResponseController(w).Flush()
}

// Guards against an aborted answer that looks complete, since callers of HTTP/1.0 take
// the end of the connection for the end of the answer.
func TestAbortedAnswerOfHTTP10IsReset(t *testing.T) {
	text, err := serveOld(t, func(w http.ResponseWriter, _ *http.Request) {
		part(w)
		panic(http.ErrAbortHandler)
	})
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("answer %q ended with %v", text, err)
	}
}

// Guards against an answer that a stop ends early and that looks complete for the same
// reason.
func TestCutAnswerOfHTTP10IsReset(t *testing.T) {
	text, err := serveOld(t, func(w http.ResponseWriter, req *http.Request) {
		part(w)
		_ = req.Context().Value(http.ServerContextKey).(*http.Server).Close()
		<-req.Context().Done()
	})
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("answer %q ended with %v", text, err)
	}
}

// Guards against complete answers that are reset.
func TestWholeAnswerOfHTTP10EndsInOrder(t *testing.T) {
	text, err := serveOld(t, func(w http.ResponseWriter, _ *http.Request) {
		part(w)
		part(w)
	})
	if err != nil || len(text) == 0 {
		t.Errorf("answer %q ended with %v", text, err)
	}
}
