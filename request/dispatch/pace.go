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

// longest returns what is known of the call's route.
func (r *Runner) longest(route string) *longest {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.longests[route]
	if l == nil {
		l = &longest{}
		r.longests[route] = l
	}
	return l
}

// bound sets for each engine how many streams it may run for the longest
// answers of the call's route to end in time.
func (u *run) bound(decoders []placement.Candidate) {
	gap := u.longest(u.c.Route.Name).gap()
	if gap <= 0 {
		return
	}
	for i := range decoders {
		c := &decoders[i]
		if pace := u.opts.Speed.Pace(u.c.Service.Name, c.Entry.ID); pace.Known() {
			c.Most = pace.Streams(gap)
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
	lasts := u.longest(u.c.Route.Name).lasts(u.c.Ask.Hint, pace.Gap(c.Places()))
	return time.Until(u.c.GiveUp) - lasts, true
}

// patient tells whether the call has time to come back if it is rejected.
func (u *run) patient(decoders []placement.Candidate) bool {
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

// gauge measures the pace of one stream's engine.
type gauge struct {
	run     *run
	target  string
	events  int // of the whole stream
	begun   time.Time
	before  int // events at that time
	streams int // at the engine at that time
}

// passed notes events that came.
func (g *gauge) passed(events int) {
	g.events += events
	now := time.Now()
	if g.begun.IsZero() {
		g.restart(now)
		return
	}
	span, n := now.Sub(g.begun), g.events-g.before
	if span < gapSpan || n < gapEvents {
		return
	}
	streams := g.streams
	g.restart(now)
	g.run.opts.Speed.Gap(g.run.c.Service.Name, g.target, float64(streams+g.streams)/2, span/time.Duration(n))
}

func (g *gauge) restart(now time.Time) {
	g.begun, g.before = now, g.events
	g.streams = g.run.opts.Engines.Load(g.target, nil).Streams
}

// ended notes the end of the stream.
func (g *gauge) ended(whole bool) {
	g.run.longest(g.run.c.Route.Name).ended(g.run.c.Ask.Hint, g.events, whole)
}
