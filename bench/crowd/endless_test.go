package crowd

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/pomelospool/pomelospool/platform/standin"
)

// endlessAnswer is an answer that goes on until its connection is closed. Without a part
// that repeats it stops short of its end.
type endlessAnswer struct{ begin, repeat string }

const (
	okLine     = "HTTP/1.1 200 OK\r\n"
	eventsLine = okLine + "Content-Type: text/event-stream\r\n"
	chunkedEnd = "Transfer-Encoding: chunked\r\n\r\n"
)

// endlessAnswers are the answers of a faulty target. ID stands for the request's id.
var endlessAnswers = map[string]endlessAnswer{
	"no answer":     {"", strings.Repeat("\x00", 32<<10)},
	"header line":   {okLine + "X-A: ", strings.Repeat("a", 32<<10)},
	"header lines":  {okLine, strings.Repeat("X-A: a\r\n", 4<<10)},
	"body":          {okLine + "X-Pomelospool-Request-Id: ID\r\nX-Pomelospool-Response-Stamp: s\r\n\r\n", strings.Repeat("b", 32<<10)},
	"chunks":        {okLine + "X-Pomelospool-Request-Id: ID\r\nX-Pomelospool-Response-Stamp: s\r\n" + chunkedEnd, "8000\r\n" + strings.Repeat("b", 32<<10) + "\r\n"},
	"chunk's size":  {okLine + "X-Pomelospool-Request-Id: ID\r\nX-Pomelospool-Response-Stamp: s\r\n" + chunkedEnd, strings.Repeat("0", 32<<10)},
	"trailer":       {okLine + "X-Pomelospool-Request-Id: ID\r\nX-Pomelospool-Response-Stamp: s\r\n" + chunkedEnd + "0\r\n", strings.Repeat("X-A: a\r\n", 4<<10)},
	"event":         {eventsLine + "X-Pomelospool-Request-Id: ID\r\nX-Pomelospool-Response-Stamp: s\r\n\r\nid: 1\ndata: ", strings.Repeat("e", 32<<10)},
	"stalled event": {eventsLine + "X-Pomelospool-Request-Id: ID\r\nX-Pomelospool-Response-Stamp: s\r\n\r\nid: 1\ndata: " + strings.Repeat("e", 1000<<10), ""},
	"foreign":       {okLine + "X-Pomelospool-Request-Id: other\r\nContent-Length: 2000000000\r\n\r\n", strings.Repeat("b", 32<<10)},
	"stalled lines": {okLine + string(distinctLines(120<<10)), ""},
	"informational": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 1<<10)},
}

// serveEndless gives each request the answer. It returns the address.
func (s *site) serveEndless(a endlessAnswer) string {
	l, err := net.Listen("tcp", s.prefix+".200:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = l.Close() })
	go standin.ServeRaw(l, func(c net.Conn, req *http.Request) {
		_, err := io.WriteString(c, strings.ReplaceAll(a.begin, "ID", req.Header.Get("X-Pomelospool-Request-Id")))
		for err == nil && a.repeat != "" {
			_, err = io.WriteString(c, a.repeat)
		}
		_, _ = io.Copy(io.Discard, c) // until the daemon closes it
	})
	return l.Addr().String()
}

// Guards against a daemon that runs out of memory by a faulty target, which sends bytes
// without end until its caller closes the connection.
func TestSiteAnswersWithoutEnd(t *testing.T) {
	for name, a := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			s := newSiteWith(t, func(s *site, _ *standin.Target) string { return s.serveEndless(a) })
			path := standin.SlowSafePrefix
			if strings.HasSuffix(name, "event") {
				path = standin.SlowStreamPrefix
			}
			s.bear(crowd{clients: 300, send: writes(append(s.head("GET", path+"x"), "\r\n"...))}, 1, portCallers)
		})
	}
}
