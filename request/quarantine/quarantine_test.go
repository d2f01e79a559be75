package quarantine

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var bad = contentNumber(1000)

// TestEnginesLost sends a request that crashes every engine that runs it, again
// and again under new keys. Each daemon that does not know about it would lose
// an engine. The fleet may lose two engines per such content.
func TestEnginesLost(t *testing.T) {
	cases := []struct {
		name       string
		poison     []Fingerprint
		maxCrashes int
		want       Verdict
		play       func(h *harness)
	}{
		{"to one daemon after another", []Fingerprint{bad}, 2, Convicted, func(h *harness) {
			for i := range 4 * daemons {
				h.send(i%daemons, bad)
			}
		}},
		{"to all daemons at once after the first crash", []Fingerprint{bad}, 2, Convicted, func(h *harness) {
			h.try(h.trackers[0], bad)
			h.concurrently(daemons, func(i int) { h.send(i, bad) })
			h.concurrently(daemons, func(i int) { h.send(i, bad) })
		}},
		{"again before the first is answered", []Fingerprint{bad}, 2, Convicted, func(h *harness) {
			h.concurrently(2, func(i int) {
				<-time.After(time.Duration(i) * (crashTime + 5*hopDelay))
				h.send(i, bad)
			})
			h.concurrently(daemons, func(i int) { h.send(i, bad) })
		}},
		{"to two daemons at once, never seen before", []Fingerprint{bad}, 2, Convicted, func(h *harness) {
			h.concurrently(2, func(i int) { h.send(i, bad) })
			h.concurrently(daemons, func(i int) { h.send(i, bad) })
		}},
		{"in flight elsewhere when the first engine dies", []Fingerprint{bad}, 2, Convicted, func(h *harness) {
			h.concurrently(2, func(i int) {
				<-time.After(time.Duration(i) * crashTime * 3 / 4)
				h.send(i, bad)
			})
			h.concurrently(daemons, func(i int) { h.send(i, bad) })
		}},
		{"two such contents at once", []Fingerprint{bad, contentNumber(1001)}, 4, Convicted, func(h *harness) {
			for range 4 {
				h.concurrently(2*daemons, func(i int) {
					if i < 2 {
						h.send(i, contentNumber(1000+uint64(i)))
					}
				})
			}
		}},
		{"beside a hundred innocents", []Fingerprint{bad}, 2, Convicted, func(h *harness) {
			for range 12 { // no engine is idle, so after exclusiveWait it runs beside others
				h.concurrently(101, func(i int) {
					if i == 0 {
						h.send(0, bad)
						return
					}
					h.send(i%daemons, contentNumber(uint64(i)))
				})
				<-time.After(time.Second)
			}
		}},
		{"broadcasts lost, heartbeats not", []Fingerprint{bad}, 2, Convicted, func(h *harness) {
			h.setDropBroadcasts(true)
			h.try(h.trackers[0], bad)
			h.heartbeats(5 * time.Second)
			for i := range daemons {
				h.send(i, bad)
				h.heartbeats(5 * time.Second)
			}
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, tc.poison...)
				defer h.stop()
				tc.play(h)
				h.expectMaxCrashes(tc.maxCrashes)
				for i := range daemons {
					h.expectVerdict(i, bad, tc.want)
				}
			})
		})
	}
}

// TestUnrelatedRequestsStayClear crashes an engine with forty requests in
// flight, one of which is the cause. Their callers repeat the others until they
// are answered. None of these may be refused for long or convicted.
func TestUnrelatedRequestsStayClear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const harmless = 40
		h := newHarness(t, bad)
		defer h.stop()
		began := time.Now()
		longest := time.Duration(0)
		for i := range harmless {
			h.trackers[0].Begin(contentNumber(uint64(i+1)), "engine-4")
		}
		h.send(0, bad) // pick prefers engine-4 for it
		for i := range harmless {
			h.trackers[0].End(contentNumber(uint64(i+1)), "engine-4")
		}
		h.concurrently(harmless, func(i int) {
			for h.send(i%daemons, contentNumber(uint64(i+1))) != 0 {
				<-time.After(time.Second)
			}
			h.mu.Lock()
			longest = max(longest, time.Since(began))
			h.mu.Unlock()
		})
		refusals := 0
		for fp, n := range h.refused {
			if fp != bad {
				refusals += n
			}
		}
		t.Logf("%d harmless requests: %d refusals, the last answered after %v", harmless, refusals, longest)
		if longest > 10*time.Second {
			t.Errorf("a harmless request was refused for %v", longest)
		}
		h.heartbeats(10 * time.Second)
		for i := range harmless {
			h.expectVerdict(i%daemons, contentNumber(uint64(i+1)), Clear)
		}
		h.expectMaxCrashes(2)
	})
}

// TestNotConvicted covers events that resemble content that crashes targets, but
// must not lead to a conviction.
func TestNotConvicted(t *testing.T) {
	fp, other := contentNumber(7), contentNumber(8)
	cases := []struct {
		name string
		want Verdict
		play func(tr *CrashTracker)
	}{
		{"its connection was cut, the target lives", Clear, func(tr *CrashTracker) {
			tr.Begin(fp, "a")
			tr.End(fp, "a")
		}},
		{"one crash", Suspect, func(tr *CrashTracker) {
			tr.Begin(fp, "a")
			tr.Crashed("a")
		}},
		{"one crash, noticed late", Suspect, func(tr *CrashTracker) {
			tr.Begin(fp, "a")
			tr.End(fp, "a")
			<-time.After(settleTime / 2)
			tr.Crashed("a")
		}},
		{"one crash, told twice", Suspect, func(tr *CrashTracker) {
			tr.Begin(fp, "a")
			tr.Crashed("a")
			tr.Crashed("a")
		}},
		{"left the target well before", Clear, func(tr *CrashTracker) {
			tr.Begin(fp, "a")
			tr.End(fp, "a")
			<-time.After(2 * settleTime)
			tr.Crashed("a")
		}},
		{"runs everywhere, two targets die", Suspect, func(tr *CrashTracker) {
			tr.Begin(fp, "c")
			tr.End(fp, "c")
			<-time.After(2 * settleTime)
			tr.Begin(fp, "a")
			tr.Begin(fp, "b")
			tr.Crashed("a")
			tr.Crashed("b")
		}},
		{"an availability zone fails", Clear, func(tr *CrashTracker) {
			tr.Begin(fp, "a")
			for _, target := range []string{"a", "b", "c"} {
				tr.Begin(other, target)
				tr.Crashed(target)
			}
		}},
		{"suspect long ago", Clear, func(tr *CrashTracker) {
			tr.Begin(fp, "a")
			tr.Crashed("a")
			<-time.After(suspectTTL)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr := New(Options{Self: "d"})
				tc.play(tr)
				if got, _ := tr.Check(fp); got != tc.want {
					t.Errorf("verdict %d, want %d", got, tc.want)
				}
			})
		})
	}
}

// TestConvictionDoubles checks that a conviction ends, and that content that
// then runs alone and crashes a target again is refused for twice as long.
func TestConvictionDoubles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, bad)
		defer h.stop()
		h.send(0, bad)
		for _, want := range []time.Duration{10, 20, 40} {
			want *= time.Minute
			_, left := h.trackers[1].Check(bad)
			if left > want || left < want-time.Second {
				t.Fatalf("refused for %v, want %v", left, want)
			}
			<-time.After(left)
			h.expectVerdict(1, bad, Suspect)
			h.send(1, bad)
		}
		h.expectMaxCrashes(5)
	})
}

// TestContentsBounded checks the limits on contents and updates during a flood
// of crashes, each with new contents.
func TestContentsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := New(Options{Self: "d"})
		for i := range uint64(2 * maxContents) {
			tr.Begin(contentNumber(i+1), "a")
			if i%maxSuspects == maxSuspects-1 {
				tr.Crashed("a")
				for k := range uint64(maxSuspects) {
					tr.End(contentNumber(i+1-k), "a")
				}
				<-time.After(2 * sameCrashWindow)
			}
		}
		if n := len(tr.contents); n > maxContents || n < maxContents*7/8 {
			t.Errorf("%d contents held", n)
		}
		if n := len(tr.Outgoing()); n > maxContentUpdates*maxCrashes {
			t.Errorf("%d messages on a heartbeat", n)
		}
	})
}

// TestClaim lets all daemons claim the same suspect content at once. Exactly one
// may run it, and another one after the claim is released.
func TestClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, bad)
		defer h.stop()
		last := h.trackers[daemons-1]
		last.Begin(bad, "engine-11") // in flight there before the crash
		h.try(h.trackers[0], bad)
		if _, ok := h.trackers[1].Claim(t.Context(), bad); ok {
			t.Error("a daemon may run it while it is in flight at another")
		}
		last.End(bad, "engine-11")
		<-time.After(2 * settleTime)
		for first := range 3 {
			var mu sync.Mutex
			var granted []func(bool)
			h.concurrently(daemons-first, func(i int) {
				release, ok := h.trackers[first+i].Claim(t.Context(), bad)
				mu.Lock()
				defer mu.Unlock()
				if ok {
					granted = append(granted, release)
				}
			})
			if len(granted) != 1 {
				t.Fatalf("%d daemons may run it", len(granted))
			}
			granted[0](false)
			<-time.After(2 * settleTime)
		}
	})
}

// TestFingerprint checks which differences change the fingerprint of a content.
func TestFingerprint(t *testing.T) {
	of := func(caller, scope, path, body string) Fingerprint {
		r := Request{Caller: caller, Scope: scope, Path: path, Body: NormalizeJSON([]byte(body))}
		return r.Fingerprint()
	}
	base := of("o", "s", "/v1/completions", `{"model":"m","prompt":"p","user":"a"}`)
	cases := []struct {
		caller, service, path, body string
		same                        bool
	}{
		{"o", "s", "/v1/completions", `{ "prompt":"p", "model":"m", "stream":true, "id":"9" }`, true},
		{"o", "s", "/v1/completions", `{"model":"m","prompt":"q"}`, false},
		{"o", "t", "/v1/completions", `{"model":"m","prompt":"p"}`, false},
		{"o", "s", "/v1/chat/completions", `{"model":"m","prompt":"p"}`, false},
		{"o", "s", "/v1/completions", `{"model":"m","prompt":"p"`, false},
		{"another", "s", "/v1/completions", `{"model":"m","prompt":"p"}`, false},
		{"os", "", "/v1/completions", `{"model":"m","prompt":"p"}`, false},
	}
	for _, tc := range cases {
		if got := of(tc.caller, tc.service, tc.path, tc.body) == base; got != tc.same {
			t.Errorf("%+v: same is %v", tc, got)
		}
	}
}

// Guards against content that is taken for the cause of a crash by a daemon whose
// connection to the target was refused: the target never received it.
func TestContentThatWasNotReceivedIsNotSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		tr := h.trackers[0]
		tr.Begin(contentNumber(1), "e")
		tr.Begin(contentNumber(2), "e")
		tr.NotReceived(contentNumber(1), "e")
		tr.Crashed("e")
		h.expectVerdict(0, contentNumber(1), Clear)
		if v, _ := tr.Check(contentNumber(2)); v == Clear {
			t.Error("content in flight at the crash isn't suspected")
		}
		tr.End(contentNumber(2), "e")
	})
}
