// Package balance chooses among candidates whose reported costs are outdated.
// It is pure: it uses no clock and does no I/O.
package balance

import "slices"

// Chooser chooses among candidates. Its zero value is ready for use. It keeps
// its buffer between calls and isn't safe for concurrent use.
type Chooser struct {
	levels []float64
}

// Choose picks a candidate at random, weighted by its cost. It returns its
// index, or -1 if there are no candidates.
//
// It prevents herding: many processes read the same reports, each sends to the
// target with the lowest cost, and all of them overload that target until the
// next report while others idle. So Choose accounts for the unreported work
// that other processes send meanwhile. It distributes this work by
// water-filling, lowest cost first, and weights each target by its share of
// it. With fresh reports or a single process the cheapest candidate is chosen;
// the older the reports, the wider the spread. See Dahlin, Interpreting Stale
// Load Information, 1999.
//
// unreported is in the unit of the costs, in which one unit of work raises
// the cost of one candidate by 1. random is in [0,1).
func (c *Chooser) Choose(costs []float64, unreported, random float64) int {
	if len(costs) == 0 {
		return -1
	}
	level := c.Level(costs, unreported)
	total := 0.0
	best := 0
	for i, cost := range costs {
		total += max(level-cost, 0)
		if cost < costs[best] {
			best = i
		}
	}
	x := random * total
	for i, cost := range costs {
		x -= max(level-cost, 0)
		if x < 0 {
			return i
		}
	}
	return best
}

// Level returns the cost that the candidates reach when work is distributed
// over them, lowest cost first. It returns 0 if there are no candidates.
func (c *Chooser) Level(costs []float64, work float64) float64 {
	c.levels = append(c.levels[:0], costs...)
	slices.Sort(c.levels)
	sum := 0.0
	for i, l := range c.levels {
		sum += l
		level := (sum + work) / float64(i+1)
		if i+1 == len(c.levels) || level <= c.levels[i+1] {
			return level
		}
	}
	return 0
}

// ChoosePreferred is like Choose, but takes the cheapest of the preferred
// candidates if its cost isn't above the level that the others reach with the
// unreported work.
//
// If each process prefers a few candidates of its own, it knows most of the
// work at them without a report, and the arrivals at each candidate vary less
// than those of a random choice.
func (c *Chooser) ChoosePreferred(costs []float64, preferred []int, unreported, random float64) int {
	best := -1
	for _, i := range preferred {
		if best < 0 || costs[i] < costs[best] {
			best = i
		}
	}
	if best >= 0 && costs[best] <= c.Level(costs, unreported) {
		return best
	}
	return c.Choose(costs, unreported, random)
}
