package h1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/internal/pipenet"
	"github.com/pomelospool/pomelospool/internal/presence"
)

// serveResponses returns a connection handler that writes the raw response
// returned by reply for the nth request. It closes the connection when reply
// returns "".
func serveResponses(reply func(n int, req *http.Request) string) func(net.Conn) {
	return func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for n := 1; ; n++ {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			text := reply(n, req)
			if text == "" {
				return
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}
}

func ok(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func newPool(n *pipenet.Net) *Pool { return New(Options{Dial: n.Dial}) }

func get(p *Pool, recent bool) (*Response, string, error) {
	reuse := ReuseIdle
	if recent {
		reuse = ReuseRecent
	}
	resp, err := p.Do(context.Background(), &Request{Addr: "a:1", Target: "t", Method: "GET", URI: "/x", Host: "h", Reuse: reuse})
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	resp.Close(0)
	return resp, string(body), err
}

// mustGet fails the test unless the response body is want.
func mustGet(t *testing.T, p *Pool, recent bool, want string) {
	t.Helper()
	if _, body, err := get(p, recent); err != nil || body != want {
		t.Fatalf("body %q, %v; want %q", body, err, want)
	}
}

// runInBubble runs a test with an in-memory network and a pool in a synctest
// bubble.
func runInBubble(t *testing.T, test func(t *testing.T, n *pipenet.Net, p *Pool)) {
	synctest.Test(t, func(t *testing.T) {
		n := &pipenet.Net{}
		p := newPool(n)
		test(t, n, p)
		p.Close()
		n.Close()
		synctest.Wait()
	})
}

func TestConnectionIsReused(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		n.ServeConn("a:1", serveResponses(func(i int, _ *http.Request) string { return ok(fmt.Sprint(i)) }))
		mustGet(t, p, false, "1")
		mustGet(t, p, false, "2")
		_ = pause.For(context.Background(), recentLimit+time.Millisecond)
		mustGet(t, p, true, "1")
		if d := n.DialCount("a:1"); d != 2 {
			t.Errorf("%d connections, want 2", d)
		}
	})
}

// Guards against a request that ends as "may have run" because it was written
// to an idle connection just as the target's idle timeout closed it.
func TestIdleConnectionIsDroppedBeforeTargetTimeout(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		n.ServeConn("a:1", serveResponses(func(i int, _ *http.Request) string { return ok(fmt.Sprint(i)) }))
		resp, err := p.Do(t.Context(), &Request{Addr: "a:1", Target: "t", Method: "GET", URI: "/", Host: "h"})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.ReadAll(resp.Body)
		resp.Close(2 * time.Second)
		_ = pause.For(context.Background(), 1850*time.Millisecond)
		mustGet(t, p, false, "1")
		if d := n.DialCount("a:1"); d != 2 {
			t.Errorf("%d connections, want 2: the stated idle time had nearly passed", d)
		}
	})
}

// Guards against a caller that gets the response to another caller's request,
// because the target responded twice to the earlier request on the connection.
func TestStrayResponseIsDiscarded(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		stray := "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 5\r\n\r\nwrong"
		matching := "HTTP/1.1 200 OK\r\nId: new\r\nContent-Length: 5\r\n\r\nright"
		n.ServeConn("a:1", serveResponses(func(int, *http.Request) string { return stray + matching }))
		resp, err := p.Do(t.Context(), &Request{
			Addr: "a:1", Target: "t", Method: "GET", URI: "/", Host: "h",
			Name: "new", Relate: relateTo("new"),
		})
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Close(0)
		if string(body) != "right" {
			t.Errorf("body %q", body)
		}
		_, _, _ = get(p, false)
		if d := n.DialCount("a:1"); d != 2 {
			t.Error("a connection that received a stray response was reused")
		}
	})
}

func TestOnlyStrayResponses(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		n.ServeConn("a:1", serveResponses(func(int, *http.Request) string { return strings.Repeat(ok("x"), 10) }))
		_, err := p.Do(t.Context(), &Request{
			Addr: "a:1", Target: "t", Method: "GET", URI: "/", Host: "h",
			Relate: func(int, http.Header) Relation { return Foreign },
		})
		if !errors.Is(err, errStray) {
			t.Errorf("error %v", err)
		}
	})
}

// A connection with bytes after a response isn't reused, since they belong to no
// request.
func TestBytesAfterResponseCloseConnection(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		n.ServeConn("a:1", serveResponses(func(i int, _ *http.Request) string { return ok(fmt.Sprint(i)) + "junk" }))
		mustGet(t, p, false, "1")
		mustGet(t, p, false, "1")
	})
}

// Guards against a truncated response that is reported as complete.
func TestTruncatedResponses(t *testing.T) {
	cases := map[string]string{
		"length":        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"within header": "HTTP/1.1 200 OK\r\nContent-Le",
		"no HTTP":       "nonsense\r\n\r\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
				n.ServeConn("a:1", func(c net.Conn) {
					_, _ = http.ReadRequest(bufio.NewReader(c))
					_, _ = io.WriteString(c, text)
					_ = c.Close()
				})
				if _, body, err := get(p, false); err == nil {
					t.Errorf("body %q without an error", body)
				}
			})
		})
	}
}

func TestResponseDelimitedByClose(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		n.ServeConn("a:1", func(c net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it")
			_ = c.Close()
		})
		resp, body, err := get(p, false)
		if err != nil || body != "all of it" || resp.Framed {
			t.Errorf("body %q, framed %v, %v", body, resp.Framed, err)
		}
	})
}

// Guards against a request that ran and is reported as "not run", because
// Error.Written is wrong.
func TestErrorReportsWritten(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		_, _, err := get(p, false)
		var e *Error
		if !errors.As(err, &e) || e.Written || !errors.Is(err, ErrConnect) {
			t.Errorf("refused connection: %v", err)
		}
		n.ServeConn("a:1", serveResponses(func(int, *http.Request) string { return "" }))
		_, _, err = get(p, false)
		if !errors.As(err, &e) || !e.Written {
			t.Errorf("closed after the request: %v", err)
		}
	})
}

// Guards against a request that runs after it was reported as not run. The
// request is aborted before a byte of it was written, and the target reads from
// the connection only afterwards. A write that continues after the abort would
// deliver the request.
func TestAbortedRequestIsNotWrittenLater(t *testing.T) {
	for _, size := range []int{1, 10 * inlineBody} {
		runInBubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
			aborted := make(chan struct{})
			read := make(chan int)
			n.ServeConn("a:1", func(c net.Conn) {
				<-aborted
				got, _ := c.Read(make([]byte, 1))
				read <- got
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err := p.Do(ctx, &Request{Addr: "a:1", Target: "t", Method: "POST", URI: "/", Host: "h", Body: make([]byte, size)})
			var e *Error
			if !errors.As(err, &e) || e.Written || !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("%d bytes: %+v", size, err)
			}
			close(aborted)
			if got := <-read; got != 0 {
				t.Errorf("%d bytes: the target read something after the request was aborted", size)
			}
		})
	}
}

// gone is a caller that has left.
type gone struct{ end context.CancelCauseFunc }

func (g gone) Check()                              { g.end(presence.ErrLeft) }
func (gone) Departure() (presence.Departure, bool) { return presence.Departure{}, true }

// Guards against requests that are sent though their contexts have ended, or their callers
// have left, and against the loss of the connections that they don't use.
func TestNothingIsSentForCallersThatLeft(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		received := 0
		n.Serve("a:1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received++ }))
		mustGet(t, p, false, "")
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		left, end := context.WithCancelCause(t.Context())
		for want, ctx := range map[error]context.Context{context.Canceled: ended, presence.ErrLeft: presence.WithCaller(left, gone{end})} {
			_, err := p.Do(ctx, &Request{Addr: "a:1", Target: "t", Method: "GET", URI: "/x", Host: "h"})
			var he *Error
			if !errors.Is(err, want) || !errors.As(err, &he) || he.Written {
				t.Errorf("error %v, want %v", err, want)
			}
		}
		mustGet(t, p, false, "")
		if received != 2 || n.DialCount("a:1") != 1 {
			t.Errorf("%d requests were received over %d connections", received, n.DialCount("a:1"))
		}
	})
}

// Guards against a request that stalls on a reused dead connection. A stream
// stalls while another request to the same target is in flight. The other
// connection becomes idle when its request ends, but may be dead, too.
func TestStallRetiresBusyConnections(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		release := make(chan struct{})
		n.ServeConn("a:1", serveResponses(func(_ int, r *http.Request) string {
			switch r.URL.Path {
			case "/busy":
				<-release
			case "/silent":
				return "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal"
			}
			return ok("whole")
		}))
		busy := make(chan error)
		go func() { busy <- getPath(p, "/busy", 0) }()
		synctest.Wait()
		_ = pause.For(context.Background(), time.Second)
		if err := getPath(p, "/silent", time.Second); !errors.Is(err, ErrNoProgress) {
			t.Errorf("a stream without progress ended with %v", err)
		}
		close(release)
		if err := <-busy; err != nil {
			t.Error(err)
		}
		if err := getPath(p, "/after", 0); err != nil {
			t.Error(err)
		}
		if d := n.DialCount("a:1"); d != 3 {
			t.Errorf("%d connections, want 3: the busy one was reused", d)
		}
	})
}

// getPath requests a path and reads the whole response.
func getPath(p *Pool, uri string, between time.Duration) error {
	resp, err := p.Do(context.Background(), &Request{Addr: "a:1", Target: "t", Method: "GET", URI: uri, Host: "h", ReadTimeout: between})
	if err != nil {
		return err
	}
	defer resp.Close(0)
	_, err = io.ReadAll(resp.Body)
	return err
}

// Guards against a target that is preferred for an idle connection which it is
// about to close.
func TestHasIdle(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		n.ServeConn("a:1", serveResponses(func(int, *http.Request) string { return ok("x") }))
		if p.HasIdle("a:1", "t", ReuseIdle) {
			t.Error("HasIdle before the first request")
		}
		mustGet(t, p, false, "x")
		if !p.HasIdle("a:1", "t", ReuseIdle) || p.HasIdle("a:1", "another", ReuseIdle) {
			t.Error("HasIdle doesn't report the idle connection, or reports it for another target")
		}
		_ = pause.For(context.Background(), defaultIdleTimeout)
		if p.HasIdle("a:1", "t", ReuseIdle) {
			t.Error("HasIdle reports a connection that was idle for too long")
		}
	})
}

// Guards against a caller that reads a response slowly and is taken for a
// stalled target.
func TestSlowCallerIsNoStall(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		n.ServeConn("a:1", serveResponses(func(int, *http.Request) string { return ok("whole") }))
		resp, err := p.Do(t.Context(), &Request{Addr: "a:1", Target: "t", Method: "GET", URI: "/", Host: "h", FirstByteTimeout: time.Second, ReadTimeout: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		_ = pause.For(context.Background(), time.Minute)
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "whole" {
			t.Errorf("%q, %v", body, err)
		}
		resp.Close(0)
	})
}

// Checks the socket options that make the kernel close a connection whose state
// a network device has dropped.
func TestUserTimeout(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := New(Options{
		UserTimeout: 1500 * time.Millisecond,
		KeepAlive:   net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
	})
	c, err := p.opts.Dial(t.Context(), l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var ms, idle int
	_ = raw.Control(func(fd uintptr) {
		ms, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		idle, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
	})
	if ms != 1500 || idle != 1 {
		t.Errorf("user timeout %d ms, keepalive after %d s", ms, idle)
	}
}

// Guards against a target that keeps processing the request of a caller that
// has disconnected, because its connection stays open.
func TestEndOfContextClosesConnection(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		closed := make(chan struct{})
		n.ServeConn("a:1", func(c net.Conn) {
			r := bufio.NewReader(c)
			_, _ = http.ReadRequest(r)
			_, _ = r.ReadByte()
			close(closed)
		})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, cancel)
		_, err := p.Do(ctx, &Request{Addr: "a:1", Target: "t", Method: "GET", URI: "/", Host: "h"})
		if !errors.Is(err, context.Canceled) {
			t.Errorf("error %v", err)
		}
		<-closed
	})
}

// A target may reject a long request before it has read the whole body and
// continue to read afterwards. It must then read the rest of that body, or
// nothing.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		n.ServeConn("a:1", func(c net.Conn) {
			r := bufio.NewReader(c)
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n")
			_, _ = io.Copy(io.Discard, req.Body)
		})
		resp, err := p.Do(t.Context(), &Request{
			Addr: "a:1", Target: "t", Method: "POST", URI: "/", Host: "h", Body: make([]byte, 10*inlineBody),
		})
		if err != nil || resp.Status != http.StatusRequestEntityTooLarge {
			t.Fatalf("%+v, %v", resp, err)
		}
		_, _ = io.ReadAll(resp.Body)
		resp.Close(0)
	})
}

// Uses TCP loopback connections, which have a file descriptor: openAndEmpty must
// detect that the peer closed an idle connection or sent bytes on it.
func TestOpenAndEmpty(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ours, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer ours.Close()
	theirs, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if !openAndEmpty(ours) {
		t.Error("an idle connection isn't open and empty")
	}
	if _, err := theirs.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	waitReadable(t, ours)
	if openAndEmpty(ours) {
		t.Error("a connection with bytes to read is open and empty")
	}
	var b [1]byte
	if _, err := ours.Read(b[:]); err != nil {
		t.Fatal(err)
	}
	_ = theirs.Close()
	waitReadable(t, ours)
	if openAndEmpty(ours) {
		t.Error("a closed connection is open and empty")
	}
}

// waitReadable waits until c has data or EOF to read. It doesn't consume the
// data.
func waitReadable(t *testing.T, c net.Conn) {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err != unix.EAGAIN
	})
	if err != nil {
		t.Fatal(err)
	}
}

func TestRetain(t *testing.T) {
	runInBubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		n.ServeConn("a:1", serveResponses(func(i int, _ *http.Request) string { return ok(fmt.Sprint(i)) }))
		mustGet(t, p, false, "1")
		p.Retain(func(key string) bool { return key == Key("a:1", "t") })
		mustGet(t, p, false, "2")
		p.Retain(func(string) bool { return false })
		mustGet(t, p, false, "1")
		p.Retire("a:1", "t")
		mustGet(t, p, false, "1")
	})
}
