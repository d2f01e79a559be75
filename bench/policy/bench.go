package policy

import (
	"sync"

	"github.com/pomelospool/pomelospool/process/planner"
	"github.com/pomelospool/pomelospool/request/routing"
)

// The systems that Run compares.
const (
	Pomelospool          = "pomelospool"
	LeastLoaded          = "never changed, least loaded"
	RoundRobin           = "never changed, round robin"
	Threshold            = "threshold rule, least loaded"
	RoutingOnly          = "never changed, our routing"
	ThresholdWithRouting = "threshold rule, our routing"
)

func systems(m *Model, d *Deployment) []system {
	opts := routing.Options{
		PrefillRate: m.prefillRate(), KVTransferRate: m.KVTransferRate, KVTransferDelay: duration(m.KVTransferDelay),
		BetweenTokens: BetweenTokens, RouterCount: d.RouterCount,
	}
	daemonRouting := func() routing.Router { return routing.New(opts) }
	return []system{
		{Pomelospool, daemonRouting, &productPlanner{d, make([]planner.State, len(d.Zones))}},
		{LeastLoaded, func() routing.Router { return leastLoaded(m) }, staticRoles{}},
		{RoundRobin, func() routing.Router { return roundRobin(m) }, staticRoles{}},
		{Threshold, func() routing.Router { return leastLoaded(m) }, &thresholdPlanner{m: m}},
		{RoutingOnly, daemonRouting, staticRoles{}},
		{ThresholdWithRouting, daemonRouting, &thresholdPlanner{m: m}},
	}
}

// Run runs every system on the same trace, concurrently. If length is 0, the
// trace has its default length.
func Run(name string, seed uint64, d *Deployment, m *Model, length float64) ([]Result, error) {
	tr, err := NewTrace(name, seed, len(d.Roles), len(d.Zones), m, length)
	if err != nil {
		return nil, err
	}
	all := systems(m, d)
	results := make([]Result, len(all))
	var bound float64
	var wg sync.WaitGroup
	wg.Go(func() { bound = Bound(tr, d, m) })
	for i, sys := range all {
		wg.Go(func() { results[i] = newRun(m, d, tr, sys).simulate() })
	}
	wg.Wait()
	for i := range results {
		results[i].System = all[i].name
		results[i].Bound = bound
		results[i].Share = results[i].Goodput / bound
	}
	return results, nil
}
