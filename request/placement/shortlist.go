package placement

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/version/route"
)

const (
	// drawn is the number of engines that are drawn at random, of which the
	// cheaper ones come onto the shortlist.
	drawn = 12
	// fromDrawn is how many of them do.
	fromDrawn = 5
)

// Shortlist chooses a few engines whose queues are worth being asked for: the
// best one by what is known, the best one were all idle, and the better ones of
// some that are drawn at random.
//
// The load that it answers: hundreds of daemons decide on the same late news.
// All choose the engine that was idle then, and none the one that has become
// idle since. With a random engine among those that are asked for, what is
// chosen differs from daemon to daemon, and a queue that is known right now
// decides.
func Shortlist(p Prompt, cands, sources []Candidate, e *route.Engine, f speed.Estimates) []Choice {
	if len(cands) == 0 {
		return nil
	}
	o := newOutlook(p, cands, sources, e, f)
	all := make([]Choice, len(cands))
	for i := range cands {
		all[i] = o.choice(i)
	}
	best, idle := all[0], all[0]
	for i := range all {
		if all[i].Cost < best.Cost {
			best = all[i]
		}
		if all[i].Cost-all[i].Wait < idle.Cost-idle.Wait {
			idle = all[i]
		}
	}
	list := []Choice{best}
	add := func(ch Choice) {
		if !slices.ContainsFunc(list, func(o Choice) bool { return o.At == ch.At }) {
			list = append(list, ch)
		}
	}
	add(idle)
	luck := rand.New(rand.NewPCG(p.Draw, p.Seed))
	lot := make([]Choice, 0, drawn)
	warm := connected(cands)
	for range min(drawn, len(cands)) {
		if len(warm) < drawn {
			lot = append(lot, all[luck.IntN(len(all))])
		} else {
			lot = append(lot, all[warm[luck.IntN(len(warm))]])
		}
	}
	slices.SortFunc(lot, func(a, b Choice) int { return int(a.Cost - a.Wait - b.Cost + b.Wait) })
	for _, ch := range lot[:min(fromDrawn, len(lot))] {
		add(ch)
	}
	for i := range list {
		o.home.guess(&list[i])
	}
	return list
}

// connected are the candidates that the daemon has connections to. They are drawn
// from if they are enough to choose among, and differ from daemon to daemon as
// much as others do. Of 295 daemons each sends three prompts a second
// to 240 engines: drawn from all of them, three in four needed a new connection,
// 14,700 on a day of 36 s, which are paid for and take 3 ms.
func connected(cands []Candidate) []int {
	var warm []int
	for i := range cands {
		if cands[i].Warm {
			warm = append(warm, i)
		}
	}
	return warm
}

// Settle chooses from a shortlist, with waits that were asked for; one below
// zero isn't known.
func Settle(list []Choice, cands []Candidate, waits []time.Duration) Choice {
	best := Choice{At: -1, Fetch: -1}
	for i, ch := range list {
		if waits[i] >= 0 {
			wait := cands[ch.At].slower(waits[i])
			ch.Cost += wait - ch.Wait
			ch.Wait = wait
		}
		if best.At < 0 || ch.Cost < best.Cost {
			best = ch
		}
	}
	return best
}
