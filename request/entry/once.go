package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/attempt"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/once"
)

// onceResult is the outcome of a non-idempotent call.
type onceResult struct {
	answer *once.Answer
	err    error
}

// runOnce runs a non-idempotent call at most once.
//
// The call runs to its end in its own goroutine and the handler only waits for
// it. If a disconnected caller or an expired deadline cancelled a call that may
// be running on a target, its outcome would stay unknown, although the target
// might answer a moment later.
func (e *Entry) runOnce(w http.ResponseWriter, req *http.Request, c *plainCall) {
	obs := newObservation(e.opts.Burn, c.svc.Doc.Service, c.params.org)
	res := e.startOnce(w, req, c)
	timer := time.NewTimer(time.Until(c.params.deadline))
	defer timer.Stop()
	var r onceResult
	select {
	case r = <-res:
	case <-timer.C:
		r.err = code.New(code.KeyBusy, "the deadline passed while it runs").WithRetryAfter(retryAfter)
	case <-req.Context().Done():
		r.err = code.New(code.CallerGone, "")
	case <-e.calls.Done():
		r.err = code.New(code.KeyBusy, "the daemon stops while it runs").WithRetryAfter(retryAfter)
	}
	if e.retryViaPeer(req, c.svc, r.err) {
		e.forward(w, req, c.svc, c.params, c.body)
		return
	}
	obs.finish(r.err, 0)
	if r.err != nil {
		writeError(w, r.err)
		return
	}
	writeAnswer(w, quota.FromContext(req.Context()), r.answer.Status, r.answer.Type, r.answer.Body)
}

// startOnce admits the call and starts it. Admission comes before the key is
// claimed, so that refusals, which are frequent under overload, don't append to
// the log.
func (e *Entry) startOnce(w http.ResponseWriter, req *http.Request, c *plainCall) <-chan onceResult {
	res := make(chan onceResult, 1)
	if e.opts.Once == nil {
		res <- onceResult{err: code.New(code.OnceUnavailable, "").WithRetryAfter(retryAfter)}
		return res
	}
	q := c.request(w.Header().Get(attempt.HeaderID), req, e)
	p, err := e.admit(q, c.params, 1)
	if err != nil {
		res <- onceResult{err: err}
		return res
	}
	call := once.Call{Service: c.svc.Doc.Service, Key: c.key, Digest: c.digest(req.Method)}
	ctx := context.WithoutCancel(req.Context())
	e.tomb.Go(func() error {
		defer p.release()
		r := e.executeOnce(ctx, q, p, call)
		res <- r
		return nil
	})
	return res
}

// defaultOnceTimeout bounds a call whose document sets no maximum deadline.
const defaultOnceTimeout = 2 * time.Minute

func (e *Entry) executeOnce(ctx context.Context, q *attempt.Request, p *permit, call once.Call) onceResult {
	beginCtx, cancelBegin := context.WithDeadline(ctx, q.Deadline)
	ticket, recorded, err := e.opts.Once.Begin(beginCtx, call)
	cancelBegin()
	if err != nil {
		return onceResult{err: err}
	}
	if recorded != nil {
		return onceResult{answer: recorded}
	}
	if time.Now().After(q.Deadline) {
		ticket.NotRun(code.DeadlineTooShort)
		return onceResult{err: code.New(code.DeadlineTooShort, "passed before the call was run").WithRetryAfter(retryAfter)}
	}
	limit := q.Service.Doc.Limits.MaxDeadline
	if limit <= 0 {
		limit = defaultOnceTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	// The answer isn't charged: a call whose answer is lost has an unknown outcome.
	recv := &plainReceiver{maxBuffered: e.opts.Limits.BodyBytes}
	result, err := e.runner.Run(ctx, q, &p.decision, &bufferedReceiver{recv})
	return closeTicket(ticket, recv, result, err)
}

// closeTicket closes the ticket according to what is certain about the call:
// done, not run or unknown.
func closeTicket(ticket once.Ticket, recv *plainReceiver, result attempt.Result, err error) onceResult {
	var f *failure.Failure
	failed := errors.As(err, &f) && f.Class == failure.Failed && recv.status != 0
	if (err == nil || failed) && recv.notRunByTarget() {
		ticket.NotRun(code.NoTarget)
		return onceResult{err: code.Wrap(code.NoTarget, err, "the target refused the call and didn't run it").WithRetryAfter(retryAfter)}
	}
	if err == nil || failed {
		a := once.Answer{Status: recv.status, Type: recv.header.Get("Content-Type"), Body: recv.buffered}
		ticket.Done(a)
		return onceResult{answer: &a}
	}
	if !result.Written {
		if !code.Of(err).Info().NotRun {
			err = code.Wrap(code.TargetUnreachable, err, "").WithRetryAfter(retryAfter)
		}
		ticket.NotRun(code.Of(err))
		return onceResult{err: err}
	}
	ticket.Unknown()
	return onceResult{err: code.Wrap(code.OutcomeUnknown, err, "")}
}

// notRunByTarget reports whether the target states that it didn't run the call.
// Such a refusal must not be recorded as the answer: every retry with the same
// key would get it, and the call would never run.
func (r *plainReceiver) notRunByTarget() bool {
	return r.status >= http.StatusInternalServerError && r.header.Get(answer.HeaderNotRun) == "true"
}

// bufferedReceiver buffers a whole answer, because the answer must be recorded.
type bufferedReceiver struct{ *plainReceiver }

// Receive reads one attempt's answer without forwarding it.
func (r *bufferedReceiver) Receive(a attempt.Answer) error {
	body, err := readLimited(r.account, a.Body, r.maxBuffered)
	if err == nil && !a.Framed && answer.HasBody(a.Status) {
		err = errNoEndMarker
	}
	if err != nil {
		return &failure.Failure{Class: failure.Cut, Target: a.Target, Err: err}
	}
	r.status, r.header, r.buffered = a.Status, a.Header, body
	return nil
}
