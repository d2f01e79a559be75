// Package duration predicts how long answers take, for daemons that are being
// stopped.
package duration

import (
	"math/bits"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/connection/summary"
)

const (
	// margin is the factor by which an answer may take longer than the
	// longest known one. The steps of an engine with all slots in use take about
	// a fifth longer than with half of them in use.
	margin = 1.25
	// minKnown is the number of answers that a prediction needs. If one
	// answer in twenty is of a longer kind, that many lack all of them in fewer
	// than one case in a hundred.
	minKnown = 100
	// defaultHorizon is how long answers are followed if New gets no
	// time.
	defaultHorizon = 10 * time.Second
	// period is the length of a period. Answers count until the end of
	// the period after the one in which their cohort was complete.
	period = 2 * time.Minute
)

// Tracker predicts how long the answers of each route take. It is safe for
// concurrent use.
//
// The durations of the answers that have ended are no fair sample: those that
// began a second ago have ended only if they took less than a second. Whether
// answers outlast a time is therefore read only from the answers that began at
// least that time ago, whether they have ended or not.
//
// Otherwise a daemon that has run for a few seconds, and has seen only short
// answers end, would accept a long one shortly before its stop and cut it.
type Tracker struct {
	horizon time.Duration
	origin  time.Time
	table   *summary.Table[Row]

	mu      sync.Mutex
	byKey   map[group]*history
	swept   time.Duration // time of the last removal of unused histories
	fleet   map[uint64]fleetSample
	checked time.Time // time of the last look at the table
}

// group identifies answers of about the same maximum length.
type group struct {
	route string
	size  int // bit length of the maximum of output tokens; 0: there is none
}

// New returns a Tracker without answers. horizon is the longest time for which
// answers are followed: at least the time from the announcement of a stop to the
// stop.
func New(horizon time.Duration) *Tracker {
	if horizon <= 0 {
		horizon = defaultHorizon
	}
	d := &Tracker{horizon: horizon, origin: time.Now(), byKey: make(map[group]*history), fleet: make(map[uint64]fleetSample)}
	d.table = summary.New(summary.Options[Row]{Now: time.Now, Own: d.rows, Limit: limitRows})
	return d
}

// Table returns the table that daemons exchange.
func (d *Tracker) Table() *summary.Table[Row] { return d.table }

// Call is what a prediction rests on.
type Call struct {
	Route   string // or the name of a service
	Output  int    // maximum of output tokens; 0: none is stated
	Arrived time.Time
	Timeout time.Duration // the longest time that the answer may take
}

func (c Call) group() group { return group{c.Route, bits.Len(uint(max(c.Output, 0)))} }

// Begin records that the call's answer begins. end must be called when it has
// ended; complete means that it ended by itself.
func (d *Tracker) Begin(c Call) (end func(complete bool)) {
	key := c.group()
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.byKey[key]
	if h == nil {
		h = &history{width: d.horizon / (cohorts - 1)}
		d.byKey[key] = h
	}
	began := c.Arrived.Sub(d.origin)
	h.begin(began, time.Since(d.origin))
	return func(complete bool) {
		d.mu.Lock()
		defer d.mu.Unlock()
		h.end(began, time.Since(d.origin), complete)
	}
}

// Outlasts reports whether the call's answer may not be complete at end, when the
// process stops.
func (d *Tracker) Outlasts(c Call, end time.Time) bool {
	left := end.Sub(c.Arrived)
	return c.Timeout > left && d.predict(c, left) > left
}

// predict returns an upper estimate of the call's duration, to be compared with
// left, the time until the process stops. It returns the call's timeout if too
// few answers that began at least that time ago are known, and if the answers
// since then take longer than those.
func (d *Tracker) predict(c Call, left time.Duration) time.Duration {
	d.refresh()
	d.mu.Lock()
	defer d.mu.Unlock()
	var known sample
	var recent time.Duration
	// Answers that may be longer than the call's also show how long it may take.
	for key := c.group(); key.size <= bits.UintSize && known.count < minKnown; key.size++ {
		s, r := d.look(key, left)
		known.add(s)
		recent = max(recent, r)
	}
	if known.count < minKnown || scaled(known.longest) < recent {
		return c.Timeout
	}
	return min(scaled(max(known.longest, recent)), c.Timeout)
}

// scaled returns d with margin.
func scaled(d time.Duration) time.Duration { return time.Duration(margin * float64(d)) }

// look returns what this daemon and the fleet know of the answers of a key: those
// that began at least age ago, and the longest time of the others until now. The
// fleet's answers include this daemon's. Callers hold d.mu.
func (d *Tracker) look(key group, age time.Duration) (known sample, recent time.Duration) {
	if h := d.byKey[key]; h != nil {
		known, recent = h.look(time.Since(d.origin), min(age, d.horizon))
	}
	if f, ok := d.fleet[key.hash()]; ok {
		known = sample{max(known.count, f.count), max(known.longest, f.longest)}
		recent = max(recent, f.recent)
	}
	return known, recent
}

// sweep removes the histories of routes that are no longer in use. Callers hold d.mu.
func (d *Tracker) sweep() {
	now := time.Since(d.origin)
	if now-d.swept < period {
		return
	}
	d.swept = now
	for key, h := range d.byKey {
		if h.unused(now) {
			delete(d.byKey, key)
		}
	}
}
