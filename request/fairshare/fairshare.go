// Package fairshare computes max-min fair shares of a service's capacity from
// the usage of its organisations: organisations that ask for little get all of
// it, whatever others ask for, and a lone organisation gets everything. It reads
// no clock.
package fairshare

import (
	"math"
	"time"
)

const (
	// Window is the time over which usage is averaged. Without averaging, an
	// organisation with one request at a time would be refused its second one.
	Window = 8 * time.Second
	// Contention is the fraction of the time that a call may wait, or of the
	// slots of plain targets, from which on calls of organisations over their
	// share are rejected. The rest is for organisations within their share.
	Contention = 0.75

	levelInterval = 100 * time.Millisecond // time between updates of the fair level
	levelPasses   = 20                     // maximum of one search
	maxOrgs       = 4096                   // organisations with tracked usage
	idleUsage     = 0.02                   // fraction of the mean usage below which an idle organisation is evicted
)

// Claim is what one or several organisations ask for.
type Claim struct {
	Amount float64 // in any unit that is common to all claims
	Weight float64 // sum of the organisations' weights
}

// Level returns the max-min fair level: the level at which the claims, each
// capped at level times weight, add up to allowed. It raises the level in
// passes: what claims below the level leave unused is shared among those above
// it. If allowed covers all claims, none is above the level.
func Level(claims []Claim, allowed float64) float64 {
	weights := 0.0
	for _, c := range claims {
		weights += c.Weight
	}
	if weights == 0 {
		return 0
	}
	level := allowed / weights
	for range levelPasses {
		remaining, above := allowed, 0.0
		for _, c := range claims {
			if c.Amount <= level*c.Weight {
				remaining -= c.Amount
			} else {
				above += c.Weight
			}
		}
		if above == 0 || remaining <= level*above {
			return level
		}
		level = remaining / above
	}
	return level
}

// Ledger averages the usage of each organisation of one service over Window.
// Usage is either the cost of requests in flight (Begin and End) or the cost of
// requests over time (Add). Its memory grows with the organisations that had
// usage recently, up to a limit. It isn't safe for concurrent use.
type Ledger struct {
	orgs     map[string]*usage
	inFlight float64 // cost in flight
	added    usage   // sum of what Add recorded
	level    float64 // fair share of a weight of 1, as mean usage
	levelAt  time.Time
}

// usage is the usage of one organisation.
type usage struct {
	requests int
	cost     float64 // in flight now
	mean     float64 // averaged over Window
	meanAt   time.Time
	weight   float64
}

// update advances the mean to now.
func (u *usage) update(now time.Time) {
	keep := math.Exp(-now.Sub(u.meanAt).Seconds() / Window.Seconds())
	u.mean = u.cost + (u.mean-u.cost)*keep
	u.meanAt = now
}

// add adds a cost in seconds to the mean of cost per second.
func (u *usage) add(cost float64, now time.Time) {
	u.update(now)
	u.mean += cost / Window.Seconds()
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{orgs: make(map[string]*usage)} }

// org returns the usage of an organisation, and creates it if there is none.
func (l *Ledger) org(name string, weight float64, now time.Time) *usage {
	u, ok := l.orgs[name]
	if !ok {
		u = &usage{weight: weight, meanAt: now}
		l.orgs[name] = u
	}
	return u
}

// Begin adds a request in flight. The weight counts if the organisation is new.
func (l *Ledger) Begin(org string, weight, cost float64, now time.Time) {
	u := l.org(org, weight, now)
	u.update(now)
	u.requests++
	u.cost += cost
	l.inFlight += cost
	if len(l.orgs) > maxOrgs {
		l.evict(now)
	}
}

// End removes a request that Begin added.
func (l *Ledger) End(org string, cost float64, now time.Time) {
	u := l.orgs[org]
	u.update(now)
	u.requests--
	u.cost -= cost
	l.inFlight -= cost
	if u.requests == 0 {
		u.cost = 0 // keeps rounding errors from accumulating
	}
}

// Add adds a request that takes cost of a target's time. Usage is then the mean
// number of targets that the organisation keeps busy.
func (l *Ledger) Add(org string, weight float64, cost time.Duration, now time.Time) {
	l.org(org, weight, now).add(cost.Seconds(), now)
	l.added.add(cost.Seconds(), now)
	if len(l.orgs) > maxOrgs {
		l.evict(now)
	}
}

// InFlight returns the cost of the requests in flight.
func (l *Ledger) InFlight() float64 { return l.inFlight }

// Usage calls visit with the present usage of each organisation, in no order.
func (l *Ledger) Usage(now time.Time, visit func(org string, usage float64)) {
	l.evict(now)
	for org, u := range l.orgs {
		visit(org, u.mean)
	}
}

// evict drops the organisations that have nothing in flight and little
// recent usage. If too many are left, it drops all that have nothing in
// flight.
func (l *Ledger) evict(now time.Time) {
	l.added.update(now)
	small := idleUsage * (l.inFlight + l.added.mean) / float64(len(l.orgs))
	for range 2 {
		for org, u := range l.orgs {
			u.update(now)
			if u.requests == 0 && u.mean <= small {
				delete(l.orgs, org)
			}
		}
		if len(l.orgs) <= maxOrgs {
			return
		}
		small = math.Inf(1)
	}
}

// OverShare reports whether the organisation uses more than its fair share
// of the usage from which on there is contention, which is the fraction part
// of the present usage.
//
// Without it, a flood from one organisation would take every slot that
// becomes free, and requests of others would be rejected in proportion. By
// Little's law, work in flight is throughput times duration, so a share of
// it is a share of the targets' time. Idle organisations use no memory and
// reduce nobody's share.
func (l *Ledger) OverShare(org string, part float64, now time.Time) bool {
	u := l.orgs[org]
	if u == nil {
		return false
	}
	l.updateLevel(part, now)
	u.update(now)
	return u.mean > l.level*u.weight
}

// updateLevel recomputes the level every levelInterval and averages the
// results. part is derived from lagging reports, and a single low value
// would reject requests of organisations well below their share.
func (l *Ledger) updateLevel(part float64, now time.Time) {
	since := now.Sub(l.levelAt)
	if since < levelInterval {
		return
	}
	keep := math.Exp(-since.Seconds() / Window.Seconds())
	l.level = l.level*keep + l.fairLevel(part, now)*(1-keep)
	l.levelAt = now
}

// fairLevel returns the level at which the organisations' usage adds up to the
// fraction part of its sum.
func (l *Ledger) fairLevel(part float64, now time.Time) float64 {
	l.evict(now)
	sum := 0.0
	claims := make([]Claim, 0, len(l.orgs))
	for _, u := range l.orgs {
		sum += u.mean
		claims = append(claims, Claim{Amount: u.mean, Weight: u.weight})
	}
	return Level(claims, sum*part)
}
