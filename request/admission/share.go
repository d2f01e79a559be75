package admission

import "time"

const (
	shareSlack = 1.1              // over the fair share by which one is tolerated
	rateWindow = 10 * time.Second // over which completions are averaged
)

// service is the state of one service at this process.
type service struct {
	orgs    map[string]*usage // organisations with requests in flight only
	cost    float64           // in flight
	weights float64           // sum over orgs
	rate    float64           // completions a second, averaged
	lastEnd time.Time
}

// usage is one organisation's requests in flight.
type usage struct {
	requests int
	cost     float64
	weight   float64
}

func (s *service) begin(a Ask, now time.Time) {
	u, ok := s.orgs[a.Org]
	if !ok {
		u = &usage{weight: weight(a)}
		s.orgs[a.Org] = u
		s.weights += u.weight
	}
	u.requests++
	u.cost += a.Cost
	s.cost += a.Cost
	if s.lastEnd.IsZero() {
		s.lastEnd = now
	}
}

func (s *service) end(a Ask, now time.Time) {
	u := s.orgs[a.Org]
	u.requests--
	u.cost -= a.Cost
	s.cost -= a.Cost
	if u.requests == 0 {
		s.weights -= u.weight
		delete(s.orgs, a.Org)
	}
	if len(s.orgs) == 0 {
		s.cost, s.weights = 0, 0 // rounding errors don't add up
	}
	s.count(now)
}

// count takes one completion into the average rate.
func (s *service) count(now time.Time) {
	gap := now.Sub(s.lastEnd).Seconds()
	s.lastEnd = now
	window := rateWindow.Seconds()
	keep := max(0, 1-gap/window)
	s.rate = s.rate*keep + 1/window
}

// overShare tells whether the organisation would hold more than its weighted
// share of the work in flight.
//
// One organisation's flood would otherwise take every place that comes free,
// and the others' requests would be refused in proportion. By Little's law
// work in flight is throughput times duration, so a share of it is a share of
// the targets' time. Only organisations with requests in flight are counted:
// 47,000 that are quiet cost no memory and don't shrink anyone's share.
func (s *service) overShare(a Ask) bool {
	u := s.orgs[a.Org]
	if u == nil {
		return false
	}
	fair := u.weight / s.weights
	return u.cost+a.Cost > shareSlack*fair*(s.cost+a.Cost)
}

func weight(a Ask) float64 {
	if w, ok := a.Doc.Fair.Weights[a.Org]; ok && w > 0 {
		return w
	}
	return 1
}

// retryAfter is the time in which the present rate of completions frees the
// share of places by which the service is too full, and one more.
func (s *service) retryAfter(over float64, places int) time.Duration {
	if s.rate <= 0 {
		return minRetryAfter
	}
	need := max(over, 0)*float64(places) + 1
	return clamp(time.Duration(need / s.rate * float64(time.Second)))
}
