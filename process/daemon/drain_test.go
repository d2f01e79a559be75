package daemon

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/pomelospool/pomelospool/internal/linkfault"
	"github.com/pomelospool/pomelospool/operator/caller"
	"github.com/pomelospool/pomelospool/process/settings"
)

// getAnswer sends a GET request and reads its answer.
func getAnswer(c net.Conn, r *bufio.Reader, path string, meanwhile func()) error {
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		return err
	}
	meanwhile()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// Guards against requests that a planned stop reads and doesn't answer, on any port that
// serves HTTP, since their connections count as idle until their headers are parsed.
func TestPlannedStopAnswersWhatEachPortHasRead(t *testing.T) {
	cases := []struct {
		name   string
		port   func(l *listeners) *net.Listener
		path   string
		secure bool
	}{
		{"callers", func(l *listeners) *net.Listener { return &l.callers }, caller.PathAddresses, false},
		{"operators", func(l *listeners) *net.Listener { return &l.operators }, "/metrics", false},
		{"callers with TLS", func(l *listeners) *net.Listener { return &l.callers }, caller.PathAddresses, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ca, keys := newTestCA(t, "fleet"), settings.TLS{}
			if tc.secure {
				keys = newKeyFiles(t, ca).TLS
			}
			f := newFleet(t, 1, keys)
			f.daemons[0].Kill()
			var gate *linkfault.Gate
			f.wrap = func(l *listeners) {
				port := tc.port(l)
				gate = linkfault.NewGate(*port)
				*port = gate
			}
			f.start(0)
			addr := gate.Addr().String()
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if tc.secure {
				conf := clientTLS(ca, nil, nil)
				conf.ServerName = daemonIP(0)
				c = tls.Client(c, conf)
			}
			r := bufio.NewReader(c)
			if err := getAnswer(c, r, tc.path, func() {}); err != nil {
				t.Fatal(err)
			}
			open := gate.Shut()
			defer open()
			var stopped <-chan error
			err = getAnswer(c, r, tc.path, func() {
				<-gate.Held
				stopped = f.stop(0)
				eventually(t, "the port is closed", func() bool {
					other, err := net.Dial("tcp", addr)
					if err == nil {
						_ = other.Close()
					}
					return err != nil
				})
				open()
			})
			if err != nil {
				t.Errorf("the request that was read wasn't answered: %v", err)
			}
			if err := <-stopped; err != nil {
				t.Error(err)
			}
		})
	}
}
