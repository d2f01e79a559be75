package caller

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
)

// A daemon stands still, or its connection has been forgotten in between, and
// the dispatcher's answer with it. The caller goes to another daemon long
// before the deadline, unless the call can't be repeated.
func TestSilentDaemon(t *testing.T) {
	gone := make(chan struct{})
	t.Cleanup(func() { close(gone) })
	hold := func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		select {
		case <-gone:
		case <-r.Context().Done():
		}
	}
	silent := func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-gone:
		case <-r.Context().Done():
		}
	}
	midway := func(w http.ResponseWriter, r *http.Request) {
		stream(tok(0))(w, r)
		hold(w, r)
	}
	half := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", "2")
		fmt.Fprint(w, "{")
		hold(w, r)
	}
	whole := stream(tok(0), tok(1), stop, done)
	ok := func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "{}") }
	chat := Chat("m", "hello", 3)
	keyed := Request{Path: "/s/app/holds", Body: []byte("{}"), Key: "k1"}
	bare := Request{Path: "/s/app/holds", Body: []byte("{}")}
	for _, tt := range []struct {
		name     string
		req      Request
		acts     []act
		code     code.Code
		attempts int
	}{
		{"stream, no header", chat, []act{silent, whole}, code.OK, 2},
		{"stream, midway", chat, []act{midway, whole}, code.OK, 2},
		{"call with key, no header", keyed, []act{silent, ok}, code.OK, 2},
		{"call with key, half the body", keyed, []act{half, ok}, code.OK, 2},
		{"call without key", bare, []act{silent, ok}, code.DeadlinePassed, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel() // each waits in real time
			f := newFleet(t, 3, tt.acts...)
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
