package dispatch

import (
	"time"

	"github.com/pomelospool/pomelospool/request/placement"
)

const (
	// minGapSpan and minGapEvents are the shortest time and the fewest
	// events of a stream that are taken as a sample of its engine's pace.
	minGapSpan   = 250 * time.Millisecond
	minGapEvents = 4
)

// answerLength returns the tracker of a route's answer lengths.
func (r *Runner) answerLength(route string) *answerLength {
	return getOrCreate(&r.mu, r.answerLengths, route)
}

// setStreamLimits sets for each engine the number of concurrent streams up
// to which the longest answers of the call's route end in time.
func (x *execution) setStreamLimits(decoders []placement.Candidate) {
	gap := x.answerLength(x.call.Route.Name).maxGap()
	if gap <= 0 {
		return
	}
	for i := range decoders {
		c := &decoders[i]
		if pace := x.opts.Speed.Pace(x.call.Service.Name, c.Entry.ID); pace.Known() {
			c.MaxStreams = pace.MaxStreams(gap)
		}
	}
}

// spareTime predicts how much of the call's time is left over if a fully
// loaded engine makes its answer. It returns false if that is unknown.
func (x *execution) spareTime(decoders []placement.Candidate) (time.Duration, bool) {
	if len(decoders) == 0 || x.call.Meta.OutputHint <= 0 {
		return 0, false
	}
	c := &decoders[0]
	pace := x.opts.Speed.Pace(x.call.Service.Name, c.Entry.ID)
	if !pace.Known() {
		return 0, false
	}
	duration := x.answerLength(x.call.Route.Name).duration(x.call.Meta.OutputHint, pace.Gap(c.StreamLimit()))
	return time.Until(x.call.Deadline) - duration, true
}

// canRetry reports whether a rejected caller has enough time for a retry.
func (x *execution) canRetry(decoders []placement.Candidate) bool {
	spare, known := x.spareTime(decoders)
	return known && spare > time.Duration(minRetryShare*float64(time.Until(x.call.Deadline)))
}

// capRetryDelay limits the retry delay of a rejected caller to the time that
// its answer leaves over.
func (x *execution) capRetryDelay(after time.Duration, decoders []placement.Candidate) time.Duration {
	spare, known := x.spareTime(decoders)
	if !known {
		return after
	}
	return max(min(after, spare), minRetryDelay)
}

// paceMeter measures the time between events at the engine of one stream.
type paceMeter struct {
	exec          *execution
	target        string
	events        int // in the whole stream
	sampleStart   time.Time
	eventsBefore  int // events at sampleStart
	streamsBefore int // streams at the engine at sampleStart
	resumed       bool
}

// addEvents records received events and reports a sample once it is large
// enough.
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
	m.exec.opts.Speed.ObserveGap(m.exec.call.Service.Name, m.target, float64(streams+m.streamsBefore)/2, span/time.Duration(n))
}

func (m *paceMeter) startSample(now time.Time) {
	m.sampleStart, m.eventsBefore = now, m.events
	m.streamsBefore = m.exec.opts.Engines.Load(m.target, nil).Streams
}

// finish records the length of the answer. A resumed stream is ignored,
// since it holds only a part of the answer.
func (m *paceMeter) finish(complete bool) {
	if m.resumed {
		return
	}
	m.exec.answerLength(m.exec.call.Route.Name).addStream(m.exec.call.Meta.OutputHint, m.events, complete)
}
