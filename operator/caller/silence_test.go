package caller

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
)

// A daemon stalls, or a middlebox drops the connection's state, so that no answer
// arrives. The client must retry at another daemon long before the deadline,
// unless the call can't be repeated.
func TestStalledDaemon(t *testing.T) {
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	wait := func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		select {
		case <-ended:
		case <-r.Context().Done():
		}
	}
	stalled := func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-ended:
		case <-r.Context().Done():
		}
	}
	stalledStream := func(w http.ResponseWriter, r *http.Request) {
		streamResponse(tokenEvent(0))(w, r)
		wait(w, r)
	}
	stalledBody := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "2")
		fmt.Fprint(w, "{")
		wait(w, r)
	}
	complete := streamResponse(tokenEvent(0), tokenEvent(1), stopEvent, doneEvent)
	ok := func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{}") }
	chat := Chat("m", "hello", 3)
	keyed := Request{Path: "/s/app/holds", Body: []byte("{}"), Key: "k1"}
	unkeyed := Request{Path: "/s/app/holds", Body: []byte("{}")}
	for _, tt := range []struct {
		name      string
		req       Request
		responses []response
		code      code.Code
		attempts  int
	}{
		{"stream, no header", chat, []response{stalled, complete}, code.OK, 2},
		{"stream, midway", chat, []response{stalledStream, complete}, code.OK, 2},
		{"call with key, no header", keyed, []response{stalled, ok}, code.OK, 2},
		{"call with key, half the body", keyed, []response{stalledBody, ok}, code.OK, 2},
		{"call without key", unkeyed, []response{stalled, ok}, code.DeadlinePassed, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel() // each waits in real time
			f := newTestFleet(t, 3, tt.responses...)
			c := New(Options{Daemons: []string{host(f.servers[0])}, MinHeaderTimeout: 50 * time.Millisecond, ReadTimeout: 50 * time.Millisecond})
			defer c.Close()
			tt.req.Deadline = 3 * time.Second
			a, err := c.Do(t.Context(), tt.req)
			if code.Of(err) != tt.code || a.Attempts != tt.attempts {
				t.Errorf("%d attempts, %v; want %d, code %d", a.Attempts, err, tt.attempts, tt.code)
			}
		})
	}
}

// Guards against a slow refusal that is aborted although data arrives: its reads
// must reset the stall timer.
func TestRefusalIsReadWithStallTimer(t *testing.T) {
	body := `{"error":{"code":1005,"message":"no","not_run":true}}`
	resp := &http.Response{
		StatusCode: http.StatusServiceUnavailable, Header: http.Header{HeaderNotRun: {"true"}}, Body: http.NoBody,
	}
	at := &attempt{r: &Request{}, a: &Answer{}}
	if err := at.readAnswer(resp, strings.NewReader(body), "a"); code.Of(err) != code.Draining {
		t.Errorf("error %v", err)
	}
}
