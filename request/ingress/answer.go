package ingress

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/request/dispatch"
	"github.com/pomelospool/pomelospool/version/route"
)

const (
	// headerCode carries the numbered code of an answer of our own.
	headerCode = "X-Result-Code"
	// writeStall is how long a caller may take no byte of a stream. Callers
	// give a stream up after two seconds of silence.
	writeStall = 10 * time.Second
	// bodyTime bounds the reading of a body whose caller states no deadline.
	bodyTime = 10 * time.Second
	// defaultBody is the largest body while the configuration names none.
	defaultBody = 8 << 20
)

// connectionHeaders end with the connection to the target.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length",
}

// readBody reads the whole body within the limits.
func readBody(w http.ResponseWriter, req *http.Request, l route.Limits) ([]byte, error) {
	if req.ContentLength == 0 && len(req.TransferEncoding) == 0 {
		return nil, nil
	}
	limit := l.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	ctl := http.NewResponseController(w)
	if err := ctl.SetReadDeadline(time.Now().Add(bodyTime)); err != nil {
		log.WithError(err).Debug("ingress: no deadline for the body")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, limit))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return nil, code.New(code.BodyTooLarge, "over %d bytes", limit)
		}
		return nil, code.Wrap(code.BadRequest, err, "the body can't be read")
	}
	if err := ctl.SetReadDeadline(time.Time{}); err != nil {
		log.WithError(err).Debug("ingress: deadline for the body not lifted")
	}
	return body, nil
}

// writeWhole passes a target's whole answer on.
func (x *exchange) writeWhole(a *dispatch.Answer) error {
	x.copyHeaders(a.Header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	if !hasBody(a.Status) {
		x.w.Header().Del("Content-Length")
	}
	x.status = a.Status
	x.w.WriteHeader(a.Status)
	if _, err := x.w.Write(a.Body); err != nil && hasBody(a.Status) {
		x.begun = true
		return code.Wrap(code.CallerGone, err, "")
	}
	return nil
}

func hasBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

func (x *exchange) copyHeaders(from http.Header) {
	h := x.w.Header()
	// net/http would add a type of its own where the target states none.
	h["Content-Type"] = nil
	for k, v := range from {
		h[k] = v
	}
	for _, k := range connectionHeaders {
		h.Del(k)
	}
	if x.leaving.Load() {
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
	ctl := http.NewResponseController(x.w)
	if err := ctl.SetWriteDeadline(time.Now().Add(writeStall)); err != nil {
		return err
	}
	if _, err := x.w.Write(events); err != nil {
		return err
	}
	return ctl.Flush()
}

type errorBody struct {
	Code         int    `json:"code"`
	Type         string `json:"type"`
	NotRun       bool   `json:"not_run"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

// fail answers with an error's code, if no header went out yet.
func (x *exchange) fail(err error) {
	if x.begun {
		return
	}
	var e *code.Error
	if !errors.As(err, &e) {
		e = code.Wrap(code.Internal, err, "")
	}
	info := e.Code.Info()
	h := x.w.Header()
	x.o.Wire.Answer(h, x.ask.ID)
	h.Set("Content-Type", "application/json")
	h.Set(headerCode, strconv.Itoa(int(e.Code)))
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	body, merr := json.Marshal(errorBody{Code: int(e.Code), Type: info.Name, NotRun: info.NotRun, RetryAfterMs: e.RetryAfter.Milliseconds()})
	if merr != nil {
		log.WithError(merr).Error("ingress: error not encoded")
	}
	x.status = info.Status
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(x.status)
	// A caller that is gone gets no answer.
	_, _ = x.w.Write(body)
}
