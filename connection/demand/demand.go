// Package demand measures what callers ask of a service's engines, whether it
// is served or refused: reading of prompts, and places for streams. Daemons
// exchange it, so that the daemon that plans sees all of it.
package demand

import (
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
)

const (
	// bucketDuration is the resolution of the books.
	bucketDuration = 100 * time.Millisecond
	// window is the time over which demand is averaged: about that of a change of
	// role, since what is over sooner can't be answered by one.
	window = 30 * bucketDuration
	// peerTimeout is how long another daemon's update counts.
	peerTimeout = 2 * time.Second
)

// Load is what is asked of a service's engines.
type Load struct {
	Prefill float64 // engines that would be busy reading all the time
	Streams float64 // streams that would run at a time, were all served
	Urgent  float64 // of these, streams of the most urgent priority asked for
	// WeightedPrefill is Prefill with each prompt weighed by its share of its objective:
	// what waiting costs.
	WeightedPrefill float64
	Transfer        float64 // engines whose links would move KV cache all the time
}

func (l Load) add(o Load) Load {
	return Load{
		Prefill: l.Prefill + o.Prefill, Streams: l.Streams + o.Streams, Urgent: l.Urgent + o.Urgent,
		WeightedPrefill: l.WeightedPrefill + o.WeightedPrefill, Transfer: l.Transfer + o.Transfer,
	}
}

// Update is what one daemon sends the others of one service.
type Update struct {
	_               struct{} `cbor:",toarray"`
	Service         uint64   // hash of its name
	Prefill         float32  `cbor:"Reading"`
	Streams         float32
	Urgent          float32
	WeightedPrefill float32 `cbor:"Weighty"`
	Transfer        float32 `cbor:"Moving"`
}

// Request is one request, as it is estimated at its arrival.
type Request struct {
	Prefill        time.Duration // of an engine's prefill
	StreamDuration time.Duration // that its stream will run
	Transfer       time.Duration // that its KV cache takes to the engine that decodes
	// Objective is the time in which the caller wants the first event, 0: none.
	Objective time.Duration
	Priority  int // of its route, 0 is the most urgent
}

// Tracker is safe for concurrent use.
type Tracker struct {
	now func() time.Time

	mu     sync.Mutex
	local  map[uint64]*ring
	peers  map[string]peer
	oldest time.Time // no update in peers is older
}

type peer struct {
	at      time.Time
	updates []Update
}

// New returns an empty Tracker.
func New(now func() time.Time) *Tracker {
	return &Tracker{now: now, local: make(map[uint64]*ring), peers: make(map[string]peer), oldest: now()}
}

// Observe takes one request in.
func (b *Tracker) Observe(service string, o Request) {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.local[engines.Hash(service)]
	if r == nil {
		r = newRing(now)
		b.local[engines.Hash(service)] = r
	}
	r.add(now, o)
}

// MostUrgent reports whether no request of the service was more urgent so far.
func (b *Tracker) MostUrgent(service string, priority int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.local[engines.Hash(service)]
	return r == nil || priority <= r.mostUrgent
}

// Total is what all daemons together are asked.
func (b *Tracker) Total(service string) Load {
	now, k := b.now(), engines.Hash(service)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	var sum Load
	if r := b.local[k]; r != nil {
		sum = r.load(now)
	}
	for _, p := range b.peers {
		for _, w := range p.updates {
			if w.Service == k {
				sum = sum.add(w.load())
			}
		}
	}
	return sum
}

func (w Update) load() Load {
	return Load{
		Prefill: float64(w.Prefill), Streams: float64(w.Streams), Urgent: float64(w.Urgent),
		WeightedPrefill: float64(w.WeightedPrefill), Transfer: float64(w.Transfer),
	}
}

func newUpdate(service uint64, l Load) Update {
	return Update{
		Service: service, Prefill: float32(l.Prefill), Streams: float32(l.Streams), Urgent: float32(l.Urgent),
		WeightedPrefill: float32(l.WeightedPrefill), Transfer: float32(l.Transfer),
	}
}

// Report returns what this process is asked.
func (b *Tracker) Report() []Update { return b.SumOf(func(string) bool { return false }) }

// SumOf is the sum of what this process is asked and of the updates whose names
// it is given.
func (b *Tracker) SumOf(names func(name string) bool) []Update {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	sums := make(map[uint64]Load, len(b.local))
	for k, r := range b.local {
		sums[k] = r.load(now)
	}
	for name, p := range b.peers {
		if !names(name) {
			continue
		}
		for _, w := range p.updates {
			sums[w.Service] = sums[w.Service].add(w.load())
		}
	}
	out := make([]Update, 0, len(sums))
	for k, l := range sums {
		if l != (Load{}) {
			out = append(out, newUpdate(k, l))
		}
	}
	return out
}

// Subtract is what is left of a sum without a part of it, which may have been sent
// a little earlier.
func Subtract(sum, part []Update) []Update {
	out := make([]Update, 0, len(sum))
	for _, w := range sum {
		for _, p := range part {
			if p.Service == w.Service {
				w.Prefill, w.Streams, w.Urgent = max(w.Prefill-p.Prefill, 0), max(w.Streams-p.Streams, 0), max(w.Urgent-p.Urgent, 0)
				w.WeightedPrefill, w.Transfer = max(w.WeightedPrefill-p.WeightedPrefill, 0), max(w.Transfer-p.Transfer, 0)
			}
		}
		out = append(out, w)
	}
	return out
}

// Merge takes the update of another daemon, or of several in sum, in place of
// the last one under that name.
func (b *Tracker) Merge(from string, updates []Update) {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[from] = peer{at: now, updates: updates}
	b.expire(now)
}

// Forget takes out what all other daemons said.
func (b *Tracker) Forget() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.peers)
}

// expire takes out the updates of unresponsive daemons.
// Callers hold b.mu.
func (b *Tracker) expire(now time.Time) {
	if now.Sub(b.oldest) <= peerTimeout {
		return
	}
	b.oldest = now
	for name, p := range b.peers {
		if now.Sub(p.at) > peerTimeout {
			delete(b.peers, name)
		} else if p.at.Before(b.oldest) {
			b.oldest = p.at
		}
	}
}
