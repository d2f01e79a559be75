// Package attempt runs a request at its targets: one try at a time, with
// retries bounded by proof, by idempotence and by the service's budget.
package attempt

import (
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

	"github.com/pomelospool/pomelospool/connection/h1"
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
	end := r.opts.Pool.Begin(t.Addr, q.Route.PromptTokens, q.Route.OutputTokens)
	defer end()

	foreseen := r.refusedBefore(t.Addr, p.chosen)
	id := newID(q.ID)
	req := r.build(q, t, id, recv.Progress())
	req.First, req.Between = p.first, r.opts.Between
	resp, err := r.opts.Pool.Send(ctx, req)
	if err != nil {
		f := r.sendFailure(ctx, t, err)
		r.cancelSilent(f, q, t, id)
		return f
	}
	defer resp.Close(0)
	err = receive(resp, id, t, q.Model, p.decode, recv)
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

func (r *Runner) build(q *Request, t routing.Target, id string, resume int) *h1.Request {
	h := make(http.Header, len(q.Header)+len([]string{HeaderID, HeaderDeadline}))
	for k, v := range q.Header {
		h[k] = v
	}
	left := time.Until(q.Deadline).Milliseconds()
	h.Set(HeaderID, id)
	h.Set(HeaderDeadline, strconv.FormatInt(max(left, 1), 10))
	return &h1.Request{
		Addr:   t.Addr,
		Method: q.Method,
		URI:    q.Path,
		Host:   t.Addr,
		Header: h,
		Body:   q.Body(resume),
		Reuse:  q.reuse(),
	}
}

const errOtherID = Detail("answer has another id")

// receive checks whose answer it is and hands it to the receiver. An answer
// under another id can be that of an earlier request on the connection, or of
// another caller: passing it on would give one caller what another asked. An
// engine's refusal may lack the id: nothing of it but its status is passed on.
func receive(resp *h1.Response, id string, t routing.Target, model, decode bool, recv Receiver) error {
	got := resp.Header.Get(HeaderID)
	refusal := model && got == "" && resp.Status >= http.StatusBadRequest
	if got != id && !refusal {
		return &Failure{Class: Mismatch, Target: t.Name, Err: fmt.Errorf("%w: %.80q", errOtherID, got)}
	}
	return recv.Receive(Answer{
		ID:     id,
		Target: t.Name,
		Status: resp.Status,
		Header: resp.Header,
		Body:   resp.Body,
		Framed: resp.Framed,
		Decode: decode,
	})
}

func (r *Runner) sendFailure(ctx context.Context, t routing.Target, err error) *Failure {
	f := &Failure{Class: NoAnswer, Target: t.Name, Err: err}
	if errors.Is(err, h1.ErrConnect) && ctx.Err() == nil {
		r.opts.Pool.Unreachable(t.Addr, err)
	}
	f.settle(ctx)
	if f.Class == Silent {
		r.opts.Pool.Silent(t.Addr)
	}
	// A caller that left or a deadline that passed ends the request whether or
	// not it was written; the outcome still says if it was.
	var he *h1.Error
	f.notWritten = errors.As(err, &he) && !he.Written
	if f.notWritten && (f.Class == NoAnswer || f.Class == Silent) {
		f.Class = NotWritten
	}
	return f
}

func (r *Runner) receiveFailure(ctx context.Context, t routing.Target, err error) *Failure {
	if err == nil {
		return nil
	}
	f := &Failure{Class: classOf(err, Cut), Target: t.Name, Err: err}
	if f.Class == Cut {
		f.settle(ctx)
	}
	if f.Class == Silent {
		r.opts.Pool.Silent(t.Addr)
	}
	return f
}

// settle tells a target that went silent, a caller that left and the end of the
// deadline from a connection that broke.
func (f *Failure) settle(ctx context.Context) {
	switch {
	case errors.Is(f.Err, h1.ErrSilent):
		f.Class = Silent
	case ctx.Err() == nil:
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		f.Class = Late
	default:
		f.Class = CallerGone
	}
}
