package speed

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/summary"
)

// Margin is the factor by which an engine's prefill time has to differ from that of its
// service to count as slow or fast. Smaller differences are mostly chance: after 10 s,
// factors of equal engines vary by a tenth, and if choices follow that, all daemons send
// their prompts to the same half of the engines.
const Margin = 1.25

const (
	// minRatio and maxRatio bound the ratio of one prompt's prefill time to the
	// service's estimate.
	minRatio, maxRatio = 0.25, 4.0
	// maxWaitShare is the longest predicted wait, as a share of the predicted
	// prefill time, with which a prompt counts. Waits are only predicted.
	maxWaitShare = 0.25
	// factorHalfLife is the time in which the weight of a sample halves. After a
	// minute a sixteenth is left.
	factorHalfLife = 15 * time.Second
	// priorWeight is the weight of the assumption that an engine is as fast as its
	// service, in samples.
	priorWeight = 6.0
	// maxStep bounds the logarithm of a sample's deviation from the present factor.
	// One engine in seven is slow for a moment at any time; without the bound, five
	// such samples of 2.5 times would give a factor of 1.5.
	maxStep = 0.4
	// maxReportedEngines is the number of engines in a report.
	maxReportedEngines = 200
	// minWeight is the weight under which an engine's samples are dropped.
	minWeight = 0.05
	// factorRefresh is the interval at which received sums are taken over.
	factorRefresh = 250 * time.Millisecond
	// ownDelay is the time after which the fleet's sum includes a daemon's own
	// samples: a send per second, and one aggregator on the way.
	ownDelay = 1200 * time.Millisecond
	// replaceShare is the least weight, as a share of the known weight, with which a
	// sum replaces the known one. A sum with less lacks the parts of many daemons,
	// as that of a new aggregator or of a daemon that is cut off.
	replaceShare = 0.5
	// maxRowWeight is the largest weight of a valid row. It is that of 46,000 prompts
	// a second at one engine. A larger one would replace all samples of the engine, and
	// halve only every factorHalfLife.
	maxRowWeight = 1e6
	// maxRowMean bounds the mean logarithm of a valid row, which is at most that of
	// maxRatio, with a reserve for rounding.
	maxRowMean = 1.5
)

// FactorRow holds the samples of one engine, as daemons exchange them.
type FactorRow struct {
	_      struct{} `cbor:",toarray"`
	Engine uint64   // engines.Hash of its id
	Weight float32  // of the samples
	Sum    float32  // of the weighted logarithms of the ratios
}

// Key implements summary.Entry.
func (r FactorRow) Key() uint64 { return r.Engine }

// Add implements summary.Entry. A row with unusable numbers is left out, since the sum
// would be unusable for all daemons.
func (r FactorRow) Add(o FactorRow) FactorRow {
	if !o.valid() {
		return r
	}
	if !r.valid() {
		return o
	}
	r.Weight += o.Weight
	r.Sum += o.Sum
	return r
}

// valid reports whether a row can come from samples. Rows that are no numbers aren't
// valid.
func (r FactorRow) valid() bool {
	return r.Weight >= 0 && r.Weight <= maxRowWeight && max(r.Sum, -r.Sum) <= maxRowMean*r.Weight
}

// FactorOptions configures Factors. All fields are required.
type FactorOptions struct {
	Now func() time.Time
	// Service returns the service of the engine with the given engines.Hash, or
	// false if there is no such engine.
	Service func(hash uint64) (string, bool)
}

// Factors estimates for each engine the ratio of its prefill time to that of its
// service, from the prompts of all daemons. The factors of a service's usual engines
// have a mean of 1, so that they and the service's estimate, which is fitted to durations divided
// by the factor, can't drift together. It is safe for concurrent use; a nil *Factors
// knows no factor.
type Factors struct {
	o     FactorOptions
	table *summary.Table[FactorRow]

	mu        sync.Mutex
	own       map[uint64]weighted // this daemon's samples
	recent    []ownSample         // those that the fleet's sum may lack
	fleet     map[uint64]weighted // samples of all daemons
	services  map[uint64]string   // by engine in fleet
	means     map[string]float64  // mean logarithm of the ratio, by service
	refreshed time.Time
}

// weighted is a weighted sum of logarithms of ratios, at a time.
type weighted struct {
	weight, sum float64
	at          time.Time
}

// ownSample is one sample of this daemon.
type ownSample struct {
	engine      uint64
	weight, sum float64
	at          time.Time
}

// decayed returns w with its weight reduced as of now.
func (w weighted) decayed(now time.Time) weighted {
	if w.at.IsZero() || !now.After(w.at) {
		return weighted{w.weight, w.sum, now}
	}
	left := math.Exp2(-now.Sub(w.at).Seconds() / factorHalfLife.Seconds())
	return weighted{left * w.weight, left * w.sum, now}
}

func (w weighted) plus(weight, sum float64) weighted {
	w.weight += weight
	w.sum += sum
	return w
}

// NewFactors returns Factors without samples.
func NewFactors(o FactorOptions) *Factors {
	f := &Factors{o: o, own: make(map[uint64]weighted), fleet: make(map[uint64]weighted), services: make(map[uint64]string), means: make(map[string]float64)}
	f.table = summary.New(summary.Options[FactorRow]{Now: o.Now, Own: f.ownRows, Limit: limitRows})
	return f
}

// Table returns the table that daemons exchange.
func (f *Factors) Table() *summary.Table[FactorRow] { return f.table }

// Observe adds a prompt whose prefill is complete, if it hardly waited. est are the
// estimates for the engine's service.
func (f *Factors) Observe(engine string, s Sample, est Estimates) {
	if f == nil || !est.Known() {
		return
	}
	ratio, weight := factorSample(s, est)
	if weight == 0 {
		return
	}
	f.refresh()
	hash, now := engines.Hash(engine), f.o.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	service, known := f.o.Service(hash)
	if !known {
		return
	}
	f.services[hash] = service
	expected := f.means[service] + f.logFactor(hash, now)
	value := min(max(math.Log(ratio), expected-maxStep), expected+maxStep)
	f.own[hash] = f.own[hash].decayed(now).plus(weight, weight*value)
	f.fleet[hash] = f.fleet[hash].decayed(now).plus(weight, weight*value)
	f.recent = append(f.recent, ownSample{hash, weight, weight * value, now})
}

// factorSample returns the ratio of a prompt's prefill time to the estimate, and its
// weight: the share of the prefill in the predicted time. The weight is 0 if the
// prompt can't be used.
func factorSample(s Sample, est Estimates) (ratio, weight float64) {
	prefill := est.PrefillTime(s.Prompt, s.Missing)
	if prefill <= 0 || float64(s.PredictedWait) > maxWaitShare*float64(prefill) {
		return 0, 0
	}
	other := s.PredictedWait + est.PromptOverhead
	ratio = float64(s.Duration-other) / float64(prefill)
	return min(max(ratio, minRatio), maxRatio), float64(prefill) / float64(prefill+other)
}

// Factor returns the ratio of an engine's prefill time to that of its service, 1 if
// they differ by less than Margin, and 0 if it is unknown.
func (f *Factors) Factor(engine string) float64 {
	factor := f.measured(engine)
	if factor > 1/Margin && factor < Margin {
		return 1
	}
	return factor
}

// measured is like Factor, also for smaller differences.
func (f *Factors) measured(engine string) float64 {
	if f == nil {
		return 0
	}
	f.refresh()
	hash := engines.Hash(engine)
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.fleet[hash]; !known {
		return 0
	}
	return math.Exp(f.logFactor(hash, f.o.Now()))
}

// logFactor returns the logarithm of an engine's factor, which is near 0 while there
// are few samples. Callers hold f.mu.
func (f *Factors) logFactor(hash uint64, now time.Time) float64 {
	w, known := f.fleet[hash]
	if !known {
		return 0
	}
	w = w.decayed(now)
	return (w.sum - w.weight*f.means[f.services[hash]]) / (w.weight + priorWeight)
}

// All returns the factors of the known engines, by engines.Hash of their ids.
func (f *Factors) All() map[uint64]float64 {
	f.refresh()
	now := f.o.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[uint64]float64, len(f.fleet))
	for hash := range f.fleet {
		out[hash] = math.Exp(f.logFactor(hash, now))
	}
	return out
}

// refresh takes over the received sums when it is time.
func (f *Factors) refresh() {
	now := f.o.Now()
	f.mu.Lock()
	due := now.Sub(f.refreshed) >= factorRefresh
	if due {
		f.refreshed = now
	}
	f.mu.Unlock()
	if !due {
		return
	}
	addOwn, rows := f.table.HasFleetSum(), f.table.Sum()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.merge(rows, addOwn, now)
}

// merge replaces the samples of the engines in rows, and drops engines that no longer
// exist. Engines whose rows are missing, incomplete or unusable keep their decaying
// samples.
// Callers hold f.mu.
func (f *Factors) merge(rows []FactorRow, addOwn bool, now time.Time) {
	f.recent = slices.DeleteFunc(f.recent, func(s ownSample) bool { return now.Sub(s.at) > ownDelay })
	for _, r := range rows {
		if !r.valid() {
			continue
		}
		w := weighted{float64(r.Weight), float64(r.Sum), now}
		if addOwn {
			for _, s := range f.recent {
				if s.engine == r.Engine {
					w = w.plus(s.weight, s.sum)
				}
			}
		}
		if w.weight >= replaceShare*f.fleet[r.Engine].decayed(now).weight {
			f.fleet[r.Engine] = w
		}
	}
	f.drop(now)
	f.updateMeans(now)
}

// drop removes the engines that no longer exist, and those without recent samples.
// Callers hold f.mu.
func (f *Factors) drop(now time.Time) {
	clear(f.services)
	for hash, w := range f.fleet {
		service, known := f.o.Service(hash)
		if !known || w.decayed(now).weight < minWeight {
			delete(f.fleet, hash)
			continue
		}
		f.services[hash] = service
	}
	for hash, w := range f.own {
		if _, known := f.o.Service(hash); !known || w.decayed(now).weight < minWeight {
			delete(f.own, hash)
		}
	}
}

// updateMeans computes the mean of each service's usual engines: a mean over all engines,
// then one over those near it, so that a few very slow ones don't make the others look
// fast. Callers hold f.mu.
func (f *Factors) updateMeans(now time.Time) {
	clear(f.means)
	f.means = f.meansWithin(math.Inf(1), now)
	f.means = f.meansWithin(2*math.Log(Margin), now)
}

// meansWithin returns the means of the engines whose logarithm is within distance of the
// present mean. Engines with many samples count alike, so that the mean doesn't follow
// the choice of engines. Callers hold f.mu.
func (f *Factors) meansWithin(distance float64, now time.Time) map[string]float64 {
	sums, weights := make(map[string]float64), make(map[string]float64)
	for hash, w := range f.fleet {
		w = w.decayed(now)
		service, value := f.services[hash], w.sum/w.weight
		if math.Abs(value-f.means[service]) <= distance {
			share := w.weight / (w.weight + priorWeight)
			sums[service] += share * value
			weights[service] += share
		}
	}
	means := maps.Clone(f.means)
	for service, weight := range weights {
		means[service] = sums[service] / weight
	}
	return means
}

// ownRows returns this daemon's samples.
func (f *Factors) ownRows() []FactorRow {
	now := f.o.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]FactorRow, 0, len(f.own))
	for hash, w := range f.own {
		w = w.decayed(now)
		out = append(out, FactorRow{Engine: hash, Weight: float32(w.weight), Sum: float32(w.sum)})
	}
	return out
}

// limitRows keeps the engines with the most samples, those that differ from their
// service first. It drops rows with unusable numbers.
func limitRows(rows []FactorRow) []FactorRow {
	rows = slices.DeleteFunc(rows, func(r FactorRow) bool { return !r.valid() })
	if len(rows) <= maxReportedEngines {
		return rows
	}
	rank := func(r FactorRow) float32 { return max(r.Sum, -r.Sum) + minRankShare*r.Weight }
	slices.SortFunc(rows, func(a, b FactorRow) int {
		return cmp.Or(cmp.Compare(rank(b), rank(a)), cmp.Compare(a.Engine, b.Engine))
	})
	return rows[:maxReportedEngines]
}

// minRankShare is the rank of an engine that is as fast as its service, per sample.
const minRankShare = 0.05

// atEngine returns the prefill time at the sample's engine, given that of its service.
func (s Sample) atEngine(prefill time.Duration) time.Duration {
	if s.Factor <= 0 {
		return prefill
	}
	return time.Duration(s.Factor * float64(prefill))
}

// atService returns the time that a prompt would take at an engine that is as fast as
// its service. took is the measured time and overhead the part of it that doesn't
// depend on the engine, both in milliseconds.
func (s Sample) atService(took, overhead float64) float64 {
	if s.Factor <= 0 || took <= overhead {
		return took
	}
	return overhead + (took-overhead)/s.Factor
}
