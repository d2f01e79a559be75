package placement

import (
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/internal/fraction"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/route"
)

// Candidate is an engine that may take the request.
type Candidate struct {
	Entry       port.TargetEntry
	Load        engines.Load
	FailureRate float64 // share of its requests that failed lately
	Slowdown    float64 // how many times longer than predicted it takes, 1: as predicted
	HasIdleConn bool    // this process has an idle connection to it
	// LocalOnly says that other daemons don't look at it: prompts don't meet there.
	LocalOnly  bool
	MaxStreams int // streams at which the longest answers of the route still end in time; 0: not known
}

// adjusted gives the time that the candidate is likely to take for one predicted.
func (c *Candidate) adjusted(d time.Duration) time.Duration {
	if c.Slowdown <= slowdownThreshold {
		return d
	}
	return time.Duration(float64(d) * c.Slowdown)
}

// slowdownThreshold is the pace up to which a target counts as any other: prediction
// alone is off by that much.
const slowdownThreshold = 2.5

// Prompt is what placement knows of a request.
type Prompt struct {
	Tokens       int
	SharedTokens int    // of these, the leading ones that other prompts may begin with too
	Zone         string // availability zone of the deciding daemon
	Seed         uint64 // of the prompt's first part: equal prompts go to one engine
	RandomSeed   uint64 // random, of the request
	// Objective is the time within which the caller wants the first event.
	Objective time.Duration
}

// Choice is where a prompt is read.
type Choice struct {
	Index         int // index of the candidate, -1: none
	MissingTokens int // prompt tokens that the engine has to read
	PredictedWait time.Duration
	PrefillTime   time.Duration // the fetch included
	FetchTime     time.Duration // of it, the fetch
	Source        int           // index of the source to fetch from, -1: none
	FetchedTokens int           // prompt tokens that are fetched
	Cost          time.Duration // by which choices are compared
	Speculative   bool          // nobody said that the source keeps more of the prompt
}

const (
	// rereadWeight is the weight of the time to read what another engine keeps
	// already, on top of the time itself: it is taken from later requests.
	rereadWeight = 0.9
	// failureCost is what a failure rate of one costs.
	failureCost objectiveShare = 1.6
	// prefillTieCost is the most that the prompt's hash adds to an engine's cost.
	prefillTieCost objectiveShare = 0.008
)

const (
	// minFetchSaving is the least time to read that a fetch is worth: it is a call
	// between two engines, and paid for.
	minFetchSaving objectiveShare = 0.02
	// fetchWeight counts the time of a fetch again, since moves are paid for.
	fetchWeight = 2
)

// Prefill chooses the engine that reads the prompt: the one that is done first,
// with what it has to read counted again in part. An engine that lacks what
// another one keeps fetches it: 13,000 tokens take 10 to 20 ms to fetch and
// 300 ms to read. sources are the engines that can be fetched from.
func Prefill(p Prompt, cands, sources []Candidate, e *route.Engine, f speed.Figures) Choice {
	o := newEvaluation(p, cands, sources, e, f)
	best := Choice{Index: -1, Source: -1}
	for i := range cands {
		if ch := o.choice(i); best.Index < 0 || ch.Cost < best.Cost {
			best = ch
		}
	}
	o.home.addSpeculativeFetch(&best)
	return best
}

// evaluation is what all choices of a prompt have in common.
type evaluation struct {
	p              Prompt
	cands, sources []Candidate
	engine         *route.Engine
	figures        speed.Figures
	holder         int // index of the source that keeps most, -1: none
	inZone         int // candidates in the daemon's zone
	home           home
}

func newEvaluation(p Prompt, cands, sources []Candidate, e *route.Engine, f speed.Figures) *evaluation {
	o := &evaluation{p: p, cands: cands, sources: sources, engine: e, figures: f, holder: largestHolder(sources), inZone: countInZone(cands, p.Zone)}
	o.home = newHome(o.p, cands, sources, o.holder, f)
	return o
}

// choice is that of candidate i.
func (o *evaluation) choice(i int) Choice {
	c := &o.cands[i]
	ch := o.p.evaluate(c, o.sources, o.holder, o.engine, o.figures)
	ch.Index = i
	if o.inZone >= minInZone && c.Entry.Zone != o.p.Zone {
		ch.Cost += otherZoneCost.duration(&o.p)
	}
	ch.Cost += time.Duration(c.FailureRate * float64(failureCost.duration(&o.p)))
	ch.Cost += time.Duration(hashFraction(o.p.Seed^engines.Hash(c.Entry.ID)) * float64(prefillTieCost.duration(&o.p)))
	ch.Cost += o.home.cost(i, o.figures)
	ch.Cost += c.connCost(&o.p)
	return ch
}

// evaluate is the choice of an engine, with the cost of its time.
func (p *Prompt) evaluate(c *Candidate, sources []Candidate, holder int, e *route.Engine, f speed.Figures) Choice {
	ch := Choice{Source: -1, PredictedWait: c.adjusted(c.Load.Wait)}
	kept := c.Load.Cached
	if holder >= 0 && worthFetch(p, f, kept, sources[holder].Load.Ready) {
		src := &sources[holder]
		ch.Source, ch.FetchedTokens = holder, src.Load.Ready-kept
		kept = src.Load.Ready
		ch.FetchTime = TransferTime(e, ch.FetchedTokens, src.Entry.Zone == c.Entry.Zone)
	}
	ch.MissingTokens = max(p.Tokens-kept, 1)
	read := c.adjusted(f.Read(p.Tokens, ch.MissingTokens))
	ch.PrefillTime = read + ch.FetchTime
	ch.Cost = ch.PredictedWait + read + time.Duration(rereadWeight*float64(read)) + fetchWeight*ch.FetchTime
	return ch
}

// newConnCost is what a new connection costs: a round trip and the target's
// acceptance take 3 ms, and connections are paid for. With it 90 daemons open
// 7,508 connections for 44,778 requests, 13,975 without.
const newConnCost objectiveShare = 0.016

func (c *Candidate) connCost(p *Prompt) time.Duration {
	if c.HasIdleConn {
		return 0
	}
	return newConnCost.duration(p)
}

const (
	// minInZone is the number of engines in the daemon's availability zone from
	// which on it keeps to them: of these it knows the others' work sooner, and
	// bytes between zones are paid for.
	minInZone = 8
	// otherZoneCost is what another zone's engine costs then.
	otherZoneCost objectiveShare = 0.02
)

func countInZone(cands []Candidate, zone string) int {
	n := 0
	for i := range cands {
		if cands[i].Entry.Zone == zone {
			n++
		}
	}
	return n
}

// worthFetch reports whether the tokens that another engine keeps on top are
// worth being fetched.
func worthFetch(p *Prompt, f speed.Figures, kept, elsewhere int) bool {
	if elsewhere <= kept {
		return false
	}
	saved := f.Read(p.Tokens, p.Tokens-kept) - f.Read(p.Tokens, p.Tokens-elsewhere)
	return saved >= minFetchSaving.duration(p)
}

// largestHolder is the index of the source that can give most of the prompt now.
func largestHolder(sources []Candidate) int {
	best := -1
	for i := range sources {
		s := &sources[i]
		if s.Load.Ready > 0 && s.FailureRate < maxSourceFailureRate && (best < 0 || s.Load.Ready > sources[best].Load.Ready) {
			best = i
		}
	}
	return best
}

// maxSourceFailureRate is the failure rate from which on nothing is fetched from an
// engine.
const maxSourceFailureRate = 0.3

// hashFraction maps a hash to [0,1).
func hashFraction(x uint64) float64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return fraction.Of(x)
}
