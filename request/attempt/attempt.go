// Package attempt runs a request at its targets: one try at a time, with
// retries bounded by proof, by idempotence and by the service's budget.
package attempt

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pomelospool/pomelospool/connection/pool"
	"github.com/pomelospool/pomelospool/request/routing"
)

// Headers that travel between callers, daemons and targets.
const (
	HeaderID       = "X-Request-Id"
	HeaderDeadline = "X-Deadline-Ms"
)

// Answer is the answer of one attempt, header read, body not.
type Answer struct {
	ID     string // of the attempt
	Target string
	Status int
	Header http.Header
	Body   io.Reader // reads fail when the target makes no progress
	Framed bool      // the end of Body is marked by length or by chunks
	Decode bool      // another engine is to go on after the first token
}

// Receiver takes answers. It is used by one goroutine.
type Receiver interface {
	// Receive takes the answer of one attempt. An error is a *Failure, or
	// counts as Cut.
	Receive(a Answer) error
	// Progress is the number of tokens passed on: where a resume starts.
	Progress() int
	// Committed tells that bytes went to the caller that no resume can follow.
	Committed() bool
}

var (
	processID = newProcessID()
	counter   atomic.Uint64
)

func newProcessID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// newID returns the id of an attempt at request: unique to it in the fleet,
// and not to be guessed by whoever wrote the content.
func newID(request string) string {
	return request + "." + processID + strconv.FormatUint(counter.Add(1), 36)
}

// plan is how one attempt is made.
type plan struct {
	first  time.Duration // longest wait for the header, and for the first token
	decode bool          // another engine is to go on after the first token
	chosen time.Time     // when the choice of the target began
}

// refusedBefore tells whether the target at addr was known to refuse when the
// choice began. A refusal that came between choice and sending wasn't.
func (r *Runner) refusedBefore(addr string, chosen time.Time) bool {
	s := r.opts.Pool.Status(addr)
	return s.Refusing && s.RefusedAt.Before(chosen)
}

// try runs one attempt at t.
func (r *Runner) try(ctx context.Context, q *Request, t routing.Target, p plan, recv Receiver) *Failure {
	ctx, dog := newWatchdog(ctx, p.first)
	defer dog.end()
	end := r.opts.Pool.Begin(t.Addr, q.Route.PromptTokens, q.Route.OutputTokens)
	defer end()

	foreseen := r.refusedBefore(t.Addr, p.chosen)
	id := newID(q.ID)
	req, err := r.build(ctx, q, t, id, recv.Progress())
	if err != nil {
		return &Failure{Class: NotWritten, Target: t.Name, Err: err}
	}
	x, err := r.opts.Pool.Send(req, q.mode())
	if err != nil {
		f := r.sendFailure(ctx, t, x, err)
		r.cancelSilent(f, q, t, id)
		return f
	}
	defer x.Response.Body.Close()
	dog.disarm()
	body := &watchedBody{src: x.Response.Body, dog: dog, first: p.first, next: r.opts.Between}
	err = receive(x.Response, id, t, q.Model, p.decode, body, recv)
	f := r.receiveFailure(ctx, t, err)
	r.cancelSilent(f, q, t, id)
	if f != nil && f.Class == Busy {
		r.opts.Pool.Refused(t.Addr)
		f.unforeseen = !foreseen
	}
	return f
}

func (r *Runner) cancelSilent(f *Failure, q *Request, t routing.Target, id string) {
	if f != nil && f.Class == Silent && q.Model {
		r.opts.Pool.Cancel(t.Addr, id)
	}
}

func (r *Runner) build(ctx context.Context, q *Request, t routing.Target, id string, resume int) (*http.Request, error) {
	body := q.Body(resume)
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+t.Addr+q.Path, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	// The body has no GetBody on purpose: net/http repeats a request with an
	// Idempotency-Key by itself when it can rewind it, past the budget.
	req.ContentLength = int64(len(body))
	if len(body) == 0 && q.Idempotent {
		req.Body = http.NoBody
	}
	for k, v := range q.Header {
		req.Header[k] = v
	}
	left := time.Until(q.Deadline).Milliseconds()
	req.Header.Set(HeaderID, id)
	req.Header.Set(HeaderDeadline, strconv.FormatInt(max(left, 1), 10))
	return req, nil
}

const errOtherID = Detail("answer has another id")

// receive checks whose answer it is and hands it to the receiver. An answer
// under another id can be that of an earlier request on the connection, or of
// another caller: passing it on would give one caller what another asked. An
// engine's refusal may lack the id: nothing of it but its status is passed on.
func receive(resp *http.Response, id string, t routing.Target, model, decode bool, body io.Reader, recv Receiver) error {
	got := resp.Header.Get(HeaderID)
	refusal := model && got == "" && resp.StatusCode >= http.StatusBadRequest
	if got != id && !refusal {
		return &Failure{Class: Mismatch, Target: t.Name, Err: fmt.Errorf("%w: %.80q", errOtherID, got)}
	}
	return recv.Receive(Answer{
		ID:     id,
		Target: t.Name,
		Status: resp.StatusCode,
		Header: resp.Header,
		Body:   body,
		Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
		Decode: decode,
	})
}

func (r *Runner) sendFailure(ctx context.Context, t routing.Target, x *pool.Exchange, err error) *Failure {
	f := &Failure{Class: NoAnswer, Target: t.Name, Err: err}
	written := x.Written()
	if errors.Is(err, pool.ErrConnect) && ctx.Err() == nil {
		r.opts.Pool.Unreachable(t.Addr, err)
	}
	if stopped := stoppedClass(ctx); stopped != nil {
		f.Class = *stopped
	}
	if f.Class == Silent {
		r.opts.Pool.Silent(t.Addr)
	}
	// A caller that left or a deadline that passed ends the request whether or
	// not it was written; the outcome still says if it was.
	f.notWritten = !written
	if !written && (f.Class == NoAnswer || f.Class == Silent) {
		f.Class = NotWritten
	}
	return f
}

func (r *Runner) receiveFailure(ctx context.Context, t routing.Target, err error) *Failure {
	if err == nil {
		return nil
	}
	f := &Failure{Class: classOf(err, Cut), Target: t.Name, Err: err}
	if stopped := stoppedClass(ctx); stopped != nil && f.Class == Cut {
		f.Class = *stopped
	}
	if f.Class == Silent {
		r.opts.Pool.Silent(t.Addr)
	}
	return f
}

// stoppedClass tells why the attempt's context ended, nil if it did not.
func stoppedClass(ctx context.Context) *Class {
	if ctx.Err() == nil {
		return nil
	}
	class := CallerGone
	cause := context.Cause(ctx)
	if errors.Is(cause, errSilent) {
		class = Silent
	}
	if errors.Is(cause, context.DeadlineExceeded) {
		class = Late
	}
	return &class
}
