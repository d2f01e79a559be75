package admission

import (
	"time"

	"github.com/pomelospool/pomelospool/request/fairshare"
)

const rateWindow = 10 * time.Second // completions are averaged over this time

// service is the state of one service in this process.
type service struct {
	shares         *fairshare.Ledger // costs in flight by organisation
	inFlightCost   float64           // of all organisations
	completionRate float64           // mean completions per second
	lastCompletion time.Time
}

func (s *service) begin(a Request, now time.Time) {
	s.shares.Begin(a.Org, weight(a), a.Cost, now)
	s.inFlightCost = s.shares.InFlight()
	if s.lastCompletion.IsZero() {
		s.lastCompletion = now
	}
}

func (s *service) end(a Request, now time.Time) {
	s.shares.End(a.Org, a.Cost, now)
	s.inFlightCost = s.shares.InFlight()
	s.recordCompletion(now)
}

// recordCompletion adds one completion to the average rate.
func (s *service) recordCompletion(now time.Time) {
	gap := now.Sub(s.lastCompletion).Seconds()
	s.lastCompletion = now
	window := rateWindow.Seconds()
	keep := max(0, 1-gap/window)
	s.completionRate = s.completionRate*keep + 1/window
}

func weight(a Request) float64 {
	if w, ok := a.Doc.Fair.Weights[a.Org]; ok && w > 0 {
		return w
	}
	return 1
}

// retryAfter returns the time in which completions at the present rate free
// the slots by which the service is too full, and one more.
func (s *service) retryAfter(excess float64, slots int) time.Duration {
	if s.completionRate <= 0 {
		return minRetryAfter
	}
	need := max(excess, 0)*float64(slots) + 1
	return clamp(time.Duration(need / s.completionRate * float64(time.Second)))
}
