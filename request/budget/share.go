package budget

import "time"

const (
	shareReserve = 10 // retries allowed in each window whatever the number of requests
	shareWindow  = 30 * time.Second
)

// Shares limits the retries of each service to a share of this process's
// requests. The service's document states the share.
//
// The limit is the greater of that share and a small reserve, not their sum,
// so that the number of attempts stays within 1+share times the requests.
type Shares struct{ w *windows }

// NewShares returns a Shares.
func NewShares(clock Clock) *Shares {
	return &Shares{w: newWindows(shareWindow, clock, (*window).requests)}
}

// Request counts a request of the service.
func (s *Shares) Request(service string) { s.w.request(service) }

// Count counts a retry that is made without asking. It reduces what Take
// allows.
func (s *Shares) Count(service string) { s.w.count(service, 1) }

// Take reports whether one retry of the service is allowed and counts it if
// so.
func (s *Shares) Take(service string, share float64) bool {
	return s.w.take(service, 1, func(requests float64) float64 {
		return max(share*requests, shareReserve)
	}, &State{})
}
