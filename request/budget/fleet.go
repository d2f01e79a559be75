package budget

import (
	"sync"
	"time"
)

// Fleet bounds the sends of all daemons together, without a word between them:
// each spends a share of its own requests, and its part of what is allowed on
// top.
type Fleet struct {
	w       *windows
	daemons func() int

	mu    sync.Mutex
	ratio float64
	slack float64
}

// FleetOptions of a Fleet. All are needed.
type FleetOptions struct {
	Ratio   float64       // extra sends a request
	Slack   float64       // extra sends in a window on top, of all daemons
	Window  time.Duration // span that the bound holds for
	Daemons func() int    // most daemons that there can be now
	Now     func() time.Time
}

// SpendableShare is the part of the bound that is spent: the daemons' windows don't
// begin together, and requests may end at other daemons than they began at.
const SpendableShare = 0.7

// NewFleet returns a Fleet.
func NewFleet(o FleetOptions) *Fleet {
	return &Fleet{w: newWindows(o.Window, o.Now), daemons: o.Daemons, ratio: o.Ratio, slack: o.Slack}
}

// Set changes the bounds.
func (f *Fleet) Set(ratio, slack float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ratio, f.slack = ratio, slack
}

// Request counts a request of a caller.
func (f *Fleet) Request(service string) { f.w.request(service) }

// Take allows n sends beyond the first, or not.
func (f *Fleet) Take(service string, n int) bool {
	f.mu.Lock()
	ratio, slack := f.ratio, f.slack
	f.mu.Unlock()
	return f.w.take(service, n, func(requests float64) float64 {
		return SpendableShare * (ratio*requests + slack/float64(max(f.daemons(), 1)))
	})
}
