package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/version/route"
)

const (
	// randomDraws is the number of engines chosen at random.
	randomDraws = 12
	// maxFromDraws is the number of those, by lowest cost, that are added
	// to the shortlist.
	maxFromDraws = 5
)

// Shortlist chooses a few engines whose queues are worth a query: the best
// one by the known load, the best one if all were idle, and the better ones
// of some chosen at random.
//
// Without random engines, hundreds of daemons decide on the same outdated
// load. All choose the engine that was idle when it was reported, and none
// chooses one that became idle since. Random engines differ from daemon to
// daemon, and the queried queues then decide.
func Shortlist(p Prompt, cands, sources []Candidate, e *route.Engine, est speed.Estimates) []Choice {
	if len(cands) == 0 {
		return nil
	}
	ev := newEvaluation(p, cands, sources, e, est)
	all := make([]Choice, len(cands))
	for i := range cands {
		all[i] = ev.choice(i)
	}
	best, idle := all[0], all[0]
	for i := range all {
		if all[i].Cost < best.Cost {
			best = all[i]
		}
		if all[i].Cost-all[i].PredictedWait < idle.Cost-idle.PredictedWait {
			idle = all[i]
		}
	}
	list := []Choice{best}
	add := func(ch Choice) {
		if !slices.ContainsFunc(list, func(c Choice) bool { return c.Index == ch.Index }) {
			list = append(list, ch)
		}
	}
	add(idle)
	rnd := rand.New(rand.NewPCG(p.RandomSeed, p.Seed))
	sample := make([]Choice, 0, randomDraws)
	conns := connected(cands)
	for range min(randomDraws, len(cands)) {
		if len(conns) < randomDraws {
			sample = append(sample, all[rnd.IntN(len(all))])
		} else {
			sample = append(sample, all[conns[rnd.IntN(len(conns))]])
		}
	}
	slices.SortFunc(sample, func(a, b Choice) int { return int(a.Cost - a.PredictedWait - b.Cost + b.PredictedWait) })
	for _, ch := range sample[:min(maxFromDraws, len(sample))] {
		add(ch)
	}
	for i := range list {
		ev.home.addSpeculativeFetch(&list[i])
	}
	return list
}

// connected returns the indexes of the candidates that the daemon has idle
// connections to. If there are enough of them, the random engines are chosen
// among them; they differ from daemon to daemon as much as others do. When
// 295 daemons that send three prompts a second each chose among all of 240
// engines, three in four prompts needed a new connection: 14,700 in 36 s,
// which are billed and take 3 ms each.
func connected(cands []Candidate) []int {
	var conns []int
	for i := range cands {
		if cands[i].HasIdleConn {
			conns = append(conns, i)
		}
	}
	return conns
}

// SelectByWait chooses from a shortlist by queried waits. A negative wait is
// unknown; the predicted one is used instead.
func SelectByWait(list []Choice, cands []Candidate, waits []time.Duration) Choice {
	best := Choice{Index: -1, Source: -1}
	for i, ch := range list {
		if waits[i] >= 0 {
			ch.setWait(cands[ch.Index].adjusted(waits[i]))
		}
		if best.Index < 0 || ch.Cost < best.Cost {
			best = ch
		}
	}
	return best
}
