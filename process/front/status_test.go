package front

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/pomelospool/pomelospool/platform/standin"
)

// Guards against a caller that gets no answer, or the target's, if the status of the target's
// answer is below 100.
func TestCallerGetsAnErrorForAnAnswerWithInvalidStatus(t *testing.T) {
	p := newTestPlatform(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go standin.ServeRaw(l, func(c net.Conn, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(c, strings.Replace(standin.RawAnswer(req, standin.Length, "text/plain", "part"), "200", "000", 1))
	})
	p.store.Announce(p.plain, l.Addr().String(), false)
	d := p.start()
	for path, want := range map[string]int{"/p/x": http.StatusBadGateway, "/i/x": http.StatusBadGateway} {
		if status, body := p.post(d, path, "invalid"+path[1:2], ""); status != want {
			t.Errorf("%s: status %d, %q", path, status, body)
		}
	}
}
