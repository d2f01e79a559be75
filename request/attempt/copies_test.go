package attempt

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/pomelospool/pomelospool/connection/pool"
	"github.com/pomelospool/pomelospool/internal/pipenet"
	"github.com/pomelospool/pomelospool/request/failure"
)

// refusalReceiver is a bodyReceiver that takes a 503 for a refusal.
type refusalReceiver struct{ bodyReceiver }

func (r *refusalReceiver) Receive(a Answer) error {
	if a.Status == http.StatusServiceUnavailable {
		_, _ = io.Copy(io.Discard, a.Body)
		return &failure.Failure{Class: failure.NotRun, Target: a.Target, Err: failure.Status(a.Status)}
	}
	return r.bodyReceiver.Receive(a)
}

// engineAnswer returns an answer as it is written to a connection.
func engineAnswer(status int, id, body string) string {
	named := ""
	if id != "" {
		named = HeaderID + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, named, len(body), body)
}

// Guards against a late copy of an engine's refusal that is taken for the answer to
// another request, which then runs at two engines.
func TestRepeatedRefusalsAreNoAnswers(t *testing.T) {
	for name, named := range map[string]bool{"refusals without id": false, "copies without id": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, ran := &pipenet.Net{}, 0
				n.ServeConn("a:1", func(c net.Conn) {
					defer c.Close()
					r, refused := bufio.NewReader(c), false
					for {
						req, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, req.Body)
						id, text := req.Header.Get(HeaderID), ""
						switch {
						case refused:
							text = engineAnswer(http.StatusServiceUnavailable, "", "")
							fallthrough
						case ran > 0:
							ran++
							text += engineAnswer(http.StatusOK, id, "first")
						default:
							ran, refused = 1, true
							if !named {
								id = ""
							}
							text = engineAnswer(http.StatusServiceUnavailable, id, "")
						}
						if _, err := io.WriteString(c, text); err != nil {
							return
						}
					}
				})
				n.Serve("b:1", http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
					w.Header().Set(HeaderID, req.Header.Get(HeaderID))
					_, _ = io.WriteString(w, "second")
				}))
				p := pool.New(pool.Options{Dial: n.Dial})
				r := NewRunner(Options{Pool: p, Router: firstAvailable{}, Targets: staticTargets{
					{Name: "a", Addr: "a:1", Live: true}, {Name: "b", Addr: "b:1", Live: true},
				}})
				for _, want := range []string{"second", "first", "first"} {
					q, recv := request(true), &refusalReceiver{}
					q.ToEngine = true
					if _, err := r.Run(t.Context(), q, nil, recv); err != nil || recv.body != want {
						t.Errorf("answered by the %s engine, want the %s one; %v", recv.body, want, err)
					}
				}
				n.Close()
				_ = p.Close()
			})
		})
	}
}
