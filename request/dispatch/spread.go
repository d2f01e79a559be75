package dispatch

import (
	"math"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/balance"
	"github.com/pomelospool/pomelospool/request/placement"
)

// Reports describes how the daemons' reports of their loads reach this one.
type Reports interface {
	// ReportDelay returns the mean time from a change of another daemon's load
	// to its receipt here, or 0 if changes are received at once.
	ReportDelay() time.Duration
	// RequestShare returns the part of all requests that this daemon handles.
	RequestShare() balance.Share
}

// ReportAge returns how long ago the known loads of other daemons were true.
// It is 0 if they count as fresh: in a small fleet, where changes are received
// at once, and if choices don't account for the age.
func (r *Runner) ReportAge() time.Duration {
	if r.opts.Reports == nil {
		return 0
	}
	delay := r.opts.Reports.ReportDelay()
	if delay == 0 {
		return 0
	}
	return r.opts.Engines.ReportAge() + delay
}

// Unreported returns the work that other daemons have sent to the service's
// engines since their reports, as far as it isn't done yet. It is zero if the
// reports are fresh.
//
// Work that is shorter than the reports are old is done before they arrive. If all
// of it counted, streams of 100 ms by reports that are 0.7 s old would count seven
// times, and choices would hardly depend on KV transfers and connections.
func (r *Runner) Unreported(service string) placement.Unreported {
	age := r.ReportAge()
	if age == 0 {
		return placement.Unreported{}
	}
	others := r.opts.Demand.Others(service)
	prefillAge := age
	if mean := r.promptStats(service).MeanPrefill(); mean > 0 {
		prefillAge = min(age, sojournFactor*mean)
	}
	u := placement.Unreported{
		Prefill: time.Duration(others.Prefill * float64(prefillAge)),
		Share:   r.opts.Reports.RequestShare(),
	}
	if slotTime := r.opts.Speed.Estimates(service).SlotTime; slotTime > 0 {
		u.Streams = others.Streams * min(age.Seconds()/slotTime.Seconds(), 1)
	}
	return u
}

// sojournFactor is the assumed ratio of the time that a prompt spends at an engine,
// in its queue and in prefill, to its prefill time.
const sojournFactor = 2

// UnreportedPlain returns the number of plain calls of the service that other
// daemons have sent since their reports, as far as they aren't done yet. It assumes
// that the daemons' rates are in the ratio of their shares of all requests.
func (r *Runner) UnreportedPlain(service string) float64 {
	age := r.ReportAge()
	if age == 0 {
		return 0
	}
	age = min(age, r.plainServiceTimes.expected(service))
	share := r.opts.Reports.RequestShare()
	own := share.To - share.From
	if own <= 0 {
		return 0
	}
	return r.plainRate(service).perSecond(time.Now()) * (1 - own) / own * age.Seconds()
}

func (r *Runner) plainRate(service string) *decayingRate {
	return getOrCreate(&r.mu, r.plainRates, service)
}

// spreadPlain returns the chosen one of the targets with the given costs, in
// fractions of their slots. It returns the cheapest one if the reports are
// fresh. There is at least one target.
func (x *execution) spreadPlain(list []loadedTarget, costs []float64, cheapest int) port.TargetEntry {
	if x.opts.Reports == nil {
		return *list[cheapest].TargetEntry
	}
	unreported := x.UnreportedPlain(x.call.Service.Name)
	x.plainRate(x.call.Service.Name).add(time.Now())
	if unreported == 0 {
		return *list[cheapest].TargetEntry
	}
	cands := make([]placement.Candidate, len(list))
	for i := range list {
		cands[i].Entry = *list[i].TargetEntry
	}
	at := placement.ChoosePlain(cands, costs, unreported, x.opts.Reports.RequestShare(), hashFraction(x.call.Meta.RequestID, "plain"))
	if at != cheapest {
		counts.Add("plain_not_cheapest", 1)
	}
	return *list[at].TargetEntry
}

// assumeWaits replaces the unknown waits of a shortlist. It returns false if
// the choice should be made by the tracked load instead.
func (x *execution) assumeWaits(list []placement.Choice, cands []placement.Candidate, waits []time.Duration) bool {
	if waits == nil {
		return false
	}
	return x.opts.Reports == nil || placement.AssumeWaits(list, cands, waits)
}

// rateWindow is the time over which the rate of plain calls is averaged. A
// daemon on a fifth of a core sees about one call per second.
const rateWindow = 10 * time.Second

// decayingRate is a rate of calls with exponentially decaying weights. It is
// safe for concurrent use.
type decayingRate struct {
	mu          sync.Mutex
	count       float64 // of calls, each weighted by its age at the time at
	first, last time.Time
}

func (d *decayingRate) add(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.first.IsZero() {
		d.first, d.last = now, now
	}
	d.decay(now)
	d.count++
}

// decay updates the count as of now. Callers hold d.mu.
func (d *decayingRate) decay(now time.Time) {
	if since := now.Sub(d.last); since > 0 {
		d.count *= math.Exp(-since.Seconds() / rateWindow.Seconds())
		d.last = now
	}
}

// perSecond returns the mean number of calls per second.
func (d *decayingRate) perSecond(now time.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.first.IsZero() {
		return 0
	}
	d.decay(now)
	covered := max(now.Sub(d.first), time.Second).Seconds() / rateWindow.Seconds()
	return d.count / rateWindow.Seconds() / (1 - math.Exp(-covered))
}
