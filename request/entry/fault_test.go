package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/standin"
	"github.com/pomelospool/pomelospool/version/document"
)

const answerTokens = 6

// TestModelFaults streams an answer while the first engine misbehaves and the
// second one works. Whatever the first one does, the caller must get each token
// of its own answer once, then the end marker.
func TestModelFaults(t *testing.T) {
	long := strings.Repeat("x", 300<<10)
	cases := []struct {
		name      string
		play      func(c *call)
		other     int // requests that the second engine gets
		forwarded int // tokens that the first engine delivered, which aren't generated again
	}{
		{"well", func(c *call) { c.head().tokens(0, 1, 2, 3, 4).finish(5) }, 0, 0},
		{"crossed chunk", func(c *call) { c.head().tokens(0, 1).token("other", 2, false).tokens(2, 3, 4).finish(5) }, 0, 0},
		{"crossed end", func(c *call) { c.head().tokens(0).token("other", 1, true).tokens(1, 2, 3, 4).finish(5) }, 0, 0},
		{"doubled chunk", func(c *call) { c.head().tokens(0, 1, 1, 2).tokens(2, 0, 3, 4).finish(5) }, 0, 0},
		{"token after the last", func(c *call) {
			c.head().tokens(0, 1, 2, 3, 4).token(c.id, 5, true).tokens(6, 7).raw("data: [DONE]\n\n")
		}, 0, 0},
		{"lost marker", func(c *call) { c.head().tokens(0, 1, 2, 3, 4).token(c.id, 5, true) }, 0, 0},
		{"gap", func(c *call) { c.head().tokens(0, 1, 3, 4).finish(5) }, 1, 2},
		{"early marker", func(c *call) { c.head().tokens(0, 1).raw("data: [DONE]\n\n") }, 1, 2},
		{"clean early end", func(c *call) { c.head().tokens(0, 1) }, 1, 2},
		{"reset before the header", func(c *call) { c.reset() }, 1, 0},
		{"reset before a token", func(c *call) { c.head().reset() }, 1, 0},
		{"reset within a chunk", func(c *call) { c.head().tokens(0, 1).raw(`data: {"id":"`).reset() }, 1, 2},
		{"end within an event", func(c *call) { c.head().tokens(0, 1).raw(`data: {"id":"` + c.id + `","token_index":2}` + "\n") }, 1, 2},
		{"another's header", func(c *call) { c.w.Header().Set("X-Request-Id", "other"); c.tokens(0).finish(1) }, 1, 0},
		{"no header", func(c *call) { c.w.Header().Set("Content-Type", "text/event-stream"); c.tokens(0).finish(1) }, 1, 0},
		{"not an event stream", func(c *call) {
			c.w.Header().Set("X-Request-Id", c.id)
			c.w.Header().Set("Content-Type", "text/html")
			c.tokens(0).finish(1)
		}, 1, 0},
		{"unknown field", func(c *call) { c.head().tokens(0).raw("dat: 1\n\n").tokens(1).finish(2) }, 1, 1},
		{"not JSON", func(c *call) { c.head().tokens(0).raw("data: {\n\n").tokens(1).finish(2) }, 1, 1},
		{"no token index", func(c *call) { c.head().tokens(0).raw(`data: {"id":"` + c.id + `"}` + "\n\n").finish(1) }, 1, 1},
		{"endless line", func(c *call) { c.head().tokens(0).raw("data: " + long).hang() }, 1, 1},
		{"endless event", func(c *call) { c.head().tokens(0).raw(strings.Repeat("data: "+long[:1000]+"\n", 300)).hang() }, 1, 1},
		{"error event", func(c *call) { c.head().tokens(0).raw(`data: {"error":{"code":1}}` + "\n\n").hang() }, 1, 1},
		{"silent before the header", func(c *call) { c.hang() }, 1, 0},
		{"silent before a token", func(c *call) { c.head().hang() }, 1, 0},
		{"silent within the answer", func(c *call) { c.head().tokens(0, 1, 2).hang() }, 1, 3},
		{"full", func(c *call) { c.w.WriteHeader(http.StatusServiceUnavailable) }, 1, 0},
		{"failing", func(c *call) { c.w.Header().Set("X-Request-Id", c.id); c.w.WriteHeader(http.StatusInternalServerError) }, 1, 0},
		{"model gone", func(c *call) { c.w.Header().Set("X-Not-Run", "true"); c.w.WriteHeader(http.StatusNotFound) }, 1, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			bad, good := newScriptedTarget(t, tc.play), startEngine(t)
			f := newFixture(t, []string{bad.addr(), good.Addr()}, nil, nil)
			r := f.complete("prompt", answerTokens, "X-Request-Id", "mine")
			if err := checkStream(r.body, "mine", "prompt", answerTokens); err != nil || r.code() != "0" {
				t.Errorf("caller saw: %v (code %s, read error %v)", err, r.code(), r.err)
			}
			if n := len(good.Record().Requests); n != tc.other {
				t.Errorf("second engine got %d requests, want %d", n, tc.other)
			}
			if n := good.Record().Tokens; tc.other > 0 && n != answerTokens-tc.forwarded {
				t.Errorf("second engine made %d tokens, want %d", n, answerTokens-tc.forwarded)
			}
			if n := bad.count(); n != 1 {
				t.Errorf("first engine got %d requests, want 1", n)
			}
			// An engine doesn't notice that a stalled connection is closed. It
			// must get a cancel request over a new connection.
			if strings.HasPrefix(tc.name, "silent") {
				if id := <-bad.cancels; id != bad.firstRequestID() {
					t.Errorf("%q was cancelled, want %q", id, bad.firstRequestID())
				}
			}
		})
	}
}

// TestUnstreamedFaults is like TestModelFaults, for unstreamed answers.
func TestUnstreamedFaults(t *testing.T) {
	answer := func(id string) string {
		return `{"id":"` + id + `","choices":[],"usage":{"completion_tokens":1}}`
	}
	send := func(c *call, length string, body string) *call {
		c.w.Header().Set("X-Request-Id", c.id)
		if length != "" {
			c.w.Header().Set("Content-Length", length)
		}
		return c.raw(body)
	}
	cases := []struct {
		name  string
		play  func(c *call)
		other int
	}{
		{"well", func(c *call) { send(c, "", answer(c.id)) }, 0},
		{"another's body", func(c *call) { send(c, "", answer("other")) }, 1},
		{"no usage", func(c *call) { send(c, "", `{"id":"`+c.id+`"}`) }, 1},
		{"cut within JSON", func(c *call) { send(c, "", answer(c.id)[:20]) }, 1},
		{"shorter than its length", func(c *call) { send(c, "500", answer(c.id)).reset() }, 1},
		{"silent within the answer", func(c *call) { send(c, "", answer(c.id)[:20]).hang() }, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			bad, good := newScriptedTarget(t, tc.play), startEngine(t)
			f := newFixture(t, []string{bad.addr(), good.Addr()}, nil, nil)
			r := f.do("POST", "/v1/completions", modelRequest("p", 3, false), "X-Request-Id", "mine")
			if r.status != 200 || !strings.Contains(r.body, `"id":"mine"`) || !strings.Contains(r.body, `"usage"`) {
				t.Errorf("caller saw: %+v", r)
			}
			if n := len(good.Record().Requests); n != tc.other {
				t.Errorf("second engine got %d requests, want %d", n, tc.other)
			}
		})
	}
}

// TestStalledConnections covers a middlebox that drops the state of all
// connections to the engine, idle ones too, while new connections work. The
// stream must continue over a new connection, and later requests must not use
// an old one.
func TestStalledConnections(t *testing.T) {
	e := startEngine(t)
	f := newFixture(t, []string{e.Addr()}, nil, nil)
	for range 3 {
		f.complete("warm", answerTokens)
	}
	if err := e.Apply(t.Context(), standin.Fault{Kind: "silent"}); err != nil {
		t.Fatal(err)
	}
	before := len(e.Record().Requests)
	for range 5 {
		r := f.complete("after", answerTokens, "X-Request-Id", "mine")
		if err := checkStream(r.body, "mine", "after", answerTokens); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(e.Record().Requests) - before; n != 5 {
		t.Errorf("the engine ran %d requests, want 5", n)
	}
}

// TestRetryAmplification covers engines that all fail or refuse every request.
// Retries would multiply the load that may be the cause. The service's retry
// budget of 0.1 bounds the attempts to 1.1 times the requests.
func TestRetryAmplification(t *testing.T) {
	plays := map[string]func(c *call){
		"failing":  func(c *call) { c.w.WriteHeader(http.StatusInternalServerError) },
		"full":     func(c *call) { c.w.WriteHeader(http.StatusTooManyRequests) },
		"changing": func(c *call) { c.w.Header().Set("X-Not-Run", "true"); c.w.WriteHeader(http.StatusServiceUnavailable) },
		"dying":    func(c *call) { c.reset() },
	}
	for name, play := range plays {
		a, b := newScriptedTarget(t, play), newScriptedTarget(t, play)
		f := newFixture(t, []string{a.addr(), b.addr()}, nil, nil)
		const requests = 1000
		for range requests {
			f.complete("p", 1)
		}
		n := a.count() + b.count()
		t.Logf("%s: %d attempts for %d requests", name, n, requests)
		if n > requests*11/10 {
			t.Errorf("%s: %d attempts for %d requests", name, n, requests)
		}
	}
}

// TestHandover routes the prompt to a prefill engine and the answer to a decode
// engine. The caller must get one stream. Only one attempt is allowed, so that
// the handover must count neither as a retry nor as a failure.
func TestHandover(t *testing.T) {
	prefill, decode := startEngine(t), startEngine(t)
	kv := &fakeKVMover{}
	f := newFixture(t, []string{prefill.Addr(), decode.Addr()}, nil, func(o *Options, d *document.Document) {
		o.Router = handoverRouter{}
		o.KV = kv
		d.Retry.Attempts = 1
	})
	r := f.complete("prompt", 200, "X-Request-Id", "mine")
	if err := checkStream(r.body, "mine", "prompt", 200); err != nil {
		t.Fatal(err)
	}
	if kv.moved != "e0>e1" {
		t.Errorf("KV cache transfers %q, want e0>e1", kv.moved)
	}
	if n := len(decode.Record().Requests); n != 1 {
		t.Errorf("the decode engine got %d requests", n)
	}
}

// TestHandoverToUnreachableEngine covers a decode engine that refuses
// connections. The prefill engine continues the answer by itself in one request
// instead of one request per token.
func TestHandoverToUnreachableEngine(t *testing.T) {
	prefill := startEngine(t)
	unreachable := newScriptedTarget(t, nil)
	unreachable.Close()
	f := newFixture(t, []string{prefill.Addr(), unreachable.addr()}, nil, func(o *Options, _ *document.Document) { o.Router = handoverRouter{} })
	r := f.complete("prompt", 50, "X-Request-Id", "mine")
	if err := checkStream(r.body, "mine", "prompt", 50); err != nil {
		t.Fatal(err)
	}
	if n := len(prefill.Record().Requests); n != 2 {
		t.Errorf("the prefill engine got %d requests, want 2", n)
	}
}

// handoverRouter routes every prompt to e0 and every answer to e1.
type handoverRouter struct{}

func (handoverRouter) Route(routing.Request, []routing.Target) (routing.Decision, error) {
	return routing.Decision{Target: "e0", DecodeTarget: "e1"}, nil
}

// fakeKVMover records KV cache transfers.
type fakeKVMover struct{ moved string }

func (m *fakeKVMover) Move(_ context.Context, from, to string, _ []uint64) error {
	m.moved += from + ">" + to
	return nil
}

// Guards against "not run" inferred from a status alone: an engine that answers 429 or 503
// hasn't said that it ran nothing, and may repeat the answer to an earlier request.
func TestBusyEnginesDontMakeARequestNotRun(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for name, stream := range map[string]bool{"stream": true, "whole": false} {
			t.Run(fmt.Sprint(name, " ", status), func(t *testing.T) {
				t.Parallel()
				play := func(c *call) { c.w.Header().Set("X-Request-Id", c.id); c.w.WriteHeader(status) }
				a, b := newScriptedTarget(t, play), newScriptedTarget(t, play)
				f := newFixture(t, []string{a.addr(), b.addr()}, nil, nil)
				r := f.do(http.MethodPost, "/v1/completions", modelRequest("p", 1, stream))
				if r.header.Get(answer.HeaderNotRun) != "" || r.code() == "0" || a.count()+b.count() == 0 {
					t.Errorf("status %d, code %s, not run %q after %d sends", r.status, r.code(), r.header.Get(answer.HeaderNotRun), a.count()+b.count())
				}
			})
		}
	}
}
