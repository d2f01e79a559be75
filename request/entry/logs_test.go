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

// logRecorder records log entries and their JSON form.
type logRecorder struct {
	mu      sync.Mutex
	text    bytes.Buffer
	entries []*log.Entry
}

func (l *logRecorder) HandleLog(e *log.Entry) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, e)
	return json.New(&l.text).HandleLog(e)
}

// withMessage returns the entries with the given message.
func (l *logRecorder) withMessage(message string) []*log.Entry {
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

// captureLog sends all log entries, including debug ones, to the returned
// logRecorder until the test ends. It changes the global logger, so tests that
// use it can't run in parallel.
func captureLog(t testing.TB, wrap func(log.Handler) log.Handler) *logRecorder {
	l := &logRecorder{}
	std := log.Log.(*log.Logger)
	before := *std
	t.Cleanup(func() { *std = before })
	std.Level = log.DebugLevel
	std.Handler = wrap(l)
	return l
}

func noWrap(h log.Handler) log.Handler { return h }

// Markers in the content that callers send and targets return. None may be
// logged.
const (
	markPrompt = "MARK-prompt"
	markBody   = "MARK-body"
	markKey    = "MARK-key"
	markToken  = "MARK-token"
	markQuery  = "MARK-query"
)

// TestLogsOmitRequestContent checks that the log doesn't contain prompts,
// answers, keys or tokens, in whatever way a target fails. Failing engines may
// quote the prompt in their errors.
func TestLogsOmitRequestContent(t *testing.T) {
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
			l := captureLog(t, noWrap)
			s := newScriptedTarget(t, play)
			f := newFixture(t, []string{s.addr()}, []string{s.addr()}, withDeduplicator(newFakeDeduplicator()))
			secret := []string{"Authorization", "Bearer " + markToken, "Idempotency-Key", markKey}
			f.complete(markPrompt, 3, secret...)
			f.do("POST", "/v1/completions", `{"model":"`+markPrompt, secret...)
			f.do("PUT", "/s/app/reads?q="+markQuery, markBody, secret...)
			f.do("PUT", "/s/app/holds?q="+markQuery, markBody, secret...)
			s.Close()
			f.do("PUT", "/s/app/reads?q="+markQuery, markBody, secret...)
			if len(l.withMessage("attempt: failed")) == 0 {
				t.Error("no attempt failed, so nothing was tested")
			}
			for _, line := range strings.Split(l.text.String(), "\n") {
				if strings.Contains(line, "MARK") {
					t.Error(line)
				}
			}
		})
	}
}

// TestRequestID checks that a failed request can be found by its id. The id
// must be in the answer and in the log lines of all attempts, and be the prefix
// of each id that a target got.
func TestRequestID(t *testing.T) {
	l := captureLog(t, noWrap)
	failing := func(c *call) { c.w.Header().Set("X-Request-Id", c.id); c.w.WriteHeader(500) }
	a, b := newScriptedTarget(t, failing), newScriptedTarget(t, failing)
	f := newFixture(t, []string{a.addr(), b.addr()}, []string{a.addr(), b.addr()}, func(_ *Options, d *document.Document) {
		d.Retry.Budget = 1
	})
	for id, send := range map[string]func(id string) reply{
		"model-7": func(id string) reply { return f.complete("p", 3, "X-Request-Id", id) },
		"plain-7": func(id string) reply { return f.do("GET", "/s/app/x", "", "X-Request-Id", id) },
	} {
		before := a.count() + b.count()
		if r := send(id); r.header.Get("X-Request-Id") != id || r.code() == "0" && r.status == 200 {
			t.Errorf("%s: caller saw %+v", id, r)
		}
		ids := slices.Concat(a.requestIDs(), b.requestIDs())
		matching := 0
		for _, s := range ids {
			if strings.HasPrefix(s, id+".") {
				matching++
			}
		}
		logged := 0
		for _, e := range l.withMessage("attempt: failed") {
			if e.Fields["request"] == id {
				logged++
			}
		}
		if n := len(ids) - before; n < 2 || matching != n || logged != n {
			t.Errorf("%s: targets saw %d requests, %d under its id, %d lines", id, n, matching, logged)
		}
	}
}

// TestRequestIDReachesTargets checks that the requests recorded by the targets
// can be found by the caller's id, including an at-most-once call.
func TestRequestIDReachesTargets(t *testing.T) {
	e, p := startEngine(t), startPlain(t)
	f := newFixture(t, []string{e.Addr()}, []string{p.Addr()}, withDeduplicator(newFakeDeduplicator()))
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

// TestFailureLogIsRateLimited covers an overload in which one engine refuses
// every request and the other one breaks every connection. The log must contain
// a burst of lines and the count of the dropped ones, not a line for every
// attempt.
func TestFailureLogIsRateLimited(t *testing.T) {
	const callers, requestsPerCaller = 20, 50
	var limiter *logging.Limiter
	l := captureLog(t, func(h log.Handler) log.Handler {
		limiter = logging.NewLimiter(h, logging.Options{Rate: 1e-9}) // only the burst passes, whatever the test's duration
		return limiter
	})
	refusing := newScriptedTarget(t, func(c *call) { c.w.WriteHeader(503) })
	breaking := newScriptedTarget(t, func(c *call) { c.reset() })
	f := newFixture(t, []string{refusing.addr(), breaking.addr()}, nil, nil)
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for range requestsPerCaller {
				f.complete("p", 3)
			}
		})
	}
	wg.Wait()
	limiter.Report()
	attempts := refusing.count() + breaking.count()
	logged, dropped := len(l.withMessage("attempt: failed")), 0
	for _, e := range l.withMessage(logging.DroppedMessage) {
		if e.Fields["message"] == "attempt: failed" {
			dropped += e.Fields["count"].(int)
		}
	}
	t.Logf("%d requests, %d attempts: %d lines, %d dropped", callers*requestsPerCaller, attempts, logged, dropped)
	if logged > logging.DefaultBurst || logged+dropped < attempts {
		t.Errorf("%d lines and %d dropped for %d attempts", logged, dropped, attempts)
	}
	if n := len(l.entries); n > 10*logging.DefaultBurst {
		t.Errorf("%d lines in all", n)
	}
}
