package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/balance"
	"github.com/pomelospool/pomelospool/version/route"
)

const (
	staleDaemons = 70
	staleEngines = 140
	staleLoad    = 0.7 // fraction of the engines' capacity that is requested
	promptTime   = 64 * time.Millisecond
)

// job is a prompt or a stream at an engine.
type job struct {
	daemon              int
	sent, start, finish time.Duration
}

// fleet replays arrivals at daemons that know their own jobs at once and
// those of others only when they are lag old.
type fleet struct {
	lag     time.Duration
	slots   int           // jobs that an engine runs at a time
	took    time.Duration // by a job
	popular int           // number of contents; 0: all are new
	big     int           // number of daemons with four times the requests of the others
	rnd     *rand.Rand
	free    [][]time.Duration // when each slot of each engine is free
	jobs    [][]job           // of each engine, those that may still be known
	ids     []string
}

func newFleet(lag, took time.Duration, slots, popular int) *fleet {
	return newFleetOf(staleEngines, lag, took, slots, popular)
}

// newFleetOf returns a fleet with n engines whose reports are lag old. Each
// runs that many jobs at a time.
func newFleetOf(n int, lag, took time.Duration, slots, popular int) *fleet {
	f := &fleet{lag: lag, slots: slots, took: took, popular: popular, rnd: rand.New(rand.NewPCG(3, 5)), jobs: make([][]job, n)}
	for i := range n {
		f.free = append(f.free, make([]time.Duration, slots))
		f.ids = append(f.ids, fmt.Sprint("engine", i))
	}
	return f
}

// load returns an engine's remaining work and number of jobs as the daemon
// knows them. A negative daemon stands for the owner of the engine's queue.
func (f *fleet) load(engine, daemon int, now, lag time.Duration) engines.Load {
	var l engines.Load
	for _, j := range f.jobs[engine] {
		at := now - lag
		if j.daemon == daemon {
			at = now
		}
		if j.sent <= at && j.finish > at {
			l.Streams++
			l.Wait += min(j.finish-at, j.finish-j.start)
		}
	}
	return l
}

// send adds a job to an engine and returns how long it waits there.
func (f *fleet) send(engine, daemon int, now time.Duration) time.Duration {
	free := f.free[engine]
	slot := 0
	for i := range free {
		if free[i] < free[slot] {
			slot = i
		}
	}
	start := max(free[slot], now)
	free[slot] = start + f.took
	f.jobs[engine] = slices.DeleteFunc(f.jobs[engine], func(j job) bool { return j.finish < now-f.lag })
	f.jobs[engine] = append(f.jobs[engine], job{daemon: daemon, sent: now, start: start, finish: start + f.took})
	return start - now
}

// rate returns the number of jobs per second.
func (f *fleet) rate() float64 {
	return staleLoad * float64(f.slots*len(f.ids)) / f.took.Seconds()
}

// p99 returns the 99th percentile of the jobs' waits at the engines that
// pick returns.
func (f *fleet) p99(duration time.Duration, pick picker) time.Duration {
	tokens := 1
	for estimates.PrefillTime(tokens, tokens) < promptTime {
		tokens++
	}
	var waits []time.Duration
	rate := f.rate()
	for now := time.Duration(0); now < duration; now += time.Duration(f.rnd.ExpFloat64() / rate * float64(time.Second)) {
		p := Prompt{Tokens: tokens, Seed: f.rnd.Uint64(), RandomSeed: f.rnd.Uint64()}
		if f.popular > 0 {
			p.Seed = engines.Hash(fmt.Sprint("content", f.rnd.IntN(f.popular)))
		}
		daemon := f.daemon(f.rnd.IntN(staleDaemons + 3*f.big))
		cands := make([]Candidate, len(f.ids))
		for i, id := range f.ids {
			cands[i] = Candidate{Entry: port.TargetEntry{ID: id, Slots: f.slots}, Slowdown: 1, HasIdleConn: true, Load: f.load(i, daemon, now, f.lag)}
		}
		wait := f.send(pick(f, now, daemon, p, cands), daemon, now)
		if now > duration/5 {
			waits = append(waits, wait)
		}
	}
	slices.Sort(waits)
	return waits[len(waits)*99/100]
}

// picker returns the index of the engine for a prompt.
type picker func(f *fleet, now time.Duration, daemon int, p Prompt, cands []Candidate) int

func pickRandom(f *fleet, _ time.Duration, _ int, _ Prompt, cands []Candidate) int {
	return f.rnd.IntN(len(cands))
}

func prefillBefore(_ *fleet, _ time.Duration, _ int, p Prompt, cands []Candidate) int {
	return Prefill(p, cands, nil, nil, estimates).Index
}

func prefillSpread(f *fleet, _ time.Duration, daemon int, p Prompt, cands []Candidate) int {
	return Prefill(f.unreported(p, daemon), cands, nil, nil, estimates).Index
}

func decodeBefore(_ *fleet, _ time.Duration, _ int, p Prompt, cands []Candidate) int {
	return Decode(p, cands, nil, "")
}

func decodeSpread(f *fleet, _ time.Duration, daemon int, p Prompt, cands []Candidate) int {
	return Decode(f.unreported(p, daemon), cands, nil, "")
}

// unreported returns the prompt with the work that other daemons have sent.
func (f *fleet) unreported(p Prompt, daemon int) Prompt {
	streams := f.rate() * f.lag.Seconds() * (staleDaemons - 1) / staleDaemons
	p.Unreported = Unreported{Prefill: time.Duration(streams * float64(f.took)), Streams: streams}
	p.Unreported.Share = f.share(daemon)
	return p
}

// daemon returns the daemon that gets the n-th part of the requests.
func (f *fleet) daemon(n int) int {
	if n < 4*f.big {
		return n / 4
	}
	return n - 3*f.big
}

// share returns the daemon's share of the requests.
func (f *fleet) share(daemon int) balance.Share {
	from, parts := daemon+3*f.big, 1
	if daemon < f.big {
		from, parts = 4*daemon, 4
	}
	total := float64(staleDaemons + 3*f.big)
	return balance.Share{From: float64(from) / total, To: float64(from+parts) / total}
}

// ownersQueried returns a picker that queries queue owners, whose replies are
// 3 ms old when the prompt arrives at the engine. Every silent-th owner doesn't
// reply; 0: all do.
func ownersQueried(silent int, assume bool) picker {
	return func(f *fleet, now time.Duration, daemon int, p Prompt, cands []Candidate) int {
		if assume {
			p = f.unreported(p, daemon)
		}
		list := Shortlist(p, cands, nil, nil, estimates)
		waits := make([]time.Duration, len(list))
		for i, ch := range list {
			waits[i] = f.load(ch.Index, -1, now, 3*time.Millisecond).Wait
			if silent > 0 && ch.Index%silent == 0 {
				waits[i] = -1
			}
		}
		if assume && !AssumeWaits(list, cands, waits) {
			return Prefill(p, cands, nil, nil, estimates).Index
		}
		return SelectByWait(list, cands, waits).Index
	}
}

// Guards against daemons that send their prompts or streams to the same
// engines while reports are old. With reports 200 ms old, the 99th percentile
// of the wait stays under half of that of a random choice, whether contents
// are new or popular; with fresh reports the choice is as good as before.
func TestStaleReportsAvoidHerding(t *testing.T) {
	for _, popular := range []int{0, 10} {
		for _, kind := range []struct {
			name           string
			before, spread picker
		}{{"prefill", prefillBefore, prefillSpread}, {"decode", decodeBefore, decodeSpread}} {
			p99 := func(lag time.Duration, pick picker) time.Duration {
				return newFleet(lag, promptTime, 1, popular).p99(5*time.Second, pick)
			}
			random := p99(0, pickRandom)
			for _, lag := range []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond} {
				before, spread := p99(lag, kind.before), p99(lag, kind.spread)
				t.Logf("%s, %d popular contents, lag %v: before %v, now %v, random %v", kind.name, popular, lag, before, spread, random)
				if spread > before || spread >= random/2 {
					t.Errorf("%s, %d popular contents, lag %v: %v, before %v, random %v", kind.name, popular, lag, spread, before, random)
				}
			}
		}
	}
}

// Guards against engines that wait behind a daemon with many requests. Its share
// has to be known: with equal shares the 99th percentile is about twice as long.
func TestUnequalDaemonsSpreadByShare(t *testing.T) {
	p99 := func(pick picker) time.Duration {
		f := newFleet(200*time.Millisecond, promptTime, 1, 0)
		f.big = 6
		return f.p99(5*time.Second, pick)
	}
	random, known := p99(pickRandom), p99(prefillSpread)
	equal := p99(func(f *fleet, _ time.Duration, daemon int, p Prompt, cands []Candidate) int {
		p = f.unreported(p, daemon)
		p.Unreported.Share = balance.Share{From: float64(daemon) / staleDaemons, To: float64(daemon+1) / staleDaemons}
		return Prefill(p, cands, nil, nil, estimates).Index
	})
	t.Logf("random %v, by share %v, by equal shares %v", random, known, equal)
	if known >= random/2 || equal >= random {
		t.Errorf("by share %v, by equal shares %v, random %v", known, equal, random)
	}
}

// Guards against full engines while others have slots free. All daemons chose
// the engine with the fewest streams in their reports.
func TestStaleReportsLeaveNoStreamWaiting(t *testing.T) {
	const slots = 64
	f := newFleet(200*time.Millisecond, slots*promptTime, slots, 10)
	if got := f.p99(10*time.Second, decodeSpread); got > 0 {
		t.Errorf("p99 of the wait for a slot is %v", got)
	}
}

// Guards against longer waits than before where queue owners reply, and against
// engines of silent owners that look idle and get the prompts of all daemons.
func TestSilentOwnersAvoidHerding(t *testing.T) {
	for _, popular := range []int{0, 10} {
		p99 := func(pick picker) time.Duration {
			return newFleet(200*time.Millisecond, promptTime, 1, popular).p99(5*time.Second, pick)
		}
		before, now := p99(ownersQueried(0, false)), p99(ownersQueried(0, true))
		silentBefore, silentNow := p99(ownersQueried(4, false)), p99(ownersQueried(4, true))
		t.Logf("%d popular contents: all reply: before %v, now %v; a quarter silent: before %v, now %v", popular, before, now, silentBefore, silentNow)
		if now > before {
			t.Errorf("%d popular contents: %v with all owners, before %v", popular, now, before)
		}
		if silentNow > silentBefore/2 {
			t.Errorf("%d popular contents: %v with silent owners, before %v", popular, silentNow, silentBefore)
		}
	}
}

func pickPlain(spread bool) picker {
	return func(f *fleet, _ time.Duration, daemon int, p Prompt, cands []Candidate) int {
		u := f.unreported(p, daemon).Unreported
		costs := make([]float64, len(cands))
		for i := range cands {
			costs[i] = float64(cands[i].Load.Streams) / float64(f.slots)
		}
		if !spread {
			return cheapest(costs)
		}
		return ChoosePlain(cands, costs, u.Streams, u.Share, f.rnd.Float64())
	}
}

// Guards against plain calls that all daemons send to the target that was idle
// in their reports.
func TestStaleReportsOnPlainTargets(t *testing.T) {
	p99 := func(pick picker) time.Duration {
		return newFleetOf(4, 200*time.Millisecond, 60*time.Millisecond, 6, 0).p99(30*time.Second, pick)
	}
	before, now, random := p99(pickPlain(false)), p99(pickPlain(true)), p99(pickRandom)
	t.Logf("before %v, now %v, random %v", before, now, random)
	if now > before/2 {
		t.Errorf("p99 of the wait %v, before %v", now, before)
	}
}

// Guards against engines that hold a popular part and queue the prompts with
// it while others idle, and against prompts that are computed in full at each
// engine instead of fetched. Most prompts start with one of ten parts of 2,000
// tokens, and load the engines to 0.7 if each part is held or fetched.
func TestPopularPartsGetHolders(t *testing.T) {
	const shared, own = 2000, 1300
	e := &route.Engine{KVTokenBytes: 163_840, LinkBytesPerSecond: 212e9}
	missing, full := estimates.PrefillTime(shared+own, own), estimates.PrefillTime(shared+own, shared+own)
	replay := func(owners, spread bool) (p99 time.Duration, complete float64) {
		f := newFleet(200*time.Millisecond, missing, 1, 10)
		held := make(map[string]job) // by engine and part
		prompts, computed := 0, 0
		p99 = f.p99(5*time.Second, func(f *fleet, now time.Duration, daemon int, p Prompt, cands []Candidate) int {
			p.Tokens, p.SharedTokens, p.Objective, f.took = shared+own, shared, 800*time.Millisecond, missing
			if spread {
				p = f.unreported(p, daemon)
			}
			key := func(i int) string { return fmt.Sprint(i, p.Seed) }
			for i := range cands {
				at := now - f.lag
				h, ok := held[key(i)]
				if ok && (h.daemon == daemon || h.sent <= at) {
					cands[i].Load.Cached = shared
				}
				if ok && h.finish <= at {
					cands[i].Load.Ready = shared
				}
			}
			ch := Prefill(p, cands, cands, e, estimates)
			if owners {
				list := Shortlist(p, cands, cands, e, estimates)
				waits := make([]time.Duration, len(list))
				for i := range list {
					waits[i] = f.load(list[i].Index, -1, now, 3*time.Millisecond).Wait
				}
				ch = SelectByWait(list, cands, waits)
			}
			_, has := held[key(ch.Index)]
			fetched := ch.Source >= 0 && held[key(ch.Source)].finish > 0 && held[key(ch.Source)].finish <= now
			if prompts++; !has && !fetched {
				f.took = full
				computed++
			}
			if !has {
				held[key(ch.Index)] = job{daemon: daemon, sent: now, finish: max(f.free[ch.Index][0], now) + f.took}
			}
			return ch.Index
		})
		return p99, float64(computed) / float64(prompts)
	}
	for _, owners := range []bool{false, true} {
		before, completeBefore := replay(owners, false)
		now, completeNow := replay(owners, true)
		t.Logf("owners %v: p99 of the wait before %v, now %v; computed in full before %.3f, now %.3f", owners, before, now, completeBefore, completeNow)
		if now >= before || now > 100*time.Millisecond || completeNow > 0.05 {
			t.Errorf("owners %v: p99 of the wait %v, before %v; %.3f computed in full", owners, now, before, completeNow)
		}
	}
}
