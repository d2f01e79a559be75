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

// inOrder routes to the first target that isn't excluded.
type inOrder struct{}

func (inOrder) Route(r routing.Request, targets []routing.Target) (routing.Decision, error) {
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

type fixed []routing.Target

func (f fixed) Targets(*view.Service) []routing.Target { return f }

// whole receives an answer and keeps it.
type whole struct{ body string }

func (w *whole) Progress() int   { return 0 }
func (w *whole) Committed() bool { return false }
func (w *whole) Receive(a Answer) error {
	body, err := io.ReadAll(a.Body)
	w.body = string(body)
	return err
}

func request(idempotent bool) *Request {
	doc := &document.Document{Service: "s", Retry: document.Retry{Attempts: 3, Budget: 0.1}}
	return &Request{
		ID: "r", Service: &view.Service{Doc: doc}, Deadline: time.Now().Add(time.Hour),
		Method: "POST", Path: "/", Header: http.Header{}, Body: func(int) []byte { return []byte("body") },
		Idempotent: idempotent, Fingerprint: 7,
	}
}

// TestTimeToNotice: an engine's connection goes silent, before the answer or
// in the middle of it. The request has an hour left; it is answered by another
// engine as soon as the progress timeout is over, whichever moment it was.
func TestTimeToNotice(t *testing.T) {
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
			r := NewRunner(Options{Pool: p, Router: inOrder{}, Targets: fixed{
				{Name: "a", Addr: "a:1", Live: true}, {Name: "b", Addr: "b:1", Live: true},
			}})
			recv := &whole{}
			start := time.Now()
			if _, err := r.Run(t.Context(), request(true), nil, recv); err != nil || recv.body != "whole" {
				t.Errorf("begun %v: got %q, %v", begun, recv.body, err)
			}
			if took := time.Since(start); took != defaultFirst {
				t.Errorf("begun %v: answered after %v, want %v", begun, took, defaultFirst)
			}
			net.Close()
			p.Close()
		})
	}
}

// books is a Tracker that notes what it is told.
type books struct {
	mu       sync.Mutex
	standing quarantine.Standing
	inFlight int
	said     []string
}

func (b *books) Check(uint64) (quarantine.Standing, time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.standing, time.Minute
}
func (b *books) Begin(uint64, string) { b.note(1, "begin") }
func (b *books) End(uint64, string)   { b.note(-1, "end") }
func (b *books) Crashed(string)       { b.note(0, "crashed") }

func (b *books) set(s quarantine.Standing) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.standing = s
}

func (b *books) note(n int, what string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight += n
	b.said = append(b.said, what)
}

// TestCrashIsNotedInFlight: a request crashes its target. The death must be
// noted while the request still stands in the books, and the next attempt must
// see the new standing; else a crash-causing request takes one target after
// another.
func TestCrashIsNotedInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var runs atomic.Int32
		net := &pipenet.Net{}
		net.Serve("a:1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			runs.Add(1)
			panic(http.ErrAbortHandler)
		}))
		b := &books{}
		p := pool.New(pool.Options{Dial: net.Dial})
		r := NewRunner(Options{
			Pool: p, Router: inOrder{}, Quarantine: b,
			Targets: fixed{{Name: "a", Addr: "a:1", Live: true}, {Name: "b", Addr: "a:1", Live: true}},
			Verify: func(_ context.Context, target routing.Target) {
				b.Crashed(target.Name)
				b.set(quarantine.Convicted)
			},
		})
		_, err := r.Run(t.Context(), request(true), nil, &whole{})
		if code.Of(err) != code.TargetFailed || runs.Load() != 1 {
			t.Errorf("%d runs, %v", runs.Load(), err)
		}
		if len(b.said) != 3 || b.said[0] != "begin" || b.said[1] != "crashed" || b.said[2] != "end" {
			t.Errorf("books: %v", b.said)
		}
		if _, err := r.Run(t.Context(), request(true), nil, &whole{}); code.Of(err) != code.CrashConvicted {
			t.Errorf("sent again: %v", err)
		}
		net.Close()
		p.Close()
	})
}

// busyAlone has no idle target for requests that must run alone until the
// third time that it is asked.
type busyAlone struct{ asked int }

func (b *busyAlone) Route(r routing.Request, targets []routing.Target) (routing.Decision, error) {
	if !r.Alone {
		return inOrder{}.Route(r, targets)
	}
	if b.asked++; b.asked < 3 {
		return routing.Decision{}, code.New(code.Overloaded, "")
	}
	return routing.Decision{Target: "b"}, nil
}

// TestInnocentWaitsForItsTurn: a dispatcher's question was in flight when
// another request took the engine down. It is suspect now and has to run
// alone; that all engines are busy at that moment must not end it.
func TestInnocentWaitsForItsTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := &pipenet.Net{}
		net.Serve("a:1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
		net.Serve("b:1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(HeaderID, r.Header.Get(HeaderID))
			io.WriteString(w, "whole")
		}))
		b := &books{}
		p := pool.New(pool.Options{Dial: net.Dial})
		r := NewRunner(Options{
			Pool: p, Router: &busyAlone{}, Quarantine: b,
			Targets: fixed{{Name: "a", Addr: "a:1", Live: true}, {Name: "b", Addr: "b:1", Live: true}},
			Verify:  func(context.Context, routing.Target) { b.set(quarantine.Suspect) },
		})
		recv := &whole{}
		if _, err := r.Run(t.Context(), request(true), nil, recv); err != nil || recv.body != "whole" {
			t.Errorf("got %q, %v", recv.body, err)
		}
		net.Close()
		p.Close()
	})
}

// claims is a Claimer that knows which targets other suspects have, until one
// is given back at the third refusal.
type claims struct {
	books
	taken   map[string]bool
	refused int
}

func (c *claims) Claim(context.Context, uint64) (func(bool), bool) { return func(bool) {}, true }

func (c *claims) ClaimTarget(_ context.Context, _ uint64, target string) (func(bool), bool) {
	if c.taken[target] {
		c.refused++
		c.taken["b"] = c.taken["b"] && c.refused < 3
		return nil, false
	}
	c.note(0, "claim "+target)
	return func(finished bool) { c.note(0, fmt.Sprintf("release %s %v", target, finished)) }, true
}

// TestSuspectsShareNoTarget: a suspect chooses the target that another one has
// just claimed. It must go elsewhere, or wait if it was tried before, and give
// its target back also when that dies.
func TestSuspectsShareNoTarget(t *testing.T) {
	cases := []struct {
		name     string
		standing quarantine.Standing
		taken    []string
		dies     bool // a
		want     string
		err      code.Code
	}{
		{"clear", quarantine.Clear, []string{"a", "b"}, false, "[begin end]", code.OK},
		{"free", quarantine.Suspect, nil, false, "[claim a begin end release a true]", code.OK},
		{"the other is free", quarantine.Suspect, []string{"a"}, false, "[claim b begin end release b true]", code.OK},
		{"beside others", quarantine.Watched, []string{"a"}, false, "[claim b begin end release b true]", code.OK},
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
				if tc.dies {
					answer = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
				}
				net.Serve("a:1", http.HandlerFunc(answer))
				c := &claims{books: books{standing: tc.standing}, taken: map[string]bool{}}
				for _, name := range tc.taken {
					c.taken[name] = true
				}
				p := pool.New(pool.Options{Dial: net.Dial})
				r := NewRunner(Options{
					Pool: p, Router: inOrder{}, Quarantine: c, Verify: func(context.Context, routing.Target) {},
					Targets: fixed{{Name: "a", Addr: "a:1", Live: true}, {Name: "b", Addr: "b:1", Live: true}},
				})
				if _, err := r.Run(t.Context(), request(true), nil, &whole{}); code.Of(err) != tc.err {
					t.Errorf("got %v, want code %d", err, tc.err)
				}
				if got := fmt.Sprint(c.said); got != tc.want {
					t.Errorf("said %s, want %s", got, tc.want)
				}
				net.Close()
				p.Close()
			})
		})
	}
}
