package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/speed"
)

const (
	simDaemons, simEngines = 70, 140
	simLearning            = 10 * time.Second
	simEnd                 = 25 * time.Second
	simReportInterval      = 200 * time.Millisecond
)

// simKind is a kind of prompt. Each kind is asked as often as the others.
type simKind struct {
	tokens    int
	objective time.Duration
}

const simMillisecond = time.Millisecond

// longKinds are kinds of which all but the shortest are late at an engine of half the
// speed, and on time at others. fastKinds contain one that is on time only at an engine
// of twice the usual speed.
var (
	longKinds = []simKind{{1460, 500 * simMillisecond}, {9200, 500 * simMillisecond}, {10_000, 500 * simMillisecond}, {11_000, 500 * simMillisecond}, {13_000, 600 * simMillisecond}, {15_000, 700 * simMillisecond}, {17_000, 800 * simMillisecond}}
	fastKinds = []simKind{{1460, 500 * simMillisecond}, {9200, 500 * simMillisecond}, {17_000, 500 * simMillisecond}}
)

// simPrompt is a prompt at an engine.
type simPrompt struct {
	Prompt
	Choice
	daemon                 int
	arrival, begun, finish time.Duration
}

// simFleet is a fleet in virtual time. Engines prefill in order of arrival; daemons know
// their load as of the last report, and ask the engines of the shortlist.
type simFleet struct {
	r        *rand.Rand
	load     float64 // asked, of the engines' capacity
	kinds    []simKind
	now      time.Duration
	speeds   []float64 // ratios of the engines' prefill times
	cands    []Candidate
	queues   [][]simPrompt
	trackers []*speed.Tracker
	factors  []*speed.Factors                 // of each daemon
	speedOf  func(daemon, engine int) float64 // known to the daemon; 0: unknown
	late     bool                             // prompts avoid engines where they would be late
	onTime   int
	asked    int
}

// newSimFleet returns a fleet of which every fifth engine has the given factor.
func newSimFleet(seed uint64, factor float64, kinds []simKind) *simFleet {
	f := &simFleet{load: 0.5, r: rand.New(rand.NewPCG(seed, 1)), kinds: kinds, queues: make([][]simPrompt, simEngines)}
	hashes := make(map[uint64]bool)
	for i := range simEngines {
		f.speeds = append(f.speeds, 1)
		if i%5 == 0 {
			f.speeds[i] = factor
		}
		f.cands = append(f.cands, newCandidate(fmt.Sprint("e", i), "a", engines.Load{}))
		hashes[engines.Hash(f.cands[i].Entry.ID)] = true
	}
	f.speedOf = func(int, int) float64 { return 0 }
	for range simDaemons {
		tr := speed.NewTracker()
		tr.Merge([]speed.Update{{Service: engines.Hash("llm"), PerToken: 25e3, PerPair: 280, PromptOverheadUs: 50_000, FirstEventUs: 40_000, Prompts: 1000}})
		tr.ObserveFirstEvent("llm", estimates.FirstEvent)
		f.trackers = append(f.trackers, tr)
		f.factors = append(f.factors, speed.NewFactors(speed.FactorOptions{
			Now:     func() time.Time { return time.Unix(1000, 0).Add(f.now) },
			Service: func(hash uint64) (string, bool) { return "llm", hashes[hash] },
		}))
	}
	return f
}

// slowByChance returns the factor by which an engine is slow for half a second: 2.5 for
// 15 of 100 engines.
func (f *simFleet) slowByChance(engine int, at time.Duration) float64 {
	if hashFraction(uint64(engine)*0x9e3779b97f4a7c15^uint64(at/(500*time.Millisecond))*0xbf58476d1ce4e5b9) < 0.15 {
		return 2.5
	}
	return 1
}

// wait returns the predicted time in an engine's queue.
func (f *simFleet) wait(engine int) (wait time.Duration) {
	for i, p := range f.queues[engine] {
		if wait += p.PrefillTime; i == 0 {
			wait -= min(max(f.now-p.begun, 0), p.PrefillTime)
		}
	}
	return wait
}

// finish removes the prompts that are complete, and gives their times to the daemons.
func (f *simFleet) finish() {
	for i, q := range f.queues {
		for len(q) > 0 && q[0].finish <= f.now {
			p := q[0]
			q = q[1:]
			if p.arrival > simLearning && p.finish+estimates.PromptOverhead+estimates.FirstEvent-p.arrival <= p.Objective {
				f.onTime++
			}
			s := speed.Sample{Prompt: p.Tokens, Missing: p.MissingTokens, PredictedWait: p.PredictedWait, Duration: p.finish + estimates.PromptOverhead - p.arrival, Factor: f.speedOf(p.daemon, i)}
			est := f.trackers[p.daemon].Estimates("llm")
			f.trackers[p.daemon].ObservePrompt("llm", s)
			f.factors[p.daemon].Observe(f.cands[i].Entry.ID, s, est)
		}
		f.queues[i] = q
	}
}

// arrive places a new prompt at an engine.
func (f *simFleet) arrive() {
	kind := f.kinds[f.r.IntN(len(f.kinds))]
	p := simPrompt{daemon: f.r.IntN(simDaemons), arrival: f.now, Prompt: Prompt{
		Tokens: kind.tokens, Objective: kind.objective, Seed: f.r.Uint64(), RandomSeed: f.r.Uint64(), AvoidLate: f.late,
	}}
	for i := range f.cands {
		f.cands[i].Speed = f.speedOf(p.daemon, i)
	}
	list := Shortlist(p.Prompt, f.cands, nil, nil, f.trackers[p.daemon].Estimates("llm"))
	var waits []time.Duration
	for _, ch := range list {
		waits = append(waits, f.wait(ch.Index))
	}
	p.Choice = SelectByWait(list, f.cands, waits)
	q := f.queues[p.Index]
	p.begun = f.now
	if len(q) > 0 {
		p.begun = q[len(q)-1].finish
	}
	took := float64(estimates.PrefillTime(p.Tokens, p.Tokens)) * f.speeds[p.Index] * f.slowByChance(p.Index, p.begun)
	p.finish = p.begun + time.Duration(took)
	f.queues[p.Index] = append(q, p)
	if p.arrival > simLearning {
		f.asked++
	}
}

// exchange sends all daemons' parts to the first one, and the sum to all.
func (f *simFleet) exchange(t *testing.T) {
	send := func(from *speed.Factors, include bool, merge func(piece, pieces int, data []byte) error) {
		pieces, err := from.Table().Report(func(string) bool { return include }, 1300)
		for i, p := range pieces {
			if err == nil {
				err = merge(i, len(pieces), p)
			}
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	for i, d := range f.factors[1:] {
		send(d, false, func(piece, pieces int, data []byte) error {
			return f.factors[0].Table().Merge(fmt.Sprint(i), piece, pieces, data)
		})
	}
	for _, d := range f.factors {
		send(f.factors[0], true, d.Table().MergeFleet)
	}
}

// run returns the share of the prompts after the learning time that are on time.
func (f *simFleet) run(t *testing.T) float64 {
	capacity := 0.0
	for _, s := range f.speeds {
		capacity += 1 / s
	}
	var work time.Duration
	for _, k := range f.kinds {
		work += estimates.PrefillTime(k.tokens, k.tokens)
	}
	interval := float64(work) / float64(len(f.kinds)) / (f.load * capacity)
	nextReport, nextExchange := time.Duration(0), time.Second
	for ; f.now < simEnd; f.now += time.Duration(f.r.ExpFloat64() * interval) {
		f.finish()
		if f.now >= nextReport {
			nextReport += simReportInterval
			for i := range f.cands {
				f.cands[i].Load.Wait = f.wait(i)
			}
		}
		if f.now >= nextExchange {
			nextExchange += time.Second
			f.exchange(t)
		}
		f.arrive()
	}
	f.now += time.Minute
	f.finish()
	return float64(f.onTime) / float64(f.asked)
}

// knowsAll gives the daemons the true speeds.
func (f *simFleet) knowsAll() *simFleet {
	f.speedOf = func(_, e int) float64 { return f.speeds[e] }
	return f
}

// learns gives the daemons the speeds that they learn.
func (f *simFleet) learns() *simFleet {
	f.speedOf = func(d, e int) float64 { return f.factors[d].Factor(f.cands[e].Entry.ID) }
	return f
}

// avoidsLate makes prompts avoid engines at which they would be late.
func (f *simFleet) avoidsLate() *simFleet {
	f.late = true
	return f
}

// Guards against long prompts that are late at slow engines. With a fifth of the engines
// at half the speed, goodput must be within a tenth of that of a placement that knows all
// speeds, after ten seconds of learning. With unknown speeds it isn't.
func TestGoodputWithSlowEngines(t *testing.T) {
	var known, learned, unknown float64
	for seed := range uint64(3) {
		known += newSimFleet(seed, 2, longKinds).knowsAll().avoidsLate().run(t) / 3
		learned += newSimFleet(seed, 2, longKinds).learns().avoidsLate().run(t) / 3
		unknown += newSimFleet(seed, 2, longKinds).run(t) / 3
	}
	t.Logf("goodput with known speeds %.3f, learned %.3f, unknown %.3f", known, learned, unknown)
	if learned < 0.9*known {
		t.Errorf("goodput %.3f, with known speeds %.3f", learned, known)
	}
	if unknown >= 0.9*known {
		t.Errorf("goodput %.3f with unknown speeds, %.3f with known ones: the load shows no difference", unknown, known)
	}
}

// Guards against daemons that all follow chance differences of equal engines, and leave
// half of them unused.
func TestEqualEnginesAreUsedAlike(t *testing.T) {
	learned, unknown := newSimFleet(1, 1, longKinds).learns().avoidsLate(), newSimFleet(1, 1, longKinds)
	learned.load, unknown.load = 0.85, 0.85
	got, without := learned.run(t), unknown.run(t)
	t.Logf("goodput with learned speeds %.3f, unknown %.3f", got, without)
	if got < without {
		t.Errorf("goodput %.3f with learned speeds, %.3f without", got, without)
	}
}

// Guards against fast engines that are busy with short prompts while the long ones, which
// are on time only there, go elsewhere.
func TestLargePromptsGoToFastEngines(t *testing.T) {
	known := newSimFleet(1, 0.5, fastKinds).knowsAll().avoidsLate().run(t)
	learned := newSimFleet(1, 0.5, fastKinds).learns().avoidsLate().run(t)
	without := newSimFleet(1, 0.5, fastKinds).knowsAll().run(t)
	t.Logf("goodput with the cost of lateness %.3f, with learned speeds %.3f, without the cost %.3f", known, learned, without)
	if learned < 0.9*known {
		t.Errorf("goodput %.3f, with known speeds %.3f", learned, known)
	}
	if without >= 0.9*known {
		t.Errorf("goodput %.3f without the cost of lateness, %.3f with it", without, known)
	}
}

// Guards against a queried wait that makes a prompt late or on time without a change of
// the cost.
func TestQueriedWaitChangesLateness(t *testing.T) {
	ch := Choice{Cost: 100 * simMillisecond, lateness: lateness{cost: 250 * simMillisecond, maxWait: 90 * simMillisecond}}
	for wait, want := range map[time.Duration]time.Duration{0: 100 * simMillisecond, 90 * simMillisecond: 190 * simMillisecond, 91 * simMillisecond: 441 * simMillisecond} {
		if ch.setWait(wait); ch.Cost != want || ch.PredictedWait != wait {
			t.Errorf("wait %v: cost %v, want %v", wait, ch.Cost, want)
		}
	}
}

// Guards against known slow engines as homes of prompts, at which every prompt with the
// same beginning would be slow.
func TestSlowEnginesAreNoHome(t *testing.T) {
	p := Prompt{Tokens: 17_000, SharedTokens: 13_300, Seed: 7}
	cands := randomEngines(rand.New(rand.NewPCG(1, 1)), 50)
	home := newHome(p, cands, cands, -1, estimates).index
	cands[home].Speed = 1.5
	if got := newHome(p, cands, cands, -1, estimates).index; got == home || got < 0 {
		t.Errorf("home %d, before %d", got, home)
	}
}
