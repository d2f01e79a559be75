// Package answer writes answers of the daemons' own: errors with a numbered
// code, whether the request ran, and when to come back.
package answer

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/code"
)

// Headers of answers.
const (
	HeaderCode   = "X-Result-Code"
	HeaderNotRun = "X-Not-Run"
	HeaderRetry  = "Retry-After"
)

// body is the JSON form of an error.
type body struct {
	Error info `json:"error"`
}

type info struct {
	Code         int    `json:"code"`
	Type         string `json:"type"`
	Message      string `json:"message"`
	NotRun       bool   `json:"not_run"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

// Error returns the coded error that err holds; any other one is internal.
func Error(err error) *code.Error {
	var e *code.Error
	if errors.As(err, &e) {
		return e
	}
	return code.Wrap(code.Internal, err, "")
}

// Marshal gives e's JSON form. What e wraps isn't told: it may quote others.
func Marshal(e *code.Error) []byte {
	i := e.Code.Info()
	message := i.Meaning
	if e.Detail != "" {
		message += " " + e.Detail
	}
	data, err := json.Marshal(body{info{
		Code:         int(e.Code),
		Type:         i.Name,
		Message:      message,
		NotRun:       i.NotRun,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		log.WithError(err).Error("answer: error not encoded")
	}
	return data
}

// Write answers with e. "Not run" is claimed by the code alone: the parts that
// return such codes do so only before anything was written. adjust may change
// the header before it goes out; nil: nothing to change.
func Write(w http.ResponseWriter, e *code.Error, adjust func(h http.Header)) {
	i := e.Code.Info()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderCode, strconv.Itoa(int(e.Code)))
	if i.NotRun {
		h.Set(HeaderNotRun, "true")
	}
	if e.RetryAfter > 0 {
		h.Set(HeaderRetry, strconv.FormatInt(seconds(e.RetryAfter), 10))
	}
	data := Marshal(e)
	h.Set("Content-Length", strconv.Itoa(len(data)))
	if adjust != nil {
		adjust(h)
	}
	w.WriteHeader(i.Status)
	// A caller that is gone gets no answer.
	_, _ = w.Write(data)
}

// seconds rounds up: HTTP's Retry-After has no smaller unit, and 0 would mean
// "now".
func seconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// HasBody reports whether answers with the status may have a body.
func HasBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
