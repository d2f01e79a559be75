package entry

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/attempt"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/limit"
)

// plainReceiver receives the answer of a plain service. It buffers up to
// maxBuffered bytes, so that an answer that is cut within them can be retried.
// A longer answer is streamed to the caller.
type plainReceiver struct {
	w            http.ResponseWriter
	maxBuffered  int64
	writeTimeout time.Duration
	account      *quota.Account // of the memory for buffered; may be nil

	status    int
	header    http.Header
	buffered  []byte
	committed bool
}

func (r *plainReceiver) Progress() int   { return 0 }
func (r *plainReceiver) Committed() bool { return r.committed }

// Receive handles the answer of one attempt.
func (r *plainReceiver) Receive(a attempt.Answer) error {
	r.status = 0
	buffered, err := quota.ReadAll(r.account, a.Body, r.maxBuffered)
	if err != nil {
		return &failure.Failure{Class: failure.Cut, Target: a.Target, Err: err}
	}
	if !a.Framed && answer.HasBody(a.Status) {
		return &failure.Failure{Class: failure.Cut, Target: a.Target, Err: errNoEndMarker}
	}
	r.status, r.header, r.buffered = a.Status, a.Header, buffered
	if a.Status >= http.StatusInternalServerError && int64(len(buffered)) <= r.maxBuffered {
		return &failure.Failure{Class: failure.Failed, Target: a.Target, Err: failure.Status(a.Status)}
	}
	if int64(len(buffered)) <= r.maxBuffered {
		return nil
	}
	return r.passThrough(a)
}

// passThrough streams a long answer to the caller.
func (r *plainReceiver) passThrough(a attempt.Answer) error {
	r.committed = true
	r.writeHeader(code.OK)
	if n := a.Header.Get("Content-Length"); n != "" {
		r.w.Header().Set("Content-Length", n)
	}
	r.w.WriteHeader(r.status)
	out := limit.NewWriter(r.w, r.writeTimeout)
	if _, err := out.Write(r.buffered); err != nil {
		return &failure.Failure{Class: failure.CallerGone, Target: a.Target, Err: err}
	}
	r.buffered = nil
	_, err := io.Copy(out, a.Body)
	if err != nil && errors.Is(err, out.Err()) {
		return &failure.Failure{Class: failure.CallerGone, Target: a.Target, Err: err}
	}
	return err
}

// writeHeader copies the target's headers except those that stripHeaders
// removes.
func (r *plainReceiver) writeHeader(c code.Code) {
	h := r.w.Header()
	maps.Copy(h, stripHeaders(r.header))
	h.Set(answer.HeaderCode, strconv.Itoa(int(c)))
}
