package h1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
)

// largeBody is the size in bytes of a request that the kernels don't buffer as a whole.
const largeBody = 16 << 20

// earlyAnswer is the start of an answer that ends with its connection.
const earlyAnswer = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of the"

// writeSignal is a connection that signals the end of its first write.
type writeSignal struct {
	*net.TCPConn
	ended chan error
}

func (c *writeSignal) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	select {
	case c.ended <- err:
	default:
	}
	return n, err
}

// answerEarly sends a request with a large body over TCP to a target that answers once
// it has read a part of it. It returns both ends of the connection.
func answerEarly(t *testing.T) (*Response, *writeSignal, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	raw, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	server, client := accepted.(*net.TCPConn), &writeSignal{TCPConn: raw.(*net.TCPConn), ended: make(chan error, 1)}
	t.Cleanup(func() { _ = server.Close() })
	go func() {
		r := bufio.NewReader(server)
		if req, err := http.ReadRequest(r); err == nil {
			_, _ = io.CopyN(io.Discard, req.Body, 1000)
			_, _ = io.WriteString(server, earlyAnswer)
		}
	}()
	p := New(Options{Dial: func(context.Context, string) (net.Conn, error) { return client, nil }})
	resp, err := p.Do(t.Context(), &Request{Addr: "a:1", Method: "POST", URI: "/", Host: "h", Body: make([]byte, largeBody)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { resp.Close(0) })
	return resp, client, server
}

// reset resets the connection of the target.
func reset(t *testing.T, server *net.TCPConn) {
	t.Helper()
	if err := server.SetLinger(0); err != nil {
		t.Fatal(err)
	}
	if err := server.Close(); err != nil {
		t.Fatal(err)
	}
}

// Guards against half of an answer that is taken for whole, since the kernel reports the
// reset of the connection to the write of the request only.
func TestResetIsReportedToTheWriteOnly(t *testing.T) {
	resp, client, server := answerEarly(t)
	reset(t, server)
	if err := <-client.ended; !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("the write ended with %v", err)
	}
	for range 2 {
		if body, err := io.ReadAll(resp.Body); !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("body %q, %v", body, err)
		}
	}
}

// Guards against answers that are discarded, or wait for the end of the write, though
// their end has arrived: a target needn't read the whole request.
func TestAnswerBeforeBodyIsReadEndsWithItsConnection(t *testing.T) {
	for name, after := range map[string]func(t *testing.T, client *writeSignal, server *net.TCPConn){
		"open for reading": func(*testing.T, *writeSignal, *net.TCPConn) {},
		"reset after its end": func(t *testing.T, client *writeSignal, server *net.TCPConn) {
			reset(t, server)
			<-client.ended
		},
	} {
		t.Run(name, func(t *testing.T) {
			resp, client, server := answerEarly(t)
			if err := server.CloseWrite(); err != nil {
				t.Fatal(err)
			}
			after(t, client, server)
			if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "half of the" {
				t.Errorf("body %q, %v", body, err)
			}
		})
	}
}
