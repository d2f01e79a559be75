package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/connection/health"
	"github.com/pomelospool/pomelospool/internal/linkfault"
	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/dispatch"
	"github.com/pomelospool/pomelospool/request/forward"
)

// informational are the answers that a target may send before the answer itself.
const informational = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"

// serveRaw serves one raw answer on each connection and returns its address.
func serveRaw(t *testing.T, answer func(req *http.Request) string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go standin.ServeRaw(l, func(c net.Conn, req *http.Request) {
		if _, err := io.Copy(io.Discard, req.Body); err == nil {
			_, _ = io.WriteString(c, answer(req))
		}
	})
	return l.Addr().String()
}

// cutting returns a proxy before an address.
func cutting(t *testing.T, addr string) *linkfault.Proxy {
	t.Helper()
	p, err := linkfault.NewProxy(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// jumpingClock is a clock that is one minute later for each request, so that no target is
// ejected.
type jumpingClock struct{ minutes atomic.Int64 }

func (c *jumpingClock) now() time.Time {
	return time.Now().Add(time.Duration(c.minutes.Load()) * time.Minute)
}

// startUnejecting starts a fixture that ejects no target.
func startUnejecting(t *testing.T) (*fixture, *jumpingClock) {
	c := &jumpingClock{}
	return startChanged(t, config(7), func(o *dispatch.Options) { o.Health = health.New(c.now, nil) }), c
}

// received is an answer as a caller gets it.
type received struct {
	status int
	body   string
	whole  bool
}

// post sends a request over a connection of its own.
func (f *fixture) post(t *testing.T, path string) received {
	t.Helper()
	c, err := net.Dial("tcp", f.srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	var b strings.Builder
	_ = headers("r1").Write(&b) // writing to a strings.Builder never fails
	if _, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a.example\r\n%sContent-Length: 4\r\n\r\nbody", path, b.String()); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return received{}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return received{status: resp.StatusCode, body: string(text), whole: err == nil}
}

const (
	longestAnswer = 4 << 10 // bytes
	always        = longestAnswer
)

// checkCuts breaks the answers off after each of their bytes. want is the body of the
// whole answer. After open bytes, an end in order is a regular end
// of the answer; always: it never is.
func checkCuts(t *testing.T, p *linkfault.Proxy, reset bool, open int64, want string, post func() received) {
	t.Helper()
	err := p.EachByte(reset, longestAnswer, func(n int64) bool {
		r := post()
		success := r.status == http.StatusOK && r.whole
		if ended := n >= open && strings.HasPrefix(want, r.body); success && r.body != want && !ended {
			t.Errorf("cut after %d bytes: a whole %d %q", n, r.status, r.body)
		}
		return success && r.body == want
	})
	if err != nil {
		t.Error(err)
	}
}

// cutPaths are the paths of the fixture's routes and their whole answers.
var cutPaths = map[string]struct{ path, contentType, body string }{
	"plain":  {"/p/x", "text/plain", standin.Answer("r1")},
	"stream": {"/s/x", "text/event-stream", standin.EventStream(3)},
}

// Guards against an answer of which a target sent a part, and that reaches the caller as
// whole.
func TestAnswerOfTargetCutAtEachByte(t *testing.T) {
	for name, kind := range cutPaths {
		for _, framing := range []standin.Framing{standin.Length, standin.Chunks, standin.UntilClose} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/reset=%t", name, framing, reset), func(t *testing.T) {
					open := int64(always)
					if framing == standin.UntilClose && !reset {
						whole := standin.RawAnswer(&http.Request{Header: headers("r1")}, framing, kind.contentType, kind.body)
						open = int64(len(informational) + len(whole) - len(kind.body))
					}
					f, clock := startUnejecting(t)
					p := cutting(t, serveRaw(t, func(req *http.Request) string {
						return informational + standin.RawAnswer(req, framing, kind.contentType, kind.body)
					}))
					f.entries = map[string][]port.TargetEntry{
						"app": {{ID: "i-plain", Addr: p.Addr(), Slots: 4}},
						"llm": {{ID: "i-decode", Addr: p.Addr(), Slots: 4, Role: port.RoleDecode}},
					}
					checkCuts(t, p, reset, open, kind.body, func() received {
						clock.minutes.Add(1)
						return f.post(t, kind.path)
					})
				})
			}
		}
	}
}

// noLinks are links that are lost.
type noLinks struct{}

func (noLinks) Reached(string)        {}
func (noLinks) Failed(string, string) {}
func (noLinks) Suspect(string)        {}
func (noLinks) Lost(string) bool      { return true }
func (noLinks) Confirmed(string) bool { return true }

// Guards against an answer of which another daemon sent a part, and that reaches the
// caller as whole.
func TestAnswerOfDaemonCutAtEachByte(t *testing.T) {
	for name, kind := range cutPaths {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset=%t", name, reset), func(t *testing.T) {
				other := start(t, true)
				srv := httptest.NewServer(http.HandlerFunc(other.ServeForwarded))
				t.Cleanup(srv.Close)
				p := cutting(t, srv.Listener.Addr().String())
				// A name of its own for each request: a daemon that accepted no connection
				// isn't asked again for a while, and a connection that is reset at once may
				// count as such.
				requests := 0
				peers := forward.New(forward.NewHTTP("vm-1"), func() []forward.Peer {
					requests++
					return []forward.Peer{{VM: fmt.Sprintf("vm-%d", 1+requests), Addr: p.Addr()}}
				})
				t.Cleanup(peers.Close)
				f := startChanged(t, config(7), func(o *dispatch.Options) { o.Links, o.Peers = noLinks{}, peers })
				checkCuts(t, p, reset, always, kind.body, func() received { return f.post(t, kind.path) })
			})
		}
	}
}

// Guards against an answer of which a target sent a part to another daemon, and that
// reaches the caller as whole.
func TestAnswerCutBeforeTheOtherDaemon(t *testing.T) {
	for name, kind := range cutPaths {
		t.Run(name, func(t *testing.T) {
			other, clock := startUnejecting(t)
			p := cutting(t, serveRaw(t, func(req *http.Request) string {
				return standin.RawAnswer(req, standin.Chunks, kind.contentType, kind.body)
			}))
			other.entries = map[string][]port.TargetEntry{
				"app": {{ID: "i-plain", Addr: p.Addr(), Slots: 4}},
				"llm": {{ID: "i-decode", Addr: p.Addr(), Slots: 4, Role: port.RoleDecode}},
			}
			f := startChanged(t, config(7), func(o *dispatch.Options) { o.Links, o.Peers = noLinks{}, other.forwardTo(t) })
			checkCuts(t, p, false, always, kind.body, func() received {
				clock.minutes.Add(1)
				return f.post(t, kind.path)
			})
		})
	}
}
