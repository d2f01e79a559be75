package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/version/document"
)

// TestRefusals checks that requests that can't run are refused with a result
// code, are marked as not run, and don't reach an engine.
func TestRefusals(t *testing.T) {
	e := startEngine(t)
	f := newFixture(t, []string{e.Addr()}, nil, func(o *Options, d *document.Document) {
		o.Limits.BodyBytes = 4096
		o.Limits.HeaderBytes = 2048
		d.Limits.PromptTokens = 100
		d.Limits.OutputTokens = 50
	})
	post := "POST"
	cases := []struct {
		name, method, path, body string
		header                   []string
		status                   int
		code                     string
	}{
		{"malformed JSON", post, "/v1/completions", `{"model":`, nil, 400, "1007"},
		{"JSON of another kind", post, "/v1/completions", `[1]`, nil, 400, "1007"},
		{"null", post, "/v1/completions", `null`, nil, 404, "1006"},
		{"negative tokens", post, "/v1/completions", modelRequest("p", -1, true), nil, 400, "1007"},
		{"unknown model", post, "/v1/completions", `{"model":"x"}`, nil, 404, "1006"},
		{"unknown service", post, "/s/x/y", ``, nil, 404, "1006"},
		{"model as plain service", post, "/s/llm/v1/completions", ``, nil, 404, "1006"},
		{"unknown path", "GET", "/nothing", ``, nil, 404, "1006"},
		{"wrong method", "GET", "/v1/completions", ``, nil, 400, "1007"},
		{"huge body", post, "/v1/completions", strings.Repeat("x", 5000), nil, 413, "1009"},
		{"long header", post, "/v1/completions", modelRequest("p", 1, true), []string{"X-A", strings.Repeat("x", 3000)}, 431, "1008"},
		{"long prompt", post, "/v1/completions", modelRequest(strings.Repeat("x", 1000), 1, true), nil, 413, "1010"},
		{"long output", post, "/v1/completions", modelRequest("p", 51, true), nil, 413, "1010"},
		{"bad deadline", post, "/v1/completions", modelRequest("p", 1, true), []string{"X-Deadline-Ms", "0"}, 400, "1007"},
		{"bad priority", post, "/v1/completions", modelRequest("p", 1, true), []string{"X-Priority", "9"}, 400, "1007"},
		{"bad id", post, "/v1/completions", modelRequest("p", 1, true), []string{"X-Request-Id", `a"b`}, 400, "1007"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			r := f.do(tc.method, tc.path, tc.body, tc.header...)
			if r.status != tc.status || r.code() != tc.code || r.header.Get(answer.HeaderNotRun) != "true" {
				t.Errorf("got %d, code %s, body %s", r.status, r.code(), r.body)
			}
			if r.header.Get("X-Request-Id") == "" || !strings.Contains(r.body, `"code":`+tc.code) {
				t.Errorf("request id or code missing: %+v", r)
			}
		})
	}
	if n := len(e.Record().Requests); n != 0 {
		t.Errorf("%d requests ran", n)
	}
}

// TestNoTarget checks that the refusal has a Retry-After header if no engine is
// reachable.
func TestNoTarget(t *testing.T) {
	s := newScriptedTarget(t, nil)
	s.Close()
	f := newFixture(t, []string{s.addr()}, nil, nil)
	for _, want := range []string{"2002", "2001"} {
		r := f.complete("p", 1)
		if r.code() != want || r.header.Get(answer.HeaderNotRun) != "true" || r.header.Get(answer.HeaderRetry) == "" {
			t.Errorf("got %+v, want code %s", r, want)
		}
	}
}

// rawConn connects to the server, sends text and returns the connection.
func (f *fixture) rawConn(text string) net.Conn {
	f.t.Helper()
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		f.t.Fatal(err)
	}
	return c
}

func rawPost(length int, body string) string {
	return fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

// TestSlowLoris covers callers that stop in the middle of a header or body. The
// daemon must close these connections, or a few such callers can use up all
// connections.
func TestSlowLoris(t *testing.T) {
	f := newFixture(t, nil, nil, func(o *Options, _ *document.Document) {
		o.Limits.ReadHeader = 50 * time.Millisecond
		o.Limits.ReadBody = 50 * time.Millisecond
	})
	for name, text := range map[string]string{
		"header": "POST /v1/completions HTTP/1.1\r\nHost: ",
		"body":   rawPost(100, `{"model":`),
	} {
		if _, err := io.Copy(io.Discard, f.rawConn(text)); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestConnectionLimit checks that a connection over the limit is answered with
// a result code.
func TestConnectionLimit(t *testing.T) {
	f := newFixture(t, nil, nil, func(o *Options, _ *document.Document) { o.Limits.Connections = 1 })
	first := f.rawConn("GET /v1/addresses HTTP/1.1\r\nHost: x\r\n\r\n")
	if resp, err := http.ReadResponse(bufio.NewReader(first), nil); err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	second := f.rawConn("GET /v1/addresses HTTP/1.1\r\nHost: x\r\n\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(second), nil)
	if err != nil || resp.Header.Get(answer.HeaderCode) != "1015" || resp.Header.Get(answer.HeaderNotRun) != "true" {
		t.Fatal(resp, err)
	}
}

// TestStreamLimit covers a caller that opens more streams than its limit.
func TestStreamLimit(t *testing.T) {
	started, release := make(chan struct{}, 10), make(chan struct{})
	s := newScriptedTarget(t, func(c *call) {
		started <- struct{}{}
		<-release
		c.head().finish(0)
	})
	f := newFixture(t, []string{s.addr()}, nil, func(o *Options, d *document.Document) {
		d.Limits.StreamsPerCaller = 1
		o.MinHeaderTimeout = time.Minute
	})
	first := make(chan reply)
	go func() { first <- f.complete("p", 1, "X-Request-Id", "mine") }()
	<-started
	if r := f.complete("p", 1); r.code() != "1011" {
		t.Errorf("second stream: %+v", r)
	}
	another := make(chan reply)
	go func() { another <- f.complete("p", 1, "X-Organisation", "another") }()
	<-started
	close(release)
	if r := <-another; r.code() != "0" {
		t.Errorf("another caller: %+v", r)
	}
	if r := <-first; checkStream(r.body, "mine", "p", 1) != nil {
		t.Errorf("first stream: %+v", r)
	}
}

// TestCallerGone covers a caller that disconnects in the middle of a stream.
// The engine's connection must be closed too, or the engine continues to
// generate tokens.
func TestCallerGone(t *testing.T) {
	cancelled := make(chan struct{})
	s := newScriptedTarget(t, func(c *call) {
		c.head().tokens(0)
		c.hang()
		close(cancelled)
	})
	f := newFixture(t, []string{s.addr()}, nil, func(o *Options, d *document.Document) {
		o.ReadTimeout = time.Minute
		d.Objectives.Answer = time.Hour // only the disconnect may end the stream
	})
	body := modelRequest("p", 5, true)
	c := f.rawConn(rawPost(len(body), body))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	c.Close()
	<-cancelled
}

// TestSlowCaller covers a caller that requests a long answer and reads none of
// it. The engine is blocked, then the caller is disconnected; other callers
// aren't affected. Without the limit the daemon would buffer everything that
// the engine sends.
func TestSlowCaller(t *testing.T) {
	const chunk, chunks = 64 << 10, 1024 // 64 MiB
	var sent atomic.Int64
	ended := make(chan struct{})
	s := newScriptedTarget(t, func(c *call) {
		defer close(ended)
		c.head()
		text := strings.Repeat("x", chunk)
		for i := range chunks {
			event := fmt.Sprintf(`data: {"id":%q,"token_index":%d,"choices":[{"text":%q}]}`+"\n\n", c.id, i, text)
			if _, err := io.WriteString(c.w, event); err != nil {
				return
			}
			sent.Add(int64(len(event)))
		}
	})
	e := startEngine(t)
	f := newFixture(t, []string{s.addr(), e.Addr()}, nil, func(o *Options, d *document.Document) {
		o.WriteTimeout = time.Second    // long enough to receive the whole answer, if there were no limit
		d.Objectives.Answer = time.Hour // only the write timeout may end the stream
	})
	body := modelRequest("p", 1, true)
	f.rawConn(rawPost(len(body), body))
	await(t, func() bool { return f.pool.Status(s.addr()).InFlight > 0 })
	for range 20 {
		r := f.complete("q", 3, "X-Request-Id", "mine")
		if err := checkStream(r.body, "mine", "q", 3); err != nil {
			t.Error(err)
		}
	}
	<-ended
	if n := sent.Load(); n >= chunk*chunks/2 {
		t.Errorf("the daemon read %d bytes for a caller that reads none", n)
	}
}

// fakeGate refuses requests with a result code once it is closed.
type fakeGate struct{ closed atomic.Bool }

func (g *fakeGate) Admit() error {
	if g.closed.Load() {
		return code.New(code.Isolated, "")
	}
	return nil
}

// TestGateAndDrain checks that an isolated or a draining daemon refuses new
// requests at once and lets open ones finish.
func TestGateAndDrain(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s := newScriptedTarget(t, func(c *call) {
		c.head().tokens(0)
		close(started)
		<-release
		c.finish(1)
	})
	g := &fakeGate{}
	f := newFixture(t, []string{s.addr()}, nil, func(o *Options, _ *document.Document) {
		o.Gate = g
		o.ReadTimeout = time.Minute
	})
	first := make(chan reply)
	go func() { first <- f.complete("p", 2, "X-Request-Id", "mine") }()
	<-started
	g.closed.Store(true)
	if r := f.complete("p", 1); r.code() != "1004" || r.header.Get(answer.HeaderNotRun) != "true" {
		t.Errorf("isolated: %+v", r)
	}
	drained := make(chan error)
	go func() { drained <- f.entry.Drain(t.Context()) }()
	await(t, f.entry.draining.Load)
	if r := f.complete("p", 1); r.code() != "1005" || r.header.Get(answer.HeaderNotRun) != "true" {
		t.Errorf("draining: %+v", r)
	}
	select {
	case <-drained:
		t.Error("drained with a stream open")
	default:
	}
	close(release)
	if r := <-first; checkStream(r.body, "mine", "p", 2) != nil {
		t.Errorf("open stream: %+v", r)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}
