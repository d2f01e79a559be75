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
	FailureRate float64 // fraction of its recent requests that failed
	Slowdown    float64 // ratio of measured to predicted time
	Speed       float64 // ratio of its prefill time to that of its service, see speed.Factors; 0: unknown
	HasIdleConn bool    // this process has an idle connection to it
	// LocalOnly means that other daemons may not consider the engine, so it
	// can't be the home of a prompt.
	LocalOnly bool
	// Reserved means that the engine is reserved for shorter prompts.
	Reserved   bool
	MaxStreams int // number of streams up to which the longest answers of the route end in time; 0: unknown
}

// adjusted scales a predicted time by the candidate's slowdown.
func (c *Candidate) adjusted(d time.Duration) time.Duration {
	if c.Slowdown <= slowdownThreshold {
		return d
	}
	return time.Duration(float64(d) * c.Slowdown)
}

// slowdownThreshold is the slowdown up to which an engine counts as normal,
// since predictions are inaccurate by that factor.
const slowdownThreshold = 2.5

// Prompt describes a request for placement.
type Prompt struct {
	Tokens       int
	SharedTokens int    // leading tokens that other prompts may share
	Zone         string // availability zone of the deciding daemon
	Seed         uint64 // id of the shared prefix; prompts with equal seeds go to the same engine
	RandomSeed   uint64 // random number of the request
	// Objective is the time within which the caller wants the first event.
	Objective time.Duration
	// Unreported is the work that other daemons have sent since their reports.
	Unreported Unreported
	// AvoidLate adds a cost to engines at which the prompt would miss its
	// objective.
	AvoidLate bool
}

// Choice is an engine for the prefill and its prediction.
type Choice struct {
	Index         int // index of the candidate, -1: none
	MissingTokens int // prompt tokens that the engine has to compute
	PredictedWait time.Duration
	PrefillTime   time.Duration // includes FetchTime
	FetchTime     time.Duration // time to fetch KV cache from the source
	Source        int           // index of the source to fetch from, -1: none
	FetchedTokens int           // prompt tokens whose KV cache is fetched
	Cost          time.Duration // choices with a lower cost are better
	Speculative   bool          // the source isn't known to hold more of the prompt
	NotCheapest   bool          // chosen over a cheaper one because of unreported work
	lateness      lateness
}

const (
	// recomputeWeight is the additional weight of the prefill time: an
	// engine that computes more delays later requests.
	recomputeWeight = 0.9
	// failureCost is the cost of a failure rate of 1.
	failureCost objectiveShare = 1.6
	// prefillTieCost is the largest cost that the prompt's hash adds to an
	// engine.
	prefillTieCost objectiveShare = 0.008
)

const (
	// minFetchSaving is the least prefill time that a fetch must save,
	// since a fetch is a call between two engines and billed.
	minFetchSaving objectiveShare = 0.02
	// fetchWeight is the weight of the fetch time, which also counts
	// because transfers are billed.
	fetchWeight = 2
)

// Prefill chooses the engine for the prefill: the one that finishes first,
// with an extra weight on the time that it computes. An engine fetches KV
// cache that it lacks and another engine holds: 13,000 tokens take 10 to 20
// ms to fetch and 300 ms to compute. sources are the engines that can be
// fetched from.
func Prefill(p Prompt, cands, sources []Candidate, e *route.Engine, est speed.Estimates) Choice {
	ev := newEvaluation(p, cands, sources, e, est)
	best := Choice{Index: -1, Source: -1}
	for i := range cands {
		if ch := ev.choice(i); best.Index < 0 || ch.Cost < best.Cost {
			best = ch
		}
	}
	if p.Unreported.prefillStale() && len(cands) > 0 {
		best = ev.spread()
	}
	ev.home.addSpeculativeFetch(&best)
	return best
}

// evaluation holds what is common to all choices for a prompt.
type evaluation struct {
	p              Prompt
	cands, sources []Candidate
	engine         *route.Engine
	estimates      speed.Estimates
	holder         int // index of the source that holds the most tokens, -1: none
	inZone         int // number of candidates in the daemon's zone
	home           home
}

func newEvaluation(p Prompt, cands, sources []Candidate, e *route.Engine, est speed.Estimates) *evaluation {
	ev := &evaluation{p: p, cands: cands, sources: sources, engine: e, estimates: est, holder: largestHolder(sources), inZone: countInZone(cands, p.Zone)}
	ev.home = newHome(ev.p, cands, sources, ev.holder, est)
	return ev
}

// choice returns the choice of candidate i with its total cost.
func (ev *evaluation) choice(i int) Choice {
	c := &ev.cands[i]
	ch := ev.p.evaluate(c, ev.sources, ev.holder, ev.engine, ev.estimates)
	ch.Index = i
	if ev.inZone >= minInZone && c.Entry.Zone != ev.p.Zone {
		ch.Cost += otherZoneCost.duration(&ev.p)
	}
	ch.Cost += time.Duration(c.FailureRate * float64(failureCost.duration(&ev.p)))
	ch.Cost += time.Duration(hashFraction(ev.p.tieSeed(ev.p.Unreported.prefillStale() && canFetch(ev.engine))^engines.Hash(c.Entry.ID)) * float64(prefillTieCost.duration(&ev.p)))
	ch.Cost += ev.home.cost(i, ev.estimates)
	ch.Cost += c.connCost(&ev.p) + c.reservedCost(&ev.p)
	ch.addLateness(&ev.p, c, ev.estimates)
	return ch
}

// evaluate returns the choice of an engine with the cost of its queue,
// prefill and fetch.
func (p *Prompt) evaluate(c *Candidate, sources []Candidate, holder int, e *route.Engine, est speed.Estimates) Choice {
	ch := Choice{Source: -1, PredictedWait: c.adjusted(c.Load.Wait)}
	cached := c.Load.Cached
	if holder >= 0 && worthFetch(p, est, cached, sources[holder].Load.Ready) {
		src := &sources[holder]
		ch.Source, ch.FetchedTokens = holder, src.Load.Ready-cached
		cached = src.Load.Ready
		ch.FetchTime = TransferTime(e, ch.FetchedTokens, src.Entry.Zone == c.Entry.Zone)
	}
	ch.MissingTokens = max(p.Tokens-cached, 1)
	prefill := c.prefillTime(p, ch.MissingTokens, est)
	ch.PrefillTime = prefill + ch.FetchTime
	ch.Cost = ch.PredictedWait + prefill + time.Duration(recomputeWeight*float64(prefill)) + fetchWeight*ch.FetchTime
	return ch
}

// newConnCost is the cost of a new connection. A round trip and the target's
// acceptance take 3 ms, and connections are billed. With this cost 90
// daemons opened 7,508 connections for 44,778 requests, against 13,975
// without it.
const newConnCost objectiveShare = 0.016

func (c *Candidate) connCost(p *Prompt) time.Duration {
	if c.HasIdleConn {
		return 0
	}
	return newConnCost.duration(p)
}

const (
	// minInZone is the number of candidates in the daemon's availability
	// zone from which on the daemon prefers them. It learns of load in its
	// own zone sooner, and transfers between zones are billed.
	minInZone = 8
	// otherZoneCost is the cost of an engine in another zone in that case.
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

// worthFetch reports whether fetching the tokens that another engine holds
// beyond the cached ones saves enough prefill time.
func worthFetch(p *Prompt, est speed.Estimates, cached, elsewhere int) bool {
	if elsewhere <= cached {
		return false
	}
	saved := est.PrefillTime(p.Tokens, p.Tokens-cached) - est.PrefillTime(p.Tokens, p.Tokens-elsewhere)
	return saved >= minFetchSaving.duration(p)
}

// largestHolder returns the index of the reliable source that can provide
// the most tokens of the prompt now, or -1.
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

// maxSourceFailureRate is the failure rate from which on an engine is no
// source for fetches.
const maxSourceFailureRate = 0.3

// hashFraction maps a hash to [0,1).
func hashFraction(x uint64) float64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return fraction.Of(x)
}
