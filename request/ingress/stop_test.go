package ingress

import (
	"encoding/json"
	"io"
	"net/http"
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

const longDeadline = time.Minute

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
