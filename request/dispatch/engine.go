package dispatch

import (
	"context"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/demand"
	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/placement"
)

const (
	// latePriority is the urgency of requests that can't make their objective.
	latePriority = 9
	// lateWait is the longest wait at an engine, as a share of the objective,
	// that such a request is taken for. Without a bound they would pile up;
	// with none taken, the largest prompts would never be served.
	lateWait = 0.24
)

// streamed runs a call at the service's engines, or at plain targets.
func (u *run) streamed(ctx context.Context, out Stream) error {
	if u.c.Service.Engine == nil {
		return u.plainStream(ctx, out)
	}
	prompt, err := u.admit()
	if err != nil {
		return err
	}
	sends := 1
	for {
		p, f := u.prefill(ctx, prompt)
		if f == nil {
			if p.kv != nil {
				sends = 2
			}
			f = u.decode(ctx, prompt, p, out)
			if f == nil {
				return nil
			}
		}
		u.note(f)
		if !u.worthAnother(prompt, p, f) || !u.again(ctx, f, sends) {
			return u.finalError(f)
		}
	}
}

// worthAnother tells whether another round could end better.
//
// When a decoding engine refuses, either the KV cache was gone before it was
// fetched, and another engine should read the prompt, or the decoding engine
// can't take it. Reading the prompt again for an engine that refuses others
// too fills the engines with work for nothing.
func (u *run) worthAnother(p prompt, from prefilled, f *failed) bool {
	if from.kv == nil || f.Class != failure.NotRun {
		return true
	}
	for _, c := range u.candidates(p, port.RoleDecode) {
		if c.Rate < doubtful {
			return true
		}
	}
	return false
}

// doubtful is the failure rate from which on an engine isn't counted on.
const doubtful = 0.4

// prompt is the call as placement sees it.
type prompt struct {
	placement.Prompt
	parts    []port.PromptPart
	priority int
}

func (u *run) prompt() prompt {
	p := prompt{parts: u.c.Ask.Parts}
	p.Tokens = u.c.Ask.Prompt
	p.Zone = u.opts.Zone
	p.Objective = u.c.Route.Objective
	p.priority = min(u.c.Route.Priority, latePriority-1)
	for _, part := range p.parts[:max(len(p.parts)-1, 0)] {
		p.Shared += part.Tokens
	}
	if len(p.parts) > 0 {
		p.Seed = p.parts[max(len(p.parts)-2, 0)].ID // the last part is the request's own
	}
	return p
}

// admit decides at once whether the call is taken.
//
// Once a queue stands before the engines, every request behind it is late:
// serving all of them earns less than refusing those that can't be on time.
func (u *run) admit() (prompt, error) {
	p := u.prompt()
	f := u.opts.Speed.Figures(u.c.Service.Name)
	ch := u.choosePrefill(p, f)
	err := u.admitTo(&p, f, ch)
	u.offer(p, f, ch, err != nil)
	return p, err
}

func (u *run) admitTo(p *prompt, f speed.Figures, ch reading) error {
	if err := u.decodable(*p); err != nil {
		return err
	}
	if ch.At < 0 {
		return nil // decode engines may read it, or nothing can: not for here
	}
	alone := f.Start + ch.Read + f.First
	u.trace.Foreseen = ch.Wait + alone
	if u.c.Route.Objective <= 0 || u.trace.Foreseen <= u.c.Route.Objective {
		return nil
	}
	if alone > u.c.Route.Objective {
		p.priority = latePriority
		if ch.Wait <= time.Duration(lateWait*float64(u.c.Route.Objective)) {
			return nil
		}
	}
	over := u.trace.Foreseen - u.c.Route.Objective
	after := min(max(over, minComeBack), maxComeBack)
	return code.New(code.Overloaded, "the first event would take %v", u.trace.Foreseen.Round(time.Millisecond)).After(after)
}

// refusedCount is how often a request that is refused is asked: its caller
// comes back once at least.
const refusedCount = 2

// offer notes what the call asks of the engines, whether it is taken or not:
// the plan of their roles answers what is asked, not what was served.
func (u *run) offer(p prompt, f speed.Figures, ch reading, refused bool) {
	o := demand.Offer{Reading: ch.Read, Lasts: f.Lasts(u.c.Ask.Output), Urgent: u.c.Route.Priority == 0}
	if ch.At < 0 {
		o.Reading = f.Read(p.Tokens, p.Tokens)
	}
	if refused {
		o.Reading, o.Lasts = o.Reading/refusedCount, o.Lasts/refusedCount
	}
	u.opts.Demand.Note(u.c.Service.Name, o)
}

// crowded is how full the decoding engines may be, in shares of their places.
// Beyond, requests wait for the places of others.
const crowded = 1.2

// decodable refuses a call that no decoding engine would take, before its
// prompt is read for nothing. Engines that refuse lately get one call in
// some, so that their recovery shows.
func (u *run) decodable(p prompt) error {
	free, doubts := 0, 0
	cands := u.candidates(p, port.RoleDecode)
	for _, c := range cands {
		switch {
		case u.opts.Health.Benched(c.Entry.ID), c.Load.Unreachable():
		case float64(c.Load.Streams) > crowded*float64(max(c.Entry.Slots, 1)):
		case c.Rate > doubtful:
			doubts++
		default:
			free++
		}
	}
	if free > 0 || doubts > 0 && spread(u.c.Ask.ID, "") < probeShare {
		return nil
	}
	return code.New(code.NoTarget, "none of %d decoding engines takes requests", len(cands)).After(u.c.Service.Engine.SwitchTime)
}

// probeShare is the share of calls that engines get which refuse lately.
const probeShare = 0.3
