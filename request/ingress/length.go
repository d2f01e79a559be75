package ingress

import (
	"math/bits"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/connection/summary"
	"github.com/pomelospool/pomelospool/request/dispatch"
)

const (
	// durationMargin is the factor by which an answer may take longer than the
	// longest known one. The steps of an engine with all slots in use take about
	// a fifth longer than with half of them in use.
	durationMargin = 1.25
	// minKnownAnswers is the number of answers that a prediction needs. If one
	// answer in twenty is of a longer kind, that many lack all of them in fewer
	// than one case in a hundred.
	minKnownAnswers = 100
	// defaultHorizon is how long answers are followed if NewDurations gets no
	// time.
	defaultHorizon = 10 * time.Second
	// durationPeriod is the length of a period. Answers count until the end of
	// the period after the one in which their cohort was complete.
	durationPeriod = 2 * time.Minute
)

// Durations predicts how long the answers of each route take. It is safe for
// concurrent use.
//
// The durations of the answers that have ended are no fair sample: those that
// began a second ago have ended only if they took less than a second. Whether
// answers outlast a time is therefore read only from the answers that began at
// least that time ago, whether they have ended or not.
//
// It prevents this failure: a daemon that is being stopped accepts a request
// whose answer can't end before the stop, and the caller's stream is cut. This
// was observed with streams of 4 s that began 3.2 s after the signal, with 8 s
// from the signal to the stop, at daemons that had run for 5 s.
type Durations struct {
	horizon time.Duration
	origin  time.Time
	table   *summary.Table[DurationRow]

	mu      sync.Mutex
	byKey   map[durationKey]*history
	swept   time.Duration // time of the last removal of unused histories
	fleet   map[uint64]fleetDurations
	checked time.Time // time of the last look at the table
}

// durationKey identifies answers of about the same maximum length.
type durationKey struct {
	route string
	class int // bit length of the maximum of output tokens; 0: there is none
}

// NewDurations returns Durations without answers. horizon is the longest time
// for which answers are followed: at least the time from the announcement of a
// stop to the stop.
func NewDurations(horizon time.Duration) *Durations {
	if horizon <= 0 {
		horizon = defaultHorizon
	}
	d := &Durations{horizon: horizon, origin: time.Now(), byKey: make(map[durationKey]*history), fleet: make(map[uint64]fleetDurations)}
	d.table = summary.New(summary.Options[DurationRow]{Now: time.Now, Own: d.rows, Limit: limitDurationRows})
	return d
}

// Table returns the table that daemons exchange.
func (d *Durations) Table() *summary.Table[DurationRow] { return d.table }

func keyOf(c *dispatch.Call) durationKey {
	return durationKey{c.Route.Name, bits.Len(uint(max(c.Meta.MaxOutputTokens, 0)))}
}

// begin records that the call's answer begins. end must be called when it has
// ended; complete means that it ended by itself.
func (d *Durations) begin(c *dispatch.Call) (end func(complete bool)) {
	key := keyOf(c)
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

// predict returns an upper estimate of the call's duration, to be compared with
// left, the time until the process stops. It returns the call's timeout if too
// few answers that began at least that time ago are known, and if the answers
// since then take longer than those.
func (d *Durations) predict(c *dispatch.Call, left time.Duration) time.Duration {
	d.refresh()
	d.mu.Lock()
	defer d.mu.Unlock()
	var known durationSample
	var recent time.Duration
	// Answers that may be longer than the call's also show how long it may take.
	for key := keyOf(c); key.class <= bits.UintSize && known.count < minKnownAnswers; key.class++ {
		s, r := d.sample(key, left)
		known.add(s)
		recent = max(recent, r)
	}
	if known.count < minKnownAnswers || scaled(known.longest) < recent {
		return callTimeout(c)
	}
	return min(scaled(max(known.longest, recent)), callTimeout(c))
}

// scaled returns d with durationMargin.
func scaled(d time.Duration) time.Duration { return time.Duration(durationMargin * float64(d)) }

// sample returns what this daemon and the fleet know of the answers of a key: those
// that began at least age ago, and the longest time of the others until now. The
// fleet's answers include this daemon's. Callers hold d.mu.
func (d *Durations) sample(key durationKey, age time.Duration) (known durationSample, recent time.Duration) {
	if h := d.byKey[key]; h != nil {
		known, recent = h.sample(time.Since(d.origin), min(age, d.horizon))
	}
	if f, ok := d.fleet[key.hash()]; ok {
		known = durationSample{max(known.count, f.count), max(known.longest, f.longest)}
		recent = max(recent, f.recent)
	}
	return known, recent
}

// sweep removes the histories of routes that are no longer in use. Callers hold d.mu.
func (d *Durations) sweep() {
	now := time.Since(d.origin)
	if now-d.swept < durationPeriod {
		return
	}
	d.swept = now
	for key, h := range d.byKey {
		if h.unused(now) {
			delete(d.byKey, key)
		}
	}
}
