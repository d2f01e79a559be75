package routing

import (
	"github.com/cespare/xxhash/v2"

	"github.com/pomelospool/pomelospool/internal/fraction"
)

// choose picks a candidate at random, weighted by its cost in seconds, given the
// seconds of work that other processes have sent since their reports.
func choose(s *scratch, cands []candidate, unreported float64, hash uint64) *candidate {
	s.costs = s.costs[:0]
	for i := range cands {
		s.costs = append(s.costs, cands[i].cost)
	}
	return &cands[s.chooser.Choose(s.costs, unreported, fraction.Of(hash))]
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
