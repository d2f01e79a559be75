package budget

import (
	"sync"
	"time"
)

// Fleet limits the extra sends of all daemons together without communication
// between them. Each daemon may spend a share of its own requests and its
// part of a common allowance.
type Fleet struct {
	w       *windows
	daemons func() int

	mu    sync.Mutex
	ratio float64
	slack float64
}

// FleetOptions configures a Fleet. All fields are required.
type FleetOptions struct {
	Ratio   float64       // extra sends for each request
	Slack   float64       // additional extra sends of all daemons in a window
	Window  time.Duration // time over which the limit holds
	Daemons func() int    // upper bound of the present number of daemons
	Now     func() time.Time
}

// SpendableShare is the fraction of the limit that daemons spend. The rest
// is a margin, since windows of daemons aren't aligned and a request may end
// at another daemon than it began at.
const SpendableShare = 0.7

func NewFleet(o FleetOptions) *Fleet {
	return &Fleet{w: newWindows(o.Window, o.Now), daemons: o.Daemons, ratio: o.Ratio, slack: o.Slack}
}

// Set changes the ratio and the slack.
func (f *Fleet) Set(ratio, slack float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ratio, f.slack = ratio, slack
}

// Request counts a request of the service.
func (f *Fleet) Request(service string) { f.w.request(service) }

// Take reports whether n extra sends are allowed and counts them if so.
func (f *Fleet) Take(service string, n int) bool {
	f.mu.Lock()
	ratio, slack := f.ratio, f.slack
	f.mu.Unlock()
	return f.w.take(service, n, func(requests float64) float64 {
		return SpendableShare * (ratio*requests + slack/float64(max(f.daemons(), 1)))
	})
}
