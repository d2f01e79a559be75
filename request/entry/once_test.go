package entry

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/once"
	"github.com/pomelospool/pomelospool/version/document"
)

// ledger is a Keeper that lets every call run and notes what became of it.
type ledger struct {
	begin chan struct{} // if set, Begin waits for it
	ended chan string
}

func newLedger() *ledger { return &ledger{ended: make(chan string, 10)} }

func (l *ledger) Begin(ctx context.Context, c once.Call) (once.Ticket, *once.Answer, error) {
	if l.begin != nil {
		<-l.begin
	}
	if c.Key == "known" {
		return nil, &once.Answer{Status: 201, Body: []byte("first")}, nil
	}
	return l, nil, nil
}

func (l *ledger) Done(a once.Answer) { l.ended <- "done " + string(a.Body) }
func (l *ledger) NotRun(c code.Code) { l.ended <- "not run" }
func (l *ledger) Unknown()           { l.ended <- "unknown" }
func withLedger(l *ledger) func(*Options, *document.Document) {
	return func(o *Options, _ *document.Document) { o.Once = l }
}

// TestOnceFaults: a family's slot hold meets a target that fails in some way.
// The hold reaches a target at most once, whatever happens; the caller is told
// truly whether it ran, and the ticket is closed to match.
func TestOnceFaults(t *testing.T) {
	answers := func(c *call) { c.w.Header().Set("X-Request-Id", c.id); c.raw("held") }
	cases := []struct {
		name   string
		play   func(c *call) // nil: nothing listens there
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
			a, b := newScript(t, tc.play), newScript(t, tc.play)
			if tc.play == nil {
				a.Close()
				b.Close()
			}
			l := newLedger()
			f := newFixture(t, nil, []string{a.addr(), b.addr()}, withLedger(l))
			r := f.do("POST", "/s/app/holds/7", "seat", "Idempotency-Key", "k")
			if r.code() != tc.code || r.header.Get(answer.HeaderNotRun) != tc.notRun {
				t.Errorf("caller saw %+v", r)
			}
			if got := <-l.ended; got != tc.ticket {
				t.Errorf("ticket: %s, want %s", got, tc.ticket)
			}
			if n := a.count() + b.count(); n != tc.runs {
				t.Errorf("%d runs, want %d", n, tc.runs)
			}
		})
	}
}

// TestOnceOnReusedConnection: a target closes its idle connections just when a
// hold is sent, after it had run earlier ones. net/http repeats a request with
// an Idempotency-Key by itself on a broken reused connection: the hold would
// run twice, and nobody would know.
func TestOnceOnReusedConnection(t *testing.T) {
	s := newScript(t, func(c *call) {
		if c.prompt == "break" {
			c.reset()
		}
		c.w.Header().Set("X-Request-Id", c.id)
		c.raw("ok")
	})
	l := newLedger()
	f := newFixture(t, nil, []string{s.addr()}, withLedger(l))
	f.do("POST", "/s/app/read", "warm")
	for _, body := range []string{`{"prompt":"break"}`, ""} {
		before := s.count()
		r := f.do("DELETE", "/s/app/holds/7", body, "Idempotency-Key", "k")
		if n := s.count() - before; n != 1 {
			t.Errorf("%d runs, want 1 (caller saw %s)", n, r.code())
		}
	}
}

// TestOnceCallerGone: a family's app loses its connection after the hold was
// sent to the target. The hold is running; cancelling it would leave its
// outcome unknown for good. It runs to its end and the answer is recorded.
func TestOnceCallerGone(t *testing.T) {
	reached, proceed := make(chan struct{}), make(chan struct{})
	s := newScript(t, func(c *call) {
		close(reached)
		select {
		case <-proceed:
		case <-c.ctx:
		}
		c.w.Header().Set("X-Request-Id", c.id)
		c.raw("held")
	})
	l := newLedger()
	f := newFixture(t, nil, []string{s.addr()}, func(o *Options, d *document.Document) {
		o.Once = l
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
		t.Errorf("%d requests count as open, want 1: a drain would cut the hold", n)
	}
	close(proceed)
	if got := <-l.ended; got != "done held" {
		t.Errorf("ticket: %s", got)
	}
}

// TestOnceForm: the calls that never reach a target or a key.
func TestOnceForm(t *testing.T) {
	s := newScript(t, func(c *call) { c.w.Header().Set("X-Request-Id", c.id); c.raw("ran") })
	f := newFixture(t, nil, []string{s.addr()}, withLedger(newLedger()))
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
