package entry

import (
	"errors"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/admission"
	"github.com/pomelospool/pomelospool/request/attempt"
	"github.com/pomelospool/pomelospool/request/routing"
)

// permit is the right of one request to run.
type permit struct {
	decision routing.Decision
	release  func() // to be called when the request is over; once
}

// admit decides at once whether q may run, and where it would go first.
func (e *Entry) admit(q *attempt.Request, t terms, cost float64) (*permit, error) {
	if err := e.enter(); err != nil {
		return nil, err
	}
	leave, err := e.streams.Enter(t.caller, q.Service.Doc.Limits.StreamsPerCaller)
	if err != nil {
		e.leave()
		return nil, err
	}
	p, err := e.place(q, t, cost)
	if err != nil {
		leave()
		e.leave()
		return nil, err
	}
	done := p.release
	p.release = sync.OnceFunc(func() {
		done()
		leave()
		e.leave()
	})
	return p, nil
}

// place has routing name a target and admission weigh it.
func (e *Entry) place(q *attempt.Request, t terms, cost float64) (*permit, error) {
	d, targets, err := e.runner.Choose(q)
	if err != nil {
		return nil, e.noPlace(err, q, targets)
	}
	release, err := e.admission.Admit(admission.Request{
		Doc:        q.Service.Doc,
		Org:        t.org,
		Priority:   t.priority,
		Cost:       cost,
		TimeLeft:   time.Until(t.deadline),
		Decision:   d,
		Targets:    targets,
		IdleFinish: func() (time.Duration, bool) { return e.idleFinish(q, targets) },
	})
	if err != nil {
		return nil, err
	}
	return &permit{decision: d, release: release}, nil
}

// noPlace says when to come back if routing didn't.
func (e *Entry) noPlace(err error, q *attempt.Request, targets []routing.Target) error {
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

// idleFinish asks routing how long q would take if no target had work.
func (e *Entry) idleFinish(q *attempt.Request, targets []routing.Target) (time.Duration, bool) {
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
