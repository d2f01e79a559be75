package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pomelospool/pomelospool/internal/fraction"
)

// choose picks a candidate at random, weighted by its cost in seconds.
//
// It prevents herding: many processes read the same reports, each sends to the
// target with the lowest cost, and all of them overload that target until the
// next report while others idle. So choose accounts for the unreported work
// that other processes send meanwhile. It distributes this work by
// water-filling, lowest cost first, and weights each target by its share of
// it. With fresh reports or a single process the cheapest candidate is chosen;
// the older the reports, the wider the spread. See Dahlin, Interpreting Stale
// Load Information, 1999.
func choose(s *scratch, cands []candidate, unreported float64, hash uint64) *candidate {
	level := s.waterLevel(cands, unreported)
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

// waterLevel returns the cost that the candidates reach when work seconds of
// work are distributed over them, lowest cost first.
func (s *scratch) waterLevel(cands []candidate, work float64) float64 {
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

// unreportedWork estimates the seconds of work that other processes sent to the
// targets since their reports. Engines that would take the prompt only as a
// spill are not counted, as their time goes to decoding.
func (p *Policy) unreportedWork(cands []candidate, env *environment) float64 {
	n := 0
	for i := range cands {
		if !cands[i].est.spilled {
			n++
		}
	}
	since := env.reportAge + p.opts.ReportLag.Seconds()
	return float64(n) * p.opts.Utilisation * since * p.peerShare()
}

// peerShare returns the share of all requests that other processes send.
func (p *Policy) peerShare() float64 {
	n := float64(p.routerCount.Load())
	return (n - 1) / n
}

func seedOf(r *Request) uint64 {
	if r.Seed != 0 {
		return r.Seed
	}
	return xxhash.Sum64String(r.ID)
}

// splitmix64 hashes x with one step of the SplitMix64 generator.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// decision returns c as the result of Route.
func (e *environment) decision(c *candidate) Decision {
	return Decision{
		Target:           c.target.Name,
		Score:            c.score,
		TimeToCompletion: seconds(c.est.finish),
		TimeToFirstToken: seconds(c.est.first),
		KVSource:         c.est.kvFrom,
		DecodeTarget:     c.est.decode,
		Spilled:          c.est.spilled,
	}
}
