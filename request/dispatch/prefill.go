package dispatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/placement"
)

const (
	// prefillPatience times the predicted time, and prefillGrace on top, is how
	// long an engine may take to read a prompt. A dark engine shows in nothing
	// but silence. While nothing can be predicted it may take unknownPatience of
	// the time that the call has.
	prefillPatience = 3
	prefillGrace    = 700 * time.Millisecond
	unknownPatience = 0.5
)

// prefilled is a prompt that was read, or the decision to have it read by the
// engine that decodes.
type prefilled struct {
	kv   *port.KVSource // nil: there is none
	zone string         // of the engine that keeps it
	at   string         // id of that engine
}

// reading is a choice of the engine that reads the prompt.
type reading struct {
	placement.Choice
	to    port.TargetEntry
	from  string        // address of the engine to fetch from, empty: none
	work  time.Duration // that is reported, assumed while nothing can be predicted
	ahead time.Duration // of it, until the engine begins with it

	decoders []placement.Candidate // engines that may make the answer
}

// reading returns the choice that the call was admitted with, or a new one for
// another round.
func (u *run) reading(ctx context.Context, p prompt, f speed.Figures) reading {
	if ch := u.first; ch != nil {
		u.first = nil
		return *ch
	}
	return u.choosePrefill(ctx, p, f)
}

// choosePrefill chooses the engine that reads the prompt.
//
// While no engine's speed is known prompts are weighed by their tokens, for the
// choice and for what is reported, and for nothing else. Otherwise each
// counts as no work at all: in the first seconds of a fleet, and after all of it
// lost its power, engines look alike whatever waits there, some hold 2.7 s of
// prompts and others are idle, and nothing is fetched that is kept elsewhere.
func (u *run) choosePrefill(ctx context.Context, p prompt, f speed.Figures) reading {
	cands := u.candidates(p, port.RolePrefill, u.opts.Zone)
	for i := range cands {
		cands[i].Rate += u.opts.Health.FailureRate(kvOf(cands[i].Entry.ID))
	}
	decoders := u.decoders(p, u.opts.Zone)
	// Engines that read come first, of those that keep as much: requests that
	// run fill the memory of those that decode, and push out what they keep.
	sources := slices.Concat(cands, decoders)
	ch := reading{decoders: decoders, Choice: u.choose(ctx, p, cands, sources, f.OrAssumed())}
	ch.work, ch.ahead = ch.Read, ch.Wait
	if !f.Known() {
		ch.Read, ch.Wait = 0, 0
	}
	if ch.At >= 0 {
		ch.to = cands[ch.At].Entry
	}
	if ch.Fetch >= 0 {
		ch.from = sources[ch.Fetch].Entry.Addr
	}
	return ch
}

// choose chooses among the candidates by the books, or by the queues that
// others know better.
func (u *run) choose(ctx context.Context, p prompt, cands, sources []placement.Candidate, f speed.Figures) placement.Choice {
	e := u.c.Service.Engine
	if !u.opts.Queues.Asks() {
		return placement.Prefill(p.Prompt, cands, sources, e, f)
	}
	list := placement.Shortlist(p.Prompt, cands, sources, e, f)
	ids := make([]string, 0, len(list))
	for _, ch := range list {
		ids = append(ids, cands[ch.At].Entry.ID)
	}
	waits := u.opts.Queues.Queues(ctx, ids)
	if waits == nil {
		return placement.Prefill(p.Prompt, cands, sources, e, f)
	}
	return placement.Settle(list, cands, waits)
}

// decoders are the engines that may make the answer, some of the zone among them.
func (u *run) decoders(p prompt, zone string) []placement.Candidate {
	out := u.candidates(p, port.RoleDecode, zone)
	u.bound(out)
	return out
}

// candidates are the engines of a role that are looked at. They are of any zone,
// some of the given one among them.
func (u *run) candidates(p prompt, role port.Role, zone string) []placement.Candidate {
	var out []placement.Candidate
	c := u.consider(role, &p, zone)
	reuse := u.reuse(sending{state: port.Send{Prefill: role == port.RolePrefill}})
	for _, t := range u.usable(c, p.parts) {
		if t.load.Becomes != "" {
			continue
		}
		out = append(out, placement.Candidate{
			Entry:   *t.TargetEntry,
			Load:    t.load,
			Rate:    u.opts.Health.FailureRate(t.ID),
			Pace:    u.opts.Health.Pace(t.ID),
			Warm:    u.opts.Pool.Warm(t.Addr, t.ID, reuse),
			Private: t.private,
		})
	}
	return out
}

// prefill has the prompt read. Without an engine for that the decoding engine
// reads it itself, at half the speed.
func (u *run) prefill(ctx context.Context, p prompt) (prefilled, *failed) {
	figures := u.opts.Speed.Figures(u.c.Service.Name)
	ch := u.reading(ctx, p, figures)
	if ch.At < 0 {
		return prefilled{}, nil
	}
	to := ch.to
	done := u.opts.Engines.Prefill(to.ID, u.c.Service.Engine.KVTokens, p.parts, figures.Start+ch.ahead, ch.work)
	defer done()
	predicted := figures.Start + ch.Wait + ch.Read
	u.trace.Prefill = Prefill{Prompt: p.Tokens, Shared: p.Shared, Missing: ch.Missing, Fetched: ch.Fetched, Guessed: ch.Guessed, Wait: ch.Wait, Read: ch.Read}
	begun := time.Now()
	resp, v, f := u.send(ctx, sending{
		to:      to,
		state:   port.Send{Priority: p.priority, Prefill: true, FetchFrom: ch.from},
		silence: u.prefillSilence(figures, predicted),
	})
	if f != nil {
		return prefilled{}, u.nothingRan(f)
	}
	a, f := u.whole(ctx, to.ID, resp, v)
	if f != nil {
		return prefilled{}, u.nothingRan(f)
	}
	if v.NotRun || a.Status != http.StatusOK {
		f := fail(failure.NotRun, to.ID, errSaysNoRun)
		f.after = v.RetryAfter
		return prefilled{}, f
	}
	handle, err := u.opts.Wire.KVHandle(a.Body)
	if err != nil {
		return prefilled{}, fail(failure.NotRun, to.ID, err)
	}
	took := time.Since(begun)
	u.trace.Prefill.Took = took
	if !ch.Guessed {
		// What a guess fetched was predicted as read: it would teach a wrong pace.
		u.opts.Speed.Read(u.c.Service.Name, speed.Sample{
			Prompt: p.Tokens, Missing: ch.Missing, Before: ch.Wait + ch.Moved, Took: took,
		})
		if figures.Known() {
			u.opts.Health.ObservePace(to.ID, u.pace(predicted, took))
		}
	}
	u.ok(to.ID)
	return prefilled{kv: &port.KVSource{Addr: to.Addr, Handle: handle}, zone: to.Zone, at: to.ID}, nil
}

// prefillSilence is how long an engine may take to read a prompt.
func (u *run) prefillSilence(f speed.Figures, predicted time.Duration) time.Duration {
	if !f.Known() {
		return time.Duration(unknownPatience * float64(time.Until(u.c.GiveUp)))
	}
	return prefillPatience*predicted + prefillGrace
}

// nothingRan says of a failed prefill that the request did not run: reading a
// prompt makes no answer and may be repeated. The target is judged by what it
// did, the call by "not run".
func (u *run) nothingRan(f *failed) *failed {
	if f.Final() {
		return f
	}
	if o, counts := f.outcome(); counts {
		u.opts.Health.Observe(f.Target, o)
	}
	f.noted = true
	if f.Class != failure.NotWritten {
		f.Class = failure.NotRun
	}
	return f
}
