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

	"github.com/pomelospool/pomelospool/internal/pipenet"
	"github.com/pomelospool/pomelospool/internal/quota"
)

// countingConn counts the bytes that its peer accepts.
type countingConn struct {
	net.Conn
	written int
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// Guards against a target that sends bytes without end in place of an answer, until
// this process has no memory left.
func TestHeadsWithoutEndAreBounded(t *testing.T) {
	cases := []struct{ name, begin, repeat string }{
		{"status line", "HTTP/1.1 200 ", strings.Repeat("O", 1000)},
		{"no protocol", "", strings.Repeat("\x00", 1000)},
		{"one header line", "HTTP/1.1 200 OK\r\nX-A: ", strings.Repeat("a", 1000)},
		{"many header lines", "HTTP/1.1 200 OK\r\n", "X-A: " + strings.Repeat("a", 100) + "\r\n"},
		{"continued header line", "HTTP/1.1 200 OK\r\nX-A: a\r\n", " " + strings.Repeat("a", 100) + "\r\n"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		{"after a stray", "HTTP/1.1 200 OK\r\nX-Stray: 1\r\nContent-Length: 2\r\n\r\nab", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var n pipenet.Net
				p := newPool(&n)
				var server *countingConn
				ended := make(chan struct{})
				n.ServeConn("a:1", func(c net.Conn) {
					defer close(ended)
					defer c.Close()
					go func() { _, _ = io.Copy(io.Discard, c) }()
					server = &countingConn{Conn: c}
					_, err := io.WriteString(server, tc.begin)
					for err == nil {
						_, err = io.WriteString(server, tc.repeat)
					}
				})
				_, err := p.Do(context.Background(), &Request{
					Addr: "a:1", Target: "t", Method: "GET", URI: "/x", Host: "h",
					Relate: func(_ int, h http.Header) Relation {
						if h.Get("X-Stray") != "" {
							return Foreign
						}
						return Own
					},
				})
				if !errors.Is(err, ErrHeadTooLarge) {
					// net/http finds some of them malformed before the limit.
					t.Logf("error %v", err)
				}
				if err == nil {
					t.Error("no error")
				}
				<-ended
				if limit := maxHead + len(tc.begin) + len(tc.repeat); server.written > limit {
					t.Errorf("%d bytes were read, at most %d allowed", server.written, limit)
				}
				p.Close()
				n.Close()
				synctest.Wait()
			})
		})
	}
}

// Guards against a target that sends the head of its answer so slowly that the request
// outlives its limit.
func TestSlowHeadIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n pipenet.Net
		p := newPool(&n)
		ended := make(chan struct{})
		n.ServeConn("a:1", func(c net.Conn) {
			defer close(ended)
			defer c.Close()
			go func() { _, _ = io.Copy(io.Discard, c) }()
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			for err == nil {
				<-time.After(10 * time.Millisecond)
				_, err = io.WriteString(c, "X-A: a\r\n")
			}
		})
		start := time.Now()
		_, err := p.Do(context.Background(), &Request{Addr: "a:1", Target: "t", Method: "GET", URI: "/x", Host: "h", FirstByteTimeout: time.Second})
		if !errors.Is(err, ErrNoProgress) || time.Since(start) > time.Second {
			t.Errorf("error %v after %v", err, time.Since(start))
		}
		<-ended
		p.Close()
		n.Close()
		synctest.Wait()
	})
}

// Guards against an answer that has no length, is reset on its way and is taken for
// complete.
func TestResetOfAnswerWithoutLength(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for _, reset := range []bool{false, true} {
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart of it")
			if tcp, ok := c.(*net.TCPConn); ok && reset {
				_ = tcp.SetLinger(0)
			}
		}()
		p := New(Options{})
		resp, err := p.Do(context.Background(), &Request{Addr: l.Addr().String(), Target: "t", Method: "GET", URI: "/x", Host: "h"})
		if err != nil {
			if !reset {
				t.Error(err)
			}
			continue // the reset overtook the head
		}
		_, err = io.ReadAll(resp.Body)
		if (err != nil) != reset {
			t.Errorf("reset %v: error %v", reset, err)
		}
		resp.Close(0)
		if p.HasIdle(l.Addr().String(), "t", ReuseIdle) {
			t.Error("the connection would be reused")
		}
		p.Close()
	}
}

// Guards against a daemon that runs out of memory by targets whose heads don't end: short
// lines take many times their bytes.
func TestHeadsAreCharged(t *testing.T) {
	for name, limit := range map[string]int64{"too large": 64 << 10, "fits": 64 << 20} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, n *pipenet.Net, p *Pool) {
				n.Serve("a:1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					for i := range 1000 {
						w.Header().Set(fmt.Sprintf("X-%d", i), "a")
					}
				}))
				memory := quota.New(limit)
				account := memory.Open(func(bool) {})
				resp, err := p.Do(quota.WithAccount(t.Context(), account), &Request{Addr: "a:1", Target: "t", Method: "GET", URI: "/x", Host: "h"})
				if (err == nil) != (name == "fits") || err != nil && !errors.Is(err, quota.ErrExhausted) {
					t.Errorf("error %v", err)
				}
				if err == nil {
					if memory.Used() == 0 {
						t.Error("nothing was charged")
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Close(0)
				}
				if used := memory.Used(); used != 0 {
					t.Errorf("%d bytes are charged after the end", used)
				}
			})
		})
	}
}
