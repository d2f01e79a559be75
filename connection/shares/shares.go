// Package shares tracks how much of each service's targets every organisation
// uses, at this daemon and over the fleet, and decides which calls are rejected
// while there is not enough capacity for all.
package shares

import (
	"math"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/summary"
	"github.com/pomelospool/pomelospool/request/fairshare"
)

const (
	// viewInterval is the interval between two computations of the fair level.
	viewInterval = 100 * time.Millisecond
	// reduction is the part of the present usage by which the level is reduced
	// for each unit of fullness beyond fairshare.Contention. Without it, nothing
	// limits an organisation at a daemon whose other callers lose nothing.
	// In a simulation of eight daemons without a sum, organisations within their
	// share then lost 5.5% of their calls, with 0.5 0.3% and with 2 2.5%.
	reduction = 0.5
	// equalMargin times the mean usage is the least level, which leaves
	// organisations with about equal usage, and a lone one, within their shares.
	equalMargin = 1.1
)

// Tracker tracks the usage of targets by organisation. It is safe for concurrent
// use.
//
// For each organisation it averages what its calls ask for, and what those of
// them that are admitted use. The fair level is the one at which the demand of
// all organisations, each capped at the level, adds up to the usage of all. An
// organisation that asks for less than the level is never over it, and as long as
// it loses calls, another one is.
type Tracker struct {
	now   func() time.Time
	table *summary.Table[Row]

	mu       sync.Mutex
	services map[string]*service
	rows     []Row // sum over the fleet
	rowsAt   time.Time
}

// service is the state of one service.
type service struct {
	asked        *fairshare.Ledger // of all calls
	used         *fairshare.Ledger // of admitted calls
	calls        int               // whose fullness is known
	meanFullness float64           // of recent calls
	names        map[uint64]string // of the organisations in asked, by hash
	fullness     float64           // found by the last call in contention
	view         view
	viewAt       time.Time
	rejected     uint64
	period       period
}

// view is the usage by which a service's calls are decided.
type view struct {
	usage map[uint64]float64 // by hash of the organisation
	level float64            // fair share of an organisation
	total float64            // usage of all organisations
}

// over reports whether an organisation uses more than its fair share.
func (v view) over(org uint64) bool { return v.usage[org] > v.level }

// New returns an empty Tracker that reads the time from now.
func New(now func() time.Time) *Tracker {
	t := &Tracker{now: now, services: make(map[string]*service)}
	t.table = summary.New(summary.Options[Row]{Now: now, Own: t.ownRows, Limit: limit})
	return t
}

// Summary returns the table that daemons exchange as topic roster.TopicShares.
func (t *Tracker) Summary() *summary.Table[Row] { return t.table }

// get returns the state of a service, and creates it if there is none. Names come
// from the configuration, which bounds their number. Callers hold t.mu.
func (t *Tracker) get(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{asked: fairshare.NewLedger(), used: fairshare.NewLedger(), names: make(map[uint64]string)}
		t.services[name] = s
	}
	return s
}

// Record adds a call that takes cost of a target's time, or would have taken it
// if it hadn't been rejected. Calls without an organisation aren't recorded.
func (t *Tracker) Record(name, org string, cost time.Duration, admitted bool) {
	if org == "" || cost <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.get(name), t.now()
	s.asked.Add(org, 1, cost, now)
	s.names[engines.Hash(org)] = org
	if admitted {
		s.used.Add(org, 1, cost, now)
	}
}

// Rejects reports whether a call is to be rejected because of its organisation's
// share, and counts the rejection. fullness is the fraction that is in use of the
// time that the call may wait, or of the slots of its targets.
func (t *Tracker) Rejects(name, org string, fullness float64) bool {
	if org == "" || !t.contended(name, fullness) {
		return false
	}
	t.refresh()
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.get(name), t.now()
	s.fullness = fullness
	s.updateView(engines.Hash(name), t.rows, now)
	over := s.view.over(engines.Hash(org))
	s.contend(name, now)
	if over {
		s.rejected++
	}
	return over
}

const (
	// fullnessWeight is the weight of the newest call in the mean fullness, which
	// covers some ten calls: about two seconds at a daemon.
	fullnessWeight = 0.1
	// contendedMean is the mean fullness of recent calls from which on there is
	// contention. A prompt that takes nearly all of its objective finds the time
	// that it may wait in use at any queue, while the service has capacity left;
	// rejections on such calls alone cost 0.026 of the value of a loaded day.
	contendedMean = fairshare.Contention / 2
)

// contended adds a call's fullness to the mean of its service, and reports whether
// shares are enforced for the call.
func (t *Tracker) contended(name string, fullness float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(name)
	if s.calls++; s.calls == 1 {
		s.meanFullness = fullness
	}
	s.meanFullness += fullnessWeight * (min(fullness, 1) - s.meanFullness)
	return fullness >= fairshare.Contention && s.meanFullness >= contendedMean
}

// refresh updates the sum over the fleet every viewInterval.
func (t *Tracker) refresh() {
	now := t.now()
	t.mu.Lock()
	due := t.rowsAt.IsZero() || now.Sub(t.rowsAt) >= viewInterval
	if due {
		t.rowsAt = now // one of several concurrent callers updates it
	}
	t.mu.Unlock()
	if !due {
		return
	}
	rows := t.table.Sum()
	t.mu.Lock()
	t.rows = rows
	t.mu.Unlock()
}

// updateView recomputes the view every viewInterval.
func (s *service) updateView(hash uint64, rows []Row, now time.Time) {
	if s.view.usage != nil && now.Sub(s.viewAt) < viewInterval {
		return
	}
	s.view, s.viewAt = newView(hash, rows, s.fullness), now
}

// newView returns the view of a service by the rows of the fleet, at that
// fullness.
func newView(hash uint64, rows []Row, fullness float64) view {
	v := view{usage: make(map[uint64]float64), level: math.Inf(1)}
	var claims []fairshare.Claim
	orgs := 0.0
	for _, r := range rows {
		if r.Service != hash || !r.valid() {
			continue
		}
		v.total += float64(r.Used)
		orgs += float64(r.Orgs)
		claims = append(claims, fairshare.Claim{Amount: float64(r.Asked), Weight: float64(r.Orgs)})
		if r.Org != restOrg {
			v.usage[r.Org] = float64(r.Used)
		}
	}
	if len(claims) > 0 {
		allowed := v.total * (1 - reduction*max(0, min(fullness, 1)-fairshare.Contention))
		v.level = max(fairshare.Level(claims, allowed), equalMargin*v.total/orgs)
	}
	return v
}
