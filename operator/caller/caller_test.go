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

// response is the handler of one attempt.
type response func(w http.ResponseWriter, r *http.Request)

// testFleet is a set of fake daemons that share one list of responses. Attempt i
// gets response i, whichever daemon it is sent to; the last one repeats.
type testFleet struct {
	t          *testing.T
	servers    []*httptest.Server
	extraAddrs []string // further addresses that the daemons list

	mu        sync.Mutex
	responses []response
	hosts     []string // host of the daemon that received each attempt
	keys      []string
}

func newTestFleet(t *testing.T, n int, responses ...response) *testFleet {
	f := &testFleet{t: t, responses: responses}
	for range n {
		s := httptest.NewServer(f)
		t.Cleanup(s.Close)
		f.servers = append(f.servers, s)
	}
	return f
}

func (f *testFleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathAddresses {
		a := Addresses{TTLMs: 60000}
		for i, s := range f.servers {
			a.Addresses = append(a.Addresses, Address{Addr: host(s), Zone: fmt.Sprint("zone-", i)})
		}
		for _, e := range f.extraAddrs {
			a.Addresses = append(a.Addresses, Address{Addr: e})
		}
		_ = json.NewEncoder(w).Encode(a)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	f.mu.Lock()
	i := min(len(f.hosts), len(f.responses)-1)
	f.hosts = append(f.hosts, r.Host)
	f.keys = append(f.keys, r.Header.Get(HeaderKey))
	f.mu.Unlock()
	f.responses[i](w, r)
}

// attempts returns the host and the key of each attempt.
func (f *testFleet) attempts() (hosts, keys []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.hosts), slices.Clone(f.keys)
}

func (f *testFleet) client() *Client {
	c := New(Options{Daemons: []string{host(f.servers[0])}, Seed: 1})
	f.t.Cleanup(c.Close)
	return c
}

func host(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }

// streamResponse sends events, with ID replaced by the request's id.
func streamResponse(events ...string) response {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, e := range events {
			fmt.Fprintf(w, "data: %s\n\n", strings.ReplaceAll(e, "ID", r.Header.Get(HeaderRequestID)))
		}
	}
}

func tokenEvent(i int) string {
	return fmt.Sprintf(`{"id":"ID","token_index":%d,"choices":[{"delta":{"content":" t%d"}}]}`, i, i)
}

const (
	stopEvent = `{"id":"ID","token_index":2,"choices":[{"delta":{"content":" t2"},"finish_reason":"stop"}]}`
	doneEvent = "[DONE]"
)

func refusal(c code.Code, header, body bool) response {
	return func(w http.ResponseWriter, _ *http.Request) {
		if header {
			w.Header().Set(HeaderNotRun, "true")
		}
		w.WriteHeader(c.Info().Status)
		fmt.Fprintf(w, `{"error":{"code":%d,"message":"no","not_run":%t,"retry_after_ms":1}}`, int(c), body)
	}
}

// abortConnection closes the connection without an answer, as a killed daemon does.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func answerOfAnotherRequest(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRequestID, "another")
	streamResponse(tokenEvent(0), tokenEvent(1), stopEvent, doneEvent)(w, r)
}

// Daemons refuse, close the connection, cut an answer or send another request's
// answer. The client must return a complete answer or the correct code, and must
// not retry a request that may have run and may not run twice.
func TestDo(t *testing.T) {
	complete := streamResponse(tokenEvent(0), tokenEvent(1), stopEvent, doneEvent)
	other := `{"id":"another","token_index":0,"choices":[{"delta":{"content":" x"}}]}`
	cutError := `{"error":{"code":2006,"message":"gone","not_run":false}}`
	chat := Chat("m", "hello", 3)
	notIdempotent := chat
	notIdempotent.Idempotent = false
	verified := chat
	verified.Verify = func(i int, text string) bool { return text == fmt.Sprintf(" t%d", i) }
	wrong := notIdempotent
	wrong.Verify = func(i int, _ string) bool { return i != 1 }
	plain := Request{Path: "/s/app/holds", Body: []byte("{}")}
	keyed := plain
	keyed.Key = "k1"
	tests := []struct {
		name      string
		req       Request
		responses []response
		code      code.Code
		attempts  int
		cut       int
		faults    Faults
	}{
		{"whole", verified, []response{complete}, code.OK, 1, 0, Faults{}},
		{"draining, then another", chat, []response{refusal(code.Draining, true, true), complete}, code.OK, 2, 0, Faults{}},
		{"overloaded, later", chat, []response{refusal(code.Overloaded, true, true), complete}, code.OK, 2, 0, Faults{}},
		// Unless both the header and the body say "not run", the call may have run.
		{"not run only in the body", plain, []response{refusal(code.Draining, false, true), complete}, code.Draining, 1, 0, Faults{}},
		{"not run only in the header", plain, []response{refusal(code.Draining, true, false), complete}, code.Draining, 1, 0, Faults{}},
		{"refused for good", chat, []response{refusal(code.PromptTooLong, true, true), complete}, code.PromptTooLong, 1, 0, Faults{}},
		{"outcome unknown, with key", keyed, []response{refusal(code.OutcomeUnknown, false, false), complete}, code.OutcomeUnknown, 1, 0, Faults{}},
		// A daemon is killed after it sent some tokens. The connection is closed
		// cleanly, and only the end marker is missing.
		{"cut, restarted", chat, []response{streamResponse(tokenEvent(0), tokenEvent(1)), complete}, code.OK, 2, 1, Faults{}},
		{"cut, no restart", notIdempotent, []response{streamResponse(tokenEvent(0), tokenEvent(1)), complete}, code.StreamCut, 1, 1, Faults{}},
		{"end marker without finish", notIdempotent, []response{streamResponse(tokenEvent(0), tokenEvent(1), doneEvent)}, code.StreamCut, 1, 1, Faults{}},
		{"error within the stream", notIdempotent, []response{streamResponse(tokenEvent(0), cutError)}, code.StreamCut, 1, 1, Faults{}},
		{"daemon gone, no key", plain, []response{abortConnection, complete}, code.OutcomeUnknown, 1, 0, Faults{}},
		{"daemon gone, same key", keyed, []response{abortConnection, complete}, code.OK, 2, 0, Faults{}},
		{"crossed event", notIdempotent, []response{streamResponse(tokenEvent(0), other, tokenEvent(1), stopEvent, doneEvent)}, code.OK, 1, 0, Faults{Crossed: 1}},
		{"crossed answer", notIdempotent, []response{answerOfAnotherRequest}, code.AnswerMismatch, 1, 0, Faults{Crossed: 1}},
		{"doubled token", notIdempotent, []response{streamResponse(tokenEvent(0), tokenEvent(0), tokenEvent(1), stopEvent, doneEvent)}, code.OK, 1, 0, Faults{Duplicated: 1}},
		{"lost token", notIdempotent, []response{streamResponse(tokenEvent(0), stopEvent, doneEvent)}, code.AnswerMismatch, 1, 0, Faults{Lost: 1}},
		{"wrong token", wrong, []response{complete}, code.AnswerMismatch, 1, 0, Faults{Wrong: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newTestFleet(t, 3, tt.responses...)
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
			hosts, keys := f.attempts()
			if a.Attempts != tt.attempts || len(hosts) != tt.attempts || a.CutAttempts != tt.cut || a.Faults != tt.faults {
				t.Errorf("%d attempts (%d received), %d cut, %+v; want %d, %d, %+v", a.Attempts, len(hosts), a.CutAttempts, a.Faults, tt.attempts, tt.cut, tt.faults)
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

// A draining daemon refuses; the next attempt must go to another daemon.
func TestRetryAfterDrainingUsesAnotherDaemon(t *testing.T) {
	f := newTestFleet(t, 2, refusal(code.Draining, true, true), streamResponse(tokenEvent(0), tokenEvent(1), stopEvent, doneEvent))
	if _, err := f.client().Do(t.Context(), Chat("m", "p", 3)); err != nil {
		t.Fatal(err)
	}
	if hosts, _ := f.attempts(); hosts[0] == hosts[1] {
		t.Errorf("both attempts went to %s", hosts[0])
	}
}

// A client with a zone uses other zones only when every daemon in its own failed.
func TestOwnZoneFirst(t *testing.T) {
	ok := func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{}") }
	f := newTestFleet(t, 3, ok)
	c := New(Options{Daemons: []string{host(f.servers[0])}, Zone: "zone-1"})
	defer c.Close()
	own := host(f.servers[1])
	for i := range 12 {
		if i == 6 {
			c.cache.markFailed(own)
		}
		a, err := c.Do(t.Context(), Request{Path: "/s/app/x"})
		if err != nil || (a.Addr == own) != (i < 6) {
			t.Errorf("call %d went to %s, %v", i, a.Addr, err)
		}
	}
}

// A listed address may belong to a daemon that exited since. A refused connection
// proves that nothing ran, so even a call without a key is sent to the next
// address.
func TestDeadAddressIsSkipped(t *testing.T) {
	dead := httptest.NewServer(nil)
	dead.Close()
	ok := func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{}") }
	f := newTestFleet(t, 1, ok)
	f.extraAddrs = []string{host(dead)}
	c := f.client()
	for range 10 {
		c.cache.expires = time.Time{} // forces a refresh, which lists the dead address again
		a, err := c.Do(t.Context(), Request{Path: "/s/app/x"})
		if err != nil || a.Addr != host(f.servers[0]) {
			t.Fatalf("%+v, %v", a, err)
		}
	}
	if hosts, _ := f.attempts(); len(hosts) != 10 {
		t.Errorf("%d runs for 10 calls", len(hosts))
	}
}

// A daemon is killed while it runs a call with a key. The client retries at the
// other daemons, which are draining and refuse with "not run". If the client
// reported "not run" for the whole call, the application would repeat it under
// another key, and it would run twice.
func TestNotRunHoldsForAllAttempts(t *testing.T) {
	draining := refusal(code.Draining, true, true)
	keyed := Request{Path: "/s/app/holds", Body: []byte("{}"), Key: "k1"}
	chat := Chat("m", "hello", 3)
	for _, tt := range []struct {
		name      string
		req       Request
		responses []response
		code      code.Code
		notRun    bool
	}{
		{"all refused", keyed, []response{draining}, code.Draining, true},
		{"daemon gone, then refused", keyed, []response{abortConnection, draining}, code.OutcomeUnknown, false},
		{"busy, then refused", keyed, []response{refusal(code.KeyBusy, false, false), draining}, code.OutcomeUnknown, false},
		{"stream cut, then refused", chat, []response{streamResponse(tokenEvent(0)), draining}, code.OutcomeUnknown, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a, err := newTestFleet(t, 3, tt.responses...).client().Do(t.Context(), tt.req)
			if a.NotRun != tt.notRun || a.Code != tt.code || code.Of(err) != tt.code {
				t.Errorf("not run %t, code %d, error %v; want %t, %d", a.NotRun, a.Code, err, tt.notRun, tt.code)
			}
		})
	}
}

// While all daemons are replaced at once, every address refuses connections for
// some seconds, or its daemon hasn't read the configuration yet. A client whose
// deadline isn't reached must still retry when the first daemon serves.
func TestRetryDelayGrowsWhileNoDaemonServes(t *testing.T) {
	c := &call{a: &Answer{}}
	var total time.Duration
	for range 20 {
		total += minRetryDelay << c.backoffDoublings(retryDecision{retry: true, otherDaemon: true})
	}
	if total < 5*time.Second || total > 15*time.Second {
		t.Errorf("20 attempts last %v", total)
	}
	if n := c.backoffDoublings(retryDecision{retry: true}); n != 0 {
		t.Errorf("after a daemon that serves the pause is doubled %d times", n)
	}
}

// Guards against a truncated answer that counts as complete.
func TestTooLargeAnswerIsNotComplete(t *testing.T) {
	for size, complete := range map[int]bool{maxBody: true, maxBody + 1: false} {
		f := newTestFleet(t, 1, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, size)) })
		a, err := f.client().Do(t.Context(), Request{Path: "/s/app/holds", Body: []byte("{}")})
		if a.Complete != complete || (err == nil) != complete {
			t.Errorf("%d bytes: complete %v, error %v", size, a.Complete, err)
		}
	}
}
