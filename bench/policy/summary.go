package policy

import (
	"fmt"
	"sync"
)

// Summary combines the results of one system on one trace over several seeds.
type Summary struct {
	Result
	Seeds int `json:"seeds"`
}

// RunSeeds runs a trace with each seed and combines the results by system. It
// also returns the results of each seed. At most parallel seeds run at a time.
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
	s.LateFirstToken += r.LateFirstToken
	s.LateBetweenTokens += r.LateBetweenTokens
	s.LateAnswer += r.LateAnswer
	s.Lost += r.Lost
	s.Changes += r.Changes
	s.lostWork += r.lostWork
	s.FirstBias += r.FirstBias
	s.FirstError += r.FirstError
	s.FinishRatio += r.FinishRatio
}

// mean divides the sums of rates by the number of seeds. Counts stay sums.
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
		s.LostPerChange = s.lostWork / float64(s.Changes)
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

// The goals: the minimum share of the bound, and the maximum number of changes in
// relation to that of the threshold rule.
const (
	minBoundShare       = 0.90
	maxChangeRatio      = 0.5
	maxChangeRatioHalen = 0.1
)

// Shortfalls describes each goal that pomelospool misses on a trace, and by how
// much. The baselines of the goals are LeastLoaded, RoundRobin and Threshold.
// The systems that use the daemons' routing aren't among them. They only
// separate the effect of routing from that of the planner.
func Shortfalls(deployment string, sums []Summary) []string {
	us := Find(sums, Pomelospool)
	thresh := Find(sums, Threshold)
	var out []string
	if us.Share < minBoundShare {
		out = append(out, fmt.Sprintf("%.1f%% of the bound, goal %.0f%%", 100*us.Share, 100*minBoundShare))
	}
	for _, name := range []string{LeastLoaded, RoundRobin, Threshold} {
		if b := Find(sums, name); us.Goodput <= b.Goodput {
			out = append(out, fmt.Sprintf("goodput %.2f, not above %.2f of %q", us.Goodput, b.Goodput, name))
		}
	}
	maxRatio := maxChangeRatio
	if deployment == "halen" {
		maxRatio = maxChangeRatioHalen
	}
	if float64(us.Changes) > maxRatio*float64(thresh.Changes) {
		out = append(out, fmt.Sprintf("%d changes, goal at most %.1f of the threshold rule's %d", us.Changes, maxRatio*float64(thresh.Changes), thresh.Changes))
	}
	return out
}

// Remarks compares pomelospool with the systems that aren't baselines of the
// goals: the daemons' routing with the threshold rule, and without role changes.
// It has an entry for each of them that reaches a higher goodput.
func Remarks(sums []Summary) []string {
	us := Find(sums, Pomelospool)
	var out []string
	for _, name := range []string{RoutingOnly, ThresholdWithRouting} {
		s := Find(sums, name)
		if s.Goodput > us.Goodput {
			out = append(out, fmt.Sprintf("%q reaches %.1f%% of the bound with %d changes, pomelospool %.1f%% with %d",
				name, 100*s.Share, s.Changes, 100*us.Share, us.Changes))
		}
	}
	return out
}
