// Package answer writes the error answers of the daemons themselves. Each one
// has a numeric result code, states whether the request ran and may have a
// Retry-After time.
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

// Response headers.
const (
	HeaderCode   = "X-Result-Code"
	HeaderNotRun = "X-Not-Run"
	HeaderRetry  = "Retry-After"
)

// errorBody is the JSON body of an error answer.
type errorBody struct {
	Error errorInfo `json:"error"`
}

type errorInfo struct {
	Code         int    `json:"code"`
	Type         string `json:"type"`
	Message      string `json:"message"`
	NotRun       bool   `json:"not_run"`
	RetryAfterMs int64  `json:"retry_after_ms,omitempty"`
}

// Error returns the *code.Error that err wraps. Any other error becomes an
// internal one.
func Error(err error) *code.Error {
	var e *code.Error
	if errors.As(err, &e) {
		return e
	}
	return code.Wrap(code.Internal, err, "")
}

// Marshal returns e as JSON. It omits the wrapped error, which may quote
// content of other callers.
func Marshal(e *code.Error) []byte {
	i := e.Code.Info()
	message := i.Meaning
	if e.Detail != "" {
		message += " " + e.Detail
	}
	data, err := json.Marshal(errorBody{errorInfo{
		Code:         int(e.Code),
		Type:         i.Name,
		Message:      message,
		NotRun:       i.NotRun,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		log.WithError(err).Error("answer: encoding the error failed")
	}
	return data
}

// Write writes e as the answer. The not-run header is derived from the code
// alone: codes that claim it are only returned before anything was written to a
// target. If adjust isn't nil, it may change the header before that is sent.
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
	// The error is ignored: a disconnected caller can't be answered.
	_, _ = w.Write(data)
}

// seconds rounds up to whole seconds, the unit of Retry-After. 0 would mean
// "now".
func seconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// HasBody reports whether an answer with the status may have a body.
func HasBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
