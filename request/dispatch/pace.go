package dispatch

import (
	"time"

	"github.com/pomelospool/pomelospool/request/placement"
)

const (
	// gapSpan and gapEvents are the least of a stream that gives a sample of its
	// engine's pace.
	gapSpan   = 250 * time.Millisecond
	gapEvents = 4
)

// answerLength returns what is known of a route's answers.
func (r *Runner) answerLength(route string) *answerLength {
	return learnt(&r.mu, r.lengths, route)
}

// bound sets for each engine how many streams it may run for the longest
// answers of the call's route to end in time.
func (u *run) bound(decoders []placement.Candidate) {
	gap := u.answerLength(u.c.Route.Name).gap()
	if gap <= 0 {
		return
	}
	for i := range decoders {
		c := &decoders[i]
		if pace := u.opts.Speed.Pace(u.c.Service.Name, c.Entry.ID); pace.Known() {
			c.Most = pace.MaxStreams(gap)
		}
	}
}

// spare is the time that the call's answer leaves it, made by engines that are
// full; false: that isn't known.
func (u *run) spare(decoders []placement.Candidate) (time.Duration, bool) {
	if len(decoders) == 0 || u.c.Ask.Hint <= 0 {
		return 0, false
	}
	c := &decoders[0]
	pace := u.opts.Speed.Pace(u.c.Service.Name, c.Entry.ID)
	if !pace.Known() {
		return 0, false
	}
	lasts := u.answerLength(u.c.Route.Name).lasts(u.c.Ask.Hint, pace.Gap(c.Places()))
	return time.Until(u.c.GiveUp) - lasts, true
}

// canRetry reports whether the call has time to come back if it is rejected.
func (u *run) canRetry(decoders []placement.Candidate) bool {
	spare, known := u.spare(decoders)
	return known && spare > time.Duration(leastHedge*float64(time.Until(u.c.GiveUp)))
}

// soonEnough shortens a rejected caller's wait to the time that its answer
// leaves it.
func (u *run) soonEnough(after time.Duration, decoders []placement.Candidate) time.Duration {
	spare, known := u.spare(decoders)
	if !known {
		return after
	}
	return max(min(after, spare), minComeBack)
}

// paceMeter measures the pace of one stream's engine.
type paceMeter struct {
	run     *run
	target  string
	events  int // of the whole stream
	begun   time.Time
	before  int // events at that time
	streams int // at the engine at that time
	resumed bool
}

// passed notes events that came.
func (m *paceMeter) passed(events int) {
	m.events += events
	now := time.Now()
	if m.begun.IsZero() {
		m.restart(now)
		return
	}
	span, n := now.Sub(m.begun), m.events-m.before
	if span < gapSpan || n < gapEvents {
		return
	}
	streams := m.streams
	m.restart(now)
	m.run.opts.Speed.ObserveGap(m.run.c.Service.Name, m.target, float64(streams+m.streams)/2, span/time.Duration(n))
}

func (m *paceMeter) restart(now time.Time) {
	m.begun, m.before = now, m.events
	m.streams = m.run.opts.Engines.Load(m.target, nil).Streams
}

// ended notes the end of the stream. One that was resumed shows a part of its
// length only.
func (m *paceMeter) ended(whole bool) {
	if m.resumed {
		return
	}
	m.run.answerLength(m.run.c.Route.Name).ended(m.run.c.Ask.Hint, m.events, whole)
}
