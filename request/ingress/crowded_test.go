package ingress

import (
	"net/http"
	"testing"
)

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
