package daemon

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/internal/linkfault"
	"github.com/pomelospool/pomelospool/peer"
	"github.com/pomelospool/pomelospool/process/settings"
	"github.com/pomelospool/pomelospool/request/attempt"
	"github.com/pomelospool/pomelospool/request/forward"
)

// forwardTo forwards a request to the daemon at an address over a new connection and
// reads its answer to the end.
func forwardTo(t *testing.T, addr, uri, body string) (status int, text string, err error) {
	t.Helper()
	sender := &Daemon{s: settings.Default(), dialer: peer.NewDialer(peer.DialerOptions{})}
	defer sender.dialer.Close()
	f := forward.New(&peerTransport{sender}, func() []forward.Peer { return []forward.Peer{{VM: "vm-0", Addr: addr}} })
	defer f.Close()
	resp, err := f.Do(t.Context(), &forward.Request{
		ID: "r1", Service: "s", Method: http.MethodPost, URI: uri, Host: "a.example", Body: []byte(body), Caller: "127.0.0.1:1",
		Header: http.Header{attempt.HeaderID: {"r1"}, attempt.HeaderDeadline: {"5000"}}, Deadline: time.Now().Add(5 * time.Second),
	})
	if err != nil {
		return 0, "", err
	}
	defer resp.Close()
	all, err := io.ReadAll(resp.Body)
	return resp.Status, string(all), err
}

// Guards against an answer of which another daemon sent a part, and that is taken for
// whole.
func TestForwardedAnswerCutAtEachByte(t *testing.T) {
	f := newFleet(t, 1, settings.TLS{})
	p, e := f.startPlain(), f.startEngine(0)
	f.waitForVersion("feed", f.publish("feed", onceYAML(p.Addr())))
	f.waitForVersion("language", f.publish("language", modelYAML(e.Addr())))
	eventually(t, "the engine is live", func() bool {
		s := f.status(0)
		return len(s.Targets) == 2 && s.Targets[0].State == "live" && s.Targets[1].State == "live"
	})
	const longest = 16 << 10 // bytes, with those of HTTP/2
	for name, req := range map[string]struct{ uri, body string }{
		"plain":  {"/s/feed/list", "body"},
		"stream": {"/v1/completions", `{"model":"m","prompt":"p","max_tokens":2,"stream":true}`},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset=%t", name, reset), func(t *testing.T) {
				proxy, err := linkfault.NewProxy(f.daemons[0].Listen().Peers)
				if err != nil {
					t.Fatal(err)
				}
				defer proxy.Close()
				_, want, err := forwardTo(t, f.daemons[0].Listen().Peers, req.uri, req.body)
				if err != nil || want == "" {
					t.Fatal(want, err)
				}
				err = proxy.EachByte(reset, longest, func(n int64) bool {
					status, got, err := forwardTo(t, proxy.Addr(), req.uri, req.body)
					whole := err == nil && status == http.StatusOK
					if whole && got != want && !strings.Contains(got, `"error"`) {
						t.Errorf("cut after %d bytes: a whole %d %q, want %q", n, status, got, want)
					}
					return whole && got == want
				})
				if err != nil {
					t.Error(err)
				}
			})
		}
	}
}
