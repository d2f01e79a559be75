package dispatch

import (
	"time"

	"github.com/pomelospool/pomelospool/request/placement"
)

const (
	// minGapSpan and minGapEvents are the least of a stream that gives a sample of its
	// engine's pace.
	minGapSpan   = 250 * time.Millisecond
	minGapEvents = 4
)

// answerLength returns what is known of a route's answers.
func (r *Runner) answerLength(route string) *answerLength {
	return getOrCreate(&r.mu, r.answerLengths, route)
}

// setStreamLimits sets for each engine how many streams it may run for the longest
// answers of the call's route to end in time.
func (x *execution) setStreamLimits(decoders []placement.Candidate) {
	gap := x.answerLength(x.call.Route.Name).maxGap()
	if gap <= 0 {
		return
	}
	for i := range decoders {
		c := &decoders[i]
		if pace := x.opts.Speed.Pace(x.call.Service.Name, c.Entry.ID); pace.Known() {
			c.MaxStreams = pace.Streams(gap)
		}
	}
}

// spareTime is the time that the call's answer leaves it, made by engines that are
// full; false: that isn't known.
func (x *execution) spareTime(decoders []placement.Candidate) (time.Duration, bool) {
	if len(decoders) == 0 || x.call.Ask.Hint <= 0 {
		return 0, false
	}
	c := &decoders[0]
	pace := x.opts.Speed.Pace(x.call.Service.Name, c.Entry.ID)
	if !pace.Known() {
		return 0, false
	}
	lasts := x.answerLength(x.call.Route.Name).duration(x.call.Ask.Hint, pace.Gap(c.StreamLimit()))
	return time.Until(x.call.Deadline) - lasts, true
}

// canRetry reports whether the call has time to come back if it is rejected.
func (x *execution) canRetry(decoders []placement.Candidate) bool {
	spare, known := x.spareTime(decoders)
	return known && spare > time.Duration(minRetryShare*float64(time.Until(x.call.Deadline)))
}

// capRetryDelay shortens a rejected caller's wait to the time that its answer
// leaves it.
func (x *execution) capRetryDelay(after time.Duration, decoders []placement.Candidate) time.Duration {
	spare, known := x.spareTime(decoders)
	if !known {
		return after
	}
	return max(min(after, spare), minRetryDelay)
}

// paceMeter measures the pace of one stream's engine.
type paceMeter struct {
	exec          *execution
	target        string
	events        int // of the whole stream
	sampleStart   time.Time
	eventsBefore  int // events at that time
	streamsBefore int // at the engine at that time
	resumed       bool
}

// addEvents notes events that came.
func (m *paceMeter) addEvents(events int) {
	m.events += events
	now := time.Now()
	if m.sampleStart.IsZero() {
		m.startSample(now)
		return
	}
	span, n := now.Sub(m.sampleStart), m.events-m.eventsBefore
	if span < minGapSpan || n < minGapEvents {
		return
	}
	streams := m.streamsBefore
	m.startSample(now)
	m.exec.opts.Speed.Gap(m.exec.call.Service.Name, m.target, float64(streams+m.streamsBefore)/2, span/time.Duration(n))
}

func (m *paceMeter) startSample(now time.Time) {
	m.sampleStart, m.eventsBefore = now, m.events
	m.streamsBefore = m.exec.opts.Engines.Load(m.target, nil).Streams
}

// finish notes the end of the stream. One that was resumed shows a part of its
// length only.
func (m *paceMeter) finish(whole bool) {
	if m.resumed {
		return
	}
	m.exec.answerLength(m.exec.call.Route.Name).addStream(m.exec.call.Ask.Hint, m.events, whole)
}
