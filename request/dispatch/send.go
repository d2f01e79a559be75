package dispatch

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/connection/health"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/failure"
)

// outgoing is one send: to whom, with what, and for how long.
type outgoing struct {
	target        port.TargetEntry
	state         port.Send     // ID, Target and Left are filled in
	headerTimeout time.Duration // longest wait for the header and the body's first bytes; 0: as long as the call may take
}

// send sends the call and reads the answer's header. With a nil failure the
// response must be closed.
func (x *execution) send(ctx context.Context, s outgoing) (*h1.Response, port.Verdict, *sendFailure) {
	x.trace.Sends++
	x.trace.Targets = append(x.trace.Targets, s.target.ID)
	resp, err := x.opts.Pool.Do(ctx, x.request(s))
	if err != nil {
		return nil, port.Verdict{}, &sendFailure{Failure: failure.Send(ctx, s.target.ID, err)}
	}
	return resp, x.opts.Wire.Judge(resp.Status, resp.Header), nil
}

func (x *execution) request(s outgoing) *h1.Request {
	h := maps.Clone(x.call.Header)
	s.state.ID = x.call.Ask.ID
	s.state.Target = s.target.ID
	s.state.Organisation = x.call.Organisation
	s.state.Left = time.Until(x.call.Deadline)
	x.opts.Wire.Stamp(h, s.state)
	return &h1.Request{
		Addr:   s.target.Addr,
		Target: s.target.ID,
		Method: x.call.Method,
		URI:    x.call.URI,
		Host:   x.call.Host,
		Header: h,
		Body:   x.call.Body,
		Reuse:  x.connReuse(s),
		First:  s.headerTimeout,
		Mine:   x.answersCall,
	}
}

// connReuse keeps calls that may run once at most off connections that were idle
// for long: on one that the target has just closed they would end as "may have
// run".
func (x *execution) connReuse(s outgoing) h1.Reuse {
	if x.call.Route.Idempotent() || s.state.Prefill {
		return h1.Idle
	}
	return h1.Recent
}

// answersCall reports whether an answer is to this call. A refusal or an error may lack
// the id; a success must have it.
func (x *execution) answersCall(status int, h http.Header) bool {
	id := x.opts.Wire.Judge(status, h).ID
	return id == x.call.Ask.ID || id == "" && status >= http.StatusMultipleChoices
}

// maxAnswer bounds an answer that is passed on whole, in bytes.
const maxAnswer = 8 << 20

// readAnswer reads an answer to its end and closes the response.
func (x *execution) readAnswer(ctx context.Context, target string, resp *h1.Response, v port.Verdict) (*Answer, *sendFailure) {
	defer resp.Close(v.KeepAlive)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errTooLarge
	}
	if err != nil {
		return nil, &sendFailure{Failure: failure.Read(ctx, target, err)}
	}
	return &Answer{Status: resp.Status, Header: resp.Header, Body: body}, nil
}

// answerFailure turns a whole answer into a failure, or nil if it may be passed on as
// the call's answer.
func (x *execution) answerFailure(target string, a *Answer, v port.Verdict) *sendFailure {
	switch {
	case v.WrongOne:
		return newFailure(failure.NotRun, target, errWrongTarget)
	case v.NotRun:
		f := newFailure(failure.NotRun, target, errNotRun)
		f.retryAfter, f.answer = v.RetryAfter, a
		return f
	case !v.Signed:
		return newFailure(failure.Mismatch, target, errUnsigned)
	case a.Status >= http.StatusInternalServerError || impliesNotRun(a.Status):
		return targetError(target, a)
	}
	return nil
}

// targetError is a target's own answer of failure.
func targetError(target string, a *Answer) *sendFailure {
	f := newFailure(failure.Failed, target, failure.Status(a.Status))
	f.answer = a
	return f
}

// recordFailure keeps the books about a failed send.
func (x *execution) recordFailure(f *sendFailure) {
	x.lastFailure = f
	x.failedTargets = append(x.failedTargets, f.Target)
	x.trace.Causes = append(x.trace.Causes, f.Class.String()+": "+f.Cause())
	if f.MayHaveRun() {
		x.possibleRuns++
	}
	if provesStart(f) {
		x.markStarted(0)
	}
	if o, counts := f.healthOutcome(); counts && !f.healthRecorded {
		x.opts.Health.Note(f.Target, o)
	}
	log.WithFields(log.Fields{
		"request": x.call.Ask.ID, "target": f.Target, "class": f.Class.String(), "cause": f.Cause(),
		"send": x.trace.Sends, "left_ms": time.Until(x.call.Deadline).Milliseconds(),
	}).Info("dispatch: send failed")
}

// maxSends bounds the sends of one call, prefills and refused ones included.
const maxSends = 6

// mayRetry reports whether the call may be sent once more after f, which takes
// that many sends. The first prefill that an engine accepted is no send beyond
// the first; a second one is, and so is the request that goes on from it.
func (x *execution) mayRetry(ctx context.Context, f *sendFailure, sends int) bool {
	switch {
	case ctx.Err() != nil || f.Final():
		return false
	case x.trace.Sends >= maxSends || x.possibleRuns >= x.call.Route.Attempts:
		return false
	case f.MayHaveRun() && !x.call.Route.Idempotent():
		return false
	case f.Class == failure.NotWritten:
		return true // no target saw it, so it is no send beyond the first
	}
	return x.opts.Budget.Take(x.call.Service.Name, sends)
}

// loadedTarget is a target with its load.
type loadedTarget struct {
	*port.TargetEntry
	load      engines.Load
	localOnly bool // only this daemon considers it
}

// usable returns the considered targets without those that failed this call or are
// ejected if others are left. parts are the call's prompt.
func (x *execution) usable(c *targetSample, parts []port.PromptPart) []loadedTarget {
	var good, tried []loadedTarget
	for i, e := range c.entries {
		t := loadedTarget{TargetEntry: e, load: x.opts.Engines.Load(e.ID, parts), localOnly: i >= c.shared}
		if x.hasFailed(e.ID) || x.opts.Health.Ejected(e.ID) || t.load.Unreachable() {
			tried = append(tried, t)
			continue
		}
		good = append(good, t)
	}
	if len(good) == 0 {
		return tried
	}
	return good
}

func (x *execution) hasFailed(id string) bool {
	return slices.Contains(x.failedTargets, id)
}

func (x *execution) recordSuccess(target string) { x.opts.Health.Note(target, health.OK) }
