package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/internal/linkfault"
	"github.com/pomelospool/pomelospool/platform/standin"
)

// requestText returns a request to a port, as it is written to a connection.
func requestText(port, id string) string {
	switch port {
	case "callers":
		var h strings.Builder
		_ = standin.CallerHeaders(id, 5*time.Second, "").Write(&h) // a strings.Builder never fails
		return "POST /p/x HTTP/1.1\r\nHost: a.example\r\n" + h.String() + "Content-Length: 4\r\n\r\nbody"
	case "ready":
		return "GET " + standin.ReadyPath + " HTTP/1.1\r\nHost: a\r\n\r\n"
	case "operators":
		return "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n"
	}
	return "GET /unknown HTTP/1.1\r\nHost: a\r\n\r\n"
}

// exchange reads one answer.
func exchange(r *bufio.Reader) error {
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Errorf("status %d: %w", resp.StatusCode, err)
	}
	return nil
}

// Guards against requests that a planned stop reads and doesn't answer, on any port,
// since their connections count as idle until their headers are parsed.
func TestPlannedStopAnswersWhatEachPortHasRead(t *testing.T) {
	for _, port := range []string{"callers", "ready", "addresses", "operators", "peers"} {
		t.Run(port, func(t *testing.T) {
			t.Parallel()
			p := newTestPlatform(t)
			var gated *linkfault.Gate
			d := p.launchWrapped(strings.Replace(settingsText, "grace: 2s", "grace: 4s", 1), func(name string, l net.Listener) net.Listener {
				g := linkfault.NewGate(l)
				if name == port {
					gated = g
				}
				return g
			})
			p.waitFor(func() bool { return p.status(d, "ready", standin.ReadyPath) == http.StatusOK })
			addr := d.addr(port)
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			r := bufio.NewReader(c)
			_, _ = io.WriteString(c, requestText(port, "r1"))
			if err := exchange(r); err != nil {
				t.Fatal(err)
			}
			open := gated.Shut()
			defer open()
			_, _ = io.WriteString(c, requestText(port, "r2"))
			<-gated.Held
			stopped := make(chan error, 1)
			go func() { stopped <- d.Shutdown() }()
			p.waitFor(func() bool { // until the port is being closed
				other, err := net.Dial("tcp", addr)
				if err == nil {
					_ = other.Close()
				}
				return err != nil
			})
			open()
			if err := exchange(r); err != nil {
				t.Errorf("the request that was read wasn't answered: %v", err)
			}
			if err := <-stopped; err != nil {
				t.Error(err)
			}
		})
	}
}
