// Package speed learns how fast a service's engines are from the requests that
// they serve: how long a prompt takes to be read, and how long the first event
// takes from there. It starts from nothing, so that engines of any speed are
// predicted alike well after some tens of prompts.
package speed

import (
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
)

// Estimates predict an engine's times. The zero value predicts nothing: it stands
// for engines of which nothing was seen.
type Estimates struct {
	PerToken           float64       // nanoseconds to read one prompt token
	PerPair            float64       // nanoseconds for a thousand pairs of a token and one before it
	PromptOverhead     time.Duration // of each prompt on top, network included; the engine reads others meanwhile
	FirstEvent         time.Duration // from the request to the decoding engine to its first event, without the move of KV cache
	PerOutputToken     time.Duration // that a stream takes for each output token stated, from its first event on
	SlotTime           time.Duration // that a stream holds its place, on the mean over streams
	LessUrgentSlotTime time.Duration // the same of streams that aren't of the most urgent routes
	QueuedError        time.Duration // by which the time of prompts that waited is off on the mean
	Streams            int           // whole streams that PerOutput comes from
	Prompts            int           // prompts that these figures come from
}

// Known reports whether enough prompts were seen to predict others.
func (f Estimates) Known() bool { return f.Prompts >= minPrompts }

// assumedPerToken is the time to read a prompt token, in nanoseconds, that is
// assumed of engines that nothing is known of: what published figures of large
// models on one or a few accelerators lie around, from 4 to 40 µs.
const assumedPerToken = 10e3

// OrDefault returns the figures, or while they aren't known some that prompts
// can be weighed against each other with. No time may be promised by these.
func (f Estimates) OrDefault() Estimates {
	if !f.Known() {
		f.PerToken, f.PerPair = assumedPerToken, 0
	}
	return f
}

// PrefillSettled reports whether what a prompt asks of the engines is known.
func (f Estimates) PrefillSettled() bool { return f.Prompts >= minLocalSamples }

// StreamsSettled reports whether what an answer asks of them is known, too.
func (f Estimates) StreamsSettled() bool { return f.Streams >= minLocalSamples }

// ObservePrompt is the time that an engine takes to read the last missing tokens of a
// prompt.
func (f Estimates) PrefillTime(prompt, missing int) time.Duration {
	t := float64(missing)*f.PerToken + pairs(prompt, missing)*f.PerPair
	return time.Duration(t)
}

// pairs is the number, in thousands, of pairs of a missing token and one of
// the prompt before it: what attention computes.
func pairs(prompt, missing int) float64 {
	return float64(missing) * (float64(prompt) - float64(missing)/2) / 1e3
}

// Sample is one prompt that was read.
type Sample struct {
	Prompt        int           // its tokens
	Missing       int           // of these, those that had to be read
	PredictedWait time.Duration // predicted until the engine began with it, fetches included
	Duration      time.Duration // from the request to its answer
}

const (
	// minPrompts is the number of prompts from which on figures are used: twice
	// and more the three that the fit finds.
	minPrompts = 8
	// minLocalSamples is the number of own prompts from which on a process trusts its
	// own figures more than another's: with 30 the fit of prompts that are off
	// by a fifth each is off by a tenth.
	minLocalSamples = 30
	// minFirstEventWeight is the least weight of the newest first event: the last 20.
	minFirstEventWeight = 0.05
)

// Tracker learns the figures of each service. It is safe for concurrent use.
type Tracker struct {
	mu       sync.Mutex
	services map[uint64]*service
}

type service struct {
	fit                fit
	firstEvent         mean[time.Duration]
	perOutputToken     decayingRatio
	pace               paceFit
	slotTime           mean[time.Duration]
	lessUrgentSlotTime mean[time.Duration]
	queuedError        time.Duration
	local              Estimates // of this process's own prompts
	remote             Estimates // another process's, of the most prompts
	relativeError      float64   // smoothed share by which the prediction is off
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker { return &Tracker{services: make(map[uint64]*service)} }

// get returns what is known of a service. Callers hold b.mu.
func (b *Tracker) get(key uint64) *service {
	s := b.services[key]
	if s == nil {
		s = &service{pace: paceFit{engines: make(map[string]*slowness)}}
		b.services[key] = s
	}
	return s
}

// Estimates returns what is known of a service's engines now.
func (b *Tracker) Estimates(name string) Estimates {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(engines.Hash(name)).estimates()
}

// estimates are the own ones once they come from enough prompts, else another
// process's: a process that has just started predicts like the others at once.
func (s *service) estimates() Estimates {
	f := s.local
	if s.local.Prompts < minLocalSamples && s.remote.Prompts > s.local.Prompts {
		f = s.remote
		if s.firstEvent.n > 0 {
			f.FirstEvent = s.firstEvent.value
		}
	}
	f.QueuedError = s.queuedError
	return f
}

// updateLocal puts the own figures together from what was learnt.
func (s *service) updateLocal() {
	s.local = s.fit.estimates()
	s.local.FirstEvent = s.firstEvent.value
	s.local.PerOutputToken, s.local.Streams = s.perOutputToken.value(), s.perOutputToken.n
	s.local.SlotTime, s.local.LessUrgentSlotTime = s.slotTime.value, s.lessUrgentSlotTime.value
}

// ObservePrompt notes a prompt that was read.
func (b *Tracker) ObservePrompt(name string, p Sample) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.get(engines.Hash(name))
	s.fit.add(p)
	s.recordError(p)
	s.updateLocal()
}

const (
	// errorWeight is the weight of the newest prediction in the error shown.
	errorWeight = 0.05
	// maxError bounds one prediction's error.
	maxError = 5.0
)

// recordError notes by how much the prediction of a prompt was off.
func (s *service) recordError(p Sample) {
	f := s.estimates()
	if !f.Known() || p.Duration <= 0 {
		return
	}
	predicted := p.PredictedWait + f.PromptOverhead + f.PrefillTime(p.Prompt, p.Missing)
	if p.PredictedWait > 0 {
		s.queuedError += time.Duration(errorWeight * float64((predicted-p.Duration).Abs()-s.queuedError))
	}
	share := (predicted - p.Duration).Abs().Seconds() / p.Duration.Seconds()
	s.relativeError += errorWeight * (min(share, maxError) - s.relativeError)
}

// ObserveFirstEvent notes the time to the first event, without the move of KV cache.
func (b *Tracker) ObserveFirstEvent(name string, seen time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.get(engines.Hash(name))
	s.firstEvent.add(max(seen, 0), minFirstEventWeight)
	s.updateLocal()
}

// decayingRatio is the time of streams over the output tokens that they stated, with
// weights that fade.
type decayingRatio struct {
	time, tokens float64
	n            int
}

func (r *decayingRatio) add(took time.Duration, tokens int) {
	r.time = promptDecay*r.time + float64(took)
	r.tokens = promptDecay*r.tokens + float64(tokens)
	r.n++
}

func (r *decayingRatio) value() time.Duration {
	if r.tokens <= 0 {
		return 0
	}
	return time.Duration(r.time / r.tokens)
}

// minSlotTimeWeight is the least weight of the newest stream's stay: the last 50.
const minSlotTimeWeight = 0.02

// mean is a mean whose weights fade.
type mean[T time.Duration | float64] struct {
	value T
	n     int
}

// add takes in the newest value; its weight is least once there are 1/least.
func (m *mean[T]) add(v T, least float64) {
	m.n++
	weight := max(1/float64(m.n), least)
	m.value += T(weight * float64(v-m.value))
}

// ObserveStream notes how long a whole stream took from its first event on, and how
// long it held its place.
func (b *Tracker) ObserveStream(name string, output int, took, stay time.Duration, mostUrgent bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.get(engines.Hash(name))
	s.perOutputToken.add(took, output)
	s.slotTime.add(stay, minSlotTimeWeight)
	if !mostUrgent {
		s.lessUrgentSlotTime.add(stay, minSlotTimeWeight)
	}
	s.updateLocal()
}

// StreamDuration is how long a stream will run that states so many output tokens.
func (f Estimates) StreamDuration(output int) time.Duration {
	return f.FirstEvent + f.PerOutputToken*time.Duration(output)
}

// Update is what one process sends the others of a service's engines.
type Update struct {
	_        struct{} `cbor:",toarray"`
	Service  uint64
	PerToken float32
	PerPair  float32
	StartUs  uint32
	FirstUs  uint32
	OutputUs uint32
	StayUs   uint32
	LessUs   uint32
	Reads    uint32
	Streams  uint32
}

// maxReportedCount bounds the number told: of two processes that both know well, none
// is preferred.
const maxReportedCount = 1000

// Report returns the figures of this process's own prompts.
func (b *Tracker) Report() []Update { return b.updates(func(s *service) Estimates { return s.local }) }

// Best returns the figures of the most prompts that this process knows of.
func (b *Tracker) Best() []Update {
	return b.updates(func(s *service) Estimates {
		if s.remote.Prompts > s.local.Prompts {
			return s.remote
		}
		return s.local
	})
}

func (b *Tracker) updates(which func(s *service) Estimates) []Update {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Update
	for key, s := range b.services {
		f := which(s)
		if !f.Known() {
			continue
		}
		out = append(out, Update{
			Service: key, PerToken: float32(f.PerToken), PerPair: float32(f.PerPair),
			StartUs: uint32(f.PromptOverhead.Microseconds()), FirstUs: uint32(f.FirstEvent.Microseconds()),
			OutputUs: uint32(f.PerOutputToken.Microseconds()), StayUs: uint32(f.SlotTime.Microseconds()), LessUs: uint32(f.LessUrgentSlotTime.Microseconds()),
			Reads: uint32(min(f.Prompts, maxReportedCount)), Streams: uint32(min(f.Streams, maxReportedCount)),
		})
	}
	return out
}

// Merge takes another process's update.
func (b *Tracker) Merge(updates []Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range updates {
		s := b.get(w.Service)
		if int(w.Reads) < s.remote.Prompts {
			continue
		}
		s.remote = Estimates{
			PerToken: float64(w.PerToken), PerPair: float64(w.PerPair),
			PromptOverhead: time.Duration(w.StartUs) * time.Microsecond, FirstEvent: time.Duration(w.FirstUs) * time.Microsecond,
			PerOutputToken: time.Duration(w.OutputUs) * time.Microsecond, SlotTime: time.Duration(w.StayUs) * time.Microsecond, LessUrgentSlotTime: time.Duration(w.LessUs) * time.Microsecond,
			Prompts: int(w.Reads),
			Streams: int(w.Streams),
		}
	}
}

// PredictionError is by which share the prediction of prompts has been off, smoothed.
func (b *Tracker) PredictionError(name string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(engines.Hash(name)).relativeError
}
