package ingress

import (
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/hop"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/dispatch"
	"github.com/pomelospool/pomelospool/request/limit"
)

// writeStall is how long a caller may take no byte of a stream. Callers give a
// stream up after two seconds of silence.
const writeStall = 10 * time.Second

// writeWhole passes a target's whole answer on.
func (x *exchange) writeWhole(a *dispatch.Answer) error {
	x.copyHeaders(a.Header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	if !answer.HasBody(a.Status) {
		x.w.Header().Del("Content-Length")
	}
	x.status = a.Status
	x.w.WriteHeader(a.Status)
	if _, err := x.w.Write(a.Body); err != nil && answer.HasBody(a.Status) {
		x.begun = true
		return code.Wrap(code.CallerGone, err, "")
	}
	return nil
}

func (x *exchange) copyHeaders(from http.Header) {
	h := x.w.Header()
	// net/http would add a type of its own where the target states none.
	h["Content-Type"] = nil
	maps.Copy(h, from)
	hop.Strip(h)
	if x.leaving.Load() != nil {
		h.Set("Connection", "close")
	}
}

// Begin implements dispatch.Stream.
func (x *exchange) Begin(status int, h http.Header) {
	x.begun = true
	x.status = status
	x.copyHeaders(h)
	x.w.WriteHeader(status)
}

// Write implements dispatch.Stream.
func (x *exchange) Write(events []byte) error {
	if x.out == nil {
		x.out = limit.NewWriter(x.w, writeStall)
	}
	return x.out.Send(events)
}

// fail answers with an error's code, if no header went out yet.
func (x *exchange) fail(err error) {
	if x.begun {
		return
	}
	e := answer.Error(err)
	x.status = e.Code.Info().Status
	answer.Write(x.w, e, func(h http.Header) {
		x.o.Wire.SetAnswerHeaders(h, x.ask.RequestID, e.RetryAfter)
		if e.Code == code.Unauthorized {
			h.Set("WWW-Authenticate", "Bearer")
		}
	})
}
