package ingress

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/drain"
	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/request/forward"
	"github.com/pomelospool/pomelospool/version/route"
)

// serveLimited serves the fixture with a limit on callers' memory and returns its address.
func (f *fixture) serveLimited(t *testing.T, m *quota.Memory, h http.HandlerFunc) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	tracker := drain.Track(server, drain.Options{Memory: m, Reject: f.Reject})
	go func() { _ = tracker.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// use takes all memory but that of one connection and the given number of bytes.
func use(t *testing.T, m *quota.Memory, left int64) {
	t.Helper()
	for left += quota.ConnCost; m.Limit()-m.Used() > left; {
		const part = 32 << 10 // small accounts may use the whole limit
		a := m.Open(func(bool) {})
		if err := a.Grow(min(part, m.Limit()-m.Used()-left)); err != nil {
			t.Fatal(err)
		}
		if err := a.Run(); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a refusal for lack of memory that doesn't state that the request wasn't
// run, or when to retry.
func TestRefusalForLackOfMemory(t *testing.T) {
	for name, tc := range map[string]struct {
		left, header, body int
	}{
		"the header doesn't fit": {4 << 10, 10_000, 0},
		"the body doesn't fit":   {16 << 10, 0, 40_000},
	} {
		t.Run(name, func(t *testing.T) {
			f := startWith(t, limitedConfig(7, nil, route.Limits{}))
			m := quota.New(1 << 20)
			addr := f.serveLimited(t, m, f.ServeHTTP)
			use(t, m, int64(tc.left))
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addr+"/p/x", strings.NewReader(strings.Repeat("x", tc.body)))
			if err != nil {
				t.Fatal(err)
			}
			req.Host, req.Header = "a.example", headers("r1")
			req.Header.Set("Padding", strings.Repeat("p", tc.header))
			resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
			if err != nil {
				// The connection was closed before the request was read.
				if tc.header == 0 {
					t.Fatal(err)
				}
				return
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") != "0.500" || resp.Header.Get("X-Pomelospool-Request-Id") != "r1" {
				t.Errorf("status %d, headers %v", resp.StatusCode, resp.Header)
			}
			if ran := f.plain.Ran(); len(ran) > 0 {
				t.Errorf("ran %v", ran)
			}
		})
	}
}

// Guards against a refusal for lack of memory that the daemon which forwarded the request
// takes for an answer of a target.
func TestForwardedRequestThatIsRefusedForLackOfMemory(t *testing.T) {
	f := startWith(t, limitedConfig(7, nil, route.Limits{}))
	m := quota.New(1 << 20)
	addr := f.serveLimited(t, m, f.ServeForwarded)
	use(t, m, 16<<10)
	peers := forward.New(forward.NewHTTP("vm-1"), func() []forward.Peer { return []forward.Peer{{VM: "vm-2", Addr: addr}} })
	t.Cleanup(peers.Close)
	call := forwardedCall(f, "r1", 7)
	call.Body = make([]byte, 40_000)
	if _, err := peers.Do(t.Context(), call); code.Of(err) != code.MemoryExhausted {
		t.Errorf("got %v", err)
	}
}

// Guards against a limit of the configuration that is read and not applied, and against
// one that turns away the largest header that it allows.
func TestHeaderLimit(t *testing.T) {
	const limit = 2000
	for _, over := range []int{0, 1} {
		t.Run(fmt.Sprint(over), func(t *testing.T) {
			f := startWith(t, limitedConfig(7, nil, route.Limits{HeaderBytes: limit}))
			c, err := net.Dial("tcp", f.srv.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			var b strings.Builder
			b.WriteString("POST /p/x HTTP/1.1\r\nHost:a.example\r\nX-Pomelospool-Request-Id:r1\r\n")
			padding := "Padding:\r\n\r\n"
			b.WriteString(strings.Replace(padding, "\r", strings.Repeat("p", limit-b.Len()-len(padding)+over)+"\r", 1))
			if _, err := c.Write([]byte(b.String())); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			status := resp.StatusCode
			want := http.StatusOK
			if over > 0 {
				want = http.StatusRequestHeaderFieldsTooLarge
			}
			if status != want {
				t.Errorf("a header of %d bytes: status %d", b.Len(), status)
			}
		})
	}
}
