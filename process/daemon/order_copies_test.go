package daemon

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// repeatingEngine rejects the first request with a status and accepts the others. It
// repeats the rejection on its connection, before the next answer.
func repeatingEngine(t *testing.T, status int, body string) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	var requests atomic.Int32
	serve := func(c net.Conn) {
		defer c.Close()
		r, rejection := bufio.NewReader(c), ""
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			text := rejection + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
			if requests.Add(1) == 1 {
				rejection = fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
				text = rejection
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

// Guards against a late copy of an engine's answer to one order that is taken for the
// answer to the next one: the engine carries out an order that is recorded as rejected.
func TestRepeatedAnswerToAnOrderIsNoAnswerToTheNext(t *testing.T) {
	for name, tc := range map[string]struct {
		status int
		body   string
	}{
		"busy":     {http.StatusConflict, `{"error":"busy"}`},
		"fenced":   {http.StatusConflict, `{"error":"fenced"}`},
		"rejected": {http.StatusBadRequest, `{"error":"no such model"}`},
	} {
		t.Run(name, func(t *testing.T) {
			api := connectEngine(repeatingEngine(t, tc.status, tc.body), func() error { return nil }, time.Second)
			if c, ok := api.(io.Closer); ok {
				defer c.Close()
			}
			if err := api.Order(t.Context(), port.Order{ID: "first", Fence: 1}); err == nil || errors.Is(err, port.ErrUnavailable) {
				t.Fatalf("the first order: %v", err)
			}
			if err := api.Order(t.Context(), port.Order{ID: "second", Fence: 1}); err != nil {
				t.Errorf("the second order, which the engine accepted: %v", err)
			}
		})
	}
}
