package ingress

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/platform/standin"
)

func streamHeaders(id string, left time.Duration) http.Header {
	return standin.CallerHeaders(id, left, "aa:10")
}

// errorBody is the body of an error answer. It is empty for a target's answer.
type errorBody struct {
	Error struct {
		Code   int  `json:"code"`
		NotRun bool `json:"not_run"`
	} `json:"error"`
}

func decodeError(body string) (e errorBody) {
	_ = json.Unmarshal([]byte(body), &e) // a target's answer isn't JSON
	return e
}

func codeOf(body string) code.Code { return code.Code(decodeError(body).Error.Code) }

const (
	stopTime     = 30 * time.Second
	longDeadline = time.Minute
	briefTime    = 10 * time.Second // a deadline that passes before the stop
)

// Guards against streams that are cut because their daemon stops, and against callers
// that are refused though they could be served.
func TestWhoIsRefusedInAStop(t *testing.T) {
	const accepted, refused = http.StatusOK, http.StatusServiceUnavailable
	for _, c := range []struct {
		name          string
		others, early bool
		stream, plain int // status with a deadline after the stop
	}{
		{"others serve, early", true, true, refused, refused},
		{"others serve, late", true, false, refused, refused},
		{"none serves, early", false, true, accepted, accepted},
		{"none serves, late", false, false, refused, accepted},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := start(t, true)
			f.o.OthersServe = func() bool { return c.others }
			lastArrival := time.Now()
			if c.early {
				lastArrival = lastArrival.Add(time.Minute)
			}
			f.StopAt(time.Now().Add(stopTime), lastArrival)
			want := map[string]int{"long stream": c.stream, "brief stream": accepted, "long call": c.plain, "brief call": accepted}
			got := make(map[string]int)
			for name, r := range map[string]struct {
				path string
				left time.Duration
			}{"long stream": {"/s/x", longDeadline}, "brief stream": {"/s/x", briefTime}, "long call": {"/p/", longDeadline}, "brief call": {"/p/", briefTime}} {
				ran := len(f.plain.Ran()) + len(f.decode.Ran())
				resp, body := f.do(t, "POST", r.path, "a.example", streamHeaders(name, r.left), "")
				got[name] = resp.StatusCode
				ran = len(f.plain.Ran()) + len(f.decode.Ran()) - ran
				e := decodeError(body).Error
				if resp.StatusCode == refused && (ran != 0 || e.Code != int(code.Draining) || !e.NotRun) || !resp.Close {
					t.Errorf("%s: %d runs, headers %v, %s", name, ran, resp.Header, body)
				}
			}
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Errorf("%v, want %v", got, want)
			}
		})
	}
}

// Guards against late streams that are cut since lengths grow during a stop: whatever a
// daemon knows of other answers is no bound for the next one.
func TestShortAnswersBeforeAreNoBound(t *testing.T) {
	f := start(t, true)
	f.decode.Set(func(b *standin.Behaviour) { b.Gap = time.Millisecond })
	const known, followed = 200, 1400 * time.Millisecond // longer than the stop below
	for i := range known {
		f.do(t, "POST", "/s/x", "a.example", streamHeaders(fmt.Sprint("s", i), longDeadline), "")
	}
	<-time.After(followed)
	f.decode.Set(func(b *standin.Behaviour) { b.Gap = time.Second })
	f.StopAt(time.Now().Add(followed/4), time.Now())
	if resp, body := f.do(t, "POST", "/s/x", "a.example", streamHeaders("long", longDeadline), ""); codeOf(body) != code.Draining || len(f.decode.Ran()) != known {
		t.Errorf("status %d, %.100q, %d runs", resp.StatusCode, body, len(f.decode.Ran()))
	}
}

// Guards against streams that a stopping daemon accepts for another daemon, whose
// callers know nothing of the stop.
func TestForwardedCallsAreRefusedInAStop(t *testing.T) {
	f := start(t, true)
	f.o.OthersServe = func() bool { return false }
	f.StopAt(time.Now().Add(stopTime), time.Now().Add(time.Minute))
	call := forwardedCall(f, "r1", 7)
	call.Service, call.URI, call.Header, call.Body = "llm", "/s/x", f.o.Protocol.ForwardHeaders(streamHeaders("r1", longDeadline), false), nil
	call.Deadline = time.Now().Add(longDeadline)
	resp, err := f.forwardTo(t).Do(t.Context(), call)
	if err == nil {
		resp.Close()
	}
	if code.Of(err) != code.Draining || len(f.decode.Ran()) != 0 {
		t.Errorf("%v, ran %v", err, f.decode.Ran())
	}
}

// Guards against callers that use up their tries within milliseconds while all daemons
// are being stopped, and start again a second later.
func TestRetryAfterWhileAllDaemonsStop(t *testing.T) {
	for _, others := range []bool{true, false} {
		f := start(t, true)
		f.o.OthersServe = func() bool { return others }
		f.StopAt(time.Now().Add(stopTime), time.Now())
		resp, _ := f.do(t, "POST", "/s/x", "a.example", streamHeaders("r1", longDeadline), "")
		wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		if resp.StatusCode != http.StatusServiceUnavailable || err != nil || wait > 1 || others != (wait < 0.1) {
			t.Errorf("others serve: %v: status %d, headers %v", others, resp.StatusCode, resp.Header)
		}
	}
}

// Guards against calls that run and whose answers are known to come too late, while no
// other daemon serves.
func TestCallsThatCannotBeAnsweredInTimeAreRefused(t *testing.T) {
	for _, c := range []struct {
		objective time.Duration
		want      int
	}{{stopTime, http.StatusServiceUnavailable}, {stopTime / 4, http.StatusOK}} {
		cfg := config(7)
		cfg.Match("a.example", "/p/").Objective = c.objective
		f := startWith(t, cfg)
		f.o.OthersServe = func() bool { return false }
		f.StopAt(time.Now().Add(stopTime), time.Now())
		if resp, _ := f.do(t, "POST", "/p/", "a.example", headers("r1"), ""); resp.StatusCode != c.want {
			t.Errorf("objective %v: status %d, want %d", c.objective, resp.StatusCode, c.want)
		}
	}
}

// Guards against calls whose connections are closed without any answer, since their
// targets don't answer before the daemon stops.
func TestStopAnswersWaitingCalls(t *testing.T) {
	for _, path := range []string{"/p/", "/s/x"} {
		t.Run(path, func(t *testing.T) {
			f := start(t, true)
			for _, target := range []*standin.Target{f.plain, f.decode} {
				target.Set(func(b *standin.Behaviour) { b.NoAnswer = true })
			}
			go func() {
				tick := time.NewTicker(time.Millisecond)
				defer tick.Stop()
				for len(f.plain.Ran())+len(f.decode.Ran()) == 0 {
					<-tick.C
				}
				f.StopAt(time.Now().Add(2*lastAnswerTime), time.Now())
			}()
			resp, body := f.do(t, "POST", path, "a.example", streamHeaders("r1", longDeadline), "")
			if resp.StatusCode != http.StatusGatewayTimeout || codeOf(body) != code.Stopped {
				t.Errorf("status %d, %s", resp.StatusCode, body)
			}
		})
	}
}

// Guards against streams that are ended early, although they may still be complete in time.
func TestStopLeavesStreamsThatHaveBegun(t *testing.T) {
	f := start(t, true)
	f.decode.Set(func(b *standin.Behaviour) { b.Events, b.Gap = 5, 20*time.Millisecond })
	req, err := http.NewRequestWithContext(t.Context(), "POST", f.srv.URL+"/s/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host, req.Header = "a.example", streamHeaders("r1", longDeadline)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	f.endWaiting()
	if body, err := io.ReadAll(resp.Body); err != nil || !strings.HasSuffix(string(body), "data: piece 5\n\n") {
		t.Errorf("%q, %v", body, err)
	}
}
