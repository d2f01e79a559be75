package attempt

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/pool"
	"github.com/pomelospool/pomelospool/internal/pipenet"
	"github.com/pomelospool/pomelospool/request/quarantine"
	"github.com/pomelospool/pomelospool/request/routing"
)

// contentClaimer is a Claimer that records the claims of content and refuses the
// first ones. All targets can be claimed.
type contentClaimer struct {
	fakeTracker
	refuse int
}

func (c *contentClaimer) Claim(context.Context, quarantine.Fingerprint) (func(bool), bool) {
	c.record(0, "claim")
	if c.refuse > 0 {
		c.refuse--
		return nil, false
	}
	return func(finished bool) { c.record(0, fmt.Sprint("release ", finished)) }, true
}

func (c *contentClaimer) ClaimTarget(context.Context, quarantine.Fingerprint, string) (func(bool), bool) {
	return func(bool) {}, true
}

// exclusiveRecorder routes like firstAvailable and records Request.Exclusive of each call.
type exclusiveRecorder struct{ exclusive []bool }

func (e *exclusiveRecorder) Route(r routing.Request, targets []routing.Target) (routing.Decision, error) {
	e.exclusive = append(e.exclusive, r.Exclusive)
	return firstAvailable{}.Route(r, targets)
}

// claimCase is a test case of TestSuspectContentIsClaimed.
type claimCase struct {
	name       string
	verdict    quarantine.Verdict // at the first check
	after      quarantine.Verdict // after a broken connection
	refuse     int                // number of refused claims
	aCrashes   bool               // the first target crashes
	idempotent bool
	events     string
	exclusive  string
	err        code.Code
}

// TestSuspectContentIsClaimed checks that suspect content is claimed before it is
// sent, once for all attempts, and released after the last attempt has ended.
// Without the claim, daemons that receive the same crashing prompt at once would
// each lose an engine before any could inform the others. If the claim is
// refused, the error has to say that nothing ran and when to retry.
func TestSuspectContentIsClaimed(t *testing.T) {
	const unsuspected, suspect, shared = quarantine.Clear, quarantine.Suspect, quarantine.SuspectShared
	cases := []claimCase{
		{"clear", unsuspected, unsuspected, 0, false, true, "[begin end]", "[false]", code.OK},
		{"suspect", suspect, suspect, 0, false, true, "[claim begin end release true]", "[true]", code.OK},
		{"watched", shared, shared, 0, false, true, "[claim begin end release true]", "[false]", code.OK},
		{"tried twice", suspect, suspect, 0, true, true, "[claim begin end begin end release true]", "[true true]", code.OK},
		{"no whole answer", suspect, suspect, 0, true, false, "[claim begin end release false]", "[true]", code.TargetFailed},
		{"not got", suspect, suspect, 1, false, true, "[claim]", "[]", code.CrashSuspect},
		{"not got, watched", shared, shared, 1, false, true, "[claim]", "[]", code.CrashSuspect},
		{"suspect since its first try, then not got for a while", unsuspected, suspect, 2, true, true,
			"[begin end claim claim claim begin end release true]", "[false true]", code.OK},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, tc.run)
		})
	}
}

func (tc *claimCase) run(t *testing.T) {
	net := &pipenet.Net{}
	sent := 0
	answer := func(w http.ResponseWriter, r *http.Request) {
		sent++
		w.Header().Set(HeaderID, r.Header.Get(HeaderID))
		io.WriteString(w, "whole")
	}
	net.Serve("b:1", http.HandlerFunc(answer))
	net.Serve("a:1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if tc.aCrashes {
			panic(http.ErrAbortHandler)
		}
		answer(w, r)
	}))
	claims := &contentClaimer{fakeTracker: fakeTracker{verdict: tc.verdict}, refuse: tc.refuse}
	router := &exclusiveRecorder{}
	p := pool.New(pool.Options{Dial: net.Dial})
	r := NewRunner(Options{
		Pool: p, Router: router, Quarantine: claims,
		Targets: staticTargets{{Name: "a", Addr: "a:1", Live: true}, {Name: "b", Addr: "b:1", Live: true}},
		Verify:  func(context.Context, routing.Target) { claims.set(tc.after) },
	})
	result, err := r.Run(t.Context(), request(tc.idempotent), nil, &bodyReceiver{})
	net.Close()
	p.Close()
	if code.Of(err) != tc.err {
		t.Errorf("got %v, want code %d", err, tc.err)
	}
	if got := fmt.Sprint(claims.events); got != tc.events {
		t.Errorf("recorded %s, want %s", got, tc.events)
	}
	if got := fmt.Sprint(router.exclusive); got != tc.exclusive {
		t.Errorf("routed exclusively: %s, want %s", got, tc.exclusive)
	}
	if tc.err == code.CrashSuspect {
		checkRefusedNotRun(t, err, result, sent)
	}
}

// checkRefusedNotRun checks the error for content whose claim was refused.
func checkRefusedNotRun(t *testing.T, err error, result Result, sent int) {
	t.Helper()
	var ce *code.Error
	if !errors.As(err, &ce) || ce.Code != 1012 || !ce.Code.Info().NotRun || ce.RetryAfter <= 0 {
		t.Errorf("refused with %+v", ce)
	}
	if result.Written || result.Attempts != 0 || sent != 0 {
		t.Errorf("refused, but %+v, and %d were sent", result, sent)
	}
}
