package entry

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/pipenet"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/once"
	"github.com/pomelospool/pomelospool/version/document"
)

// fakeDeduplicator is a Deduplicator that lets every call run, except one with
// the key "known", and records the outcomes.
type fakeDeduplicator struct {
	beginAllowed chan struct{} // if not nil, Begin waits for it
	outcomes     chan string
}

func newFakeDeduplicator() *fakeDeduplicator {
	return &fakeDeduplicator{outcomes: make(chan string, 10)}
}

func (d *fakeDeduplicator) Begin(ctx context.Context, c once.Call) (once.Ticket, *once.Answer, error) {
	if d.beginAllowed != nil {
		<-d.beginAllowed
	}
	if c.Key == "known" {
		return nil, &once.Answer{Status: 201, Body: []byte("first")}, nil
	}
	return d, nil, nil
}

func (d *fakeDeduplicator) Done(a once.Answer) { d.outcomes <- "done " + string(a.Body) }
func (d *fakeDeduplicator) NotRun(c code.Code) { d.outcomes <- "not run" }
func (d *fakeDeduplicator) Unknown()           { d.outcomes <- "unknown" }
func withDeduplicator(d *fakeDeduplicator) func(*Options, *document.Document) {
	return func(o *Options, _ *document.Document) { o.Once = d }
}

// TestOnceFaults covers non-idempotent calls to targets that fail in different
// ways. The call must reach a target at most once. The answer must state
// correctly whether it ran, and the ticket must be closed accordingly.
func TestOnceFaults(t *testing.T) {
	answers := func(c *call) { c.w.Header().Set("X-Request-Id", c.id); c.raw("held") }
	cases := []struct {
		name   string
		play   func(c *call) // nil: the targets don't listen
		code   string
		ticket string
		notRun string
		runs   int
	}{
		{"answered", answers, "0", "done held", "", 1},
		{"own failure", func(c *call) {
			c.w.Header().Set("X-Request-Id", c.id)
			c.w.WriteHeader(http.StatusConflict)
		}, "0", "done ", "", 1},
		{"server error", func(c *call) {
			c.w.Header().Set("X-Request-Id", c.id)
			c.w.WriteHeader(http.StatusServiceUnavailable)
		}, "0", "done ", "", 1},
		{"refused by the target unrun", func(c *call) {
			c.w.Header().Set("X-Request-Id", c.id)
			c.w.Header().Set("X-Not-Run", "true")
			c.w.WriteHeader(http.StatusServiceUnavailable)
		}, "2001", "not run", "true", 1},
		{"answer lost", func(c *call) { c.reset() }, "3003", "unknown", "", 1},
		{"answer cut", func(c *call) { c.w.Header().Set("Content-Length", "9"); answers(c); c.reset() }, "3003", "unknown", "", 1},
		{"another's answer", func(c *call) { c.w.Header().Set("X-Request-Id", "other"); c.raw("held") }, "3003", "unknown", "", 1},
		{"silent", func(c *call) { c.hang() }, "3003", "unknown", "", 1},
		{"unreachable", nil, "2002", "not run", "true", 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runInBubble(t, func(t *testing.T, n *pipenet.Net) {
				defer n.Close()
				runs := func() int { return 0 }
				if tc.play != nil {
					a, b := serveScriptedTarget(n, "a:80", tc.play), serveScriptedTarget(n, "b:80", tc.play)
					runs = func() int { return a.count() + b.count() }
				}
				dedup := newFakeDeduplicator()
				f := newFixtureOn(t, n, nil, []string{"a:80", "b:80"}, withDeduplicator(dedup))
				r := f.do("POST", "/s/app/holds/7", "seat", "Idempotency-Key", "k")
				if r.code() != tc.code || r.header.Get(answer.HeaderNotRun) != tc.notRun {
					t.Errorf("caller saw %+v", r)
				}
				if got := <-dedup.outcomes; got != tc.ticket {
					t.Errorf("ticket: %s, want %s", got, tc.ticket)
				}
				synctest.Wait()
				if n := runs(); n != tc.runs {
					t.Errorf("%d runs, want %d", n, tc.runs)
				}
			})
		})
	}
}

// TestOnceOnReusedConnection covers a target that closes its reused connections
// just when a non-idempotent call is sent. net/http itself repeats a request
// with an Idempotency-Key on a broken reused connection, so the call would run
// twice without notice.
func TestOnceOnReusedConnection(t *testing.T) {
	s := newScriptedTarget(t, func(c *call) {
		if c.prompt == "break" {
			c.reset()
		}
		c.w.Header().Set("X-Request-Id", c.id)
		c.raw("ok")
	})
	dedup := newFakeDeduplicator()
	f := newFixture(t, nil, []string{s.addr()}, withDeduplicator(dedup))
	f.do("POST", "/s/app/read", "warm")
	for _, body := range []string{`{"prompt":"break"}`, ""} {
		before := s.count()
		r := f.do("DELETE", "/s/app/holds/7", body, "Idempotency-Key", "k")
		if n := s.count() - before; n != 1 {
			t.Errorf("%d runs, want 1 (caller saw %s)", n, r.code())
		}
	}
}

// TestOnceCallerGone covers a caller that disconnects after the call was sent
// to the target. Cancelling the call would leave its outcome unknown. It must
// run to its end and its answer must be recorded.
func TestOnceCallerGone(t *testing.T) {
	reached, proceed := make(chan struct{}), make(chan struct{})
	s := newScriptedTarget(t, func(c *call) {
		close(reached)
		select {
		case <-proceed:
		case <-c.ctx:
		}
		c.w.Header().Set("X-Request-Id", c.id)
		c.raw("held")
	})
	dedup := newFakeDeduplicator()
	f := newFixture(t, nil, []string{s.addr()}, func(o *Options, d *document.Document) {
		o.Once = dedup
		o.MinHeaderTimeout = time.Minute
	})
	ctx, cancel := context.WithCancel(t.Context())
	req, _ := http.NewRequestWithContext(ctx, "POST", f.url+"/s/app/holds/7", strings.NewReader("seat"))
	req.Header.Set(headerKey, "k")
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
	<-reached
	cancel()
	<-gone
	if n := f.entry.Open(); n != 1 {
		t.Errorf("%d requests count as open, want 1: a drain would cut the call", n)
	}
	close(proceed)
	if got := <-dedup.outcomes; got != "done held" {
		t.Errorf("ticket: %s", got)
	}
}

// TestOnceRejectsInvalidRequests covers calls that must not reach a target.
func TestOnceRejectsInvalidRequests(t *testing.T) {
	s := newScriptedTarget(t, func(c *call) { c.w.Header().Set("X-Request-Id", c.id); c.raw("ran") })
	f := newFixture(t, nil, []string{s.addr()}, withDeduplicator(newFakeDeduplicator()))
	cases := []struct{ name, path, key, code, body string }{
		{"no key", "/s/app/holds/7", "", "3001", ""},
		{"escaped", "/s/app/%68olds/7", "", "3001", ""},
		{"dots", "/s/app/x/../holds/7", "k", "1007", ""},
		{"escaped dots", "/s/app/x/%2e%2e/holds/7", "k", "1007", ""},
		{"double slash", "/s/app//holds/7", "k", "1007", ""},
		{"long key", "/s/app/holds/7", strings.Repeat("k", 200), "1007", ""},
		{"known", "/s/app/holds/7", "known", "0", "first"},
	}
	for _, tc := range cases {
		r := f.do("POST", tc.path, "seat", "Idempotency-Key", tc.key)
		if r.code() != tc.code || tc.body != "" && r.body != tc.body {
			t.Errorf("%s: code %s, body %q", tc.name, r.code(), r.body)
		}
	}
	if s.count() != 0 {
		t.Errorf("%d calls ran", s.count())
	}
}
