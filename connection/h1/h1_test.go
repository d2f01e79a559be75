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
)

// answer is a raw server: it reads requests and writes what reply gives.
func answer(reply func(n int, req *http.Request) string) func(net.Conn) {
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

func pool(n *pipenet.Net) *Pool { return New(Options{Dial: n.Dial}) }

func get(p *Pool, fresh bool) (*Response, string, error) {
	reuse := ReuseIdle
	if fresh {
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

// mustGet fails the test unless the answer is as wanted.
func mustGet(t *testing.T, p *Pool, fresh bool, want string) {
	t.Helper()
	if _, body, err := get(p, fresh); err != nil || body != want {
		t.Fatalf("body %q, %v; want %q", body, err, want)
	}
}

func bubble(t *testing.T, test func(t *testing.T, n *pipenet.Net, p *Pool)) {
	synctest.Test(t, func(t *testing.T) {
		n := &pipenet.Net{}
		p := pool(n)
		test(t, n, p)
		p.Close()
		n.Close()
		synctest.Wait()
	})
}

func TestConnectionIsUsedAgain(t *testing.T) {
	bubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		n.ServeConn("a:1", answer(func(i int, _ *http.Request) string { return ok(fmt.Sprint(i)) }))
		mustGet(t, p, false, "1")
		mustGet(t, p, false, "2")
		_ = pause.For(context.Background(), freshFor+time.Millisecond)
		mustGet(t, p, true, "1")
		if d := n.DialCount("a:1"); d != 2 {
			t.Errorf("%d connections, want 2", d)
		}
	})
}

// A confirmation ends as "may have run". It was written to a connection that
// had been idle for long, just as the target closed it.
func TestIdleConnectionsAreGivenUpBeforeTheTargetDoes(t *testing.T) {
	bubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		n.ServeConn("a:1", answer(func(i int, _ *http.Request) string { return ok(fmt.Sprint(i)) }))
		resp, err := p.Do(t.Context(), &Request{Addr: "a:1", Target: "t", Method: "GET", URI: "/", Host: "h"})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.ReadAll(resp.Body)
		resp.Close(2 * time.Second)
		_ = pause.For(context.Background(), 1850*time.Millisecond)
		mustGet(t, p, false, "1")
		if d := n.DialCount("a:1"); d != 2 {
			t.Errorf("%d connections, want 2: the stated idle time was nearly over", d)
		}
	})
}

// A caller gets what another one asked. The target answered an earlier request
// twice, and the second answer stood where the next one was expected.
func TestStrayAnswerIsReadPast(t *testing.T) {
	bubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		stray := "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 5\r\n\r\nwrong"
		mine := "HTTP/1.1 200 OK\r\nId: new\r\nContent-Length: 5\r\n\r\nright"
		n.ServeConn("a:1", answer(func(int, *http.Request) string { return stray + mine }))
		resp, err := p.Do(t.Context(), &Request{
			Addr: "a:1", Target: "t", Method: "GET", URI: "/", Host: "h",
			Matches: func(_ int, h http.Header) bool { return h.Get("Id") == "new" },
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
			t.Error("a connection on which a stray answer came was used again")
		}
	})
}

func TestOnlyStrayAnswers(t *testing.T) {
	bubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		n.ServeConn("a:1", answer(func(int, *http.Request) string { return strings.Repeat(ok("x"), 10) }))
		_, err := p.Do(t.Context(), &Request{
			Addr: "a:1", Target: "t", Method: "GET", URI: "/", Host: "h",
			Matches: func(int, http.Header) bool { return false },
		})
		if !errors.Is(err, errStray) {
			t.Errorf("error %v", err)
		}
	})
}

// Bytes that follow an answer belong to no request; the connection ends.
func TestBytesAfterAnAnswerEndTheConnection(t *testing.T) {
	bubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		n.ServeConn("a:1", answer(func(i int, _ *http.Request) string { return ok(fmt.Sprint(i)) + "junk" }))
		mustGet(t, p, false, "1")
		mustGet(t, p, false, "1")
	})
}

// A cut answer must not look whole.
func TestCutAnswers(t *testing.T) {
	cases := map[string]string{
		"length":        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"within header": "HTTP/1.1 200 OK\r\nContent-Le",
		"no HTTP":       "nonsense\r\n\r\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
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

func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	bubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
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

// "Not run" is said of a request that ran, if it is wrong about what was
// written.
func TestWrittenOrNot(t *testing.T) {
	bubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		_, _, err := get(p, false)
		var e *Error
		if !errors.As(err, &e) || e.Written || !errors.Is(err, ErrConnect) {
			t.Errorf("refused connection: %v", err)
		}
		n.ServeConn("a:1", answer(func(int, *http.Request) string { return "" }))
		_, _, err = get(p, false)
		if !errors.As(err, &e) || !e.Written {
			t.Errorf("closed after the request: %v", err)
		}
	})
}

// A request is given up before a byte of it was written, and reported as not
// run. The target reads from the connection a moment later. A write that went
// on after the report would have it run what the caller was told didn't run.
func TestGivenUpRequestIsNotWrittenLater(t *testing.T) {
	for _, size := range []int{1, 10 * inlineBody} {
		bubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
			given := make(chan struct{})
			read := make(chan int)
			n.ServeConn("a:1", func(c net.Conn) {
				<-given
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
			close(given)
			if got := <-read; got != 0 {
				t.Errorf("%d bytes: the target read something after the request was given up", size)
			}
		})
	}
}

// A stream goes silent in the middle while another request to the same target
// is under way. When that one ends its connection is idle, and may be as dead:
// the next caller's request would stall on it.
func TestSilenceRetiresBusyConnectionsToo(t *testing.T) {
	bubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		release := make(chan struct{})
		n.ServeConn("a:1", answer(func(_ int, r *http.Request) string {
			switch r.URL.Path {
			case "/busy":
				<-release
			case "/silent":
				return "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal"
			}
			return ok("whole")
		}))
		busy := make(chan error)
		go func() { busy <- get1(p, "/busy", 0) }()
		synctest.Wait()
		_ = pause.For(context.Background(), time.Second)
		if err := get1(p, "/silent", time.Second); !errors.Is(err, ErrNoProgress) {
			t.Errorf("a stream without progress ended with %v", err)
		}
		close(release)
		if err := <-busy; err != nil {
			t.Error(err)
		}
		if err := get1(p, "/after", 0); err != nil {
			t.Error(err)
		}
		if d := n.DialCount("a:1"); d != 3 {
			t.Errorf("%d connections, want 3: the busy one took another request", d)
		}
	})
}

// get1 asks for a path and reads the whole answer.
func get1(p *Pool, uri string, between time.Duration) error {
	resp, err := p.Do(context.Background(), &Request{Addr: "a:1", Target: "t", Method: "GET", URI: uri, Host: "h", ReadTimeout: between})
	if err != nil {
		return err
	}
	defer resp.Close(0)
	_, err = io.ReadAll(resp.Body)
	return err
}

// A target is preferred for a connection that it closes in the next moment.
func TestWarm(t *testing.T) {
	bubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		n.ServeConn("a:1", answer(func(int, *http.Request) string { return ok("x") }))
		if p.HasIdle("a:1", "t", ReuseIdle) {
			t.Error("warm before the first request")
		}
		mustGet(t, p, false, "x")
		if !p.HasIdle("a:1", "t", ReuseIdle) || p.HasIdle("a:1", "another", ReuseIdle) {
			t.Error("an idle connection isn't known, or to whom it goes")
		}
		_ = pause.For(context.Background(), defaultIdle)
		if p.HasIdle("a:1", "t", ReuseIdle) {
			t.Error("warm with a connection that was idle for long")
		}
	})
}

// A caller that reads a long answer slowly is no silent target.
func TestSlowReaderIsNoSilence(t *testing.T) {
	bubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		n.ServeConn("a:1", answer(func(int, *http.Request) string { return ok("whole") }))
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

// The kernel must give up connections that a device between has forgotten;
// these options are what tells it to.
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

// A caller leaves; the target works on for nobody unless its connection ends.
func TestEndOfContextEndsTheConnection(t *testing.T) {
	bubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
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

// A target rejects a long request before it has read all of it and reads on
// later: it must get the rest of that body, or nothing.
func TestAnswerBeforeTheBodyIsRead(t *testing.T) {
	bubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
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

// Go's loopback connections have a descriptor, so that an idle connection that
// the target has closed, or sent bytes on, is found out before a request is
// written to it.
func TestQuiet(t *testing.T) {
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
	if !quiet(ours) {
		t.Error("an idle connection isn't quiet")
	}
	if _, err := theirs.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	waitReadable(t, ours)
	if quiet(ours) {
		t.Error("a connection with bytes to read is quiet")
	}
	var b [1]byte
	if _, err := ours.Read(b[:]); err != nil {
		t.Fatal(err)
	}
	_ = theirs.Close()
	waitReadable(t, ours)
	if quiet(ours) {
		t.Error("a closed connection is quiet")
	}
}

// waitReadable returns once the kernel has something to read on c, its end
// included, without reading it.
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
	bubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
		n.ServeConn("a:1", answer(func(i int, _ *http.Request) string { return ok(fmt.Sprint(i)) }))
		mustGet(t, p, false, "1")
		p.Retain(func(key string) bool { return key == Key("a:1", "t") })
		mustGet(t, p, false, "2")
		p.Retain(func(string) bool { return false })
		mustGet(t, p, false, "1")
		p.Retire("a:1", "t")
		mustGet(t, p, false, "1")
	})
}
