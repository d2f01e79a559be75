package ingress

import (
	"net/http"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
)

// Guards against streams that are accepted late in a planned stop, since earlier ones
// were short, and are cut at its end.
func TestDrainingAcceptsOnlyWhatEndsBeforeTheStop(t *testing.T) {
	f := start(t, true)
	f.durations.observe("stream", 80, 5*time.Millisecond, 50*time.Millisecond)
	f.StopAt(time.Now().Add(20 * time.Second))
	send := func(timeout time.Duration) int {
		resp, _ := f.do(t, "POST", "/s/x", "a.example", standin.CallerHeaders("r1", timeout, "aa:10"), "")
		return resp.StatusCode
	}
	if status := send(30 * time.Second); status != http.StatusOK {
		t.Errorf("before the drain: status %d", status)
	}
	f.Drain()
	if status := send(30 * time.Second); status != http.StatusServiceUnavailable {
		t.Errorf("may last until the stop: status %d", status)
	}
	if status := send(10 * time.Second); status != http.StatusOK {
		t.Errorf("ends before the stop: status %d", status)
	}
}

// Guards against a target's answer that hides from the caller that its connection is
// closed, since there are too many.
func TestAnswerAsksToCloseIfTheServerDoes(t *testing.T) {
	f := start(t, true)
	next := f.srv.Config.Handler
	f.srv.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Connection", "close")
		next.ServeHTTP(w, req)
	})
	if resp, _ := f.do(t, "POST", "/p/", "a.example", headers("r1"), ""); resp.StatusCode != http.StatusOK || !resp.Close {
		t.Errorf("status %d, close %v", resp.StatusCode, resp.Close)
	}
}
