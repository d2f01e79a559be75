package entry

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/attempt"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/limit"
)

// plainAnswer receives the answer of a plain service. It holds back up to
// hold bytes, so that an answer that breaks off within them can be asked for
// again; a longer answer is passed on as it comes.
type plainAnswer struct {
	w     http.ResponseWriter
	hold  int64
	stall time.Duration

	status    int
	header    http.Header
	held      []byte
	committed bool
}

func (r *plainAnswer) Progress() int   { return 0 }
func (r *plainAnswer) Committed() bool { return r.committed }

// Receive takes one attempt's answer.
func (r *plainAnswer) Receive(a attempt.Answer) error {
	r.status = 0
	held, err := io.ReadAll(io.LimitReader(a.Body, r.hold+1))
	if err != nil {
		return &failure.Failure{Class: failure.Cut, Target: a.Target, Err: err}
	}
	if !a.Framed && answer.HasBody(a.Status) {
		return &failure.Failure{Class: failure.Cut, Target: a.Target, Err: errUnmarked}
	}
	r.status, r.header, r.held = a.Status, a.Header, held
	if a.Status >= http.StatusInternalServerError && int64(len(held)) <= r.hold {
		return &failure.Failure{Class: failure.Failed, Target: a.Target, Err: failure.Status(a.Status)}
	}
	if int64(len(held)) <= r.hold {
		return nil
	}
	return r.passThrough(a)
}

func (r *plainAnswer) passThrough(a attempt.Answer) error {
	r.committed = true
	r.writeHeader(code.OK)
	if n := a.Header.Get("Content-Length"); n != "" {
		r.w.Header().Set("Content-Length", n)
	}
	r.w.WriteHeader(r.status)
	out := limit.NewWriter(r.w, r.stall)
	if _, err := out.Write(r.held); err != nil {
		return &failure.Failure{Class: failure.CallerGone, Target: a.Target, Err: err}
	}
	r.held = nil
	_, err := io.Copy(out, a.Body)
	if err != nil && errors.Is(err, out.Err()) {
		return &failure.Failure{Class: failure.CallerGone, Target: a.Target, Err: err}
	}
	return err
}

// writeHeader copies the target's header but for what ends with its
// connection.
func (r *plainAnswer) writeHeader(c code.Code) {
	h := r.w.Header()
	maps.Copy(h, without(r.header))
	h.Set(answer.HeaderCode, strconv.Itoa(int(c)))
}
