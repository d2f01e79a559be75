package ingress

import (
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/hop"
	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/dispatch"
	"github.com/pomelospool/pomelospool/request/forward"
	"github.com/pomelospool/pomelospool/request/limit"
)

// writeTimeout is how long a caller may read nothing of a stream. Callers
// abandon a stream after two seconds without data.
const writeTimeout = 10 * time.Second

// writeAnswer forwards a target's complete answer.
func (x *exchange) writeAnswer(a *dispatch.Answer) error {
	x.copyHeaders(a.Header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	if !answer.HasBody(a.Status) {
		x.w.Header().Del("Content-Length")
	}
	x.status = a.Status
	x.w.WriteHeader(a.Status)
	if err := limit.WriteAll(x.w, quota.FromContext(x.req.Context()), a.Body, writeTimeout); err != nil && answer.HasBody(a.Status) {
		x.headerSent.Store(true)
		return code.Wrap(code.CallerGone, err, "")
	}
	return nil
}

func (x *exchange) copyHeaders(from http.Header) {
	h := x.w.Header()
	closes := h.Get("Connection") == "close"
	// A nil value keeps net/http from adding a detected type if the target
	// sends none.
	h["Content-Type"] = nil
	maps.Copy(h, from)
	hop.Strip(h)
	forward.ClearResult(h)
	if x.envelope != nil {
		x.envelope.SetServed(h)
	}
	if closes || x.stop.Load() != nil {
		h.Set("Connection", "close")
	}
}

// Begin implements dispatch.Stream.
func (x *exchange) Begin(status int, h http.Header) {
	x.headerSent.Store(true)
	x.status = status
	x.copyHeaders(h)
	x.w.WriteHeader(status)
}

// Write implements dispatch.Stream.
func (x *exchange) Write(events []byte) error {
	if x.out == nil {
		x.out = limit.NewWriter(x.w, writeTimeout)
	}
	return x.out.Send(events)
}

// writeError writes an error answer, unless a header was already sent.
func (x *exchange) writeError(err error) {
	if x.headerSent.Load() {
		return
	}
	e := answer.Error(err)
	x.status = e.Code.Info().Status
	answer.Write(x.w, e, func(h http.Header) {
		x.o.Protocol.SetAnswerHeaders(h, x.meta.RequestID, e.RetryAfter)
		if x.envelope != nil {
			x.envelope.SetResult(h, e)
		}
		if e.Code == code.Unauthorized {
			h.Set("WWW-Authenticate", "Bearer")
		}
	})
}
