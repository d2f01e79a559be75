package policy

import (
	"sync"

	"github.com/pomelospool/pomelospool/process/planner"
	"github.com/pomelospool/pomelospool/request/routing"
)

// The systems that Run compares.
const (
	Pomelospool = "pomelospool"
	LeastLoaded = "never changed, least loaded"
	RoundRobin  = "never changed, round robin"
	Threshold   = "threshold rule, least loaded"
	RoutingOnly = "never changed, our routing"
	OurThresh   = "threshold rule, our routing"
)

func systems(m *Model, d *Deployment) []system {
	opts := routing.Options{
		PrefillRate: m.prefillRate(), KVTransferRate: m.KVMoveRate, KVTransferDelay: duration(m.KVMoveDelay),
		BetweenTokens: BetweenTokens, RouterCount: d.Deciders,
	}
	ours := func() routing.Router { return routing.New(opts) }
	return []system{
		{Pomelospool, ours, &real{d, make([]planner.State, len(d.Zones))}},
		{LeastLoaded, func() routing.Router { return leastLoaded(m) }, never{}},
		{RoundRobin, func() routing.Router { return roundRobin(m) }, never{}},
		{Threshold, func() routing.Router { return leastLoaded(m) }, &threshold{m: m}},
		{RoutingOnly, ours, never{}},
		{OurThresh, ours, &threshold{m: m}},
	}
}

// Run puts every system through one trace, side by side. A length of 0 is the trace's own.
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
		wg.Go(func() { results[i] = newRun(m, d, tr, sys).do() })
	}
	wg.Wait()
	for i := range results {
		results[i].System = all[i].name
		results[i].Bound = bound
		results[i].Share = results[i].Goodput / bound
	}
	return results, nil
}
