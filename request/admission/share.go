package admission

import (
	"math"
	"time"
)

const (
	rateWindow    = 10 * time.Second       // completions are averaged over this time
	usageWindow   = 8 * time.Second        // usage is averaged over this time
	levelInterval = 100 * time.Millisecond // time between updates of the fair level
	levelPasses   = 20                     // maximum of one search
	maxOrgs       = 4096                   // organisations with tracked usage
	idleUsage     = 0.02                   // fraction of the mean usage below which an idle organisation is evicted
)

// service is the state of one service in this process.
type service struct {
	orgs           map[string]*usage // organisations with recent usage
	inFlightCost   float64
	completionRate float64 // mean completions per second
	lastCompletion time.Time
	level          float64   // fair share of a weight of 1, as mean cost in flight
	levelAt        time.Time // when level was updated
}

// usage is the usage of one organisation.
type usage struct {
	requests int
	cost     float64 // in flight now
	mean     float64 // in flight, averaged over usageWindow
	meanAt   time.Time
	weight   float64
}

// update advances the mean to now.
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
		u.cost = 0 // keeps rounding errors from accumulating
	}
	s.recordCompletion(now)
}

// evict drops the organisations that have nothing in flight and little
// recent usage. If too many are left, it drops all that have nothing in
// flight.
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

// recordCompletion adds one completion to the average rate.
func (s *service) recordCompletion(now time.Time) {
	gap := now.Sub(s.lastCompletion).Seconds()
	s.lastCompletion = now
	window := rateWindow.Seconds()
	keep := max(0, 1-gap/window)
	s.completionRate = s.completionRate*keep + 1/window
}

// overShare reports whether the organisation uses more than its fair share
// of the usage from which on there is contention, which is the fraction part
// of the present usage.
//
// Without it, a flood from one organisation would take every slot that
// becomes free, and requests of others would be rejected in proportion. By
// Little's law, work in flight is throughput times duration, so a share of
// it is a share of the targets' time. Usage is averaged over a short time,
// since an organisation with one request at a time would otherwise be
// refused its second one. Shares are max-min fair: organisations that ask
// for little get all of it, whatever others ask for, and a lone organisation
// gets everything up to contention. Idle organisations use no memory and
// reduce nobody's share.
func (s *service) overShare(a Request, part float64, now time.Time) bool {
	u := s.orgs[a.Org]
	if u == nil {
		return false
	}
	s.updateLevel(part, now)
	u.update(now)
	return u.mean > s.level*u.weight
}

// updateLevel recomputes the level every levelInterval and averages the
// results. part is derived from lagging reports, and a single low value
// would reject requests of organisations well below their share.
func (s *service) updateLevel(part float64, now time.Time) {
	since := now.Sub(s.levelAt)
	if since < levelInterval {
		return
	}
	keep := math.Exp(-since.Seconds() / usageWindow.Seconds())
	s.level = s.level*keep + s.fairLevel(part, now)*(1-keep)
	s.levelAt = now
}

// fairLevel returns the level at which the organisations' usage, capped at
// level times weight, adds up to the fraction part of its sum. It raises the
// level in passes: what organisations below the level leave unused is shared
// among those above it.
func (s *service) fairLevel(part float64, now time.Time) float64 {
	s.evict(now)
	sum, weights := 0.0, 0.0
	for _, u := range s.orgs {
		sum += u.mean
		weights += u.weight
	}
	allowed := sum * part
	level := allowed / weights
	for range levelPasses {
		remaining, above := allowed, 0.0
		for _, u := range s.orgs {
			if u.mean <= level*u.weight {
				remaining -= u.mean
			} else {
				above += u.weight
			}
		}
		if above == 0 || remaining <= level*above {
			return level
		}
		level = remaining / above
	}
	return level
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
