package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/pomelospool/pomelospool/internal/linkfault"
	"github.com/pomelospool/pomelospool/request/attempt"
	"github.com/pomelospool/pomelospool/version/document"
)

const longestAnswer = 8 << 10 // bytes, with the header

// Guards against an answer of which a target sent a part, and that reaches the caller as
// whole.
func TestAnswerOfTargetCutAtEachByte(t *testing.T) {
	for name, ask := range map[string]func(f *fixture) reply{
		"plain":  func(f *fixture) reply { return f.do("POST", "/s/app/x", "body", attempt.HeaderID, "r1") },
		"stream": func(f *fixture) reply { return f.complete("p", 3, attempt.HeaderID, "r1") },
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reset=%t", name, reset), func(t *testing.T) {
				e, p := startEngine(t), startPlain(t)
				engine, plain := cutting(t, e.Addr()), cutting(t, p.Addr())
				once := func(_ *Options, d *document.Document) { d.Retry.Attempts = 1 }
				want := ask(newFixture(t, []string{e.Addr()}, []string{p.Addr()}, once))
				target := plain
				if name == "stream" {
					target = engine
				}
				err := target.EachByte(reset, longestAnswer, func(n int64) bool {
					r := ask(newFixture(t, []string{engine.Addr()}, []string{plain.Addr()}, once))
					whole := r.err == nil && r.status == http.StatusOK
					if whole && r.body != want.body && !strings.Contains(r.body, `"error"`) {
						t.Errorf("cut after %d bytes: a whole %d %q, want %q", n, r.status, r.body, want.body)
					}
					return whole && r.body == want.body
				})
				if err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// cutting returns a proxy before an address.
func cutting(t *testing.T, addr string) *linkfault.Proxy {
	t.Helper()
	p, err := linkfault.NewProxy(addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}
