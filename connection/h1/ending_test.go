package h1

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pomelospool/pomelospool/internal/sock"
)

// witnessedTarget is a target that has received a request and doesn't answer it.
type witnessedTarget struct {
	*net.TCPConn
	pool *Pool
	addr string
	cut  atomic.Bool // no connection to the target can be opened
	told chan error  // receives what ends the target's work
}

// giveUpRequest sends a request that its sender gives up once the target has received
// it. prepare is called right before. The target works on until heeds reports true.
func giveUpRequest(t *testing.T, heeds func(c *net.TCPConn, readErr error) bool, prepare func(*witnessedTarget)) (w *witnessedTarget, leftAt time.Time) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	w = &witnessedTarget{addr: l.Addr().String(), told: make(chan error, 1)}
	w.pool = New(Options{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		if w.cut.Load() {
			return nil, errors.New("the path is cut")
		}
		d := net.Dialer{Control: sock.UserTimeout(defaultUserTimeout)}
		return d.DialContext(ctx, "tcp", addr)
	}})
	t.Cleanup(w.pool.Close)
	ctx, leave := context.WithCancel(t.Context())
	failed := make(chan error, 1)
	go func() {
		_, err := w.pool.Do(ctx, &Request{Addr: w.addr, Method: "POST", URI: "/", Host: "h", Body: []byte("body")})
		failed <- err
	}()
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	w.TCPConn, _ = c.(*net.TCPConn)
	t.Cleanup(func() { _ = w.Close() })
	if _, err := w.Read(make([]byte, 1000)); err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			_, err := w.Read(make([]byte, 1))
			if heeds(w.TCPConn, err) {
				w.told <- err
				_ = w.Close()
				return
			}
			<-time.After(time.Millisecond)
		}
	}()
	prepare(w)
	leave()
	if err := <-failed; !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	return w, time.Now()
}

// awaitTold waits until the target has been told, and fails if that takes longer.
func (w *witnessedTarget) awaitTold(t *testing.T, limit time.Duration) {
	t.Helper()
	select {
	case <-w.told:
	case <-time.After(limit):
		t.Errorf("the target still works after %v, %+v", limit, w.pool.EndStats())
	}
}

// awaitEnded waits until no request is being ended any more.
func (w *witnessedTarget) awaitEnded() EndStats {
	for {
		s := w.pool.EndStats()
		if s.Confirmed+s.Late == s.Given {
			return s
		}
		<-time.After(time.Millisecond)
	}
}

// anyEnd heeds the end of the sender's data as well as a reset.
func anyEnd(_ *net.TCPConn, readErr error) bool { return readErr != nil }

// resetOnly takes the end of the sender's data for that of the request.
func resetOnly(c *net.TCPConn, _ error) bool {
	reset := false
	sock.OnDescriptor(c, func(fd int) {
		fds := []unix.PollFd{{Fd: int32(fd)}}
		_, err := unix.Poll(fds, 0)
		reset = err == nil && fds[0].Revents&(unix.POLLERR|unix.POLLHUP) != 0
	})
	return reset
}

// Guards against work for a caller that has left, at targets that heed the close of a
// connection and at those that heed only a reset.
func TestTargetIsToldThatTheRequestWasGivenUp(t *testing.T) {
	cases := []struct {
		name   string
		heeds  func(c *net.TCPConn, readErr error) bool
		resets int
	}{
		{"heeds the close", anyEnd, 0},
		{"heeds only a reset", resetOnly, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			w, _ := giveUpRequest(t, tc.heeds, func(*witnessedTarget) {})
			w.awaitTold(t, LateEnd)
			if s := w.awaitEnded(); s.Given != 1 || s.Confirmed != 1 || s.Reset != tc.resets {
				t.Errorf("%+v", s)
			}
		})
	}
}

// Guards against work that goes on after a path to the target was silent for some
// seconds: the kernel repeats the lost close only after as long again, and gave it up
// after the time limit for unacknowledged bytes.
func TestTargetIsToldOnceItsPathReturns(t *testing.T) {
	t.Parallel()
	const silence = 2500 * time.Millisecond
	var restore func()
	w, left := giveUpRequest(t, anyEnd, func(w *witnessedTarget) {
		w.cut.Store(true)
		restore = dropAll(t, w)
	})
	<-time.After(time.Until(left.Add(silence)))
	select {
	case err := <-w.told:
		t.Fatalf("told while its path was cut: %v", err)
	default:
	}
	restore()
	w.cut.Store(false)
	w.awaitTold(t, maxEndProbe+LateEnd)
	if s := w.awaitEnded(); s.Unreachable != 1 || s.Late != 1 || s.Reset != 1 {
		t.Errorf("%+v", s)
	}
}

// Guards against a reset that is lost, and not repeated, since only this connection is
// silent while others to the target work.
func TestCloseIsRepeatedOnASilentConnection(t *testing.T) {
	t.Parallel()
	var restore func()
	w, left := giveUpRequest(t, anyEnd, func(w *witnessedTarget) { restore = dropAll(t, w) })
	<-time.After(time.Until(left.Add(1200 * time.Millisecond)))
	restore()
	w.awaitTold(t, 2*time.Second) // the kernel's next repetition
}

// newWrappedPool returns a listener and a pool whose connections to it are wrapped.
func newWrappedPool(t *testing.T, wrap func(*net.TCPConn) net.Conn) (net.Listener, *Pool) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := New(Options{Dial: func(context.Context, string) (net.Conn, error) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			return nil, err
		}
		tcp, _ := c.(*net.TCPConn)
		return wrap(tcp), nil
	}})
	t.Cleanup(p.Close)
	return l, p
}

// answeredClose is a connection whose close isn't over until its reader has received what
// the target sends because of it.
type answeredClose struct {
	*net.TCPConn
	closing atomic.Bool
	read    chan struct{}
}

func (c *answeredClose) CloseWrite() error {
	c.closing.Store(true)
	err := c.TCPConn.CloseWrite()
	<-c.read
	return err
}

func (c *answeredClose) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.closing.Load() {
		close(c.read)
	}
	return n, err
}

// Guards against answers that targets end early, since the request was given up, and that
// callers get as whole ones.
func TestAnswerToTheCloseIsNoAnswer(t *testing.T) {
	cases := map[string]struct{ before, after string }{
		"no answer yet":  {"", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
		"part of a body": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", "0\r\n\r\n"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l, p := newWrappedPool(t, func(c *net.TCPConn) net.Conn {
				return &answeredClose{TCPConn: c, read: make(chan struct{})}
			})
			ctx, leave := context.WithCancel(t.Context())
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				_, _ = c.Read(make([]byte, 1000))
				_, _ = io.WriteString(c, tc.before)
				if tc.before == "" {
					leave()
				}
				_, _ = c.Read(make([]byte, 1))
				_, _ = io.WriteString(c, tc.after)
			}()
			resp, err := p.Do(ctx, &Request{Addr: l.Addr().String(), Method: "POST", URI: "/", Host: "h", Body: []byte("body")})
			if tc.before != "" {
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.ReadFull(resp.Body, make([]byte, 4)); err != nil {
					t.Fatal(err)
				}
				leave()
				_, err = resp.Body.Read(make([]byte, 1))
				resp.Close(0)
			}
			if !errors.Is(err, context.Canceled) {
				t.Errorf("error %v, want the caller's", err)
			}
		})
	}
}

// countedConn counts the bytes that are read.
type countedConn struct {
	*net.TCPConn
	read *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func (c countedConn) WriteTo(w io.Writer) (int64, error) {
	n, err := c.TCPConn.WriteTo(w)
	c.read.Add(n)
	return n, err
}

// Guards against a link that is used up by the rest of a large answer, which nobody needs.
func TestRestOfAnAnswerIsNotRead(t *testing.T) {
	var read atomic.Int64
	l, p := newWrappedPool(t, func(c *net.TCPConn) net.Conn { return countedConn{TCPConn: c, read: &read} })
	ended := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n")
		for err == nil {
			_, err = c.Write(make([]byte, 1<<16))
		}
		ended <- err
	}()
	resp, err := p.Do(t.Context(), &Request{Addr: l.Addr().String(), Method: "POST", URI: "/", Host: "h", Body: []byte("body")})
	if err != nil {
		t.Fatal(err)
	}
	before := read.Load()
	resp.Close(0)
	<-ended
	if n := read.Load() - before; n > maxEndBytes {
		t.Errorf("%d bytes were read after the request was given up", n)
	}
}

// Guards against connections that are kept for targets that never confirm, beyond a
// limit, and after the pool was closed.
func TestEndingConnectionsAreBounded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := New(Options{})
	p.endings.n = maxEndings
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	half, _ := client.(halfCloser)
	p.endings.await(half, "a")
	if _, err := server.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the connection isn't closed at once: %v", err)
	}
	if s := p.EndStats(); s.Untracked != 1 || s.Given != 1 {
		t.Errorf("%+v", s)
	}
}
