package budget

import "time"

const (
	shareReserve = 10 // retries that are always allowed in one window
	shareWindow  = 30 * time.Second
)

// Shares bounds the retries of each service to a share of this process's
// requests, which the service's document states.
//
// The bound is the greater of share times requests and a small reserve, not
// their sum, so that the number of attempts stays within 1+share times the
// requests.
type Shares struct{ w *windows }

// NewShares returns a Shares that reads the time from now.
func NewShares(now func() time.Time) *Shares {
	return &Shares{w: newWindows(shareWindow, now)}
}

// Request counts a request of the service.
func (s *Shares) Request(service string) { s.w.request(service) }

// Count counts a retry that is made in any case. Others have to make up for it.
func (s *Shares) Count(service string) { s.w.count(service, 1) }

// Take allows one retry of the service, or not.
func (s *Shares) Take(service string, share float64) bool {
	return s.w.take(service, 1, func(requests float64) float64 {
		return max(share*requests, shareReserve)
	})
}
