package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/request/answer"
	"github.com/pomelospool/pomelospool/request/attempt"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/once"
)

// onceResult is how a non-idempotent call ended.
type onceResult struct {
	answer *once.Answer
	err    error
}

// runOnce runs a non-idempotent call at most once.
//
// A caller that goes away, or whose deadline passes, must not cancel a call
// that may be running at a target: the outcome would be unknown for good,
// although the target answers a moment later. So the call runs in a goroutine
// of its own to its end, and the handler only waits for it.
func (e *Entry) runOnce(w http.ResponseWriter, req *http.Request, c *plainCall) {
	obs := newObservation(e.opts.Burn, c.svc.Doc.Service, c.terms.org)
	res := e.startOnce(w, req, c)
	timer := time.NewTimer(time.Until(c.terms.deadline))
	defer timer.Stop()
	var r onceResult
	select {
	case r = <-res:
	case <-timer.C:
		r.err = code.New(code.KeyBusy, "the deadline passed while it runs").WithRetryAfter(retryAfter)
	case <-req.Context().Done():
		r.err = code.New(code.CallerGone, "")
	}
	obs.end(r.err, 0)
	if r.err != nil {
		writeError(w, r.err)
		return
	}
	writeWhole(w, r.answer.Status, r.answer.Type, r.answer.Body)
}

// startOnce admits the call and starts it. Admission comes before the key is
// taken: refusals, which are many under overload, cost no append to the log.
func (e *Entry) startOnce(w http.ResponseWriter, req *http.Request, c *plainCall) <-chan onceResult {
	res := make(chan onceResult, 1)
	if e.opts.Once == nil {
		res <- onceResult{err: code.New(code.OnceUnavailable, "").WithRetryAfter(retryAfter)}
		return res
	}
	q := c.request(w.Header().Get(attempt.HeaderID), req, e)
	p, err := e.admit(q, c.terms, 1)
	if err != nil {
		res <- onceResult{err: err}
		return res
	}
	call := once.Call{Service: c.svc.Doc.Service, Key: c.key, Digest: c.digest(req.Method)}
	ctx := context.WithoutCancel(req.Context())
	e.tomb.Go(func() error {
		defer p.release()
		res <- e.onceCall(ctx, q, p, call)
		return nil
	})
	return res
}

// onceLimit bounds a call whose document gives no longest deadline.
const onceLimit = 2 * time.Minute

func (e *Entry) onceCall(ctx context.Context, q *attempt.Request, p *permit, call once.Call) onceResult {
	beginCtx, cancelBegin := context.WithDeadline(ctx, q.Deadline)
	ticket, known, err := e.opts.Once.Begin(beginCtx, call)
	cancelBegin()
	if err != nil {
		return onceResult{err: err}
	}
	if known != nil {
		return onceResult{answer: known}
	}
	if time.Now().After(q.Deadline) {
		ticket.NotRun(code.DeadlineTooShort)
		return onceResult{err: code.New(code.DeadlineTooShort, "passed before the call was run").WithRetryAfter(retryAfter)}
	}
	limit := q.Service.Doc.Limits.MaxDeadline
	if limit <= 0 {
		limit = onceLimit
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	recv := &plainAnswer{hold: e.opts.Limits.BodyBytes}
	result, err := e.runner.Run(ctx, q, &p.decision, &wholePlain{recv})
	return settle(ticket, recv, result, err)
}

// settle closes the ticket by what is proven.
func settle(ticket once.Ticket, recv *plainAnswer, result attempt.Result, err error) onceResult {
	var f *failure.Failure
	failed := errors.As(err, &f) && f.Class == failure.Failed && recv.status != 0
	if (err == nil || failed) && recv.refusedUnrun() {
		ticket.NotRun(code.NoTarget)
		return onceResult{err: code.Wrap(code.NoTarget, err, "the target refused the call and didn't run it").WithRetryAfter(retryAfter)}
	}
	if err == nil || failed {
		a := once.Answer{Status: recv.status, Type: recv.header.Get("Content-Type"), Body: recv.held}
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

// refusedUnrun reports whether the target itself says that it didn't run the
// call. Such a refusal is no answer to keep: recorded as one, it would be all
// that the key ever gives, and the call would never run.
func (r *plainAnswer) refusedUnrun() bool {
	return r.status >= http.StatusInternalServerError && r.header.Get(answer.HeaderNotRun) == "true"
}

// wholePlain takes an answer only as a whole: it has to be recorded.
type wholePlain struct{ *plainAnswer }

// Receive takes one attempt's answer and never passes it on as it comes.
func (r *wholePlain) Receive(a attempt.Answer) error {
	body, err := readLimited(a.Body, r.hold)
	if err == nil && !a.Framed && answer.HasBody(a.Status) {
		err = errUnmarked
	}
	if err != nil {
		return &failure.Failure{Class: failure.Cut, Target: a.Target, Err: err}
	}
	r.status, r.header, r.held = a.Status, a.Header, body
	return nil
}
