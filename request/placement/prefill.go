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
	Entry port.TargetEntry
	Load  engines.Load
	Rate  float64 // share of its requests that failed lately
	Pace  float64 // how many times longer than predicted it takes, 1: as predicted
	Warm  bool    // this process has an idle connection to it
	// Private says that other daemons don't look at it: prompts don't meet there.
	Private bool
	Most    int // streams at which the longest answers of the route still end in time; 0: not known
}

// slower gives the time that the candidate is likely to take for one predicted.
func (c *Candidate) slower(d time.Duration) time.Duration {
	if c.Pace <= slowFrom {
		return d
	}
	return time.Duration(float64(d) * c.Pace)
}

// slowFrom is the pace up to which a target counts as any other: prediction
// alone is off by that much.
const slowFrom = 2.5

// Prompt is what placement knows of a request.
type Prompt struct {
	Tokens int
	Shared int    // of these, the leading ones that other prompts may begin with too
	Zone   string // availability zone of the deciding daemon
	Seed   uint64 // of the prompt's first part: equal prompts go to one engine
	Draw   uint64 // random, of the request
	// Objective is the time within which the caller wants the first event.
	Objective time.Duration
}

// Choice is where a prompt is read.
type Choice struct {
	At      int // index of the candidate, -1: none
	Missing int // prompt tokens that the engine has to read
	Wait    time.Duration
	Read    time.Duration // the fetch included
	Moved   time.Duration // of it, the fetch
	Fetch   int           // index of the source to fetch from, -1: none
	Fetched int           // prompt tokens that are fetched
	Cost    time.Duration // by which choices are compared
	Guessed bool          // nobody said that the source keeps more of the prompt
}

const (
	// readAgain is the weight of the time to read what another engine keeps
	// already, on top of the time itself: it is taken from later requests.
	readAgain = 0.9
	// failCost is what a failure rate of one costs.
	failCost share = 1.6
	// tieCost is the most that the prompt's hash adds to an engine's cost.
	tieCost share = 0.008
)

const (
	// leastFetch is the least time to read that a fetch is worth: it is a call
	// between two engines, and paid for.
	leastFetch share = 0.02
	// fetchWeight counts the time of a fetch again, since moves are paid for.
	fetchWeight = 2
)

// Prefill chooses the engine that reads the prompt: the one that is done first,
// with what it has to read counted again in part. An engine that lacks what
// another one keeps fetches it: 13,000 tokens take 10 to 20 ms to fetch and
// 300 ms to read. sources are the engines that can be fetched from.
func Prefill(p Prompt, cands, sources []Candidate, e *route.Engine, f speed.Estimates) Choice {
	o := newOutlook(p, cands, sources, e, f)
	best := Choice{At: -1, Fetch: -1}
	for i := range cands {
		if ch := o.choice(i); best.At < 0 || ch.Cost < best.Cost {
			best = ch
		}
	}
	o.home.guess(&best)
	return best
}

// outlook is what all choices of a prompt have in common.
type outlook struct {
	p              Prompt
	cands, sources []Candidate
	e              *route.Engine
	f              speed.Estimates
	holder         int // index of the source that keeps most, -1: none
	near           int // candidates in the daemon's zone
	home           home
}

func newOutlook(p Prompt, cands, sources []Candidate, e *route.Engine, f speed.Estimates) *outlook {
	o := &outlook{p: p, cands: cands, sources: sources, e: e, f: f, holder: holdsMost(sources), near: inZone(cands, p.Zone)}
	o.home = newHome(o.p, cands, sources, o.holder, f)
	return o
}

// choice is that of candidate i.
func (o *outlook) choice(i int) Choice {
	c := &o.cands[i]
	ch := o.p.read(c, o.sources, o.holder, o.e, o.f)
	ch.At = i
	if o.near >= manyNear && c.Entry.Zone != o.p.Zone {
		ch.Cost += farCost.of(&o.p)
	}
	ch.Cost += time.Duration(c.Rate * float64(failCost.of(&o.p)))
	ch.Cost += time.Duration(unit(o.p.Seed^engines.Hash(c.Entry.ID)) * float64(tieCost.of(&o.p)))
	ch.Cost += o.home.cost(i, o.f)
	ch.Cost += c.dial(&o.p)
	return ch
}

// read is the choice of an engine, with the cost of its time.
func (p *Prompt) read(c *Candidate, sources []Candidate, holder int, e *route.Engine, f speed.Estimates) Choice {
	ch := Choice{Fetch: -1, Wait: c.slower(c.Load.Wait)}
	kept := c.Load.Cached
	if holder >= 0 && worthFetch(p, f, kept, sources[holder].Load.Ready) {
		src := &sources[holder]
		ch.Fetch, ch.Fetched = holder, src.Load.Ready-kept
		kept = src.Load.Ready
		ch.Moved = Move(e, ch.Fetched, src.Entry.Zone == c.Entry.Zone)
	}
	ch.Missing = max(p.Tokens-kept, 1)
	read := c.slower(f.PrefillTime(p.Tokens, ch.Missing))
	ch.Read = read + ch.Moved
	ch.Cost = ch.Wait + read + time.Duration(readAgain*float64(read)) + fetchWeight*ch.Moved
	return ch
}

// dialCost is what a new connection costs: a round trip and the target's
// acceptance take 3 ms, and connections are paid for. With it 90 daemons open
// 7,508 connections for 44,778 requests, 13,975 without.
const dialCost share = 0.016

func (c *Candidate) dial(p *Prompt) time.Duration {
	if c.Warm {
		return 0
	}
	return dialCost.of(p)
}

const (
	// manyNear is the number of engines in the daemon's availability zone from
	// which on it keeps to them: of these it knows the others' work sooner, and
	// bytes between zones are paid for.
	manyNear = 8
	// farCost is what another zone's engine costs then.
	farCost share = 0.02
)

func inZone(cands []Candidate, zone string) int {
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
func worthFetch(p *Prompt, f speed.Estimates, kept, elsewhere int) bool {
	if elsewhere <= kept {
		return false
	}
	saved := f.PrefillTime(p.Tokens, p.Tokens-kept) - f.PrefillTime(p.Tokens, p.Tokens-elsewhere)
	return saved >= leastFetch.of(p)
}

// holdsMost is the index of the source that can give most of the prompt now.
func holdsMost(sources []Candidate) int {
	best := -1
	for i := range sources {
		s := &sources[i]
		if s.Load.Ready > 0 && s.Rate < soundRate && (best < 0 || s.Load.Ready > sources[best].Load.Ready) {
			best = i
		}
	}
	return best
}

// soundRate is the failure rate from which on nothing is fetched from an
// engine.
const soundRate = 0.3

// unit maps a hash to [0,1).
func unit(x uint64) float64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return fraction.Of(x)
}
