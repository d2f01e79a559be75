package dispatch

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/route"
)

// Guards against answers that end with their connection and are taken for broken off,
// and against the reuse of their connections.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	withHarness(t, 1000, func(t *testing.T, h *harness) {
		unframed := func(b *standin.Behaviour) { b.Unframed = true }
		h.addTarget("app", "").Set(unframed)
		h.addTarget("llm", port.RolePrefill)
		h.addTarget("llm", port.RoleDecode).Set(unframed)
		for range 3 {
			a, _, err := h.runner.Plain(t.Context(), h.newCall(route.Safe, 1, time.Second))
			if err != nil || string(a.Body) != standin.Answer("req-1") {
				t.Errorf("plain answer %v, error %v", a, err)
			}
			out := &recorder{}
			if _, err := h.runner.Streamed(t.Context(), h.newCall(route.Stream, 1, time.Second), out); err != nil || out.text != eventText(1, 3) {
				t.Errorf("stream %q, error %v", out.text, err)
			}
		}
		if n := h.net.DialCount("app0"); n != 3 {
			t.Errorf("%d connections for three answers", n)
		}
	})
}

// Guards against a stream that ends inside an event, with its connection, and is taken
// for whole.
func TestUnframedStreamThatEndsInsideAnEvent(t *testing.T) {
	for _, attempts := range []int{1, 2} {
		withHarness(t, 1000, func(t *testing.T, h *harness) {
			h.addTarget("llm", port.RolePrefill)
			for range 2 {
				h.addTarget("llm", port.RoleDecode).Set(func(b *standin.Behaviour) { b.Unframed, b.CutAfter = true, 2 })
			}
			call := h.newCall(route.Stream, attempts, time.Second)
			call.Route.Resumable = true
			out := &recorder{}
			trace, err := h.runner.Streamed(t.Context(), call, out)
			switch {
			case attempts == 1 && (err == nil || out.text != eventText(1, 2)):
				t.Errorf("error %v after %q", err, out.text)
			case attempts == 2 && (err != nil || out.text != eventText(1, 3) || len(trace.Causes) != 1):
				t.Errorf("error %v after %q, causes %v", err, out.text, trace.Causes)
			}
		})
	}
}

// Guards against an answer that is taken for whole although its connection broke while
// the call's body was being written.
func TestUnframedAnswerWhoseConnectionBreaksDuringTheWrite(t *testing.T) {
	withHarness(t, 1000, func(t *testing.T, h *harness) {
		h.addTarget("llm", port.RolePrefill)
		for service, role := range map[string]port.Role{"app": "", "llm": port.RoleDecode} {
			id := h.addTarget(service, role).ID
			h.net.Stop(id)
			h.net.ServeConn(id, func(c net.Conn) {
				defer c.Close()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, standin.RawAnswer(req, standin.UntilClose, "text/event-stream", eventText(1, 2)))
			})
		}
		large := make([]byte, 1<<20)
		plain := h.newCall(route.Unsafe, 1, time.Second)
		plain.Body = large
		if a, _, err := h.runner.Plain(t.Context(), plain); err == nil {
			t.Errorf("plain answer %v", a)
		}
		stream, out := h.newCall(route.Stream, 1, time.Second), &recorder{}
		stream.Body = large
		if _, err := h.runner.Streamed(t.Context(), stream, out); err == nil || out.text != eventText(1, 2) {
			t.Errorf("stream %q, error %v", out.text, err)
		}
	})
}
