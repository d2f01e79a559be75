package burn

import (
	"slices"
	"sort"
	"time"
)

// There can be many organisations (47,000 at the planned scale), so only the
// highest-ranked ones have counts of their own. All others share one group. The
// ranking is renewed each period from the requests of the last one.
const (
	maxOrgs     = 16
	maxRanked   = 1024 // organisations ranked within one period
	rankPeriod  = 10 * time.Minute
	badWeight   = 20 // additional weight of a bad request in the ranking
	otherOrgs   = "(others)"
	unnamedOrgs = "(none)"
)

// orgs holds the measurements of one service by organisation.
type orgs struct {
	top    map[string]*group
	others *group
	rank   map[string]int // weighted requests in this period, by organisation
	period int64          // number of the period, counted from the Unix epoch
}

// group holds the measurements of one organisation, or of all others together.
type group struct {
	series *series
	answer *recorder
}

func newGroup() *group { return &group{series: newSeries(), answer: newRecorder(orgScale)} }

func newOrgs() *orgs {
	return &orgs{top: make(map[string]*group), others: newGroup(), rank: make(map[string]int)}
}

func (o *orgs) add(now time.Time, x Sample, v grading) {
	name := x.Org
	if name == "" {
		name = unnamedOrgs
	}
	o.rotate(now)
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

func (o *orgs) count(name string, v grading) {
	if _, known := o.rank[name]; !known && len(o.rank) >= maxRanked {
		return
	}
	o.rank[name]++
	if v.grades[WholeAnswer] == bad {
		o.rank[name] += badWeight
	}
}

// rotate gives a group to each of the highest-ranked organisations at the end
// of a period. If there is no room, organisations no longer among them lose
// their group. Their counts move to the others, so that the sum stays exact.
func (o *orgs) rotate(now time.Time) {
	period := now.UnixNano() / int64(rankPeriod)
	if period <= o.period {
		return
	}
	best := o.highestRanked()
	demoted := o.demoted(best)
	for _, name := range best {
		if o.top[name] != nil {
			continue
		}
		if len(o.top) >= maxOrgs {
			o.mergeIntoOthers(demoted[0])
			demoted = demoted[1:]
		}
		o.top[name] = newGroup()
	}
	clear(o.rank)
	o.period = period
}

func (o *orgs) mergeIntoOthers(name string) {
	g := o.top[name]
	o.others.series.merge(g.series)
	o.others.answer.merge(g.answer)
	delete(o.top, name)
}

// highestRanked returns up to maxOrgs organisations with the highest rank.
func (o *orgs) highestRanked() []string {
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

// demoted returns the organisations that have a group but aren't in best.
func (o *orgs) demoted(best []string) []string {
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
