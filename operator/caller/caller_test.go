package caller

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
)

// act answers one attempt.
type act func(w http.ResponseWriter, r *http.Request)

// fleet is some daemons that answer the attempts of a test one after another,
// whichever of them is asked.
type fleet struct {
	t       *testing.T
	servers []*httptest.Server
	extra   []string // further addresses that the daemons name

	mu    sync.Mutex
	acts  []act
	hosts []string // which daemon got each attempt
	keys  []string
}

func newFleet(t *testing.T, n int, acts ...act) *fleet {
	f := &fleet{t: t, acts: acts}
	for range n {
		s := httptest.NewServer(f)
		t.Cleanup(s.Close)
		f.servers = append(f.servers, s)
	}
	return f
}

func (f *fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathAddresses {
		a := Addresses{TTLMs: 60000}
		for i, s := range f.servers {
			a.Addresses = append(a.Addresses, Address{Addr: host(s), Zone: fmt.Sprint("zone-", i)})
		}
		for _, e := range f.extra {
			a.Addresses = append(a.Addresses, Address{Addr: e})
		}
		_ = json.NewEncoder(w).Encode(a)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	f.mu.Lock()
	i := min(len(f.hosts), len(f.acts)-1)
	f.hosts = append(f.hosts, r.Host)
	f.keys = append(f.keys, r.Header.Get(HeaderKey))
	f.mu.Unlock()
	f.acts[i](w, r)
}

// seen returns which daemon got each attempt, and its keys.
func (f *fleet) seen() (hosts, keys []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.hosts), slices.Clone(f.keys)
}

func (f *fleet) client() *Client {
	c := New(Options{Daemons: []string{host(f.servers[0])}, Seed: 1})
	f.t.Cleanup(c.Close)
	return c
}

func host(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// stream sends events; ID in an event stands for the request's id.
func stream(events ...string) act {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, e := range events {
			fmt.Fprintf(w, "data: %s\n\n", strings.ReplaceAll(e, "ID", r.Header.Get(HeaderRequestID)))
		}
	}
}

func tok(i int) string {
	return fmt.Sprintf(`{"id":"ID","token_index":%d,"choices":[{"delta":{"content":" t%d"}}]}`, i, i)
}

const (
	stop = `{"id":"ID","token_index":2,"choices":[{"delta":{"content":" t2"},"finish_reason":"stop"}]}`
	done = "[DONE]"
)

func refuse(c code.Code, header, body bool) act {
	return func(w http.ResponseWriter, _ *http.Request) {
		if header {
			w.Header().Set(HeaderNotRun, "true")
		}
		w.WriteHeader(c.Info().Status)
		fmt.Fprintf(w, `{"error":{"code":%d,"message":"no","not_run":%t,"retry_after_ms":1}}`, int(c), body)
	}
}

// vanish closes the connection without an answer, as a killed daemon does.
func vanish(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func crossedHeader(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRequestID, "another")
	stream(tok(0), tok(1), stop, done)(w, r)
}

// Daemons refuse, vanish, cut an answer or give another request's. The caller
// must come to its own whole answer or a true code, and send again only what
// may be sent again.
func TestDo(t *testing.T) {
	whole := stream(tok(0), tok(1), stop, done)
	other := `{"id":"another","token_index":0,"choices":[{"delta":{"content":" x"}}]}`
	broken := `{"error":{"code":2006,"message":"gone","not_run":false}}`
	chat := Chat("m", "hello", 3)
	fixed := chat
	fixed.Idempotent = false
	verified := chat
	verified.Verify = func(i int, text string) bool { return text == fmt.Sprintf(" t%d", i) }
	wrong := fixed
	wrong.Verify = func(i int, _ string) bool { return i != 1 }
	plain := Request{Path: "/s/app/holds", Body: []byte("{}")}
	keyed := plain
	keyed.Key = "k1"
	tests := []struct {
		name     string
		req      Request
		acts     []act
		code     code.Code
		attempts int
		cut      int
		faults   Faults
	}{
		{"whole", verified, []act{whole}, code.OK, 1, 0, Faults{}},
		{"draining, then another", chat, []act{refuse(code.Draining, true, true), whole}, code.OK, 2, 0, Faults{}},
		{"overloaded, later", chat, []act{refuse(code.Overloaded, true, true), whole}, code.OK, 2, 0, Faults{}},
		// A refusal that doesn't say "not run" twice over may have run.
		{"not run only in the body", plain, []act{refuse(code.Draining, false, true), whole}, code.Draining, 1, 0, Faults{}},
		{"not run only in the header", plain, []act{refuse(code.Draining, true, false), whole}, code.Draining, 1, 0, Faults{}},
		{"refused for good", chat, []act{refuse(code.PromptTooLong, true, true), whole}, code.PromptTooLong, 1, 0, Faults{}},
		{"outcome unknown, with key", keyed, []act{refuse(code.OutcomeUnknown, false, false), whole}, code.OutcomeUnknown, 1, 0, Faults{}},
		// A daemon is killed after it sent some tokens. The connection closes
		// in good order, only the end marker is missing.
		{"cut, restarted", chat, []act{stream(tok(0), tok(1)), whole}, code.OK, 2, 1, Faults{}},
		{"cut, no restart", fixed, []act{stream(tok(0), tok(1)), whole}, code.StreamCut, 1, 1, Faults{}},
		{"end marker without finish", fixed, []act{stream(tok(0), tok(1), done)}, code.StreamCut, 1, 1, Faults{}},
		{"error within the stream", fixed, []act{stream(tok(0), broken)}, code.StreamCut, 1, 1, Faults{}},
		{"daemon gone, no key", plain, []act{vanish, whole}, code.OutcomeUnknown, 1, 0, Faults{}},
		{"daemon gone, same key", keyed, []act{vanish, whole}, code.OK, 2, 0, Faults{}},
		{"crossed event", fixed, []act{stream(tok(0), other, tok(1), stop, done)}, code.OK, 1, 0, Faults{Crossed: 1}},
		{"crossed answer", fixed, []act{crossedHeader}, code.AnswerMismatch, 1, 0, Faults{Crossed: 1}},
		{"doubled token", fixed, []act{stream(tok(0), tok(0), tok(1), stop, done)}, code.OK, 1, 0, Faults{Duplicated: 1}},
		{"lost token", fixed, []act{stream(tok(0), stop, done)}, code.AnswerMismatch, 1, 0, Faults{Lost: 1}},
		{"wrong token", wrong, []act{whole}, code.AnswerMismatch, 1, 0, Faults{Wrong: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, 3, tt.acts...)
			var text []string
			tt.req.OnToken = func(tok Token) {
				if tok.Index == 0 {
					text = nil
				}
				text = append(text, tok.Text)
			}
			a, err := f.client().Do(t.Context(), tt.req)
			if code.Of(err) != tt.code || a.Code != tt.code || a.Complete != (tt.code == code.OK) {
				t.Errorf("error %v, answer %+v, want code %d", err, a, tt.code)
			}
			hosts, keys := f.seen()
			if a.Attempts != tt.attempts || len(hosts) != tt.attempts || a.CutAttempts != tt.cut || a.Faults != tt.faults {
				t.Errorf("%d attempts (%d seen), %d cut, %+v; want %d, %d, %+v", a.Attempts, len(hosts), a.CutAttempts, a.Faults, tt.attempts, tt.cut, tt.faults)
			}
			if a.Complete && tt.req.Stream && strings.Join(text, "") != " t0 t1 t2" {
				t.Errorf("text %q", text)
			}
			for i, k := range keys {
				if k != tt.req.Key {
					t.Errorf("attempt %d has key %q", i, k)
				}
			}
		})
	}
}

// A daemon that drains names others: the next attempt goes to one of those.
func TestNextAttemptGoesElsewhere(t *testing.T) {
	f := newFleet(t, 2, refuse(code.Draining, true, true), stream(tok(0), tok(1), stop, done))
	if _, err := f.client().Do(t.Context(), Chat("m", "p", 3)); err != nil {
		t.Fatal(err)
	}
	if hosts, _ := f.seen(); hosts[0] == hosts[1] {
		t.Errorf("both attempts went to %s", hosts[0])
	}
}

// A caller with a zone stays within it, until nothing there is left.
func TestOwnZoneFirst(t *testing.T) {
	ok := func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{}") }
	f := newFleet(t, 3, ok)
	c := New(Options{Daemons: []string{host(f.servers[0])}, Zone: "zone-1"})
	defer c.Close()
	own := host(f.servers[1])
	for i := range 12 {
		if i == 6 {
			c.book.fail(own)
		}
		a, err := c.Do(t.Context(), Request{Path: "/s/app/x"})
		if err != nil || (a.Addr == own) != (i < 6) {
			t.Errorf("call %d went to %s, %v", i, a.Addr, err)
		}
	}
}

// An address in a list may be a daemon that died since. A refused connection
// proves that nothing ran, so even a call without a key goes on to the next.
func TestDeadAddressIsSkipped(t *testing.T) {
	dead := httptest.NewServer(nil)
	dead.Close()
	ok := func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{}") }
	f := newFleet(t, 1, ok)
	f.extra = []string{host(dead)}
	c := f.client()
	for range 10 {
		c.book.expires = time.Time{} // read the list again, with the dead address
		a, err := c.Do(t.Context(), Request{Path: "/s/app/x"})
		if err != nil || a.Addr != host(f.servers[0]) {
			t.Fatalf("%+v, %v", a, err)
		}
	}
	if hosts, _ := f.seen(); len(hosts) != 10 {
		t.Errorf("%d runs for 10 calls", len(hosts))
	}
}

// A daemon is killed while it runs a ticket confirmation; the caller asks the
// others with the same key, and all of them are draining. Each of those refusals
// is true, but a caller told "not run" for the whole would confirm the ticket
// anew under another key, and charge the family twice.
func TestNotRunHoldsForAllAttempts(t *testing.T) {
	draining := refuse(code.Draining, true, true)
	keyed := Request{Path: "/s/app/holds", Body: []byte("{}"), Key: "k1"}
	chat := Chat("m", "hello", 3)
	for _, tt := range []struct {
		name   string
		req    Request
		acts   []act
		code   code.Code
		notRun bool
	}{
		{"all refused", keyed, []act{draining}, code.Draining, true},
		{"daemon gone, then refused", keyed, []act{vanish, draining}, code.OutcomeUnknown, false},
		{"busy, then refused", keyed, []act{refuse(code.KeyBusy, false, false), draining}, code.OutcomeUnknown, false},
		{"stream cut, then refused", chat, []act{stream(tok(0)), draining}, code.OutcomeUnknown, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a, err := newFleet(t, 3, tt.acts...).client().Do(t.Context(), tt.req)
			if a.NotRun != tt.notRun || a.Code != tt.code || code.Of(err) != tt.code {
				t.Errorf("not run %t, code %d, error %v; want %t, %d", a.NotRun, a.Code, err, tt.notRun, tt.code)
			}
		})
	}
}

// All daemons are replaced at once, and for some seconds every address refuses
// the connection, or the daemon there has not read the configuration yet. A
// caller with time left must still be asking when the first one serves.
func TestPausesGrowWhileNoDaemonServes(t *testing.T) {
	c := &call{a: &Answer{}}
	var total time.Duration
	for range 20 {
		total += pauseElsewhere << c.doublings(step{again: true, elsewhere: true})
	}
	if total < 5*time.Second || total > 15*time.Second {
		t.Errorf("20 attempts last %v", total)
	}
	if n := c.doublings(step{again: true}); n != 0 {
		t.Errorf("after a daemon that serves the pause is doubled %d times", n)
	}
}
