// Package attempt sends a request to its targets, one attempt at a time. A
// request is retried only if it can't have run or is idempotent, and within the
// retry budget of its service.
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

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/budget"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/routing"
)

// Headers of requests and answers between callers, daemons and targets.
const (
	HeaderID       = "X-Request-Id"
	HeaderDeadline = "X-Deadline-Ms"
)

// Answer is the answer to one attempt. Its header has been read, its body hasn't.
type Answer struct {
	ID       string // of the attempt
	Target   string
	Version  string // model version of the target
	Status   int
	Header   http.Header
	Body     io.Reader // reads fail when the target makes no progress
	Framed   bool      // the end of Body is marked by length or by chunks
	Handover bool      // another engine decodes after the first token
}

// Receiver processes answers. It is used by one goroutine at a time.
type Receiver interface {
	// Receive processes the answer to one attempt. An error that is no
	// *failure.Failure has the class failure.Cut.
	Receive(a Answer) error
	// Progress returns the number of tokens passed to the caller, from which the
	// next attempt resumes.
	Progress() int
	// Committed reports whether the caller was sent bytes after which no attempt
	// can resume.
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

// newAttemptID returns an id for an attempt at request. It is unique in the fleet
// and can't be predicted by the author of the request's content.
func newAttemptID(request string) string {
	return request + "." + processID + strconv.FormatUint(counter.Add(1), 36)
}

// attemptPlan holds the parameters of one attempt.
type attemptPlan struct {
	headerTimeout time.Duration // for the header, and for the first token
	handover      bool          // another engine decodes after the first token
	chosenAt      time.Time     // when the selection of the target began
	notReceived   func()        // called before a target that accepted no connection is reported
}

// refusedBefore reports whether the target at addr was known to refuse requests
// when its selection began. A refusal between selection and sending doesn't
// count.
func (r *Runner) refusedBefore(addr string, chosen time.Time) bool {
	s := r.opts.Pool.Status(addr)
	return s.Refusing && s.RefusedAt.Before(chosen)
}

// send runs one attempt at t. unpredicted reports a refusal by a target that was
// not known to refuse requests when it was selected.
func (r *Runner) send(ctx context.Context, q *Request, t routing.Target, p attemptPlan, call *budget.Call, recv Receiver) (f *failure.Failure, unpredicted bool) {
	end := r.opts.Pool.Begin(t.Addr, q.Route.PromptTokens, q.Route.OutputTokens)
	defer end()

	predicted := r.refusedBefore(t.Addr, p.chosenAt)
	id := newAttemptID(q.ID)
	req := r.build(q, t, id, recv.Progress())
	req.FirstByteTimeout, req.ReadTimeout = p.headerTimeout, r.opts.ReadTimeout
	counted := call.Begin(t.Addr)
	resp, err := r.opts.Pool.Send(ctx, req)
	logExchange(q.ID, t.Name, id, resp, err)
	if err != nil {
		f := r.sendFailure(ctx, t, err, p.notReceived)
		counted.Failed(f.Unwritten, f.Settled())
		if !f.Final() && (f.Unwritten || f.Class == failure.Stalled) {
			r.opts.Links.Failed(q.Service.Doc.Service, t.Name)
		}
		r.cancelStalled(f, q, t, id)
		return f, false
	}
	defer resp.Close(0)
	counted.Answered()
	r.opts.Links.Reached(q.Service.Doc.Service)
	if err := receive(resp, q, id, t, p.handover, recv); err != nil {
		f = failure.ClassifyRead(ctx, t.Name, err)
		r.reportStall(f, t)
		r.cancelStalled(f, q, t, id)
	}
	if f != nil && f.Class == failure.NotRun {
		r.opts.Pool.ReportRefusal(t.Addr)
		return f, !predicted
	}
	return f, false
}

// logExchange logs a send that was rejected or not answered: its connection and the
// answer that decides its outcome.
func logExchange(request, target, id string, resp *h1.Response, err error) {
	if resp != nil && resp.Status < http.StatusBadRequest {
		return
	}
	fields := log.Fields{"request": request, "target": target, "attempt": id}
	var he *h1.Error
	switch {
	case resp != nil:
		fields["exchange"], fields["status"] = resp.Use.String(), resp.Status
		fields["named"], fields["not_run"] = resp.Header.Get(HeaderID) == id, resp.Header.Get(answer.HeaderNotRun)
	case errors.As(err, &he):
		fields["exchange"] = he.Use.String()
	}
	log.WithFields(fields).Info("attempt: rejected or not answered")
}

func (r *Runner) reportStall(f *failure.Failure, t routing.Target) {
	if f.Class == failure.Stalled {
		r.opts.Pool.ReportStall(t.Addr)
	}
}

func (r *Runner) cancelStalled(f *failure.Failure, q *Request, t routing.Target, id string) {
	if f.Class == failure.Stalled && q.ToEngine {
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
		Relate: q.relate,
	}
}

// relate returns how an answer relates to an attempt. Only refusals of engines may lack
// its id; receive checks the others.
func (q *Request) relate(status int, h http.Header) h1.Relation {
	if q.isUnnamedRefusal(status, h) {
		return h1.Unnamed
	}
	return h1.Own
}

func (q *Request) isUnnamedRefusal(status int, h http.Header) bool {
	return q.ToEngine && h.Get(HeaderID) == "" && status >= http.StatusBadRequest
}

const errIDMismatch = failure.Detail("answer has another id")

// receive checks the id of the answer and passes the answer to recv. An answer
// with a different id may belong to an earlier request on the connection or to
// another caller, and must not reach this caller. A refusal by an engine may
// lack the id, as only its status is passed on.
func receive(resp *h1.Response, q *Request, id string, t routing.Target, handover bool, recv Receiver) error {
	got := resp.Header.Get(HeaderID)
	if got != id && !q.isUnnamedRefusal(resp.Status, resp.Header) {
		return &failure.Failure{Class: failure.Mismatch, Target: t.Name, Err: fmt.Errorf("%w: %.80q", errIDMismatch, got)}
	}
	return recv.Receive(Answer{
		ID:       id,
		Target:   t.Name,
		Version:  t.Version,
		Status:   resp.Status,
		Header:   resp.Header,
		Body:     resp.Body,
		Framed:   resp.Framed,
		Handover: handover,
	})
}

// sendFailure reports and classifies the error of a send. Content that the
// target didn't receive can't have crashed it, so notReceived takes it out of
// suspicion before the target is reported.
func (r *Runner) sendFailure(ctx context.Context, t routing.Target, err error, notReceived func()) *failure.Failure {
	if errors.Is(err, h1.ErrConnect) && ctx.Err() == nil {
		notReceived()
		r.opts.Pool.ReportUnreachable(t.Addr, err)
	}
	if errors.Is(err, h1.ErrNoProgress) {
		r.opts.Pool.ReportStall(t.Addr)
	}
	return failure.ClassifySend(ctx, t.Name, err)
}
