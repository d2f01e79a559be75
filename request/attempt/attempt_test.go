package attempt

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/pool"
	"github.com/pomelospool/pomelospool/internal/pipenet"
	"github.com/pomelospool/pomelospool/request/quarantine"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/version/document"
	"github.com/pomelospool/pomelospool/version/view"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

// firstAvailable routes to the first live target that isn't excluded.
type firstAvailable struct{}

func (firstAvailable) Route(r routing.Request, targets []routing.Target) (routing.Decision, error) {
	for _, t := range targets {
		excluded := false
		for _, x := range r.Exclude {
			excluded = excluded || x == t.Name
		}
		if t.Live && !excluded {
			return routing.Decision{Target: t.Name}, nil
		}
	}
	return routing.Decision{}, code.New(code.NoTarget, "")
}

type staticTargets []routing.Target

func (s staticTargets) Targets(*view.Service) []routing.Target { return s }

// bodyReceiver stores the body of an answer.
type bodyReceiver struct{ body string }

func (r *bodyReceiver) Progress() int   { return 0 }
func (r *bodyReceiver) Committed() bool { return false }
func (r *bodyReceiver) Receive(a Answer) error {
	body, err := io.ReadAll(a.Body)
	r.body = string(body)
	return err
}

func request(idempotent bool) *Request {
	doc := &document.Document{Service: "s", Retry: document.Retry{Attempts: 3, Budget: 0.1}}
	return &Request{
		ID: "r", Service: &view.Service{Doc: doc}, Deadline: time.Now().Add(time.Hour),
		Method: "POST", Path: "/", Header: http.Header{}, Body: func(int) []byte { return []byte("body") },
		Idempotent: idempotent, Fingerprint: quarantine.Fingerprint{7},
	}
}

// TestRetryAfterProgressTimeout checks that a request whose connection makes no
// progress, before or during the answer, is sent to another engine as soon as
// the progress timeout expires, although its deadline is an hour away.
func TestRetryAfterProgressTimeout(t *testing.T) {
	for _, begun := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			net := &pipenet.Net{}
			net.Serve("a:1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				io.Copy(io.Discard, r.Body)
				w.Header().Set(HeaderID, r.Header.Get(HeaderID))
				if begun {
					io.WriteString(w, "par")
					http.NewResponseController(w).Flush()
				}
				<-r.Context().Done()
			}))
			net.Serve("b:1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(HeaderID, r.Header.Get(HeaderID))
				io.WriteString(w, "whole")
			}))
			p := pool.New(pool.Options{Dial: net.Dial})
			r := NewRunner(Options{Pool: p, Router: firstAvailable{}, Targets: staticTargets{
				{Name: "a", Addr: "a:1", Live: true}, {Name: "b", Addr: "b:1", Live: true},
			}})
			recv := &bodyReceiver{}
			start := time.Now()
			if _, err := r.Run(t.Context(), request(true), nil, recv); err != nil || recv.body != "whole" {
				t.Errorf("begun %v: got %q, %v", begun, recv.body, err)
			}
			if took := time.Since(start); took != defaultHeaderTimeout {
				t.Errorf("begun %v: answered after %v, want %v", begun, took, defaultHeaderTimeout)
			}
			net.Close()
			p.Close()
		})
	}
}

// fakeTracker is a Tracker that records its calls.
type fakeTracker struct {
	mu       sync.Mutex
	verdict  quarantine.Verdict
	inFlight int
	events   []string
}

func (tr *fakeTracker) Check(quarantine.Fingerprint) (quarantine.Verdict, time.Duration) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.verdict, time.Minute
}
func (tr *fakeTracker) Begin(quarantine.Fingerprint, string) { tr.record(1, "begin") }
func (tr *fakeTracker) End(quarantine.Fingerprint, string)   { tr.record(-1, "end") }
func (tr *fakeTracker) Crashed(string)                       { tr.record(0, "crashed") }

func (tr *fakeTracker) set(v quarantine.Verdict) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.verdict = v
}

func (tr *fakeTracker) record(n int, what string) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.inFlight += n
	tr.events = append(tr.events, what)
}

// TestCrashIsRecordedInFlight checks that the crash of a target is recorded while
// the request is still tracked as in flight there, and that the next attempt
// uses the new verdict. Otherwise a request that causes crashes would be
// retried on one target after another.
func TestCrashIsRecordedInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var runs atomic.Int32
		net := &pipenet.Net{}
		net.Serve("a:1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}))
		tr := &fakeTracker{}
		p := pool.New(pool.Options{Dial: net.Dial})
		r := NewRunner(Options{
			Pool: p, Router: firstAvailable{}, Quarantine: tr,
			Targets: staticTargets{{Name: "a", Addr: "a:1", Live: true}, {Name: "b", Addr: "a:1", Live: true}},
			Verify: func(_ context.Context, target routing.Target) {
				tr.Crashed(target.Name)
				tr.set(quarantine.Convicted)
			},
		})
		_, err := r.Run(t.Context(), request(true), nil, &bodyReceiver{})
		if code.Of(err) != code.TargetFailed || runs.Load() != 1 {
			t.Errorf("%d runs, %v", runs.Load(), err)
		}
		if len(tr.events) != 3 || tr.events[0] != "begin" || tr.events[1] != "crashed" || tr.events[2] != "end" {
			t.Errorf("recorded: %v", tr.events)
		}
		if _, err := r.Run(t.Context(), request(true), nil, &bodyReceiver{}); code.Of(err) != code.CrashConvicted {
			t.Errorf("sent again: %v", err)
		}
		net.Close()
		p.Close()
	})
}

// busyUntilThirdTry returns code.Overloaded for the first two requests that must
// run alone.
type busyUntilThirdTry struct{ calls int }

func (b *busyUntilThirdTry) Route(r routing.Request, targets []routing.Target) (routing.Decision, error) {
	if !r.Exclusive {
		return firstAvailable{}.Route(r, targets)
	}
	if b.calls++; b.calls < 3 {
		return routing.Decision{}, code.New(code.Overloaded, "")
	}
	return routing.Decision{Target: "b"}, nil
}

// TestSuspectWaitsForIdleTarget checks that a request that was in flight at a
// crash, and so became suspect and has to run alone, waits while all engines are
// busy instead of failing.
func TestSuspectWaitsForIdleTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := &pipenet.Net{}
		net.Serve("a:1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		net.Serve("b:1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderID, r.Header.Get(HeaderID))
			io.WriteString(w, "whole")
		}))
		tr := &fakeTracker{}
		p := pool.New(pool.Options{Dial: net.Dial})
		r := NewRunner(Options{
			Pool: p, Router: &busyUntilThirdTry{}, Quarantine: tr,
			Targets: staticTargets{{Name: "a", Addr: "a:1", Live: true}, {Name: "b", Addr: "b:1", Live: true}},
			Verify:  func(context.Context, routing.Target) { tr.set(quarantine.Suspect) },
		})
		recv := &bodyReceiver{}
		if _, err := r.Run(t.Context(), request(true), nil, recv); err != nil || recv.body != "whole" {
			t.Errorf("got %q, %v", recv.body, err)
		}
		net.Close()
		p.Close()
	})
}

// targetClaimer is a Claimer with targets that other suspect requests have
// claimed. Target b is released at the third refused claim.
type targetClaimer struct {
	fakeTracker
	taken   map[string]bool
	refused int
}

func (c *targetClaimer) Claim(context.Context, quarantine.Fingerprint) (func(bool), bool) {
	return func(bool) {}, true
}

func (c *targetClaimer) ClaimTarget(_ context.Context, _ quarantine.Fingerprint, target string) (func(bool), bool) {
	if c.taken[target] {
		c.refused++
		c.taken["b"] = c.taken["b"] && c.refused < 3
		return nil, false
	}
	c.record(0, "claim "+target)
	return func(finished bool) { c.record(0, fmt.Sprintf("release %s %v", target, finished)) }, true
}

// TestSuspectsShareNoTarget checks that a suspect request avoids targets claimed
// by other suspect requests, or waits for one if it was attempted before, and
// that it releases its own target also when that crashes.
func TestSuspectsShareNoTarget(t *testing.T) {
	cases := []struct {
		name    string
		verdict quarantine.Verdict
		taken   []string
		crashes bool // target a crashes
		want    string
		err     code.Code
	}{
		{"clear", quarantine.Clear, []string{"a", "b"}, false, "[begin end]", code.OK},
		{"free", quarantine.Suspect, nil, false, "[claim a begin end release a true]", code.OK},
		{"the other is free", quarantine.Suspect, []string{"a"}, false, "[claim b begin end release b true]", code.OK},
		{"beside others", quarantine.SuspectShared, []string{"a"}, false, "[claim b begin end release b true]", code.OK},
		{"none is free", quarantine.Suspect, []string{"a", "b"}, false, "[]", code.CrashSuspect},
		{"its target dies, then it waits", quarantine.Suspect, []string{"b"}, true,
			"[claim a begin end release a false claim b begin end release b true]", code.OK},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				net := &pipenet.Net{}
				answer := func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set(HeaderID, r.Header.Get(HeaderID))
					io.WriteString(w, "whole")
				}
				net.Serve("b:1", http.HandlerFunc(answer))
				if tc.crashes {
					answer = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
				}
				net.Serve("a:1", http.HandlerFunc(answer))
				c := &targetClaimer{fakeTracker: fakeTracker{verdict: tc.verdict}, taken: map[string]bool{}}
				for _, name := range tc.taken {
					c.taken[name] = true
				}
				p := pool.New(pool.Options{Dial: net.Dial})
				r := NewRunner(Options{
					Pool: p, Router: firstAvailable{}, Quarantine: c, Verify: func(context.Context, routing.Target) {},
					Targets: staticTargets{{Name: "a", Addr: "a:1", Live: true}, {Name: "b", Addr: "b:1", Live: true}},
				})
				if _, err := r.Run(t.Context(), request(true), nil, &bodyReceiver{}); code.Of(err) != tc.err {
					t.Errorf("got %v, want code %d", err, tc.err)
				}
				if got := fmt.Sprint(c.events); got != tc.want {
					t.Errorf("recorded %s, want %s", got, tc.want)
				}
				net.Close()
				p.Close()
			})
		})
	}
}
