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
	"maps"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/request/failure"
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
	// Receive takes the answer of one attempt. An error is a *failure.Failure, or
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

// refusedBefore reports whether the target at addr was known to refuse when the
// choice began. A refusal that came between choice and sending wasn't.
func (r *Runner) refusedBefore(addr string, chosen time.Time) bool {
	s := r.opts.Pool.Status(addr)
	return s.Refusing && s.RefusedAt.Before(chosen)
}

// try runs one attempt at t. unpredicted reports a refusal that nothing known
// of the target announced.
func (r *Runner) try(ctx context.Context, q *Request, t routing.Target, p plan, recv Receiver) (f *failure.Failure, unpredicted bool) {
	end := r.opts.Pool.Begin(t.Addr, q.Route.PromptTokens, q.Route.OutputTokens)
	defer end()

	predicted := r.refusedBefore(t.Addr, p.chosen)
	id := newID(q.ID)
	req := r.build(q, t, id, recv.Progress())
	req.First, req.Between = p.first, r.opts.Between
	resp, err := r.opts.Pool.Send(ctx, req)
	if err != nil {
		f := r.sendFailure(ctx, t, err)
		r.cancelSilent(f, q, t, id)
		return f, false
	}
	defer resp.Close(0)
	if err := receive(resp, id, t, q.Model, p.decode, recv); err != nil {
		f = failure.Read(ctx, t.Name, err)
		r.noteSilent(f, t)
		r.cancelSilent(f, q, t, id)
	}
	if f != nil && f.Class == failure.NotRun {
		r.opts.Pool.Refused(t.Addr)
		return f, !predicted
	}
	return f, false
}

func (r *Runner) noteSilent(f *failure.Failure, t routing.Target) {
	if f.Class == failure.Silent {
		r.opts.Pool.Silent(t.Addr)
	}
}

func (r *Runner) cancelSilent(f *failure.Failure, q *Request, t routing.Target, id string) {
	if f.Class == failure.Silent && q.Model {
		r.opts.Pool.Cancel(t.Addr, id)
	}
}

func (r *Runner) build(q *Request, t routing.Target, id string, resume int) *h1.Request {
	h := maps.Clone(q.Header)
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

const errOtherID = failure.Detail("answer has another id")

// receive checks whose answer it is and hands it to the receiver. An answer
// under another id can be that of an earlier request on the connection, or of
// another caller: passing it on would give one caller what another asked. An
// engine's refusal may lack the id: nothing of it but its status is passed on.
func receive(resp *h1.Response, id string, t routing.Target, model, decode bool, recv Receiver) error {
	got := resp.Header.Get(HeaderID)
	refusal := model && got == "" && resp.Status >= http.StatusBadRequest
	if got != id && !refusal {
		return &failure.Failure{Class: failure.Mismatch, Target: t.Name, Err: fmt.Errorf("%w: %.80q", errOtherID, got)}
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

func (r *Runner) sendFailure(ctx context.Context, t routing.Target, err error) *failure.Failure {
	if errors.Is(err, h1.ErrConnect) && ctx.Err() == nil {
		r.opts.Pool.Unreachable(t.Addr, err)
	}
	if errors.Is(err, h1.ErrSilent) {
		r.opts.Pool.Silent(t.Addr)
	}
	return failure.Send(ctx, t.Name, err)
}
