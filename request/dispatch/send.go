package dispatch

import (
	"context"
	"errors"
	"expvar"
	"maps"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/connection/health"
	"github.com/pomelospool/pomelospool/internal/quota"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/budget"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/quarantine"
)

// counts are the counters of this package.
var counts = expvar.NewMap("dispatch")

// outgoing describes one send of a call.
type outgoing struct {
	target        port.TargetEntry
	state         port.DispatchMeta // request sets RequestID, TargetID, Organisation and Timeout
	headerTimeout time.Duration     // bounds the wait for the header and the first bytes of the body; 0: only the call's deadline does
}

// send sends the call and reads the header of the answer. If the failure is
// nil, the caller must close the response.
func (x *execution) send(ctx context.Context, s outgoing) (*h1.Response, port.ResponseMeta, *sendFailure) {
	x.trace.Sends++
	x.trace.Targets = append(x.trace.Targets, s.target.ID)
	x.sendingTo = x.targets().VersionOf(&s.target)
	x.trace.Software = append(x.trace.Software, x.sendingTo)
	x.beginRun(s.target)
	counted := x.budget.Begin(s.target.Addr)
	resp, err := x.opts.Pool.Do(ctx, x.request(s))
	if err != nil {
		x.recordExchange(s, nil, port.ResponseMeta{}, err)
		f := failure.ClassifySend(ctx, s.target.ID, err)
		x.recordReceipt(err)
		counted.Failed(f.Unwritten, f.Settled())
		return nil, port.ResponseMeta{}, &sendFailure{Failure: f}
	}
	counted.Answered()
	x.running.accepted()
	x.recordReached(s.target.ID)
	v := x.opts.Protocol.ParseResponse(resp.Status, resp.Header)
	x.recordExchange(s, resp, v, nil)
	return resp, v, nil
}

func (x *execution) request(s outgoing) *h1.Request {
	h := maps.Clone(x.call.Header)
	s.state.RequestID = x.call.Meta.RequestID
	s.state.TargetID = s.target.ID
	s.state.Organisation = x.call.Organisation
	s.state.Timeout = time.Until(x.call.Deadline)
	x.opts.Protocol.AddDispatchHeaders(h, s.state)
	return &h1.Request{
		Addr:             s.target.Addr,
		Target:           s.target.ID,
		Method:           x.call.Method,
		URI:              x.call.URI,
		Host:             x.call.Host,
		Header:           h,
		Body:             x.call.Body,
		Reuse:            x.connReuse(s),
		FirstByteTimeout: s.headerTimeout,
		Name:             x.call.Meta.RequestID,
		Relate:           x.relate,
	}
}

// connReuse excludes connections with a long idle time for calls that aren't
// idempotent. If the target had just closed such a connection, the call
// would fail as one that may have run. The answers to calls without an id can't be
// distinguished on one connection.
func (x *execution) connReuse(s outgoing) h1.Reuse {
	switch {
	case x.call.Meta.RequestID == "":
		return h1.ReuseNever
	case x.call.Route.Idempotent() || s.state.Prefill:
		return h1.ReuseIdle
	}
	return h1.ReuseRecent
}

// relate returns how an answer relates to this call. A success must carry the call's
// id; a rejection or an error may lack it.
func (x *execution) relate(status int, h http.Header) h1.Relation {
	id := x.opts.Protocol.ParseResponse(status, h).RequestID
	switch {
	case id == x.call.Meta.RequestID:
		return h1.Own
	case id == "" && status >= http.StatusMultipleChoices:
		return h1.Unnamed
	}
	return h1.Foreign
}

// maxAnswer is the largest answer, in bytes, that is relayed as a whole.
const maxAnswer = 8 << 20

// readAnswer reads the rest of an answer and closes the response.
func (x *execution) readAnswer(ctx context.Context, target string, resp *h1.Response, v port.ResponseMeta) (*Answer, *sendFailure) {
	defer resp.Close(v.KeepAlive)
	body, err := quota.ReadAll(quota.FromContext(ctx), resp.Body, maxAnswer)
	if err == nil && len(body) > maxAnswer {
		err = errTooLarge
	}
	if err != nil {
		return nil, &sendFailure{Failure: failure.ClassifyRead(ctx, target, err)}
	}
	return &Answer{Status: resp.Status, Header: resp.Header, Body: body}, nil
}

// answerFailure classifies a complete answer. It returns nil if the answer
// may be relayed as the call's answer.
func (x *execution) answerFailure(target string, a *Answer, v port.ResponseMeta) *sendFailure {
	switch {
	case v.Misdirected:
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

// targetError returns the failure for an error answer of the target itself.
func targetError(target string, a *Answer) *sendFailure {
	f := newFailure(failure.Failed, target, failure.Status(a.Status))
	f.answer = a
	return f
}

// recordFailure records a failed send in the trace, in the target's health
// and in the log.
func (x *execution) recordFailure(f *sendFailure) {
	x.lastFailure = f
	x.failRun(f)
	x.failedTargets = append(x.failedTargets, f.Target)
	x.trace.Causes = append(x.trace.Causes, f.Class.String()+": "+f.Cause())
	if f.MayHaveRun() {
		x.possibleRuns++
	}
	if provesStart(f) {
		x.markStarted(0)
	}
	x.recordHealth(f)
	log.WithFields(x.lastExchange()).WithFields(log.Fields{
		"request": x.call.Meta.RequestID, "target": f.Target, "software": x.sendingTo, "class": f.Class.String(), "cause": f.Cause(),
		"send": x.trace.Sends, "left_ms": time.Until(x.call.Deadline).Milliseconds(), "content": x.content.Request.String(), "parts": quarantine.Join(x.content.Parts),
	}).Info("dispatch: send failed")
}

// recordHealth updates the health of the target of a failed send, once. While
// this process has lost its links, the failure says nothing about the target.
func (x *execution) recordHealth(f *sendFailure) {
	o, known := f.healthOutcome()
	if !known || f.healthRecorded {
		return
	}
	f.healthRecorded = true
	if o == health.Unreachable || errors.Is(f.Err, syscall.ETIMEDOUT) {
		x.opts.Links.Failed(x.call.Service.Name, f.Target)
		if x.opts.Links.Confirmed(x.call.Service.Name) {
			return
		}
	}
	x.opts.Health.Observe(f.Target, o)
}

// maxSends bounds the sends of one call, including prefills and rejected
// sends.
const maxSends = 6

// mayRetry reports whether the call may be sent again after f. sends is the
// number of sends that the retry takes from the budget. The first accepted
// prefill of a call isn't a retry. A second prefill is one, and so is the
// decode that follows it. A send that no target received isn't charged.
func (x *execution) mayRetry(ctx context.Context, f *sendFailure, sends int) bool {
	switch {
	case ctx.Err() != nil || f.Final():
		return false
	case x.firstEventLate(x.opts.Speed.Estimates(x.call.Service.Name).FirstEvent):
		return false
	case x.trace.Sends >= maxSends || x.possibleRuns >= x.call.Route.Attempts:
		return false
	case f.MayHaveRun() && !x.call.Route.Idempotent():
		return false
	}
	return x.chargeRetry(f, sends)
}

// chargeRetry takes the sends of a retry from the budget and reports whether
// it may be made.
func (x *execution) chargeRetry(f *sendFailure, sends int) bool {
	if sends == 0 {
		counts.Add("retries_uncharged", 1)
		x.logRetry(f, true, 0, x.opts.Budget.State(x.call.Service.Name))
		return true
	}
	allowed, state := x.budget.Take(sends)
	if allowed {
		counts.Add("retries_charged", 1)
		counts.Add("sends_charged", int64(sends))
	} else {
		counts.Add("retries_denied", 1)
	}
	x.logRetry(f, allowed, sends, state)
	return allowed
}

func (x *execution) logRetry(f *sendFailure, allowed bool, sends int, s budget.State) {
	log.WithFields(log.Fields{
		"request": x.call.Meta.RequestID, "service": x.call.Service.Name, "allowed": allowed, "charged": sends,
		"class": f.Class.String(), "failed_target": f.Target,
		"spent": s.Spent, "open": s.Open, "limit": s.Limit, "requests": s.Requests, "daemons": s.Daemons, "serving_ms": s.Serving.Milliseconds(),
	}).Info("dispatch: retry decided")
}

// loadedTarget is a target together with its load.
type loadedTarget struct {
	*port.TargetEntry
	load      engines.Load
	localOnly bool // other daemons may not consider this target
}

// usable returns the sampled targets except those that failed this call, are
// ejected or are unreachable. If no others are left, it returns those that only
// other daemons can't reach, and then the rest. parts are the parts of the
// call's prompt.
func (x *execution) usable(s *targetSample, parts []port.PromptPart) []loadedTarget {
	var good, reported, excluded []loadedTarget
	for i, e := range s.entries {
		t := loadedTarget{TargetEntry: e, load: x.opts.Engines.Load(e.ID, parts), localOnly: i >= s.shared}
		switch {
		case x.hasFailed(e.ID) || x.opts.Health.Ejected(e.ID):
			excluded = append(excluded, t)
		case t.load.Unreachable():
			reported = append(reported, t)
		default:
			good = append(good, t)
		}
	}
	switch {
	case len(good) > 0:
		return good
	case len(reported) > 0:
		return reported
	}
	return excluded
}

func (x *execution) hasFailed(id string) bool {
	return slices.Contains(x.failedTargets, id)
}

func (x *execution) recordSuccess(target string) {
	x.opts.Health.Observe(target, health.OK)
	x.recordReached(target)
}

// recordReached records that a target has answered this process.
func (x *execution) recordReached(target string) {
	x.opts.Engines.MarkReached(target)
	x.opts.Links.Reached(x.call.Service.Name)
}
