package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/connection/health"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/failure"
	"github.com/pomelospool/pomelospool/request/placement"
)

const (
	// latePriority is the urgency of requests that can't make their objective.
	latePriority = 9
	// lateWait is the longest wait at an engine that such a request is taken
	// for. Without a bound they would pile up; with none taken, the largest
	// prompts would never be served.
	lateWait = 120 * time.Millisecond
	// prefillPatience times the foreseen time, and prefillGrace on top, is how
	// long an engine may take to read a prompt. A dark engine shows in nothing
	// but silence.
	prefillPatience = 3
	prefillGrace    = 700 * time.Millisecond
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
	if err := u.decodable(p); err != nil {
		return p, err
	}
	m := u.models.load(u.c.Service.Name)
	ch := u.choosePrefill(p, m)
	if ch.At < 0 {
		return p, nil // decode engines may read it, or nothing can: not for here
	}
	alone := m.Start + ch.Read + m.First
	u.trace.Foreseen = ch.Wait + alone
	if u.c.Route.Objective <= 0 || u.trace.Foreseen <= u.c.Route.Objective {
		return p, nil
	}
	if alone > u.c.Route.Objective {
		p.priority = latePriority
		if ch.Wait <= lateWait {
			return p, nil
		}
	}
	over := u.trace.Foreseen - u.c.Route.Objective
	after := min(max(over, minComeBack), maxComeBack)
	return p, code.New(code.Overloaded, "the first event would take %v", u.trace.Foreseen.Round(time.Millisecond)).After(after)
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

// reading is a choice of the engine that reads the prompt.
type reading struct {
	placement.Choice
	to   port.TargetEntry
	from string // address of the engine to fetch from, empty: none
}

func (u *run) choosePrefill(p prompt, m placement.Model) reading {
	cands := u.candidates(p, port.RolePrefill)
	for i := range cands {
		cands[i].Rate += u.opts.Health.Rate(kvOf(cands[i].Entry.ID))
	}
	sources := append(u.candidates(p, port.RoleDecode), cands...)
	ch := reading{Choice: placement.Prefill(p.Prompt, cands, sources, u.c.Service.Engine, m)}
	if ch.At >= 0 {
		ch.to = cands[ch.At].Entry
	}
	if ch.Fetch >= 0 {
		ch.from = sources[ch.Fetch].Entry.Addr
	}
	return ch
}

func (u *run) candidates(p prompt, role port.Role) []placement.Candidate {
	var out []placement.Candidate
	for _, t := range u.usable(p.parts, func(e port.TargetEntry) bool { return e.Role == role }) {
		if t.load.Changing {
			continue
		}
		out = append(out, placement.Candidate{
			Entry: t.TargetEntry,
			Load:  t.load,
			Rate:  u.opts.Health.Rate(t.ID),
			Pace:  u.opts.Health.Pace(t.ID),
			Warm:  u.opts.Pool.Warm(t.Addr, t.ID),
		})
	}
	return out
}

// prefill has the prompt read. Without an engine for that the decoding engine
// reads it itself, at half the speed.
func (u *run) prefill(ctx context.Context, p prompt) (prefilled, *failed) {
	m := u.models.load(u.c.Service.Name)
	ch := u.choosePrefill(p, m)
	if ch.At < 0 {
		return prefilled{}, nil
	}
	to := ch.to
	done := u.opts.Engines.Prefill(to.ID, u.c.Service.Engine.KVTokens, p.parts, ch.Read)
	defer done()
	foreseen := m.Start + ch.Wait + ch.Read
	u.trace.Prefill = Prefill{Prompt: p.Tokens, Shared: p.Shared, Missing: ch.Missing, Fetched: ch.Fetched, Guessed: ch.Guessed, Wait: ch.Wait, Read: ch.Read}
	begun := time.Now()
	resp, v, f := u.send(ctx, sending{
		to:      to,
		state:   port.Send{Priority: p.priority, Prefill: true, FetchFrom: ch.from},
		silence: prefillPatience*foreseen + prefillGrace,
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
		// What a guess fetched was foreseen as read: it would teach a wrong pace.
		u.models.readIn(u.c.Service.Name, foreseen, took)
		u.opts.Health.NotePace(to.ID, pace(foreseen, took))
	}
	u.ok(to.ID)
	return prefilled{kv: &port.KVSource{Addr: to.Addr, Handle: handle}, zone: to.Zone, at: to.ID}, nil
}

// nothingRan says of a failed prefill that the request did not run: reading a
// prompt makes no answer and may be repeated. The target is judged by what it
// did, the call by "not run".
func (u *run) nothingRan(f *failed) *failed {
	if f.Final() {
		return f
	}
	if o, counts := f.outcome(); counts {
		u.opts.Health.Note(f.Target, o)
	}
	f.noted = true
	if f.Class != failure.NotWritten {
		f.Class = failure.NotRun
	}
	return f
}

// decode has the answer made from the KV cache. If the engine refuses, another
// one is asked with the same cache: a full engine leaves it where it is.
func (u *run) decode(ctx context.Context, p prompt, from prefilled, out Stream) *failed {
	taken := false
	defer func() {
		if from.kv != nil && !taken {
			u.release(*from.kv)
		}
	}()
	for tries := 1; ; tries++ {
		cands := u.candidates(p, port.RoleDecode)
		at := placement.Decode(p.Prompt, cands, u.c.Service.Engine, from.zone)
		if at < 0 {
			return fail(failure.NotRun, from.at, errNoDecoder)
		}
		to := cands[at].Entry
		f := u.events(ctx, to, p, from, out)
		if f == nil || f.MayHaveRun() {
			taken = true
			if f == nil && from.kv != nil {
				u.opts.Health.Note(kvOf(from.at), health.OK)
			}
			return f
		}
		if from.kv != nil && f.Class == failure.NotRun {
			u.opts.Health.Note(kvOf(from.at), health.Refused)
		}
		if tries > 1 || from.kv == nil || !u.others(cands, to.ID) || !u.again(ctx, f, 1) {
			return f
		}
		u.note(f)
	}
}

// kvOf names an engine's KV cache where health is kept: whether what the engine
// read can be fetched from it says nothing of its reading.
func kvOf(id string) string { return id + KVSuffix }

// KVSuffix ends the names of engines' KV caches where health is kept.
const KVSuffix = "/kv"

// others tells whether a candidate is left that hasn't failed this call.
func (u *run) others(cands []placement.Candidate, but string) bool {
	for _, c := range cands {
		if c.Entry.ID != but && !u.avoids(c.Entry.ID) {
			return true
		}
	}
	return false
}

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
func (u *run) events(ctx context.Context, to port.TargetEntry, p prompt, from prefilled, out Stream) *failed {
	done := u.opts.Engines.Decode(to.ID, u.c.Service.Engine.KVTokens, p.parts)
	defer done()
	begun := time.Now()
	s := sending{to: to, state: port.Send{Priority: p.priority, KV: from.kv, LastEvent: u.lastID}}
	resp, v, f := u.send(ctx, s)
	if f != nil {
		return f
	}
	if resp.Status != http.StatusOK || v.NotRun {
		return u.noStream(ctx, to.ID, resp, v, out)
	}
	if !v.Signed {
		resp.Close(0)
		return fail(failure.Mismatch, to.ID, errUnsigned)
	}
	foreseen := u.models.load(u.c.Service.Name).First
	if from.kv != nil {
		foreseen += placement.Move(u.c.Service.Engine, p.Tokens, from.zone == to.Zone)
	}
	first := func() {
		seen := time.Since(begun)
		u.models.firstIn(u.c.Service.Name, u.models.load(u.c.Service.Name).First+seen-foreseen)
		u.opts.Health.NotePace(to.ID, pace(foreseen, seen))
	}
	return u.relay(ctx, to.ID, resp, v, out, first)
}

// noStream takes an answer that is no stream: a refusal, a failure, or the
// target's own answer, which is passed on.
func (u *run) noStream(ctx context.Context, target string, resp *h1.Response, v port.Verdict, out Stream) *failed {
	a, f := u.whole(ctx, target, resp, v)
	if f != nil {
		return f
	}
	if f := u.judge(target, a, v); f != nil {
		return f
	}
	if u.trace.Begun {
		return ownFailure(target, a)
	}
	u.trace.Begun = true
	out.Begin(a.Status, a.Header)
	if err := out.Write(a.Body); err != nil {
		return fail(failure.CallerGone, target, err)
	}
	return nil
}

// pace is how many times longer than foreseen something took. Short times are
// off by some tens of milliseconds for reasons that aren't the engine's.
func pace(foreseen, seen time.Duration) float64 {
	return float64(seen+paceSlack) / float64(foreseen+paceSlack)
}

// paceSlack is added to both times of a pace.
const paceSlack = 100 * time.Millisecond

// plainStream runs a streamed call at plain targets.
func (u *run) plainStream(ctx context.Context, out Stream) error {
	for {
		to, ok := u.pickPlain()
		if !ok {
			return u.noTarget()
		}
		f := u.plainEvents(ctx, to, out)
		if f == nil {
			u.ok(to.ID)
			return nil
		}
		u.note(f)
		if !u.again(ctx, f, 1) {
			return u.finalError(f)
		}
	}
}

func (u *run) plainEvents(ctx context.Context, to port.TargetEntry, out Stream) *failed {
	done := u.opts.Engines.Decode(to.ID, 0, nil)
	defer done()
	resp, v, f := u.send(ctx, sending{to: to, state: port.Send{Priority: -1, LastEvent: u.lastID}})
	if f != nil {
		return f
	}
	if resp.Status != http.StatusOK || v.NotRun || !v.Signed {
		return u.noStream(ctx, to.ID, resp, v, out)
	}
	return u.relay(ctx, to.ID, resp, v, out, func() {})
}
