package httpapi

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/lease"
)

// listenWithSmallBuffer listens with a small receive buffer, so that most of a
// request stays in the sender's kernel until the test reads it.
func listenWithSmallBuffer(t *testing.T) net.Listener {
	t.Helper()
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 2048)
		})
	}}
	lis, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { lis.Close() })
	return lis
}

// Guards against an old order that reaches an engine after the order of a new
// lease holder. The former holder has written the order to a connection whose
// peer doesn't read. When its lease ends, it closes the adapter, but its kernel
// would still deliver the bytes. Orders are sent over lease.Dialer, so its
// connections must discard unsent bytes like plain ones.
func TestCloseDropsUnsentOrderBytes(t *testing.T) {
	leaseHeld := func() error { return nil }
	for _, c := range []struct {
		name string
		opts Options
	}{
		{"plain", Options{Timeout: time.Minute}},
		{"lease", Options{Timeout: time.Minute, Dial: lease.Dialer(leaseHeld, time.Minute)}},
	} {
		t.Run(c.name, func(t *testing.T) { testCloseDuringOrder(t, c.opts) })
	}
}

func testCloseDuringOrder(t *testing.T, o Options) {
	t.Helper()
	lis := listenWithSmallBuffer(t)
	e := NewEngine(lis.Addr().String(), o)
	written := make(chan struct{})
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
		WroteRequest: func(httptrace.WroteRequestInfo) { close(written) },
	})
	model := strings.Repeat("m", 48<<10)
	done := make(chan error, 1)
	go func() { done <- e.Order(ctx, port.Order{ID: "old", Spec: port.EngineSpec{Model: model}}) }()
	conn, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	<-written
	e.Close()
	if err := <-done; !errors.Is(err, port.ErrUnavailable) {
		t.Fatalf("order returned %v", err)
	}
	got, err := io.ReadAll(conn)
	if err == nil || len(got) >= len(model) {
		t.Fatalf("the engine received %d bytes and then %v: the complete order", len(got), err)
	}
}

func TestClosedAdapterOpensNoConnection(t *testing.T) {
	hits := 0
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { hits++ }))
	defer srv.Close()
	e := NewEngine(srv.Listener.Addr().String(), Options{})
	e.Close()
	err := e.Order(t.Context(), port.Order{ID: "o"})
	if !errors.Is(err, port.ErrUnavailable) || hits != 0 {
		t.Fatalf("error %v, %d requests arrived", err, hits)
	}
}

func TestUserTimeoutIsSet(t *testing.T) {
	srv := httptest.NewServer(http.NotFoundHandler())
	defer srv.Close()
	c := newClient("test", srv.URL, Options{UserTimeout: 1234 * time.Millisecond})
	defer c.close()
	conn, err := c.dial(t.Context(), "tcp", srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	raw, err := conn.(*trackedConn).Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var ms int
	raw.Control(func(fd uintptr) {
		ms, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	})
	if err != nil || ms != 1234 {
		t.Fatalf("TCP_USER_TIMEOUT is %d ms, %v", ms, err)
	}
}

// Guards against appends that wait for a long poll to end, because long polls of
// an idle stream use all connections to the log.
func TestLongPollsDontBlockAppends(t *testing.T) {
	polls := make(chan struct{}, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			polls <- struct{}{}
			<-r.Context().Done()
			return
		}
		io.WriteString(w, `{"offset":1}`)
	}))
	defer srv.Close()
	l := NewLog(srv.URL, Options{MaxConns: 1})
	defer l.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go l.Read(ctx, "s", 1, 1, time.Minute)
	<-polls
	if _, err := l.Append(t.Context(), "s", nil); err != nil {
		t.Fatal(err)
	}
}

func TestAnswerErrors(t *testing.T) {
	cases := []struct {
		name        string
		status      int
		body        string
		unavailable bool
	}{
		{"server error", 500, "boom", true},
		{"gateway", 502, "", true},
		{"not json", 200, "<html>", true},
		{"cut", 200, `{"size":`, true},
		{"bad request", 400, "no", false},
		{"conflict of another kind", 409, `{"error":"other"}`, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				io.WriteString(w, c.body)
			}))
			defer srv.Close()
			w := NewWeights(srv.URL, Options{})
			defer w.Close()
			_, err := w.Size(t.Context(), "m", "1")
			if err == nil || errors.Is(err, port.ErrUnavailable) != c.unavailable {
				t.Fatalf("error %v, unavailable should be %v", err, c.unavailable)
			}
		})
	}
}
