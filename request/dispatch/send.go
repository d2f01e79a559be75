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

// sending is one send: to whom, with what, and for how long.
type sending struct {
	to      port.TargetEntry
	state   port.Send     // ID, Target and Left are filled in
	silence time.Duration // longest wait for the header and the body's first bytes; 0: as long as the call may take
}

// send sends the call and reads the answer's header. With a nil failure the
// response must be closed.
func (u *run) send(ctx context.Context, s sending) (*h1.Response, port.Verdict, *failed) {
	u.trace.Sends++
	u.trace.Targets = append(u.trace.Targets, s.to.ID)
	resp, err := u.opts.Pool.Do(ctx, u.request(s))
	if err != nil {
		return nil, port.Verdict{}, &failed{Failure: failure.ClassifySend(ctx, s.to.ID, err)}
	}
	return resp, u.opts.Wire.Judge(resp.Status, resp.Header), nil
}

func (u *run) request(s sending) *h1.Request {
	h := maps.Clone(u.c.Header)
	s.state.ID = u.c.Ask.ID
	s.state.Target = s.to.ID
	s.state.Organisation = u.c.Organisation
	s.state.Left = time.Until(u.c.GiveUp)
	u.opts.Wire.Stamp(h, s.state)
	return &h1.Request{
		Addr:   s.to.Addr,
		Target: s.to.ID,
		Method: u.c.Method,
		URI:    u.c.URI,
		Host:   u.c.Host,
		Header: h,
		Body:   u.c.Body,
		Reuse:  u.reuse(s),
		First:  s.silence,
		Mine:   u.mine,
	}
}

// reuse keeps calls that may run once at most off connections that were idle
// for long: on one that the target has just closed they would end as "may have
// run".
func (u *run) reuse(s sending) h1.Reuse {
	if u.c.Route.Idempotent() || s.state.Prefill {
		return h1.Idle
	}
	return h1.Recent
}

// mine reports whether an answer is to this call. A refusal or an error may lack
// the id; a success must have it.
func (u *run) mine(status int, h http.Header) bool {
	id := u.opts.Wire.Judge(status, h).ID
	return id == u.c.Ask.ID || id == "" && status >= http.StatusMultipleChoices
}

// maxAnswer bounds an answer that is passed on whole, in bytes.
const maxAnswer = 8 << 20

// whole reads an answer to its end and closes the response.
func (u *run) whole(ctx context.Context, target string, resp *h1.Response, v port.Verdict) (*Answer, *failed) {
	defer resp.Close(v.KeepAlive)
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = errTooLarge
	}
	if err != nil {
		return nil, &failed{Failure: failure.ClassifyRead(ctx, target, err)}
	}
	return &Answer{Status: resp.Status, Header: resp.Header, Body: body}, nil
}

// judge turns a whole answer into a failure, or nil if it may be passed on as
// the call's answer.
func (u *run) judge(target string, a *Answer, v port.Verdict) *failed {
	switch {
	case v.WrongOne:
		return fail(failure.NotRun, target, errWrongOne)
	case v.NotRun:
		f := fail(failure.NotRun, target, errSaysNoRun)
		f.after, f.answer = v.RetryAfter, a
		return f
	case !v.Signed:
		return fail(failure.Mismatch, target, errUnsigned)
	case a.Status >= http.StatusInternalServerError || promises(a.Status):
		return ownFailure(target, a)
	}
	return nil
}

// ownFailure is a target's own answer of failure.
func ownFailure(target string, a *Answer) *failed {
	f := fail(failure.Failed, target, failure.Status(a.Status))
	f.answer = a
	return f
}

// note keeps the books about a failed send.
func (u *run) note(f *failed) {
	u.last = f
	u.avoid = append(u.avoid, f.Target)
	u.trace.Causes = append(u.trace.Causes, f.Class.String()+": "+f.Cause())
	if f.MayHaveRun() {
		u.ran++
	}
	if startedBy(f) {
		u.start(0)
	}
	if o, counts := f.outcome(); counts && !f.noted {
		u.opts.Health.Observe(f.Target, o)
	}
	log.WithFields(log.Fields{
		"request": u.c.Ask.ID, "target": f.Target, "class": f.Class.String(), "cause": f.Cause(),
		"send": u.trace.Sends, "left_ms": time.Until(u.c.GiveUp).Milliseconds(),
	}).Info("dispatch: send failed")
}

// maxSends bounds the sends of one call, prefills and refused ones included.
const maxSends = 6

// again reports whether the call may be sent once more after f, which takes
// that many sends. The first prefill that an engine accepted is no send beyond
// the first; a second one is, and so is the request that goes on from it.
func (u *run) again(ctx context.Context, f *failed, sends int) bool {
	switch {
	case ctx.Err() != nil || f.Final():
		return false
	case u.trace.Sends >= maxSends || u.ran >= u.c.Route.Attempts:
		return false
	case f.MayHaveRun() && !u.c.Route.Idempotent():
		return false
	case f.Class == failure.NotWritten:
		return true // no target saw it, so it is no send beyond the first
	}
	return u.opts.Budget.Take(u.c.Service.Name, sends)
}

// loaded is a target with its load.
type loaded struct {
	*port.TargetEntry
	load    engines.Load
	private bool // only this daemon considers it
}

// usable returns the considered targets without those that failed this call or are
// ejected if others are left. parts are the call's prompt.
func (u *run) usable(c *considered, parts []port.PromptPart) []loaded {
	var good, tried []loaded
	for i, e := range c.entries {
		t := loaded{TargetEntry: e, load: u.opts.Engines.Load(e.ID, parts), private: i >= c.shared}
		if u.avoids(e.ID) || u.opts.Health.Ejected(e.ID) || t.load.Unreachable() {
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

func (u *run) avoids(id string) bool {
	return slices.Contains(u.avoid, id)
}

func (u *run) ok(target string) { u.opts.Health.Observe(target, health.OK) }
