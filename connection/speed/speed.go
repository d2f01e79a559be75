// Package speed estimates the speed of a service's engines from the requests that they
// serve: the prefill time of a prompt, the time to the first event, and the pace of a
// stream. It uses no configured speed, so that predictions are equally good for engines
// of any speed after some tens of prompts.
package speed

import (
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
)

// Estimates predict an engine's times. Without samples they are the zero value, which
// predicts nothing.
type Estimates struct {
	PerToken           float64       // nanoseconds of prefill per prompt token
	PerPair            float64       // nanoseconds per thousand pairs of a token and an earlier one
	PromptOverhead     time.Duration // additional time of each prompt, network included; the engine can prefill others meanwhile
	FirstEvent         time.Duration // from the request to the decoding engine until its first event, without the transfer of KV cache
	PerOutputToken     time.Duration // of a stream per requested output token, from its first event on
	SlotTime           time.Duration // mean time for which a stream holds its slot
	LessUrgentSlotTime time.Duration // the same for streams of all but the most urgent routes
	QueuedError        time.Duration // mean absolute error of the predicted time of prompts that waited
	Streams            int           // complete streams behind PerOutputToken
	Prompts            int           // prompts behind these estimates
}

// Known reports whether there were enough prompts to predict others.
func (e Estimates) Known() bool { return e.Prompts >= minPrompts }

// assumedPerToken is the assumed prefill time per prompt token of engines without
// samples, in nanoseconds. Published times of large models on one or a few
// accelerators range from 4 to 40 µs.
const assumedPerToken = 10e3

// OrDefault returns the estimates, or defaults while they aren't known. The defaults
// are only good for comparing prompts with each other, not for predicting a time.
func (e Estimates) OrDefault() Estimates {
	if !e.Known() {
		e.PerToken, e.PerPair = assumedPerToken, 0
	}
	return e
}

// PrefillSettled reports whether there are enough prompts to estimate the demand for
// prefill.
func (e Estimates) PrefillSettled() bool { return e.Prompts >= minLocalSamples }

// StreamsSettled reports whether there are enough complete streams to estimate the
// demand for slots.
func (e Estimates) StreamsSettled() bool { return e.Streams >= minLocalSamples }

// PrefillTime returns the time that an engine takes to prefill the last missing tokens
// of a prompt.
func (e Estimates) PrefillTime(prompt, missing int) time.Duration {
	t := float64(missing)*e.PerToken + pairs(prompt, missing)*e.PerPair
	return time.Duration(t)
}

// pairs returns the number, in thousands, of pairs of a missing token and an earlier
// token of the prompt. The work of attention is proportional to it.
func pairs(prompt, missing int) float64 {
	return float64(missing) * (float64(prompt) - float64(missing)/2) / 1e3
}

// Sample is one prompt whose prefill is complete.
type Sample struct {
	Prompt        int           // tokens of the prompt
	Missing       int           // tokens that weren't cached
	PredictedWait time.Duration // predicted time until its prefill began, fetches of KV cache included
	Duration      time.Duration // time from the request to its answer
	Factor        float64       // ratio of the engine's prefill time to that of its service; 0: unknown
}

const (
	// minPrompts is the least number of prompts for usable estimates. It is more than
	// twice the three coefficients of the fit.
	minPrompts = 8
	// minLocalSamples is the least number of samples with which a process prefers its own
	// estimates to those of another. If each prompt deviates by a fifth, a fit of 30
	// prompts deviates by a tenth.
	minLocalSamples = 30
	// minFirstEventWeight is the least weight of the newest first event. About the last
	// 20 count.
	minFirstEventWeight = 0.05
)

// Tracker estimates the speed of each service's engines. It is safe for concurrent
// use.
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
	local              Estimates // from this process's own prompts
	remote             Estimates // from the other process with the most prompts
	relativeError      float64   // smoothed relative error of the predictions
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker { return &Tracker{services: make(map[uint64]*service)} }

// get returns the state of a service, and creates it if needed. Callers hold t.mu.
func (t *Tracker) get(key uint64) *service {
	s := t.services[key]
	if s == nil {
		s = &service{pace: paceFit{engines: make(map[string]*slowness)}}
		t.services[key] = s
	}
	return s
}

// Estimates returns the current estimates for a service's engines.
func (t *Tracker) Estimates(name string) Estimates {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(engines.Hash(name)).estimates()
}

// estimates returns the local estimates if they come from enough prompts, and else
// those of another process if these come from more. A process that has just started
// can thus predict at once.
func (s *service) estimates() Estimates {
	est := s.local
	if s.local.Prompts < minLocalSamples && s.remote.Prompts > s.local.Prompts {
		est = s.remote
		if s.firstEvent.n > 0 {
			est.FirstEvent = s.firstEvent.value
		}
	}
	est.QueuedError = s.queuedError
	return est
}

// updateLocal updates the local estimates from the samples.
func (s *service) updateLocal() {
	s.local = s.fit.estimates()
	s.local.FirstEvent = s.firstEvent.value
	s.local.PerOutputToken, s.local.Streams = s.perOutputToken.value(), s.perOutputToken.n
	s.local.SlotTime, s.local.LessUrgentSlotTime = s.slotTime.value, s.lessUrgentSlotTime.value
}

// ObservePrompt adds a prompt whose prefill is complete.
func (t *Tracker) ObservePrompt(name string, p Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(engines.Hash(name))
	s.fit.add(p)
	s.recordError(p)
	s.updateLocal()
}

const (
	// errorWeight is the weight of the newest prediction in the smoothed errors.
	errorWeight = 0.05
	// maxError bounds the relative error of one prediction.
	maxError = 5.0
)

// recordError adds the error of the prediction for a prompt.
func (s *service) recordError(p Sample) {
	est := s.estimates()
	if !est.Known() || p.Duration <= 0 {
		return
	}
	predicted := p.PredictedWait + est.PromptOverhead + p.atEngine(est.PrefillTime(p.Prompt, p.Missing))
	if p.PredictedWait > 0 {
		s.queuedError += time.Duration(errorWeight * float64((predicted-p.Duration).Abs()-s.queuedError))
	}
	share := (predicted - p.Duration).Abs().Seconds() / p.Duration.Seconds()
	s.relativeError += errorWeight * (min(share, maxError) - s.relativeError)
}

// ObserveFirstEvent adds a time to the first event, without the transfer of KV cache.
func (t *Tracker) ObserveFirstEvent(name string, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(engines.Hash(name))
	s.firstEvent.add(max(latency, 0), minFirstEventWeight)
	s.updateLocal()
}

// decayingRatio is the time of streams per requested output token, with exponentially
// decaying weights.
type decayingRatio struct {
	time, tokens float64
	n            int
}

func (r *decayingRatio) add(duration time.Duration, tokens int) {
	r.time = promptDecay*r.time + float64(duration)
	r.tokens = promptDecay*r.tokens + float64(tokens)
	r.n++
}

func (r *decayingRatio) value() time.Duration {
	if r.tokens <= 0 {
		return 0
	}
	return time.Duration(r.time / r.tokens)
}

// minSlotTimeWeight is the least weight of the newest stream's slot time. About the
// last 50 count.
const minSlotTimeWeight = 0.02

// mean is a mean with exponentially decaying weights.
type mean[T time.Duration | float64] struct {
	value T
	n     int
}

// add adds a value. Its weight is that in a plain mean, but at least minWeight.
func (m *mean[T]) add(v T, minWeight float64) {
	m.n++
	weight := max(1/float64(m.n), minWeight)
	m.value += T(weight * float64(v-m.value))
}

// ObserveStream adds a complete stream: its duration from its first event on, and the
// time for which it held its slot.
func (t *Tracker) ObserveStream(name string, output int, duration, slotTime time.Duration, mostUrgent bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(engines.Hash(name))
	s.perOutputToken.add(duration, output)
	s.slotTime.add(slotTime, minSlotTimeWeight)
	if !mostUrgent {
		s.lessUrgentSlotTime.add(slotTime, minSlotTimeWeight)
	}
	s.updateLocal()
}

// StreamDuration returns the predicted duration of a stream with a requested number of
// output tokens.
func (e Estimates) StreamDuration(output int) time.Duration {
	return e.FirstEvent + e.PerOutputToken*time.Duration(output)
}

// Update holds the estimates for one service that a process sends to others.
type Update struct {
	_                    struct{} `cbor:",toarray"`
	Service              uint64
	PerToken             float32
	PerPair              float32
	PromptOverheadUs     uint32 `cbor:"StartUs"`
	FirstEventUs         uint32 `cbor:"FirstUs"`
	PerOutputTokenUs     uint32 `cbor:"OutputUs"`
	SlotTimeUs           uint32 `cbor:"StayUs"`
	LessUrgentSlotTimeUs uint32 `cbor:"LessUs"`
	Prompts              uint32 `cbor:"Reads"`
	Streams              uint32
}

// maxReportedCount bounds the counts in an Update, so that none of several processes
// with many samples is preferred.
const maxReportedCount = 1000

// Report returns the estimates from this process's own prompts.
func (t *Tracker) Report() []Update { return t.updates(func(s *service) Estimates { return s.local }) }

// Best returns the estimates from the most prompts, local or remote.
func (t *Tracker) Best() []Update {
	return t.updates(func(s *service) Estimates {
		if s.remote.Prompts > s.local.Prompts {
			return s.remote
		}
		return s.local
	})
}

func (t *Tracker) updates(which func(s *service) Estimates) []Update {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Update
	for key, s := range t.services {
		est := which(s)
		if !est.Known() {
			continue
		}
		out = append(out, Update{
			Service: key, PerToken: float32(est.PerToken), PerPair: float32(est.PerPair),
			PromptOverheadUs: uint32(est.PromptOverhead.Microseconds()), FirstEventUs: uint32(est.FirstEvent.Microseconds()),
			PerOutputTokenUs: uint32(est.PerOutputToken.Microseconds()), SlotTimeUs: uint32(est.SlotTime.Microseconds()), LessUrgentSlotTimeUs: uint32(est.LessUrgentSlotTime.Microseconds()),
			Prompts: uint32(min(est.Prompts, maxReportedCount)), Streams: uint32(min(est.Streams, maxReportedCount)),
		})
	}
	return out
}

// Merge stores another process's updates unless the stored ones come from more
// prompts.
func (t *Tracker) Merge(updates []Update) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range updates {
		s := t.get(u.Service)
		if int(u.Prompts) < s.remote.Prompts {
			continue
		}
		s.remote = Estimates{
			PerToken: float64(u.PerToken), PerPair: float64(u.PerPair),
			PromptOverhead: time.Duration(u.PromptOverheadUs) * time.Microsecond, FirstEvent: time.Duration(u.FirstEventUs) * time.Microsecond,
			PerOutputToken: time.Duration(u.PerOutputTokenUs) * time.Microsecond, SlotTime: time.Duration(u.SlotTimeUs) * time.Microsecond, LessUrgentSlotTime: time.Duration(u.LessUrgentSlotTimeUs) * time.Microsecond,
			Prompts: int(u.Prompts),
			Streams: int(u.Streams),
		}
	}
}

// PredictionError returns the smoothed relative error of the predicted times of
// prompts.
func (t *Tracker) PredictionError(name string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(engines.Hash(name)).relativeError
}
