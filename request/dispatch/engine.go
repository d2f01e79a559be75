package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
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
	prompt, err := u.admit(ctx)
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

// worthAnother reports whether another round could end better.
//
// When a decoding engine refuses, either the KV cache was gone before it was
// fetched, and another engine should read the prompt, or the decoding engine
// can't take it. Reading the prompt again for an engine that refuses others
// too fills the engines with work for nothing.
func (u *run) worthAnother(p prompt, from prefilled, f *failed) bool {
	if from.kv == nil || f.Class != failure.NotRun {
		return true
	}
	for _, c := range u.candidates(p, port.RoleDecode, from.zone) {
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
	p.Draw = rand.Uint64()
	p.priority = min(u.c.Priority, latePriority-1)
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
func (u *run) admit(ctx context.Context) (prompt, error) {
	p := u.prompt()
	u.answerLength(u.c.Route.Name).arrived(u.c.Ask.Hint, u.c.Ask.Output, time.Until(u.c.GiveUp))
	f := u.opts.Speed.Figures(u.c.Service.Name)
	ch := u.choosePrefill(ctx, p, f)
	u.first = &ch
	u.trace.Lasts = f.Lasts(u.c.Ask.Output)
	err := u.admitTo(&p, f, ch)
	u.offer(p, f, ch, err != nil)
	return p, err
}

func (u *run) admitTo(p *prompt, f speed.Figures, ch reading) error {
	queue, err := u.place(f, ch.decoders)
	if err != nil {
		return err
	}
	if ch.At < 0 {
		return nil // decode engines may read it, or nothing can: not for here
	}
	alone := f.Start + ch.Read + f.First
	wait := ch.Wait + queue
	u.trace.Predicted = wait + alone
	objective := u.c.Route.Objective
	usual := u.usual(u.c.Service.Name)
	usual.Note(p.Tokens, ch.Read)
	if objective <= 0 || usual.Counts(wait, p.Tokens, ch.Read, f.Spread)+alone <= objective {
		return nil
	}
	if alone > objective {
		p.priority = latePriority
		if wait <= time.Duration(lateWait*float64(objective)) {
			return nil
		}
	}
	predicted := max(u.trace.Predicted, objective)
	return u.overloaded(ch.decoders, predicted-objective, "the first event would take %v", predicted.Round(time.Millisecond))
}

// overloaded rejects a call that is too late by that much at these engines.
func (u *run) overloaded(decoders []placement.Candidate, late time.Duration, format string, args ...any) error {
	after := max(late, u.hedge())
	return code.New(code.Overloaded, format, args...).After(u.soonEnough(after, decoders))
}

// What part of its time a refused caller waits before it comes back: a random
// one between them. Callers have one try more at most, and loads that turn last
// some seconds. With the queue's excess alone (100 ms mostly) they came back
// into the same crowd, and 12.6 in 100 requests of a quiet day ended refused,
// 9.8 so. Together they would come back as a crowd.
const (
	leastHedge = 0.12
	mostHedge  = 0.24
	// maxHedge bounds it for callers with much time: loads last some seconds.
	maxHedge = 4 * time.Second
)

// hedge is the least time after which a refused caller is asked to come back.
func (u *run) hedge() time.Duration {
	part := leastHedge + (mostHedge-leastHedge)*spread(u.c.Ask.ID, "come back")
	return min(max(time.Duration(part*float64(time.Until(u.c.GiveUp))), minComeBack), maxHedge)
}

// refusedCount is how often a request that is refused is asked: its caller
// comes back once at least.
const refusedCount = 2

// offer notes what the call asks of the engines, whether it is taken or not:
// the plan of their roles answers what is asked, not what was served.
func (u *run) offer(p prompt, f speed.Figures, ch reading, refused bool) {
	o := demand.Offer{
		Reading: ch.Read, Lasts: f.Lasts(u.c.Ask.Output), Moving: u.moving(p, ch),
		Objective: u.c.Route.Objective, Priority: u.c.Priority,
	}
	if ch.At < 0 {
		o.Reading = f.Read(p.Tokens, p.Tokens)
	}
	if refused {
		o.Reading, o.Lasts, o.Moving = o.Reading/refusedCount, o.Lasts/refusedCount, o.Moving/refusedCount
	}
	u.opts.Demand.Note(u.c.Service.Name, o)
}

// moving is how long the prompt's KV cache will take to an engine that decodes,
// one in the zone of the engine that reads if there is any.
func (u *run) moving(p prompt, ch reading) time.Duration {
	near := slices.ContainsFunc(ch.decoders, func(c placement.Candidate) bool { return c.Entry.Zone == ch.to.Zone })
	return placement.Move(u.c.Service.Engine, p.Tokens, near)
}

// place predicts how long the call waits for a place at a decoding engine. It
// refuses a call that none would take, before its prompt is read for nothing.
// Engines that refuse lately get one call in some, so that their recovery shows.
func (u *run) place(f speed.Figures, cands []placement.Candidate) (time.Duration, error) {
	room := u.room(f, cands)
	free, full, doubts := 0, 0, 0
	least := maxComeBack
	for i := range cands {
		c := &cands[i]
		if u.opts.Health.Ejected(c.Entry.ID) || c.Load.Unreachable() {
			continue
		}
		least = min(least, room.Queue(c))
		switch {
		case room.Full(c):
			full++
		case c.Rate > doubtful:
			doubts++
		default:
			free++
		}
	}
	switch {
	case free > 0, doubts > 0 && spread(u.c.Ask.ID, "") < probeShare:
		return least, nil
	case full > 0:
		return 0, u.overloaded(cands, least, "%d of %d decoding engines are full", full, len(cands))
	}
	return 0, code.New(code.NoTarget, "none of %d decoding engines takes requests", len(cands)).After(u.c.Service.Engine.SwitchTime)
}

// mostUrgent reports whether no call of the service is more urgent.
func (u *run) mostUrgent() bool {
	return u.opts.Demand.MostUrgent(u.c.Service.Name, u.c.Priority)
}

// room is how the decoding engines' places are shared out to the call.
func (u *run) room(f speed.Figures, cands []placement.Candidate) placement.Room {
	r := placement.Room{Stay: f.Stay, CanRetry: u.canRetry(cands)}
	if len(cands) == 0 || u.mostUrgent() {
		return r
	}
	// The places that are freed meanwhile by more urgent requests are taken by
	// others of them.
	r.Stay = f.StayLess
	urgent := u.opts.Demand.Total(u.c.Service.Name).Urgent
	r.Reserved = placement.Reserve(urgent, u.decoding(cands), cands[0].Entry.Slots)
	return r
}

// decoding is the number of engines that decode, of which cands are looked at.
func (u *run) decoding(cands []placement.Candidate) int {
	if of := u.opts.Targets.Targets(u.c.Service.Name).ByRole(port.RoleDecode, "").Len(); of > lookAtAll {
		return of
	}
	return len(cands)
}

// probeShare is the share of calls that engines get which refuse lately.
const probeShare = 0.3
