package admission

import (
	"math"
	"time"
)

const (
	rateWindow    = 10 * time.Second       // over which completions are averaged
	usageWindow   = 8 * time.Second        // over which usage is averaged
	levelInterval = 100 * time.Millisecond // between searches for the fair level
	levelPasses   = 20                     // of one search, at most
	maxOrgs       = 4096                   // organisations whose usage is kept
	idleUsage     = 0.02                   // of the mean usage: less is forgotten
)

// service is the state of one service at this process.
type service struct {
	orgs           map[string]*usage // organisations with usage of late
	inFlightCost   float64           // in flight
	completionRate float64           // completions a second, averaged
	lastCompletion time.Time
	level          float64   // fair level: mean cost in flight for a weight of 1
	levelAt        time.Time // when it was found
}

// usage is what one organisation has in flight.
type usage struct {
	requests int
	cost     float64 // in flight now
	mean     float64 // in flight, averaged over usageWindow
	meanAt   time.Time
	weight   float64
}

// update brings the mean up to now.
func (u *usage) update(now time.Time) {
	keep := math.Exp(-now.Sub(u.meanAt).Seconds() / usageWindow.Seconds())
	u.mean = u.cost + (u.mean-u.cost)*keep
	u.meanAt = now
}

func (s *service) begin(a Request, now time.Time) {
	u, ok := s.orgs[a.Org]
	if !ok {
		u = &usage{weight: weight(a), meanAt: now}
		s.orgs[a.Org] = u
	}
	u.update(now)
	u.requests++
	u.cost += a.Cost
	s.inFlightCost += a.Cost
	if s.lastCompletion.IsZero() {
		s.lastCompletion = now
	}
	if len(s.orgs) > maxOrgs {
		s.evict(now)
	}
}

func (s *service) end(a Request, now time.Time) {
	u := s.orgs[a.Org]
	u.update(now)
	u.requests--
	u.cost -= a.Cost
	s.inFlightCost -= a.Cost
	if u.requests == 0 {
		u.cost = 0 // rounding errors don't add up
	}
	s.recordCompletion(now)
}

// evict drops the organisations that have nothing in flight and whose usage
// of late is small; if that leaves too many, all that have nothing in flight.
func (s *service) evict(now time.Time) {
	small := idleUsage * s.inFlightCost / float64(len(s.orgs))
	for range 2 {
		for org, u := range s.orgs {
			u.update(now)
			if u.requests == 0 && u.mean <= small {
				delete(s.orgs, org)
			}
		}
		if len(s.orgs) <= maxOrgs {
			return
		}
		small = math.Inf(1)
	}
}

// recordCompletion takes one completion into the average rate.
func (s *service) recordCompletion(now time.Time) {
	gap := now.Sub(s.lastCompletion).Seconds()
	s.lastCompletion = now
	window := rateWindow.Seconds()
	keep := max(0, 1-gap/window)
	s.completionRate = s.completionRate*keep + 1/window
}

// overShare reports whether the organisation uses more than its fair share of
// the usage at contention, which is part of the present usage.
//
// One organisation's flood would otherwise take every place that comes free,
// and the others' requests would be refused in proportion. By Little's law
// work in flight is throughput times duration, so a share of it is a share of
// the targets' time. It is averaged over a short while: an organisation with
// one request at a time would else be refused its second one. The share is
// max-min fair: those who ask for little get it all, whatever others ask for,
// and a lone organisation gets everything up to contention. Organisations that
// are quiet cost no memory and shrink no one's share.
func (s *service) overShare(a Request, part float64, now time.Time) bool {
	u := s.orgs[a.Org]
	if u == nil {
		return false
	}
	s.updateLevel(part, now)
	u.update(now)
	return u.mean > s.level*u.weight
}

// updateLevel searches for the level now and then, and averages what it finds:
// part comes from lagging reports, and a single low one would have those
// refused who are well below their share.
func (s *service) updateLevel(part float64, now time.Time) {
	since := now.Sub(s.levelAt)
	if since < levelInterval {
		return
	}
	keep := math.Exp(-since.Seconds() / usageWindow.Seconds())
	s.level = s.level*keep + s.fairLevel(part, now)*(1-keep)
	s.levelAt = now
}

// fairLevel returns the level at which the organisations' usage, cut at level
// times weight, adds up to part of what it is. It raises the level in
// passes: what those below it leave is shared among those above.
func (s *service) fairLevel(part float64, now time.Time) float64 {
	s.evict(now)
	sum, weights := 0.0, 0.0
	for _, u := range s.orgs {
		sum += u.mean
		weights += u.weight
	}
	fit := sum * part
	level := fit / weights
	for range levelPasses {
		left, above := fit, 0.0
		for _, u := range s.orgs {
			if u.mean <= level*u.weight {
				left -= u.mean
			} else {
				above += u.weight
			}
		}
		if above == 0 || left <= level*above {
			return level
		}
		level = left / above
	}
	return level
}

func weight(a Request) float64 {
	if w, ok := a.Doc.Fair.Weights[a.Org]; ok && w > 0 {
		return w
	}
	return 1
}

// retryAfter is the time in which the present rate of completions frees the
// share of places by which the service is too full, and one more.
func (s *service) retryAfter(over float64, places int) time.Duration {
	if s.completionRate <= 0 {
		return minRetryAfter
	}
	need := max(over, 0)*float64(places) + 1
	return clamp(time.Duration(need / s.completionRate * float64(time.Second)))
}
