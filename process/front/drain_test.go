package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
)

// gatedListener accepts connections whose Read holds back what it has read while the
// gate is closed, as that of a process which gets its processor late.
type gatedListener struct {
	net.Listener
	mu   sync.Mutex
	gate chan struct{} // nil: open
	held chan struct{} // gets a value for each Read that holds back bytes
}

func (l *gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &gatedConn{c, l}, err
}

func (l *gatedListener) shut() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gate = make(chan struct{})
	return l.gate
}

type gatedConn struct {
	net.Conn
	l *gatedListener
}

// NetConn returns the wrapped connection.
func (c *gatedConn) NetConn() net.Conn { return c.Conn }

func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.l.mu.Lock()
	gate := c.l.gate
	c.l.mu.Unlock()
	if n > 0 && gate != nil {
		c.l.held <- struct{}{}
		<-gate
	}
	return n, err
}

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
			var gated *gatedListener
			d := p.launchWrapped(strings.Replace(settingsText, "grace: 2s", "grace: 4s", 1), func(name string, l net.Listener) net.Listener {
				g := &gatedListener{Listener: l, held: make(chan struct{}, 1)}
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
			gate := gated.shut()
			_, _ = io.WriteString(c, requestText(port, "r2"))
			<-gated.held
			stopped := make(chan error, 1)
			go func() { stopped <- d.Shutdown() }()
			p.waitFor(func() bool { // until the port is being closed
				other, err := net.Dial("tcp", addr)
				if err == nil {
					_ = other.Close()
				}
				return err != nil
			})
			close(gate)
			if err := exchange(r); err != nil {
				t.Errorf("the request that was read wasn't answered: %v", err)
			}
			if err := <-stopped; err != nil {
				t.Error(err)
			}
		})
	}
}
