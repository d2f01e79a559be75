package quarantine

import (
	"context"
	"expvar"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// claimAll lets the daemons claim the engine at once, each for its own content,
// and returns the releases of the granted claims.
func (h *harness) claimAll(engine string, who ...int) map[int]func(bool) {
	var mu sync.Mutex
	granted := make(map[int]func(bool))
	h.concurrently(len(who), func(i int) {
		release, ok := h.trackers[who[i]].ClaimTarget(h.t.Context(), contentNumber(uint64(who[i]+1)), engine)
		mu.Lock()
		defer mu.Unlock()
		if ok {
			granted[who[i]] = release
		}
	})
	return granted
}

// TestClaimTarget covers several daemons that choose the same idle engine for
// suspect content. One may run there. The next one waits for the end of that
// run, for a crash that is noticed late, and for the claim of a dead holder to
// expire, but no longer.
func TestClaimTarget(t *testing.T) {
	all := []int{0, 1, 2, 3, 4, 5, 6, 7}
	cases := []struct {
		name    string
		first   []int
		between func(h *harness, granted map[int]func(bool))
		second  []int
		want    int // granted in the second round
	}{
		{"two at once, both again while it runs", []int{0, 1}, func(*harness, map[int]func(bool)) {}, []int{0, 1}, 0},
		{"all at once, all again while it runs", all, func(*harness, map[int]func(bool)) {}, all, 0},
		{"answered", []int{6, 7}, func(_ *harness, granted map[int]func(bool)) {
			granted[6](true)
			<-time.After(3 * hopDelay)
		}, all, 1},
		{"failed, and the crash may show yet", []int{6, 7}, func(_ *harness, granted map[int]func(bool)) {
			granted[6](false)
			<-time.After(settleTime / 2)
		}, all, 0},
		{"failed a while ago", []int{6, 7}, func(_ *harness, granted map[int]func(bool)) {
			granted[6](false)
			<-time.After(settleTime + 3*hopDelay)
		}, all, 1},
		{"the holder died", []int{0, 1}, func(h *harness, _ map[int]func(bool)) {
			<-time.After(claimTTL - time.Second)
			if n := len(h.claimAll("e", 1, 2)); n != 0 {
				h.t.Errorf("%d may run while the holder could live", n)
			}
			<-time.After(time.Second)
		}, []int{1, 2}, 1},
		{"the release is lost, heartbeats tell", []int{0, 1}, func(h *harness, granted map[int]func(bool)) {
			h.setDropBroadcasts(true)
			granted[0](true)
			<-time.After(time.Second)
			h.setDropBroadcasts(false)
			h.heartbeats(maxUpdateDelay / 2)
		}, []int{1}, 1},
		{"old news of an ended claim", []int{0}, func(h *harness, granted map[int]func(bool)) {
			old := h.trackers[0].Outgoing()
			granted[0](true)
			<-time.After(time.Second)
			h.trackers[1].Incoming(old)
		}, []int{1}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				granted := h.claimAll("e", tc.first...)
				if len(granted) != 1 || granted[tc.first[0]] == nil {
					t.Fatalf("%d of the first may run, want the lowest incarnation alone", len(granted))
				}
				tc.between(h, granted)
				if n := len(h.claimAll("e", tc.second...)); n != tc.want {
					t.Errorf("%d of the second may run, want %d", n, tc.want)
				}
				if n := len(h.claimAll("another", tc.second...)); n != 1 {
					t.Errorf("%d may run at another engine, want 1", n)
				}
				for i, tr := range h.trackers {
					if len(tr.contents) != 0 {
						t.Errorf("daemon %d: %d contents held for claims of targets", i, len(tr.contents))
					}
				}
			})
		})
	}
}

// TestEndedClaimStaysInHeartbeats guards against a lost end of a claim. Two
// daemons claim an engine, or a content, at once. The winner runs, releases its
// claim, and only then receives the withdrawal of the loser. If the withdrawal
// replaced the ended claim, heartbeats would no longer carry its end, and a peer
// that missed the broadcast of it would refuse for two minutes.
func TestEndedClaimStaysInHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := New(Options{Self: "daemon-0", Broadcast: func(context.Context, []*peerpb.Conviction) {}})
		tr.Begin(bad, "engine")
		tr.Crashed("engine")
		tr.End(bad, "engine")
		content, ok := tr.Claim(t.Context(), bad)
		if !ok {
			t.Fatal("the content isn't claimed")
		}
		target, ok := tr.ClaimTarget(t.Context(), bad, "engine")
		if !ok {
			t.Fatal("the target isn't claimed")
		}
		target(true)
		content(false)
		<-time.After(settleTime)
		engineKey := targetKey("engine")
		tr.Incoming([]*peerpb.Conviction{
			{Fingerprint: engineKey[:], Suspect: true, Target: targetClaimPrefix + "daemon-1#1"},
			{Fingerprint: bad[:], Suspect: true, Target: claimPrefix + "daemon-1#1"},
		})
		ttls := make(map[string]int64)
		for _, u := range tr.Outgoing() {
			ttls[u.Target] = u.TtlMs
		}
		for _, claim := range []string{targetClaimPrefix + "daemon-0#2", claimPrefix + "daemon-0#1"} {
			if ttl, ok := ttls[claim]; !ok || ttl != 0 {
				t.Errorf("%s: TTL %d ms (sent: %v), want 0; all updates: %v", claim, ttl, ok, ttls)
			}
		}
	})
}

// TestAnsweredBeforeTheCrash guards against the conviction of harmless suspect
// content that an engine has just answered. Other content crashes the engine
// within settleTime, in which an ended run still counts as in flight. Only the
// other content is convicted. Without other content there, the first one is
// convicted.
func TestAnsweredBeforeTheCrash(t *testing.T) {
	first := contentNumber(7)
	for _, next := range []int{-1, 0, 1} { // daemon that sends the crashing content, -1 for none
		synctest.Test(t, func(t *testing.T) {
			h := newHarness(t)
			defer h.stop()
			tr := h.trackers[1]
			tr.Begin(first, "engine-0")
			tr.Begin(bad, "engine-0")
			tr.Crashed("engine-0")
			tr.End(first, "engine-0")
			tr.End(bad, "engine-0")
			release := h.begin(1, first, "engine-1")
			tr.End(first, "engine-1")
			release(true)
			<-time.After(3 * hopDelay)
			if next >= 0 {
				h.begin(next, bad, "engine-1")
				h.trackers[next].Crashed("engine-1")
				h.expectVerdict(1, bad, Convicted)
			}
			tr.Crashed("engine-1")
			want := Suspect
			if next < 0 {
				want = Convicted
			}
			h.expectVerdict(1, first, want)
		})
	}
}

// begin lets a daemon run suspect content on an engine.
func (h *harness) begin(daemon int, fp Fingerprint, engine string) (release func(bool)) {
	h.t.Helper()
	tr := h.trackers[daemon]
	if _, ok := tr.Claim(h.t.Context(), fp); !ok {
		h.t.Fatalf("content %v isn't claimed", fp)
	}
	release, ok := tr.ClaimTarget(h.t.Context(), fp, engine)
	if !ok {
		h.t.Fatalf("engine isn't claimed for content %v", fp)
	}
	tr.Begin(fp, engine)
	return release
}

// TestTargetClaimsBounded checks the limit on claims of targets when a peer
// sends an unlimited number of them.
func TestTargetClaimsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := New(Options{Self: "d"})
		for i := range uint64(2 * maxTargetClaims) {
			key := contentNumber(i + 1)
			tr.Incoming([]*peerpb.Conviction{{Fingerprint: key[:], Suspect: true, Target: fmt.Sprintf("%speer#%d", targetClaimPrefix, i), TtlMs: 1000}})
		}
		if n := len(tr.targetClaims); n != maxTargetClaims {
			t.Errorf("%d claims held", n)
		}
		if _, ok := tr.ClaimTarget(context.Background(), contentNumber(1), "e"); ok {
			t.Error("claimed, though the claims of peers aren't all known")
		}
		<-time.After(time.Second + maxUpdateDelay + time.Millisecond)
		if _, ok := tr.ClaimTarget(context.Background(), contentNumber(1), "e"); !ok || len(tr.targetClaims) != 1 {
			t.Errorf("claimed: %v; %d claims held", ok, len(tr.targetClaims))
		}
	})
}

// Guards against a crash that is counted again once its evidence is better.
func TestCrashWithBetterEvidenceIsCountedOnce(t *testing.T) {
	crashes := func() int64 {
		n, _ := counts.Get("crashes").(*expvar.Int)
		if n == nil {
			return 0
		}
		return n.Value()
	}
	tr := New(Options{Self: "vm", ToleratedCrashes: 2})
	tr.BeginRun(Content{Service: "s", Request: Fingerprint{7}}, "a")
	before, confirm := crashes(), tr.Hold("a")
	confirm(Alone)
	confirm(Presumed)
	if n := crashes() - before; n != 1 {
		t.Errorf("counted %d times", n)
	}
}
