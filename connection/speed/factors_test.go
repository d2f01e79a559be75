package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
)

// knownEstimates are those of a service with a prefill time of 20 ms per 1,000 tokens.
var knownEstimates = Estimates{PerToken: 20e3, PromptOverhead: 10 * time.Millisecond, Prompts: 100}

// sampleAt returns a prompt of 5,000 tokens that took ratio times the estimate.
func sampleAt(ratio float64) Sample {
	return Sample{Prompt: 5000, Missing: 5000, Duration: 10*time.Millisecond + time.Duration(ratio*100)*time.Millisecond}
}

// factorFleet holds the factors of several daemons in virtual time. Daemon 0
// aggregates.
type factorFleet struct {
	t       *testing.T
	now     time.Time
	daemons []*Factors
	missing map[uint64]bool // engines that no longer exist
}

func newFactorFleet(t *testing.T, daemons int) *factorFleet {
	f := &factorFleet{t: t, now: time.Unix(1000, 0), missing: make(map[uint64]bool)}
	for range daemons {
		f.daemons = append(f.daemons, NewFactors(FactorOptions{Now: func() time.Time { return f.now }, Service: func(hash uint64) (string, bool) { return "llm", !f.missing[hash] }}))
	}
	return f
}

// exchange sends the parts of the given daemons, and the sum to these.
func (f *factorFleet) exchange(daemons []*Factors) {
	hub := f.daemons[0].Table()
	send := func(from *Factors, include bool, merge func(piece, pieces int, data []byte) error) {
		pieces, err := from.Table().Report(func(string) bool { return include }, 1300)
		for i, p := range pieces {
			if err == nil {
				err = merge(i, len(pieces), p)
			}
		}
		if err != nil {
			f.t.Fatal(err)
		}
	}
	for i, d := range daemons[1:] {
		send(d, false, func(piece, pieces int, data []byte) error { return hub.Merge(fmt.Sprint(i), piece, pieces, data) })
	}
	for _, d := range daemons {
		send(f.daemons[0], true, d.Table().MergeFleet)
	}
}

// pass lets time pass in steps of a second with an exchange after each.
func (f *factorFleet) pass(seconds int) {
	for range seconds {
		f.now = f.now.Add(time.Second)
		f.exchange(f.daemons)
	}
}

// feed gives random daemons n prompts at each of the engines, over the given seconds.
// speeds are the engines' factors.
func (f *factorFleet) feed(r *rand.Rand, seconds, perSecond int, speeds []float64) {
	for range seconds {
		for range perSecond {
			for i, s := range speeds {
				f.daemons[r.IntN(len(f.daemons))].Observe(engineID(i), sampleAt(s), knownEstimates)
			}
		}
		f.pass(1)
	}
}

func engineID(i int) string { return fmt.Sprint("e", i) }

// within reports whether x is between low and high.
func within(x, low, high float64) bool { return x >= low && x <= high }

// Guards against daemons that each see too few prompts of an engine to learn its
// speed, and against an own sample that counts only after the exchange. After 30 prompts
// of each engine, the ratio must be within a fifth of the true one.
func TestFactorsAreSharedByAllDaemons(t *testing.T) {
	f := newFactorFleet(t, 70)
	f.feed(rand.New(rand.NewPCG(1, 1)), 10, 3, []float64{1, 1, 1, 1, 2})
	for i, d := range f.daemons {
		if slow, normal := d.measured(engineID(4)), d.measured(engineID(0)); !within(slow/normal, 1.6, 2.2) {
			t.Fatalf("daemon %d: %.2f and %.2f", i, slow, normal)
		}
	}
	if got := f.daemons[0].measured("other"); got != 0 {
		t.Errorf("factor %.2f without samples", got)
	}
	d := f.daemons[7]
	before, others := d.measured(engineID(0)), f.daemons[8].measured(engineID(0))
	for range 10 {
		d.Observe(engineID(0), sampleAt(2), knownEstimates)
	}
	if d.measured(engineID(0)) <= before || f.daemons[8].measured(engineID(0)) != others {
		t.Errorf("own samples don't count at once, or count elsewhere")
	}
	f.now = f.now.Add(300 * time.Millisecond)
	if got := d.measured(engineID(0)); got <= before {
		t.Errorf("own samples don't count until the fleet's sum includes them: %.2f, before %.2f", got, before)
	}
	f.pass(3)
	if a, b := d.measured(engineID(0)), f.daemons[8].measured(engineID(0)); !within(a/b, 0.99, 1.01) {
		t.Errorf("own samples count twice: %.3f, elsewhere %.3f", a, b)
	}
}

// Guards against own samples that count twice where no sum of the fleet is received, as in
// a small fleet.
func TestOwnSamplesCountOnceInASmallFleet(t *testing.T) {
	f := newFactorFleet(t, 1)
	d := f.daemons[0]
	for i := range 10 {
		d.Observe(engineID(i%2), sampleAt(1+float64(i%2)), knownEstimates)
	}
	f.now = f.now.Add(300 * time.Millisecond)
	d.refresh()
	hash := engines.Hash(engineID(1))
	if own, all := d.own[hash].decayed(f.now).weight, d.fleet[hash].decayed(f.now).weight; !within(all, 0.99*own, 1.01*own) {
		t.Errorf("own samples of weight %.2f count as %.2f", own, all)
	}
}

// Guards against daemons that forget all speeds when the aggregator or their links
// fail, that learn nothing more then, and against speeds that are kept for long without
// samples.
func TestFactorsOutliveTheFleetSum(t *testing.T) {
	f := newFactorFleet(t, 30)
	f.feed(rand.New(rand.NewPCG(1, 1)), 20, 3, []float64{1, 1, 1, 1, 2})
	cut := f.daemons[9]
	before := cut.measured(engineID(4))
	for range 20 { // alone, with samples of one engine
		f.now = f.now.Add(time.Second)
		cut.Observe(engineID(0), sampleAt(1), knownEstimates)
	}
	if after := cut.measured(engineID(4)); !within(after, 1+(before-1)*0.8, before) {
		t.Errorf("factor %.2f before, %.2f after 20 s", before, after)
	}
	usual := cut.measured(engineID(1))
	for range 20 {
		f.now = f.now.Add(time.Second)
		cut.Observe(engineID(1), sampleAt(3), knownEstimates)
	}
	if after := cut.measured(engineID(1)); after < 1.25*usual {
		t.Errorf("a daemon that is cut off doesn't learn: factor %.2f, before %.2f", after, usual)
	}
	f.now = f.now.Add(3 * time.Minute)
	if after := cut.measured(engineID(4)); after != 0 {
		t.Errorf("factor %.2f after 3 minutes without samples", after)
	}
}

// Guards against factors of engines that no longer exist, which would take the place of
// others in the exchanged table, and against a new engine that is taken for its
// predecessor.
func TestFactorsOfReplacedEngines(t *testing.T) {
	f := newFactorFleet(t, 10)
	f.feed(rand.New(rand.NewPCG(1, 1)), 10, 3, []float64{1, 1, 2})
	f.missing[engines.Hash(engineID(2))] = true
	f.pass(5)
	for _, d := range f.daemons {
		if got := d.measured(engineID(2)); got != 0 {
			t.Errorf("factor %.2f of an engine that doesn't exist", got)
		}
		if n := len(d.ownRows()); n > 2 {
			t.Errorf("reports %d engines", n)
		}
		if got := d.measured("successor"); got != 0 {
			t.Errorf("factor %.2f of a new engine", got)
		}
	}
}

// Guards against an engine that counts as slow after a handful of samples that were
// slow by chance, as one in seven are.
func TestFewSamplesDontMakeSlow(t *testing.T) {
	f := newFactorFleet(t, 2)
	f.feed(rand.New(rand.NewPCG(1, 1)), 5, 3, []float64{1, 1, 1, 1, 1, 1, 1, 1})
	for range 5 {
		f.daemons[0].Observe("new", sampleAt(2.5), knownEstimates)
	}
	if got := f.daemons[0].measured("new"); got > 1.25 {
		t.Errorf("factor %.2f", got)
	}
}

// Guards against prompts that count although most of their time was a predicted wait.
func TestPromptsThatWaitedDontCount(t *testing.T) {
	f := newFactorFleet(t, 1)
	s := sampleAt(4)
	s.PredictedWait = 60 * time.Millisecond
	for range 50 {
		f.daemons[0].Observe("a", s, knownEstimates)
	}
	if got := f.daemons[0].measured("a"); got != 0 {
		t.Errorf("factor %.2f", got)
	}
}

// Guards against a drift of factors and the service's estimate. The estimate is fitted to
// the prompts of the engines in use; their product must stay that of each engine when
// slow engines get fewer and smaller prompts.
func TestFactorsAndEstimateDontDrift(t *testing.T) {
	usual := engine{perToken: 0.02, start: 10}
	f, tr, r := newFactorFleet(t, 1), NewTracker(), rand.New(rand.NewPCG(1, 1))
	d := f.daemons[0]
	for step := range 300 * 40 { // 300 s with 40 prompts a second
		i := r.IntN(10)
		slow := i < 2
		tokens := 1000 + r.IntN(16_000)
		if late := step > 60*40; late && slow && r.IntN(3) > 0 {
			i, slow = 2+r.IntN(8), false
		} else if late && slow {
			tokens = 1000 + r.IntN(3000)
		}
		e := usual
		if slow {
			e.perToken *= 2
		}
		s := Sample{Prompt: tokens, Missing: tokens, Duration: e.prefillTime(tokens, tokens), Factor: d.Factor(engineID(i))}
		est := tr.Estimates("llm")
		tr.ObservePrompt("llm", s)
		d.Observe(engineID(i), s, est)
		f.now = f.now.Add(25 * time.Millisecond)
	}
	est := tr.Estimates("llm")
	for i, perToken := range []float64{40e3, 40e3, 20e3, 20e3} {
		if got := est.PerToken * d.Factor(engineID(i)) / perToken; !within(got, 0.8, 1.1) {
			t.Errorf("engine %d: predicted at %.2f times its time, factor %.2f", i, got, d.measured(engineID(i)))
		}
	}
}

// Guards against a row from the network that makes the factors of all engines of its
// service unusable, or those of one engine for minutes: a mean that isn't a number gets
// into a daemon's own samples, which it then sends to all others.
func TestDamagedFactorRows(t *testing.T) {
	nan, inf := float32(math.NaN()), float32(math.Inf(1))
	hash := engines.Hash(engineID(0))
	for _, damaged := range []FactorRow{{Engine: hash, Weight: 9, Sum: nan}, {Engine: hash, Weight: inf}, {Engine: hash, Weight: 9, Sum: inf}, {Engine: hash, Weight: 1e30, Sum: 1e30}, {Engine: hash, Weight: 9, Sum: 90}, {Engine: hash, Weight: nan}} {
		good := FactorRow{Engine: hash, Weight: 9}
		if a, b := good.Add(damaged), damaged.Add(good); a != good || b != good {
			t.Errorf("%+v: sums %+v and %+v", damaged, a, b)
		}
		f := newFactorFleet(t, 1)
		d := f.daemons[0]
		d.mu.Lock()
		d.merge([]FactorRow{damaged, {Engine: engines.Hash(engineID(1)), Weight: 9}}, false, f.now)
		d.mu.Unlock()
		d.Observe(engineID(1), sampleAt(1), knownEstimates)
		if got := d.measured(engineID(0)); got != 0 {
			t.Errorf("%+v: factor %.2f", damaged, got)
		}
		if got := d.measured(engineID(1)); !within(got, 0.99, 1.01) {
			t.Errorf("%+v: factor %.2f of another engine", damaged, got)
		}
		for _, r := range limitRows(append(d.ownRows(), damaged)) {
			if !r.valid() {
				t.Errorf("%+v is sent", r)
			}
		}
	}
}

// Guards against reports that grow with the fleet, and against slow and fast engines that
// are left out in favour of usual ones with more samples.
func TestReportsAreBounded(t *testing.T) {
	f := newFactorFleet(t, 1)
	d := f.daemons[0]
	for i := range uint64(3 * maxReportedEngines) {
		row := weighted{weight: 50}
		if i%30 == 0 {
			row = weighted{weight: 10, sum: 7 - 14*float64(i/30%2)}
		}
		d.own[engines.Hash(engineID(int(i)))] = row
	}
	rows := limitRows(d.ownRows())
	deviating := 0
	for _, r := range rows {
		if r.Sum != 0 {
			deviating++
		}
	}
	if len(rows) != maxReportedEngines || deviating != maxReportedEngines/10 {
		t.Errorf("%d rows, %d of engines that deviate", len(rows), deviating)
	}
	pieces, err := d.Table().Report(func(string) bool { return true }, 1300)
	if err != nil || len(pieces) > 6 {
		t.Errorf("%d pieces, error %v", len(pieces), err)
	}
	for _, p := range pieces {
		if len(p) > 1300 {
			t.Errorf("piece of %d bytes", len(p))
		}
	}
}

// Guards against one prompt that counts as hundreds do, and against a predicted wait that
// counts as a part of the prefill.
func TestRatioOfOnePrompt(t *testing.T) {
	for ratio, want := range map[float64]float64{0.01: minRatio, 0.5: 0.5, 2: 2, 50: maxRatio} {
		s := sampleAt(ratio)
		s.PredictedWait = 20 * time.Millisecond
		s.Duration += s.PredictedWait
		if got, weight := factorSample(s, knownEstimates); !within(got, 0.99*want, 1.01*want) || weight <= 0 {
			t.Errorf("ratio %v: %.2f with weight %.2f, want %v", ratio, got, weight, want)
		}
	}
}

// Guards against a mean that follows the engines with the most prompts: if daemons prefer
// the fastest ones, all others would count as slow.
func TestMeanDoesNotFollowTraffic(t *testing.T) {
	f := newFactorFleet(t, 1)
	d := f.daemons[0]
	d.mu.Lock()
	defer d.mu.Unlock()
	d.merge([]FactorRow{
		{Engine: engines.Hash(engineID(0)), Weight: 600, Sum: -0.15 * 600},
		{Engine: engines.Hash(engineID(1)), Weight: 30, Sum: 0.15 * 30},
	}, false, f.now)
	if got := d.means["llm"]; !within(got, -0.05, 0.05) {
		t.Errorf("mean logarithm %.3f", got)
	}
}

// Guards against a reported prediction error that ignores the engine's factor, by which
// the prompt's time was predicted.
func TestPredictionErrorIncludesTheFactor(t *testing.T) {
	tr := NewTracker()
	tr.Merge([]Update{{Service: engines.Hash("llm"), PerToken: 20e3, PromptOverheadUs: 10_000, Prompts: 1000}})
	s := sampleAt(2)
	s.Factor, s.PredictedWait = 2, time.Millisecond
	s.Duration += s.PredictedWait
	for range 5 {
		tr.ObservePrompt("llm", s)
	}
	if got, queued := tr.PredictionError("llm"), tr.Estimates("llm").QueuedError; got > 0.01 || queued > time.Millisecond {
		t.Errorf("relative error %.3f, error of prompts that waited %v", got, queued)
	}
}
