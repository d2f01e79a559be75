package crowd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	targets "github.com/pomelospool/pomelospool/standin"
)

// leaving stands in the ids of requests whose callers leave.
const leaving = "leaves"

// newFleetToLeave returns a fleet whose target answers no request of a caller that leaves.
func newFleetToLeave(t *testing.T, secure bool) (*fleet, *targets.Witness) {
	w := targets.NewWitness(func(h http.Header) string {
		id, _, _ := strings.Cut(h.Get("X-Request-Id"), ".")
		return id
	})
	return newFleetWith(t, secure, func(h http.Handler) http.Handler {
		return w.Wrap(http.HandlerFunc(func(rw http.ResponseWriter, req *http.Request) {
			if strings.Contains(req.Header.Get("X-Request-Id"), leaving) {
				_, _ = io.Copy(io.Discard, req.Body)
				<-req.Context().Done()
				return
			}
			h.ServeHTTP(rw, req)
		}))
	}), w
}

// Guards against requests that run at targets though their callers closed the connection, or
// cancelled the stream of HTTP/2, while the daemon stood still.
func TestFleetCallersThatLeaveAStoppedDaemon(t *testing.T) {
	t.Run("http1", func(t *testing.T) {
		f, w := newFleetToLeave(t, false)
		f.whileStopped(w, func(id string) func() {
			c, err := net.Dial("tcp", f.addr(portCallers))
			if err != nil {
				t.Fatal(err)
			}
			_, _ = fmt.Fprintf(c, "POST /s/feed/x HTTP/1.1\r\nHost: feed\r\nX-Request-Id: %s\r\nContent-Length: 1\r\n\r\nb", id)
			return func() { _ = c.Close() }
		})
	})
	t.Run("http2", func(t *testing.T) {
		f, w := newFleetToLeave(t, true)
		tr := f.client.Transport.(*http.Transport).Clone()
		tr.DisableKeepAlives, tr.ForceAttemptHTTP2 = false, true
		f.client.Transport = tr
		if !f.answers(0) {
			t.Fatal("no answer") // opens the connection that all requests use
		}
		f.whileStopped(w, func(id string) func() {
			ctx, cancel := context.WithCancel(t.Context())
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+f.addr(portCallers)+"/s/feed/x", strings.NewReader("b"))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("X-Request-Id", id)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				if resp, err := tr.RoundTrip(req); err == nil {
					_ = resp.Body.Close()
				}
			}()
			return func() { cancel(); <-ended }
		})
	})
}

// whileStopped has callers send requests to the first daemon and leave, by the function that
// send returns, while it stands still.
func (f *fleet) whileStopped(w *targets.Witness, send func(id string) (leave func())) {
	d := f.daemons[0]
	signal := func(s syscall.Signal) {
		if err := d.cmd.Process.Signal(s); err != nil {
			f.t.Fatal(err)
		}
	}
	signal(syscall.SIGSTOP)
	var ids []string
	var leave []func()
	for i := range callersThatLeave {
		ids = append(ids, fmt.Sprintf("%s-%d", leaving, i))
		leave = append(leave, send(ids[i]))
	}
	<-time.After(segmentTime)
	w.Leave(ids...)
	for _, l := range leave {
		l()
	}
	<-time.After(stillTime)
	signal(syscall.SIGCONT)
	eventually(f.t, "the daemon answers again", func() bool { return f.answers(0) })
	if err := w.CheckDepartures(noticeTime); err != nil {
		f.t.Error(err)
	}
}
