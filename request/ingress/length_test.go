package ingress

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/duration"
)

// shortPlainAnswers returns what another daemon reports that has served short answers
// of the plain route for some time.
func shortPlainAnswers(t *testing.T) (pieces [][]byte) {
	synctest.Test(t, func(t *testing.T) {
		d := duration.New(0)
		for range 1000 {
			end := d.Begin(duration.Call{Route: "plain", Arrived: time.Now()})
			time.Sleep(60 * time.Millisecond)
			end(true)
		}
		var err error
		if pieces, err = d.Table().Report(func(string) bool { return false }, 1000); err != nil {
			t.Fatal(err)
		}
	})
	return pieces
}

// Guards against a stream that is cut because the daemon stops: a daemon that has
// served only short streams accepted a long one 3.2 s after the signal. A refused
// request must not have run, and the answer must send its caller to another daemon at once.
func TestStoppingRefusesLongAnswers(t *testing.T) {
	f := start(t, true)
	f.decode.Set(func(b *standin.Behaviour) { b.Gap = time.Millisecond })
	for i := range 200 { // a fast daemon's first second
		f.do(t, "POST", "/s/x", "a.example", standin.CallerHeaders(fmt.Sprint("s", i), 30*time.Second, "aa:10"), "")
		<-f.observations
	}
	for i, data := range shortPlainAnswers(t) {
		if err := f.o.Durations.Table().Merge("another daemon", i, 1, data); err != nil {
			t.Fatal(err)
		}
	}
	ran := len(f.decode.Ran())
	f.StopAt(time.Now().Add(4*time.Second), time.Now())
	resp, body := f.do(t, "POST", "/s/x", "a.example", standin.CallerHeaders("r1", 30*time.Second, "aa:10"), "")
	var e struct {
		Error struct {
			Code   int  `json:"code"`
			NotRun bool `json:"not_run"`
		} `json:"error"`
	}
	if err := json.Unmarshal([]byte(body), &e); err != nil {
		t.Fatalf("status %d, %v: %q", resp.StatusCode, err, body)
	}
	wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if resp.StatusCode != http.StatusServiceUnavailable || e.Error.Code != int(code.Draining) || !e.Error.NotRun || err != nil || wait > 0.1 || !resp.Close {
		t.Errorf("status %d, headers %v, %s", resp.StatusCode, resp.Header, body)
	}
	if now := len(f.decode.Ran()); now != ran {
		t.Errorf("%d streams ran after the refusal, %d before", now, ran)
	}
	if resp, _ := f.do(t, "POST", "/p/", "a.example", headers("r2"), ""); resp.StatusCode != http.StatusOK || resp.Header.Get(answer.HeaderCode) != "" {
		t.Errorf("short answer: status %d", resp.StatusCode)
	}
}

// Guards against callers that are refused though no daemon would accept them: they can't
// know yet that this daemon stops, and no other one serves.
func TestCallersWithNowhereElseToGoAreServed(t *testing.T) {
	for _, c := range []struct {
		name          string
		others, early bool
		want          int
	}{
		{"no other daemon serves", false, true, http.StatusOK},
		{"another daemon serves", true, true, http.StatusServiceUnavailable},
		{"no other daemon serves, and callers know of the stop", false, false, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := start(t, true)
			f.o.OthersServe = func() bool { return c.others }
			lastArrival := time.Now()
			if c.early {
				lastArrival = lastArrival.Add(time.Minute)
			}
			f.StopAt(time.Now().Add(4*time.Second), lastArrival)
			resp, _ := f.do(t, "POST", "/s/x", "a.example", standin.CallerHeaders("r1", 30*time.Second, "aa:10"), "")
			if resp.StatusCode != c.want {
				t.Errorf("status %d, want %d", resp.StatusCode, c.want)
			}
		})
	}
}

// Guards against callers that use up their tries within milliseconds while all daemons
// are being stopped, and start again a second later.
func TestRetryAfterWhileAllDaemonsStop(t *testing.T) {
	for _, others := range []bool{true, false} {
		f := start(t, true)
		f.o.OthersServe = func() bool { return others }
		f.StopAt(time.Now().Add(4*time.Second), time.Now())
		resp, _ := f.do(t, "POST", "/s/x", "a.example", standin.CallerHeaders("r1", 30*time.Second, "aa:10"), "")
		wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if resp.StatusCode != http.StatusServiceUnavailable || err != nil || wait > 1 || others != (wait < 0.1) {
			t.Errorf("others serve: %v: status %d, headers %v", others, resp.StatusCode, resp.Header)
		}
	}
}
