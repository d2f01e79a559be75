package quarantine

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// claimAll has the daemons claim the engine at once, each for a content of its
// own, and returns the releases that were granted.
func (r *rig) claimAll(engine string, who ...int) map[int]func(bool) {
	var mu sync.Mutex
	granted := make(map[int]func(bool))
	r.together(len(who), func(i int) {
		release, ok := r.books[who[i]].ClaimTarget(r.t.Context(), uint64(who[i]+1), engine)
		mu.Lock()
		defer mu.Unlock()
		if ok {
			granted[who[i]] = release
		}
	})
	return granted
}

// TestClaimTarget: suspect contents of several daemons choose the same idle
// engine. One may run there; who comes next waits for it, for a crash that is
// noticed late, and for a holder that died, but not for longer.
func TestClaimTarget(t *testing.T) {
	all := []int{0, 1, 2, 3, 4, 5, 6, 7}
	cases := []struct {
		name    string
		first   []int
		between func(r *rig, granted map[int]func(bool))
		second  []int
		want    int // granted at second
	}{
		{"two at once, both again while it runs", []int{0, 1}, func(*rig, map[int]func(bool)) {}, []int{0, 1}, 0},
		{"all at once, all again while it runs", all, func(*rig, map[int]func(bool)) {}, all, 0},
		{"answered", []int{6, 7}, func(_ *rig, granted map[int]func(bool)) {
			granted[6](true)
			<-time.After(3 * hop)
		}, all, 1},
		{"failed, and the crash may show yet", []int{6, 7}, func(_ *rig, granted map[int]func(bool)) {
			granted[6](false)
			<-time.After(settleTime / 2)
		}, all, 0},
		{"failed a while ago", []int{6, 7}, func(_ *rig, granted map[int]func(bool)) {
			granted[6](false)
			<-time.After(settleTime + 3*hop)
		}, all, 1},
		{"the holder died", []int{0, 1}, func(r *rig, _ map[int]func(bool)) {
			<-time.After(claimFor - time.Second)
			if n := len(r.claimAll("e", 1, 2)); n != 0 {
				r.t.Errorf("%d may run while the holder could live", n)
			}
			<-time.After(time.Second)
		}, []int{1, 2}, 1},
		{"the release is lost, heartbeats tell", []int{0, 1}, func(r *rig, granted map[int]func(bool)) {
			r.deaf = true
			granted[0](true)
			<-time.After(time.Second)
			r.deaf = false
			r.heartbeats(newsLag / 2)
		}, []int{1}, 1},
		{"old news of an ended claim", []int{0}, func(r *rig, granted map[int]func(bool)) {
			old := r.books[0].Outgoing()
			granted[0](true)
			<-time.After(time.Second)
			r.books[1].Incoming(old)
		}, []int{1}, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t)
				defer r.stop()
				granted := r.claimAll("e", tc.first...)
				if len(granted) != 1 || granted[tc.first[0]] == nil {
					t.Fatalf("%d of the first may run, want the lowest incarnation alone", len(granted))
				}
				tc.between(r, granted)
				if n := len(r.claimAll("e", tc.second...)); n != tc.want {
					t.Errorf("%d of the second may run, want %d", n, tc.want)
				}
				if n := len(r.claimAll("another", tc.second...)); n != 1 {
					t.Errorf("%d may run at another engine, want 1", n)
				}
				for i, b := range r.books {
					if len(b.contents) != 0 {
						t.Errorf("daemon %d: %d contents held for claims of targets", i, len(b.contents))
					}
				}
			})
		})
	}
}

// TestEndedClaimIsStillTold: two daemons claim an engine, or a content, at once.
// The first runs there and gives the claim back. Only then does it hear that
// the second gave way. A peer that missed the broadcast of the end learns of
// it from heartbeats, unless the late word took the end's place: then it
// refuses for two minutes.
func TestEndedClaimIsStillTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Options{Self: "daemon-0", Broadcast: func(context.Context, []*peerpb.Conviction) {}})
		b.Begin(bad, "engine")
		b.Crashed("engine")
		b.End(bad, "engine")
		content, ok := b.Claim(t.Context(), bad)
		if !ok {
			t.Fatal("the content isn't claimed")
		}
		target, ok := b.ClaimTarget(t.Context(), bad, "engine")
		if !ok {
			t.Fatal("the target isn't claimed")
		}
		target(true)
		content(false)
		<-time.After(settleTime)
		b.Incoming([]*peerpb.Conviction{
			{Fingerprint: targetKey("engine"), Suspect: true, Target: targetMark + "daemon-1#1"},
			{Fingerprint: bad, Suspect: true, Target: claimMark + "daemon-1#1"},
		})
		told := make(map[string]int64)
		for _, n := range b.Outgoing() {
			told[n.Target] = n.TtlMs
		}
		for _, claim := range []string{targetMark + "daemon-0#2", claimMark + "daemon-0#1"} {
			if ttl, ok := told[claim]; !ok || ttl != 0 {
				t.Errorf("%s is told with %d ms (%v), want its end; told: %v", claim, ttl, ok, told)
			}
		}
	})
}

// TestAnsweredBeforeTheCrash: an innocent suspect is answered by an engine. The
// guilty one runs there right after and crashes it, within the moment in which
// an end may still turn out to be a crash. Only the guilty one is convicted;
// with nobody there since, the first would be.
func TestAnsweredBeforeTheCrash(t *testing.T) {
	const first = uint64(7)
	for _, next := range []int{-1, 0, 1} { // the daemon of the guilty one, or none
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t)
			defer r.stop()
			b := r.books[1]
			b.Begin(first, "engine-0")
			b.Begin(bad, "engine-0")
			b.Crashed("engine-0")
			b.End(first, "engine-0")
			b.End(bad, "engine-0")
			release := r.begin(1, first, "engine-1")
			b.End(first, "engine-1")
			release(true)
			<-time.After(3 * hop)
			if next >= 0 {
				r.begin(next, bad, "engine-1")
				r.books[next].Crashed("engine-1")
				r.standing(1, bad, Convicted)
			}
			b.Crashed("engine-1")
			want := Suspect
			if next < 0 {
				want = Convicted
			}
			r.standing(1, first, want)
		})
	}
}

// begin has a daemon run suspect content at an engine.
func (r *rig) begin(daemon int, fp uint64, engine string) (release func(bool)) {
	r.t.Helper()
	b := r.books[daemon]
	if _, ok := b.Claim(r.t.Context(), fp); !ok {
		r.t.Fatalf("content %d isn't claimed", fp)
	}
	release, ok := b.ClaimTarget(r.t.Context(), fp, engine)
	if !ok {
		r.t.Fatalf("engine isn't claimed for content %d", fp)
	}
	b.Begin(fp, engine)
	return release
}

// TestTargetClaimsBounded: a peer tells of claims without end.
func TestTargetClaimsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Options{Self: "d"})
		for i := range uint64(2 * maxTargetClaims) {
			b.Incoming([]*peerpb.Conviction{{Fingerprint: i + 1, Suspect: true, Target: fmt.Sprintf("%speer#%d", targetMark, i), TtlMs: 1000}})
		}
		if n := len(b.claimed); n != maxTargetClaims {
			t.Errorf("%d claims held", n)
		}
		if _, ok := b.ClaimTarget(context.Background(), 1, "e"); ok {
			t.Error("claimed, though the claims of peers aren't all known")
		}
		<-time.After(time.Second + newsLag + time.Millisecond)
		if _, ok := b.ClaimTarget(context.Background(), 1, "e"); !ok || len(b.claimed) != 1 {
			t.Errorf("claimed: %v; %d claims held", ok, len(b.claimed))
		}
	})
}
