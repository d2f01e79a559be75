package entry

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/pomelospool/pomelospool/code"
)

// Headers of answers.
const (
	headerCode   = "X-Result-Code"
	headerNotRun = "X-Not-Run"
	headerRetry  = "Retry-After"
)

// errorBody is the JSON form of an error.
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

func asError(err error) *code.Error {
	var e *code.Error
	if errors.As(err, &e) {
		return e
	}
	return code.Wrap(code.Internal, err, "")
}

func marshalError(e *code.Error) []byte {
	info := e.Code.Info()
	message := info.Meaning
	if e.Detail != "" {
		message += " " + e.Detail
	}
	data, _ := json.Marshal(errorBody{errorInfo{
		Code:         int(e.Code),
		Type:         info.Name,
		Message:      message,
		NotRun:       info.NotRun,
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}})
	return data
}

// writeError answers with err. "Not run" is claimed by the code alone: the
// parts that return such codes do so only before anything was written.
func writeError(w http.ResponseWriter, err error) {
	e := asError(err)
	info := e.Code.Info()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerCode, strconv.Itoa(int(e.Code)))
	if info.NotRun {
		h.Set(headerNotRun, "true")
	}
	if e.RetryAfter > 0 {
		h.Set(headerRetry, strconv.FormatInt(seconds(e.RetryAfter), 10))
	}
	body := marshalError(e)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(info.Status)
	_, _ = w.Write(body)
}

// seconds rounds up: Retry-After has no smaller unit, and 0 would mean "now".
func seconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

func writeJSON(w http.ResponseWriter, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	writeWhole(w, http.StatusOK, "application/json", data)
	return nil
}

func writeWhole(w http.ResponseWriter, status int, contentType string, body []byte) {
	h := w.Header()
	if contentType != "" {
		h.Set("Content-Type", contentType)
	}
	h.Set(headerCode, strconv.Itoa(int(code.OK)))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
