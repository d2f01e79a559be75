package dispatch

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/route"
)

// answerWithStatus makes a target answer all requests with a status that no response has.
func (h *harness) answerWithStatus(id, status string) {
	h.net.Stop(id)
	h.net.ServeConn(id, func(c net.Conn) {
		defer c.Close()
		r := bufio.NewReader(c)
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			text := standin.RawAnswer(req, standin.Length, "text/event-stream", eventText(1, 3))
			_, _ = io.WriteString(c, strings.Replace(text, "200", status, 1))
		}
	})
}

// Guards against an answer with a status below 100 that is given to the caller, or that ends
// its connection without an answer.
func TestAnswerWithInvalidStatusIsNotRelayed(t *testing.T) {
	for _, status := range []string{"000", "001", "099"} {
		t.Run(status, func(t *testing.T) {
			withHarness(t, 1000, func(t *testing.T, h *harness) {
				h.addTarget("llm", port.RolePrefill)
				for service, role := range map[string]port.Role{"app": "", "llm": port.RoleDecode} {
					h.answerWithStatus(h.addTarget(service, role).ID, status)
				}
				if a, _, err := h.runner.Plain(t.Context(), h.newCall(route.Unsafe, 1, time.Second)); code.Of(err) != code.TargetFailed {
					t.Errorf("plain answer %v, error %v", a, err)
				}
				out := &recorder{}
				if _, err := h.runner.Streamed(t.Context(), h.newCall(route.Stream, 1, time.Second), out); code.Of(err) != code.TargetFailed || out.text != "" {
					t.Errorf("stream %q, error %v", out.text, err)
				}
				h.addTarget("app", "")
				if a, _, err := h.runner.Plain(t.Context(), h.newCall(route.Safe, 2, time.Second)); err != nil || a.Status != http.StatusOK {
					t.Errorf("plain answer %v, error %v beside a sound target", a, err)
				}
			})
		})
	}
}
