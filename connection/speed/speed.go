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

// Figures predict an engine's times. The zero value predicts nothing: it stands
// for engines of which nothing was seen.
type Figures struct {
	PerToken  float64       // nanoseconds to read one prompt token
	PerPair   float64       // nanoseconds for a thousand pairs of a token and one before it
	Start     time.Duration // of each prompt on top, network included; the engine reads others meanwhile
	First     time.Duration // from the request to the decoding engine to its first event, without the move of KV cache
	PerOutput time.Duration // that a stream takes for each output token stated, from its first event on
	Stay      time.Duration // that a stream holds its place, on the mean over streams
	StayLess  time.Duration // the same of streams that aren't of the most urgent routes
	Spread    time.Duration // by which the time of prompts that waited is off on the mean
	Streams   int           // whole streams that PerOutput comes from
	Reads     int           // prompts that these figures come from
}

// Known reports whether enough prompts were seen to predict others.
func (f Figures) Known() bool { return f.Reads >= minPrompts }

// assumedPerToken is the time to read a prompt token, in nanoseconds, that is
// assumed of engines that nothing is known of: what published figures of large
// models on one or a few accelerators lie around, from 4 to 40 µs.
const assumedPerToken = 10e3

// OrAssumed returns the figures, or while they aren't known some that prompts
// can be weighed against each other with. No time may be promised by these.
func (f Figures) OrAssumed() Figures {
	if !f.Known() {
		f.PerToken, f.PerPair = assumedPerToken, 0
	}
	return f
}

// ReadsSettled reports whether what a prompt asks of the engines is known.
func (f Figures) ReadsSettled() bool { return f.Reads >= minLocalSamples }

// StreamsSettled reports whether what an answer asks of them is known, too.
func (f Figures) StreamsSettled() bool { return f.Streams >= minLocalSamples }

// Read is the time that an engine takes to read the last missing tokens of a
// prompt.
func (f Figures) Read(prompt, missing int) time.Duration {
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
	Prompt  int           // its tokens
	Missing int           // of these, those that had to be read
	Before  time.Duration // predicted until the engine began with it, fetches included
	Took    time.Duration // from the request to its answer
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

// Book learns the figures of each service. It is safe for concurrent use.
type Book struct {
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
	local              Figures // of this process's own prompts
	remote             Figures // another process's, of the most prompts
	relativeError      float64 // smoothed share by which the prediction is off
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{services: make(map[uint64]*service)} }

// get returns what is known of a service. Callers hold b.mu.
func (b *Book) get(key uint64) *service {
	s := b.services[key]
	if s == nil {
		s = &service{pace: paceFit{engines: make(map[string]*slowness)}}
		b.services[key] = s
	}
	return s
}

// Figures returns what is known of a service's engines now.
func (b *Book) Figures(name string) Figures {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(engines.Hash(name)).estimates()
}

// estimates are the own ones once they come from enough prompts, else another
// process's: a process that has just started predicts like the others at once.
func (s *service) estimates() Figures {
	f := s.local
	if s.local.Reads < minLocalSamples && s.remote.Reads > s.local.Reads {
		f = s.remote
		if s.firstEvent.n > 0 {
			f.First = s.firstEvent.value
		}
	}
	f.Spread = s.queuedError
	return f
}

// updateLocal puts the own figures together from what was learnt.
func (s *service) updateLocal() {
	s.local = s.fit.estimates()
	s.local.First = s.firstEvent.value
	s.local.PerOutput, s.local.Streams = s.perOutputToken.value(), s.perOutputToken.n
	s.local.Stay, s.local.StayLess = s.slotTime.value, s.lessUrgentSlotTime.value
}

// Read notes a prompt that was read.
func (b *Book) Read(name string, p Sample) {
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
	if !f.Known() || p.Took <= 0 {
		return
	}
	predicted := p.Before + f.Start + f.Read(p.Prompt, p.Missing)
	if p.Before > 0 {
		s.queuedError += time.Duration(errorWeight * float64((predicted-p.Took).Abs()-s.queuedError))
	}
	share := (predicted - p.Took).Abs().Seconds() / p.Took.Seconds()
	s.relativeError += errorWeight * (min(share, maxError) - s.relativeError)
}

// First notes the time to the first event, without the move of KV cache.
func (b *Book) First(name string, seen time.Duration) {
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

// Stream notes how long a whole stream took from its first event on, and how
// long it held its place.
func (b *Book) Stream(name string, output int, took, stay time.Duration, mostUrgent bool) {
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

// Lasts is how long a stream will run that states so many output tokens.
func (f Figures) Lasts(output int) time.Duration {
	return f.First + f.PerOutput*time.Duration(output)
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
func (b *Book) Report() []Update { return b.updates(func(s *service) Figures { return s.local }) }

// Best returns the figures of the most prompts that this process knows of.
func (b *Book) Best() []Update {
	return b.updates(func(s *service) Figures {
		if s.remote.Reads > s.local.Reads {
			return s.remote
		}
		return s.local
	})
}

func (b *Book) updates(which func(s *service) Figures) []Update {
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
			StartUs: uint32(f.Start.Microseconds()), FirstUs: uint32(f.First.Microseconds()),
			OutputUs: uint32(f.PerOutput.Microseconds()), StayUs: uint32(f.Stay.Microseconds()), LessUs: uint32(f.StayLess.Microseconds()),
			Reads: uint32(min(f.Reads, maxReportedCount)), Streams: uint32(min(f.Streams, maxReportedCount)),
		})
	}
	return out
}

// Merge takes another process's update.
func (b *Book) Merge(updates []Update) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range updates {
		s := b.get(w.Service)
		if int(w.Reads) < s.remote.Reads {
			continue
		}
		s.remote = Figures{
			PerToken: float64(w.PerToken), PerPair: float64(w.PerPair),
			Start: time.Duration(w.StartUs) * time.Microsecond, First: time.Duration(w.FirstUs) * time.Microsecond,
			PerOutput: time.Duration(w.OutputUs) * time.Microsecond, Stay: time.Duration(w.StayUs) * time.Microsecond, StayLess: time.Duration(w.LessUs) * time.Microsecond,
			Reads:   int(w.Reads),
			Streams: int(w.Streams),
		}
	}
}

// Error is by which share the prediction of prompts has been off, smoothed.
func (b *Book) Error(name string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.get(engines.Hash(name)).relativeError
}
