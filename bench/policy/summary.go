package policy

import (
	"fmt"
	"sync"
)

// Summary is one system on one trace, summed over seeds.
type Summary struct {
	Result
	Seeds int `json:"seeds"`
}

// RunSeeds runs a trace for each seed and sums the results by system. It runs
// at most parallel seeds at once.
func RunSeeds(name string, seeds []uint64, d *Deployment, m *Model, length float64, parallel int) ([]Summary, [][]Result, error) {
	all := make([][]Result, len(seeds))
	errs := make([]error, len(seeds))
	slots := make(chan struct{}, max(parallel, 1))
	var wg sync.WaitGroup
	for i, seed := range seeds {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			all[i], errs[i] = Run(name, seed, d, m, length)
		})
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, nil, err
		}
	}
	return sum(all), all, nil
}

func sum(all [][]Result) []Summary {
	var out []Summary
	for _, results := range all {
		if out == nil {
			out = make([]Summary, len(results))
		}
		for i := range results {
			out[i].add(&results[i])
		}
	}
	for i := range out {
		out[i].mean()
	}
	return out
}

func (s *Summary) add(r *Result) {
	s.Seeds++
	s.System, s.Trace = r.System, r.Trace
	s.Goodput += r.Goodput
	s.Bound += r.Bound
	s.Tokens += r.Tokens
	s.Offered += r.Offered
	s.OnTime += r.OnTime
	s.Refused += r.Refused
	s.LateFirst += r.LateFirst
	s.LateBetween += r.LateBetween
	s.LateAnswer += r.LateAnswer
	s.Lost += r.Lost
	s.Changes += r.Changes
	s.lost += r.lost
	s.FirstBias += r.FirstBias
	s.FirstError += r.FirstError
	s.FinishRatio += r.FinishRatio
}

// mean turns rates into means; counts stay sums over the seeds.
func (s *Summary) mean() {
	n := float64(s.Seeds)
	s.Goodput /= n
	s.Bound /= n
	s.Tokens /= n
	s.FirstBias /= n
	s.FirstError /= n
	s.FinishRatio /= n
	s.Share = s.Goodput / s.Bound
	if s.Changes > 0 {
		s.LostEach = s.lost / float64(s.Changes)
	}
}

// Find returns the summary of a system.
func Find(sums []Summary, system string) Summary {
	for _, s := range sums {
		if s.System == system {
			return s
		}
	}
	return Summary{}
}

// Goals of issue 6.
const (
	goalShare       = 0.90
	changesOfThresh = 0.5
	changesHalen    = 0.1
)

// Shortfalls says where pomelospool misses the goals on a trace, and by how
// much; none when it meets them all. The baselines are those of the issue;
// rows with our own routing are there to tell the two levers apart.
func Shortfalls(deployment string, sums []Summary) []string {
	us := Find(sums, Pomelospool)
	thresh := Find(sums, Threshold)
	var out []string
	if us.Share < goalShare {
		out = append(out, fmt.Sprintf("%.1f%% of the bound, goal %.0f%%", 100*us.Share, 100*goalShare))
	}
	for _, name := range []string{LeastLoaded, RoundRobin, Threshold} {
		if b := Find(sums, name); us.Goodput <= b.Goodput {
			out = append(out, fmt.Sprintf("goodput %.2f, not above %.2f of %q", us.Goodput, b.Goodput, name))
		}
	}
	most := changesOfThresh
	if deployment == "halen" {
		most = changesHalen
	}
	if float64(us.Changes) > most*float64(thresh.Changes) {
		out = append(out, fmt.Sprintf("%d changes, goal at most %.1f of the threshold rule's %d", us.Changes, most*float64(thresh.Changes), thresh.Changes))
	}
	return out
}

// Remarks compares with the rows that are no baselines of the goals: our own
// routing under the threshold rule, and without any role change.
func Remarks(sums []Summary) []string {
	us := Find(sums, Pomelospool)
	var out []string
	for _, name := range []string{RoutingOnly, OurThresh} {
		s := Find(sums, name)
		if s.Goodput > us.Goodput {
			out = append(out, fmt.Sprintf("%q reaches %.1f%% of the bound with %d changes, pomelospool %.1f%% with %d",
				name, 100*s.Share, s.Changes, 100*us.Share, us.Changes))
		}
	}
	return out
}
