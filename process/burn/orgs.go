package burn

import (
	"slices"
	"sort"
	"time"
)

// The number of organisations can be large (47,000 in the target), so only
// those that matter most have counts of their own; all the others are one
// group. Every period the choice is made anew from the requests of the last.
const (
	maxOrgs     = 16
	maxRanked   = 1024 // organisations that are ranked within one period
	rankPeriod  = 10 * time.Minute
	badWeight   = 20 // a bad request counts as much as this many good ones
	otherOrgs   = "(others)"
	unnamedOrgs = "(none)"
)

// orgs measures the organisations of one service.
type orgs struct {
	top    map[string]*group
	others *group
	rank   map[string]int // requests of this period, bad ones weighted
	period int64          // number of the period since 1970
}

// group is one organisation, or all the others.
type group struct {
	series *series
	answer *recorder
}

func newGroup() *group { return &group{series: newSeries(), answer: newRecorder(orgScale)} }

func newOrgs() *orgs {
	return &orgs{top: make(map[string]*group), others: newGroup(), rank: make(map[string]int)}
}

func (o *orgs) add(now time.Time, x Sample, v verdict) {
	name := x.Org
	if name == "" {
		name = unnamedOrgs
	}
	o.turn(now)
	o.count(name, v)
	g := o.top[name]
	if g == nil && len(o.top) < maxOrgs {
		g = newGroup()
		o.top[name] = g
	}
	if g == nil {
		g = o.others
	}
	g.series.add(now, v, x.Code)
	if v.counted {
		g.answer.record(now, x.Total)
	}
}

func (o *orgs) count(name string, v verdict) {
	if _, known := o.rank[name]; !known && len(o.rank) >= maxRanked {
		return
	}
	o.rank[name]++
	if v.grades[WholeAnswer] == bad {
		o.rank[name] += badWeight
	}
}

// turn gives, at the end of a period, a group to each of the organisations with
// the highest rank. Where there is no room, those that fell behind make it:
// their counts go to the others, so that the sum over all stays exact.
func (o *orgs) turn(now time.Time) {
	period := now.UnixNano() / int64(rankPeriod)
	if period <= o.period {
		return
	}
	best := o.best()
	behind := o.behind(best)
	for _, name := range best {
		if o.top[name] != nil {
			continue
		}
		if len(o.top) >= maxOrgs {
			o.drop(behind[0])
			behind = behind[1:]
		}
		o.top[name] = newGroup()
	}
	clear(o.rank)
	o.period = period
}

func (o *orgs) drop(name string) {
	g := o.top[name]
	o.others.series.merge(g.series)
	o.others.answer.merge(g.answer)
	delete(o.top, name)
}

// best returns the organisations with the highest rank, at most maxOrgs.
func (o *orgs) best() []string {
	names := make([]string, 0, len(o.rank))
	for name := range o.rank {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := names[i], names[j]
		if o.rank[a] != o.rank[b] {
			return o.rank[a] > o.rank[b]
		}
		return a < b
	})
	return names[:min(len(names), maxOrgs)]
}

// behind returns the organisations with a group that aren't among the best.
func (o *orgs) behind(best []string) []string {
	var names []string
	for name := range o.top {
		if !slices.Contains(best, name) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

func (o *orgs) report(now time.Time) []Org {
	out := make([]Org, 0, len(o.top)+1)
	for name, g := range o.top {
		out = append(out, Org{Name: name, Windows: g.series.windows(now), Answer: g.answer.export(now)})
	}
	out = append(out, Org{Name: otherOrgs, Windows: o.others.series.windows(now), Answer: o.others.answer.export(now)})
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
