package dispatch

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/version/route"
)

// runCount returns how many requests the targets ran.
func runCount(targets ...*standin.Target) int {
	n := 0
	for _, t := range targets {
		n += len(t.Ran())
	}
	return n
}

// targetFaults are ways in which a target fails a request. ran states
// whether the target runs it.
var targetFaults = map[string]struct {
	set func(b *standin.Behaviour)
	ran bool
}{
	"refuses":          {func(b *standin.Behaviour) { b.Refuse = true }, false},
	"fails":            {func(b *standin.Behaviour) { b.Fail = true }, true},
	"never answers":    {func(b *standin.Behaviour) { b.NoAnswer = true }, true},
	"answers nonsense": {func(b *standin.Behaviour) { b.Unsigned = true }, true},
}

// Guards against a request that isn't idempotent running at a second target
// after the first one ran it and failed to answer. The user then sees a
// duplicate, such as the same departure twice on a board.
func TestUnsafeCallsRunOnce(t *testing.T) {
	for name, fault := range targetFaults {
		t.Run(name, func(t *testing.T) {
			withHarness(t, 100, func(t *testing.T, h *harness) {
				a, b := h.addTarget("app", ""), h.addTarget("app", "")
				a.Set(fault.set)
				b.Set(fault.set)
				_, _, err := h.runner.Plain(t.Context(), h.newCall(route.Unsafe, 3, time.Second))
				want := 0
				if fault.ran {
					want = 1
				}
				if n := runCount(a, b); n != want {
					t.Errorf("ran %d times, want %d", n, want)
				}
				if notRun := code.Of(err).Info().NotRun && err != nil; notRun && fault.ran {
					t.Errorf("%v says that nothing ran", err)
				}
			})
		})
	}
}

// Callers send a request again only after "not run", so that error must
// carry a retry delay.
func TestRefusedCallsCarryRetryAfter(t *testing.T) {
	withHarness(t, 100, func(t *testing.T, h *harness) {
		h.addTarget("app", "").Set(func(b *standin.Behaviour) { b.Refuse = true })
		_, _, err := h.runner.Plain(t.Context(), h.newCall(route.Unsafe, 1, time.Second))
		e, ok := err.(*code.Error)
		if !ok || e.Code != code.NoTarget || e.RetryAfter <= 0 {
			t.Errorf("error %v", err)
		}
	})
}

func TestSafeCallsAreRetriedOnAnotherTarget(t *testing.T) {
	for name, fault := range targetFaults {
		t.Run(name, func(t *testing.T) {
			withHarness(t, 100, func(t *testing.T, h *harness) {
				a, b := h.addTarget("app", ""), h.addTarget("app", "")
				a.Set(fault.set)
				for range 5 {
					got, _, err := h.runner.Plain(t.Context(), h.newCall(route.Safe, 2, 3*time.Second))
					if err != nil || got.Status != 200 || string(got.Body) != "answer to req-1" {
						t.Fatalf("answer %+v, %v", got, err)
					}
				}
				if len(b.Ran()) != 5 {
					t.Errorf("the healthy target ran %d of 5", len(b.Ran()))
				}
			})
		})
	}
}

// A request must not run at more targets than its route allows.
func TestAttemptsAreBounded(t *testing.T) {
	withHarness(t, 100, func(t *testing.T, h *harness) {
		var all []*standin.Target
		for range 5 {
			target := h.addTarget("app", "")
			target.Set(func(b *standin.Behaviour) { b.Fail = true })
			all = append(all, target)
		}
		got, _, err := h.runner.Plain(t.Context(), h.newCall(route.Safe, 2, time.Second))
		if err != nil || got.Status != 500 || runCount(all...) != 2 {
			t.Errorf("%d runs, answer %+v, %v", runCount(all...), got, err)
		}
	})
}

// Guards against relaying a 503 from a target that ran the request, since
// the caller would send it again.
func TestRetryableStatusAfterARunIsNotRelayed(t *testing.T) {
	x := &execution{possibleRuns: 1, call: &Call{Route: &route.Route{}}}
	a, err := x.finalAnswer(targetError("t", &Answer{Status: 503}))
	if a != nil || code.Of(err).Info().NotRun {
		t.Errorf("answer %+v, %v", a, err)
	}
}

func TestRefusedConnectionsAreNotAttempts(t *testing.T) {
	withHarness(t, 0, func(t *testing.T, h *harness) {
		h.addTarget("app", "")
		h.net.Stop("app0")
		b := h.addTarget("app", "")
		for range 3 {
			if _, _, err := h.runner.Plain(t.Context(), h.newCall(route.Unsafe, 1, time.Second)); err != nil {
				t.Fatal(err)
			}
		}
		if len(b.Ran()) != 3 {
			t.Errorf("%d of 3 ran", len(b.Ran()))
		}
	})
}

// When all targets fail, each retry adds load to targets that are failing
// already.
func TestBudgetBoundsRetries(t *testing.T) {
	withHarness(t, 3, func(t *testing.T, h *harness) {
		a, b := h.addTarget("app", ""), h.addTarget("app", "")
		for _, target := range []*standin.Target{a, b} {
			target.Set(func(b *standin.Behaviour) { b.Fail = true })
		}
		for range 20 {
			_, _, _ = h.runner.Plain(t.Context(), h.newCall(route.Safe, 2, time.Second))
		}
		if n := runCount(a, b); n != 23 {
			t.Errorf("%d runs for 20 calls, want 23", n)
		}
		_ = pause.For(context.Background(), 11*time.Second)
		_, _, _ = h.runner.Plain(t.Context(), h.newCall(route.Safe, 2, time.Second))
		if n := runCount(a, b); n != 25 {
			t.Errorf("%d runs, want 25: the window has passed", n)
		}
	})
}

// The call ends at once when the route's timeout passes, and the target
// stops working on it.
func TestRouteTimeoutEndsTheCall(t *testing.T) {
	withHarness(t, 100, func(t *testing.T, h *harness) {
		a := h.addTarget("app", "")
		a.Set(func(b *standin.Behaviour) { b.NoAnswer = true })
		start := time.Now()
		_, _, err := h.runner.Plain(t.Context(), h.newCall(route.Unsafe, 1, 700*time.Millisecond))
		if code.Of(err) != code.DeadlinePassed || time.Since(start) != 700*time.Millisecond {
			t.Errorf("%v after %v", err, time.Since(start))
		}
		if got := a.ReceivedRequests()[0].Timeout; got != 700*time.Millisecond {
			t.Errorf("the target may work for %v", got)
		}
	})
}

func TestNoTargets(t *testing.T) {
	withHarness(t, 100, func(t *testing.T, h *harness) {
		_, _, err := h.runner.Plain(t.Context(), h.newCall(route.Safe, 1, time.Second))
		if code.Of(err) != code.NoTarget {
			t.Errorf("error %v", err)
		}
		h.addTarget("app", "")
		h.entries["app"][0].Leaving = true
		if _, _, err := h.runner.Plain(t.Context(), h.newCall(route.Safe, 1, time.Second)); code.Of(err) != code.NoTarget {
			t.Errorf("a leaving target got work: %v", err)
		}
	})
}

// An address may be reused by a target of another service, which must not
// run the request.
func TestReusedAddressDoesNotRunTheCall(t *testing.T) {
	withHarness(t, 100, func(t *testing.T, h *harness) {
		a, b := h.addTarget("app", ""), h.addTarget("app", "")
		h.entries["app"][0].ID = "gone"
		for range 4 {
			if _, _, err := h.runner.Plain(t.Context(), h.newCall(route.Unsafe, 1, time.Second)); err != nil {
				t.Fatal(err)
			}
		}
		if len(a.Ran()) != 0 || len(b.Ran()) != 4 {
			t.Errorf("%d ran at the other target", len(a.Ran()))
		}
	})
}

func TestCallerThatLeavesStopsTheTarget(t *testing.T) {
	withHarness(t, 100, func(t *testing.T, h *harness) {
		h.addTarget("app", "").Set(func(b *standin.Behaviour) { b.NoAnswer = true })
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		start := time.Now()
		_, _, err := h.runner.Plain(ctx, h.newCall(route.Safe, 2, time.Second))
		if code.Of(err) != code.CallerGone || time.Since(start) != 100*time.Millisecond {
			t.Errorf("%v after %v", err, time.Since(start))
		}
	})
}

// Guards against healthy targets being ejected because callers left while a
// connection was being opened.
func TestCallerThatLeavesDoesNotEjectTheTarget(t *testing.T) {
	for name, end := range map[string]struct {
		leaves  time.Duration // 0: the caller stays
		timeout time.Duration
	}{
		"leaves":   {leaves: 10 * time.Millisecond, timeout: time.Second},
		"deadline": {timeout: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, 100, func(t *testing.T, h *harness) {
				h.addTarget("app", "")
				h.runner.opts.Pool = h1.New(h1.Options{Dial: func(ctx context.Context, _ string) (net.Conn, error) {
					<-ctx.Done()
					return nil, ctx.Err()
				}})
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if end.leaves > 0 {
					time.AfterFunc(end.leaves, cancel)
				}
				if _, _, err := h.runner.Plain(ctx, h.newCall(route.Safe, 2, end.timeout)); err == nil {
					t.Fatal("answered")
				}
				if h.runner.opts.Health.Ejected("app0") {
					t.Error("the target is ejected")
				}
			})
		})
	}
}
