package entry

import (
	"errors"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/admission"
	"github.com/pomelospool/pomelospool/request/attempt"
	"github.com/pomelospool/pomelospool/request/overload"
	"github.com/pomelospool/pomelospool/request/routing"
)

// permit allows one request to run.
type permit struct {
	decision routing.Decision
	release  func() // must be called when the request has ended; later calls do nothing
}

// admit decides, without queueing, whether q may run, and chooses its first
// target.
func (e *Entry) admit(q *attempt.Request, params requestParams, cost float64) (*permit, error) {
	if err := e.begin(params.deadline); err != nil {
		return nil, err
	}
	closeStream, err := e.streams.Enter(params.caller, q.Service.Doc.Limits.StreamsPerCaller)
	if err != nil {
		e.finish()
		return nil, err
	}
	p, err := e.routeAndAdmit(q, params, cost)
	if err != nil {
		closeStream()
		e.finish()
		return nil, e.checkOwnFinding(q, err)
	}
	release := p.release
	p.release = sync.OnceFunc(func() {
		release()
		closeStream()
		e.finish()
	})
	return p, nil
}

// routeAndAdmit lets the router choose a target, then applies admission
// control.
func (e *Entry) routeAndAdmit(q *attempt.Request, params requestParams, cost float64) (*permit, error) {
	d, targets, err := e.runner.Choose(q)
	if err != nil {
		return nil, e.withRetryAfter(err, q, targets)
	}
	release, err := e.admission.Admit(admission.Request{
		Doc:        q.Service.Doc,
		Org:        params.org,
		Priority:   params.priority,
		Cost:       cost,
		TimeLeft:   time.Until(params.deadline),
		UsefulFor:  e.usefulFor(q, params),
		Decision:   d,
		Targets:    targets,
		IdleFinish: func() (time.Duration, bool) { return e.idleCompletionTime(q, targets) },
	})
	if err != nil {
		return nil, err
	}
	return &permit{decision: d, release: release}, nil
}

// usefulFor returns the time for which the first token of a stream that has just been
// requested is of use to its caller, or 0 if that isn't considered: the setting is off,
// the service has no objective for it, or the caller has a part of the answer.
func (e *Entry) usefulFor(q *attempt.Request, params requestParams) time.Duration {
	o := q.Service.Doc.Objectives
	if !e.opts.ShedEarly || !params.stream || q.Resumes || o.FirstToken <= 0 {
		return 0
	}
	now := time.Now()
	return overload.UsefulUntil(overload.Caller{Arrived: now, Deadline: params.deadline, Objective: o.FirstToken, LongestPause: o.BetweenTokens}).Sub(now)
}

// withRetryAfter adds a Retry-After time to a routing error that has none.
func (e *Entry) withRetryAfter(err error, q *attempt.Request, targets []routing.Target) error {
	var ce *code.Error
	if !errors.As(err, &ce) {
		return err
	}
	if ce.Code == code.Overloaded && ce.RetryAfter == 0 {
		return e.admission.FullError(q.Service.Doc, targets)
	}
	if ce.RetryAfter == 0 {
		return code.Wrap(ce.Code, ce.Err, "%s", ce.Detail).WithRetryAfter(retryAfter)
	}
	return err
}

// idleCompletionTime returns the time to completion that the router would
// predict for q if all targets were idle.
func (e *Entry) idleCompletionTime(q *attempt.Request, targets []routing.Target) (time.Duration, bool) {
	idle := make([]routing.Target, len(targets))
	for i, t := range targets {
		t.InFlight, t.SentCount, t.SentPrefill, t.SentDecode, t.LoadAge = 0, 0, 0, 0, 0
		t.Load = port.Load{
			KVCapacity:  t.Load.KVCapacity,
			PrefillRate: t.Load.PrefillRate,
			DecodeRate:  t.Load.DecodeRate,
		}
		idle[i] = t
	}
	d, err := e.opts.Router.Route(q.Route, idle)
	return d.TimeToCompletion, err == nil
}
