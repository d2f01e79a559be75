package entry

import (
	"bytes"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"

	"github.com/pomelospool/pomelospool/process/logging"
	"github.com/pomelospool/pomelospool/version/document"
)

// lines keeps what the process logs, as it is written and by its fields.
type lines struct {
	mu      sync.Mutex
	text    bytes.Buffer
	entries []*log.Entry
}

func (l *lines) HandleLog(e *log.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, e)
	return json.New(&l.text).HandleLog(e)
}

// of returns the entries with that message.
func (l *lines) of(message string) []*log.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*log.Entry
	for _, e := range l.entries {
		if e.Message == message {
			out = append(out, e)
		}
	}
	return out
}

// captureLog sends all lines, debug ones too, to the returned lines until the
// test ends. It is for tests that don't run in parallel.
func captureLog(t testing.TB, wrap func(log.Handler) log.Handler) *lines {
	l := &lines{}
	std := log.Log.(*log.Logger)
	before := *std
	t.Cleanup(func() { *std = before })
	std.Level = log.DebugLevel
	std.Handler = wrap(l)
	return l
}

func asIs(h log.Handler) log.Handler { return h }

// marks are what a caller sends and a target answers; none may be logged.
const (
	markPrompt = "MARK-prompt"
	markBody   = "MARK-body"
	markKey    = "MARK-key"
	markToken  = "MARK-token"
	markQuery  = "MARK-query"
)

// TestLogsHoldNoContent: a member of staff's organisation sends a confidential
// prompt to an engine that fails and quotes it. Whoever may read the daemon's
// log must not learn prompts, answers, keys or tokens from it, in whatever way
// the target fails.
func TestLogsHoldNoContent(t *testing.T) {
	raw := func(text string) func(c *call) {
		return func(c *call) {
			conn, _, err := http.NewResponseController(c.w).Hijack()
			if err == nil {
				fmt.Fprint(conn, text)
				conn.Close()
			}
		}
	}
	status := func(n int) func(c *call) {
		return func(c *call) {
			c.w.Header().Set("X-Request-Id", c.id)
			c.w.WriteHeader(n)
			c.raw("can't do " + markPrompt + markBody)
		}
	}
	plays := map[string]func(c *call){
		"full":         status(503),
		"failing":      status(500),
		"refusing":     status(400),
		"another's id": func(c *call) { c.w.Header().Set("X-Request-Id", markPrompt); c.raw(markPrompt) },
		"another's type": func(c *call) {
			c.w.Header().Set("X-Request-Id", c.id)
			c.w.Header().Set("Content-Type", markPrompt)
			c.raw(markPrompt)
		},
		"error event":     func(c *call) { c.head().raw(`data: {"error":"` + markPrompt + `"}` + "\n\n") },
		"not JSON":        func(c *call) { c.head().raw("data: " + markPrompt + "\n\n") },
		"cut":             func(c *call) { c.head().tokens(0).raw(markPrompt).reset() },
		"reset":           func(c *call) { c.reset() },
		"malformed":       raw(markPrompt + "\r\n\r\n"),
		"malformed code":  raw("HTTP/1.1 " + markPrompt + "\r\n\r\n"),
		"malformed line":  raw("HTTP/1.1 200 OK\r\n" + markPrompt + "\r\n\r\n"),
		"malformed chunk": raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + markPrompt + "\r\n"),
	}
	for name, play := range plays {
		t.Run(name, func(t *testing.T) {
			l := captureLog(t, asIs)
			s := newScript(t, play)
			f := newFixture(t, []string{s.addr()}, []string{s.addr()}, withLedger(newLedger()))
			secret := []string{"Authorization", "Bearer " + markToken, "Idempotency-Key", markKey}
			f.complete(markPrompt, 3, secret...)
			f.do("POST", "/v1/completions", `{"model":"`+markPrompt, secret...)
			f.do("PUT", "/s/app/reads?q="+markQuery, markBody, secret...)
			f.do("PUT", "/s/app/holds?q="+markQuery, markBody, secret...)
			s.Close()
			f.do("PUT", "/s/app/reads?q="+markQuery, markBody, secret...)
			if len(l.of("attempt: failed")) == 0 {
				t.Error("no attempt failed: the test shows nothing")
			}
			for _, line := range strings.Split(l.text.String(), "\n") {
				if strings.Contains(line, "MARK") {
					t.Error(line)
				}
			}
		})
	}
}

// TestRequestID: a caller reports a failed request by its id. The id stands in
// the log lines of all its attempts, in the answer, and each id that a target
// saw begins with it, so that one search finds all of it.
func TestRequestID(t *testing.T) {
	l := captureLog(t, asIs)
	failing := func(c *call) { c.w.Header().Set("X-Request-Id", c.id); c.w.WriteHeader(500) }
	a, b := newScript(t, failing), newScript(t, failing)
	f := newFixture(t, []string{a.addr(), b.addr()}, []string{a.addr(), b.addr()}, func(_ *Options, d *document.Document) {
		d.Retry.Budget = 1
	})
	for id, ask := range map[string]func(id string) reply{
		"model-7": func(id string) reply { return f.complete("p", 3, "X-Request-Id", id) },
		"plain-7": func(id string) reply { return f.do("GET", "/s/app/x", "", "X-Request-Id", id) },
	} {
		before := a.count() + b.count()
		if r := ask(id); r.header.Get("X-Request-Id") != id || r.code() == "0" && r.status == 200 {
			t.Errorf("%s: caller saw %+v", id, r)
		}
		seen := slices.Concat(a.seen(), b.seen())
		tried := 0
		for _, s := range seen {
			if strings.HasPrefix(s, id+".") {
				tried++
			}
		}
		logged := 0
		for _, e := range l.of("attempt: failed") {
			if e.Fields["request"] == id {
				logged++
			}
		}
		if n := len(seen) - before; n < 2 || tried != n || logged != n {
			t.Errorf("%s: targets saw %d requests, %d under its id, %d lines", id, n, tried, logged)
		}
	}
}

// TestRequestIDAtTheTargets: from a caller's id one finds what the stand-ins
// recorded of its requests, also of an at-most-once call.
func TestRequestIDAtTheTargets(t *testing.T) {
	e, p := startEngine(t), startPlain(t)
	f := newFixture(t, []string{e.Addr()}, []string{p.Addr()}, withLedger(newLedger()))
	f.complete("p", 1, "X-Request-Id", "model-8")
	f.do("GET", "/s/app/x", "", "X-Request-Id", "plain-8")
	f.do("POST", "/s/app/holds", "", "X-Request-Id", "once-8", "Idempotency-Key", "k")
	ids := slices.Concat(slices.Collect(maps.Keys(e.Record().Requests)), slices.Collect(maps.Keys(p.Record().Requests)))
	slices.Sort(ids)
	var names []string
	for _, id := range ids {
		name, _, _ := strings.Cut(id, ".")
		names = append(names, name)
	}
	if want := []string{"model-8", "once-8", "plain-8"}; !slices.Equal(names, want) {
		t.Errorf("recorded %q, want one of each of %q", ids, want)
	}
}

// TestStormOfFailures: callers ask ten times what the engines carry, of which
// one refuses all and one breaks every connection. The log holds a burst of
// lines and what was left out, not a line for every attempt.
func TestStormOfFailures(t *testing.T) {
	const callers, each = 20, 50
	var limiter *logging.Limiter
	l := captureLog(t, func(h log.Handler) log.Handler {
		limiter = logging.NewLimiter(h, logging.Options{Rate: 1e-9}) // the burst only: real time has no say
		return limiter
	})
	full := newScript(t, func(c *call) { c.w.WriteHeader(503) })
	dying := newScript(t, func(c *call) { c.reset() })
	f := newFixture(t, []string{full.addr(), dying.addr()}, nil, nil)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range each {
				f.complete("p", 3)
			}
		})
	}
	wg.Wait()
	limiter.Report()
	attempts := full.count() + dying.count()
	passed, counted := len(l.of("attempt: failed")), 0
	for _, e := range l.of(logging.DroppedMessage) {
		if e.Fields["message"] == "attempt: failed" {
			counted += e.Fields["count"].(int)
		}
	}
	t.Logf("%d requests, %d attempts: %d lines, %d counted", callers*each, attempts, passed, counted)
	if passed > logging.DefaultBurst || passed+counted < attempts {
		t.Errorf("%d lines and %d counted for %d attempts", passed, counted, attempts)
	}
	if n := len(l.entries); n > 10*logging.DefaultBurst {
		t.Errorf("%d lines in all", n)
	}
}
