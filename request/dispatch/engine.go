package dispatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/placement"
)

const (
	// lateLevel is the urgency of requests that can't make their objective:
	// they take what the others leave.
	lateLevel = engines.Levels - 1
	// lateWait is the longest wait at an engine that such a request is taken
	// for. Without a bound they would pile up; with none taken, the largest
	// prompts would never be served.
	lateWait = 400 * time.Millisecond
	// prefillPatience times the foreseen time, and prefillGrace on top, is how
	// long an engine may take to read a prompt. A dark engine shows in nothing
	// but silence.
	prefillPatience = 2
	prefillGrace    = 500 * time.Millisecond
	// releaseLimit bounds the call that frees unused KV cache.
	releaseLimit = 500 * time.Millisecond
)

// prefilled is a prompt that was read, or the decision to have it read by the
// engine that decodes.
type prefilled struct {
	kv   *port.KVSource // nil: there is none
	zone string         // of the engine that keeps it
	at   string         // id of that engine
}

// streamed runs a call at the service's engines, or at plain targets.
func (u *run) streamed(ctx context.Context, out Stream) error {
	if u.c.Service.Engine == nil {
		return u.plainStream(ctx, out)
	}
	prompt, err := u.admit()
	if err != nil {
		return err
	}
	for {
		p, f := u.prefill(ctx, prompt)
		if f == nil {
			f = u.decode(ctx, prompt, p, out)
			if f == nil {
				return nil
			}
		}
		u.note(f)
		if !u.again(ctx, f) {
			return u.finalError(ctx, f)
		}
	}
}

// prompt is the call as placement sees it.
type prompt struct {
	placement.Prompt
	runs []engines.Run
}

func (u *run) prompt() prompt {
	p := prompt{runs: engines.Runs(u.c.Ask.Parts)}
	p.Tokens = u.c.Ask.Prompt
	p.Level = min(engines.Level(u.c.Route.Priority), lateLevel-1)
	if len(p.runs) > 0 {
		p.Seed = p.runs[len(p.runs)-1].Key
	}
	if len(p.runs) > 1 {
		p.Seed = p.runs[len(p.runs)-2].Key
	}
	return p
}

// admit decides at once whether the call is taken.
//
// Once a queue stands before the engines, every request behind it is late:
// serving all of them earns less than refusing those that can't be on time.
func (u *run) admit() (prompt, error) {
	p := u.prompt()
	m := u.models.load(u.c.Service.Name)
	ch, _ := u.choosePrefill(p, m)
	if ch.At < 0 {
		return p, nil // decode engines may read it, or nothing can: not for here
	}
	alone := ch.Read + m.First
	u.trace.Foreseen = ch.Wait + alone
	if u.c.Route.Objective <= 0 || u.trace.Foreseen <= u.c.Route.Objective {
		return p, nil
	}
	if alone > u.c.Route.Objective {
		p.Level = lateLevel
		if ch, _ = u.choosePrefill(p, m); ch.Wait <= lateWait {
			return p, nil
		}
	}
	over := u.trace.Foreseen - u.c.Route.Objective
	after := min(max(over, minComeBack), maxComeBack)
	return p, code.New(code.Overloaded, "the first event would take %v", u.trace.Foreseen.Round(time.Millisecond)).After(after)
}

func (u *run) choosePrefill(p prompt, m placement.Model) (placement.Choice, []placement.Candidate) {
	cands := u.candidates(p, port.RolePrefill)
	return placement.Prefill(p.Prompt, cands, m), cands
}

func (u *run) candidates(p prompt, role port.Role) []placement.Candidate {
	var out []placement.Candidate
	for _, e := range u.usable(func(e port.TargetEntry) bool { return e.Role == role }) {
		load := u.opts.Engines.Load(e.ID, p.runs)
		if load.Changing {
			continue
		}
		out = append(out, placement.Candidate{Entry: e, Load: load, Rate: u.opts.Health.Rate(e.ID)})
	}
	return out
}

// prefill has the prompt read. Without an engine for that the decoding engine
// reads it itself, at half the speed.
func (u *run) prefill(ctx context.Context, p prompt) (prefilled, *failure) {
	m := u.models.load(u.c.Service.Name)
	ch, cands := u.choosePrefill(p, m)
	if ch.At < 0 {
		return prefilled{}, nil
	}
	to := cands[ch.At].Entry
	done := u.opts.Engines.Prefill(to.ID, u.c.Service.Engine.KVTokens, p.Level, p.runs, ch.Missing)
	defer done()
	foreseen := ch.Wait + ch.Read
	begun := time.Now()
	resp, v, end, f := u.send(ctx, sending{
		to:      to,
		state:   port.Send{Priority: p.Level, Prefill: true},
		silence: prefillPatience*foreseen + prefillGrace,
	})
	if f != nil {
		return prefilled{}, u.nothingRan(f)
	}
	defer end()
	a, f := u.whole(ctx, to.ID, resp, v)
	if f != nil {
		return prefilled{}, u.nothingRan(f)
	}
	if v.NotRun || a.Status != http.StatusOK {
		return prefilled{}, &failure{class: notRun, target: to.ID, err: errSaysNoRun, after: v.RetryAfter}
	}
	handle, err := u.opts.Wire.KVHandle(a.Body)
	if err != nil {
		return prefilled{}, &failure{class: notRun, target: to.ID, err: err}
	}
	u.models.readIn(u.c.Service.Name, foreseen, time.Since(begun))
	u.ok(to.ID)
	return prefilled{kv: &port.KVSource{Addr: to.Addr, Handle: handle}, zone: to.Zone, at: to.ID}, nil
}

// nothingRan says of a failed prefill that the request did not run: reading a
// prompt makes no answer and may be repeated. The target is judged by what it
// did, the call by "not run".
func (u *run) nothingRan(f *failure) *failure {
	if f.class == callerGone || f.class == late {
		return f
	}
	if o, counts := f.outcome(); counts {
		u.opts.Health.Note(f.target, o)
	}
	if f.class != unreachable {
		f.class = notRun
	}
	return f
}

// decode has the answer made from the KV cache. If the engine refuses, another
// one is asked with the same cache: a full engine leaves it where it is.
func (u *run) decode(ctx context.Context, p prompt, from prefilled, out Stream) *failure {
	taken := false
	defer func() {
		if from.kv != nil && !taken {
			u.release(*from.kv)
		}
	}()
	var last *failure
	for {
		cands := u.candidates(p, port.RoleDecode)
		at := placement.Decode(p.Prompt, cands, u.c.Service.Engine, from.zone)
		if at < 0 || last != nil && u.avoids(cands[at].Entry.ID) {
			return u.noDecoder(last, from)
		}
		f := u.events(ctx, cands[at].Entry, p, from, out)
		if f == nil || f.mayHaveRun() {
			taken = true
			return f
		}
		if last != nil || from.kv == nil || f.class == callerGone || f.class == late {
			return f
		}
		last = f
		if !u.again(ctx, f) {
			return f
		}
		u.note(f)
	}
}

func (u *run) noDecoder(last *failure, from prefilled) *failure {
	if last != nil {
		return last
	}
	return &failure{class: notRun, target: from.at, err: errNoDecoder}
}

var errNoDecoder = errors.New("no engine decodes")

// release frees KV cache that nobody will read, beside the call.
func (u *run) release(kv port.KVSource) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseLimit)
		defer cancel()
		if err := u.opts.Control.Release(ctx, kv); err != nil {
			// The engine frees it by itself some seconds later.
			log.WithError(err).WithField("addr", kv.Addr).Debug("dispatch: KV cache not released")
		}
	}()
}

// events sends the call to a decoding engine and relays the answer.
func (u *run) events(ctx context.Context, to port.TargetEntry, p prompt, from prefilled, out Stream) *failure {
	done := u.opts.Engines.Decode(to.ID, u.c.Service.Engine.KVTokens, p.runs)
	defer done()
	begun := time.Now()
	s := sending{to: to, state: port.Send{Priority: p.Level, KV: from.kv, LastEvent: u.lastID}}
	resp, v, end, f := u.send(ctx, s)
	if f != nil {
		return f
	}
	defer end()
	if resp.Status != http.StatusOK || v.NotRun {
		a, f := u.whole(ctx, to.ID, resp, v)
		if f != nil {
			return f
		}
		return u.judge(to.ID, a, v)
	}
	if !v.Signed {
		resp.Close(0)
		return &failure{class: broken, target: to.ID, err: errUnsigned}
	}
	first := func() { u.models.firstIn(u.c.Service.Name, time.Since(begun)) }
	return u.relay(ctx, to.ID, resp, v, out, first)
}

// plainStream runs a streamed call at plain targets.
func (u *run) plainStream(ctx context.Context, out Stream) error {
	for {
		to, ok := u.pickPlain()
		if !ok {
			return u.noTarget(ctx)
		}
		f := u.plainEvents(ctx, to, out)
		if f == nil {
			u.ok(to.ID)
			return nil
		}
		u.note(f)
		if !u.again(ctx, f) {
			return u.finalError(ctx, f)
		}
	}
}

func (u *run) plainEvents(ctx context.Context, to port.TargetEntry, out Stream) *failure {
	done := u.opts.Engines.Decode(to.ID, 0, nil)
	defer done()
	resp, v, end, f := u.send(ctx, sending{to: to, state: port.Send{Priority: -1, LastEvent: u.lastID}})
	if f != nil {
		return f
	}
	defer end()
	if resp.Status != http.StatusOK || v.NotRun || !v.Signed {
		a, f := u.whole(ctx, to.ID, resp, v)
		if f != nil {
			return f
		}
		return u.judge(to.ID, a, v)
	}
	return u.relay(ctx, to.ID, resp, v, out, func() {})
}
