package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pomelospool/pomelospool/internal/fraction"
)

// choose picks among the candidates by their costs in seconds.
//
// The failure it stops is herding: many processes read the same reports, each
// sends to the target that looks best, and until the next report all of them
// overload that one while others idle. So a process reckons with the work that
// the others place meanwhile. Poured over the targets, the lowest first, that
// work would fill them up to one level; each target is chosen in proportion to
// what it takes up to that level. With fresh reports, or alone, a process takes
// the best; with stale ones it spreads just as far as the reports can have
// changed. (Dahlin, Interpreting Stale Load Information, 1999.)
func choose(s *scratch, cands []candidate, unseen float64, hash uint64) *candidate {
	level := s.fill(cands, unseen)
	total := 0.0
	best := &cands[0]
	for i := range cands {
		c := &cands[i]
		c.weight = max(level-c.cost, 0)
		total += c.weight
		if c.cost < best.cost {
			best = c
		}
	}
	x := fraction.Of(hash) * total
	for i := range cands {
		c := &cands[i]
		x -= c.weight
		if x < 0 {
			return c
		}
	}
	return best
}

// fill returns the level up to which work fills the candidates' costs.
func (s *scratch) fill(cands []candidate, work float64) float64 {
	s.levels = s.levels[:0]
	for i := range cands {
		s.levels = append(s.levels, cands[i].cost)
	}
	slices.Sort(s.levels)
	sum := 0.0
	for i, l := range s.levels {
		sum += l
		level := (sum + work) / float64(i+1)
		if i+1 == len(s.levels) || level <= s.levels[i+1] {
			return level
		}
	}
	return 0
}

// unseenWork is the seconds of work that other processes are expected to have
// given the targets since the reports. Engines that would take the prompt only
// as a spill don't count: their time goes to decoding.
func (p *Policy) unseenWork(cands []candidate, env *environment) float64 {
	n := 0
	for i := range cands {
		if !cands[i].est.spill {
			n++
		}
	}
	since := env.age + p.opts.Lag.Seconds()
	return float64(n) * p.opts.Utilisation * since * p.othersShare()
}

// othersShare is the share of all requests that other processes send.
func (p *Policy) othersShare() float64 {
	d := float64(p.deciders.Load())
	return (d - 1) / d
}

func seedOf(r *Request) uint64 {
	if r.Seed != 0 {
		return r.Seed
	}
	return xxhash.Sum64String(r.ID)
}

// mix is the step of splitmix64: a good hash of a counter or a seed.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// decision puts the choice into the form that callers of Route take.
func (e *environment) decision(c *candidate) Decision {
	return Decision{
		Target:  c.t.Name,
		Score:   c.score,
		Finish:  seconds(c.est.finish),
		First:   seconds(c.est.first),
		KVFrom:  c.est.kvFrom,
		Decode:  c.est.decode,
		Spilled: c.est.spill,
	}
}
