package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// servedText returns the answer to a forwarded request as it is written to a connection.
func servedText(req *http.Request, named bool, body string) string {
	h := http.Header{"Content-Length": {fmt.Sprint(len(body))}}
	e := Envelope{}
	if named {
		e.Send = req.Header.Get(headerSend)
	}
	e.SetServed(h)
	var b strings.Builder
	_ = h.Write(&b) // writing to a strings.Builder never fails
	return "HTTP/1.1 200 OK\r\n" + b.String() + "\r\n" + body
}

// repeatAnswers returns a server of connections that repeats each answer before the next
// one. The answers have the number of the request.
func repeatAnswers(named bool, requests *int) func(net.Conn) {
	return func(c net.Conn) {
		defer c.Close()
		r, previous := bufio.NewReader(c), ""
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			*requests++
			text := servedText(req, named, fmt.Sprint(*requests))
			if _, err := io.WriteString(c, previous+text); err != nil {
				return
			}
			previous = text
		}
	}
}

// Guards against a copy of the answer to another forwarded request that is taken for the
// answer to this one. Earlier builds name no send.
func TestRepeatedAnswersOfDaemonsAreDiscarded(t *testing.T) {
	for name, named := range map[string]bool{"named": true, "earlier build": false} {
		t.Run(name, func(t *testing.T) {
			withDaemons(t, 1, func(string, http.ResponseWriter, *http.Request) {}, func(t *testing.T, d *daemons) {
				requests := 0
				d.net.Stop("vm-0")
				d.net.ServeConn("vm-0", repeatAnswers(named, &requests))
				for i := 1; i <= 3; i++ {
					resp, err := d.do(t.Context())
					if err != nil {
						t.Error(err)
						return
					}
					body, _ := io.ReadAll(resp.Body)
					resp.Close()
					if string(body) != fmt.Sprint(i) {
						t.Errorf("request %d was answered %q", i, body)
					}
				}
			})
		})
	}
}
