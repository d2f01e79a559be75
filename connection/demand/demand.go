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
	Reading float64 // engines that would be busy reading all the time
	Streams float64 // streams that would run at a time, were all served
	Urgent  float64 // of these, streams of the most urgent priority asked for
	// Weighty is Reading with each prompt weighed by its share of its objective:
	// what waiting costs.
	Weighty float64
	Moving  float64 // engines whose links would move KV cache all the time
}

func (l Load) add(o Load) Load {
	return Load{
		Reading: l.Reading + o.Reading, Streams: l.Streams + o.Streams, Urgent: l.Urgent + o.Urgent,
		Weighty: l.Weighty + o.Weighty, Moving: l.Moving + o.Moving,
	}
}

// Update is what one daemon sends the others of one service.
type Update struct {
	_       struct{} `cbor:",toarray"`
	Service uint64   // hash of its name
	Reading float32  `cbor:"Reading"`
	Streams float32
	Urgent  float32
	Weighty float32 `cbor:"Weighty"`
	Moving  float32 `cbor:"Moving"`
}

// Offer is one request, as it is estimated at its arrival.
type Offer struct {
	Reading time.Duration // of an engine's prefill
	Lasts   time.Duration // that its stream will run
	Moving  time.Duration // that its KV cache takes to the engine that decodes
	// Objective is the time in which the caller wants the first event, 0: none.
	Objective time.Duration
	Priority  int // of its route, 0 is the most urgent
}

// Book is safe for concurrent use.
type Book struct {
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

// New returns an empty Book.
func New(now func() time.Time) *Book {
	return &Book{now: now, local: make(map[uint64]*ring), peers: make(map[string]peer), oldest: now()}
}

// Note takes one request in.
func (b *Book) Note(service string, o Offer) {
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
func (b *Book) MostUrgent(service string, priority int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.local[engines.Hash(service)]
	return r == nil || priority <= r.mostUrgent
}

// Total is what all daemons together are asked.
func (b *Book) Total(service string) Load {
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
		Reading: float64(w.Reading), Streams: float64(w.Streams), Urgent: float64(w.Urgent),
		Weighty: float64(w.Weighty), Moving: float64(w.Moving),
	}
}

func newUpdate(service uint64, l Load) Update {
	return Update{
		Service: service, Reading: float32(l.Reading), Streams: float32(l.Streams), Urgent: float32(l.Urgent),
		Weighty: float32(l.Weighty), Moving: float32(l.Moving),
	}
}

// Report returns what this process is asked.
func (b *Book) Report() []Update { return b.SumOf(func(string) bool { return false }) }

// SumOf is the sum of what this process is asked and of the updates whose names
// it is given.
func (b *Book) SumOf(names func(name string) bool) []Update {
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

// Less is what is left of a sum without a part of it, which may have been sent
// a little earlier.
func Less(sum, part []Update) []Update {
	out := make([]Update, 0, len(sum))
	for _, w := range sum {
		for _, p := range part {
			if p.Service == w.Service {
				w.Reading, w.Streams, w.Urgent = max(w.Reading-p.Reading, 0), max(w.Streams-p.Streams, 0), max(w.Urgent-p.Urgent, 0)
				w.Weighty, w.Moving = max(w.Weighty-p.Weighty, 0), max(w.Moving-p.Moving, 0)
			}
		}
		out = append(out, w)
	}
	return out
}

// Merge takes the update of another daemon, or of several in sum, in place of
// the last one under that name.
func (b *Book) Merge(from string, updates []Update) {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[from] = peer{at: now, updates: updates}
	b.expire(now)
}

// Forget takes out what all other daemons said.
func (b *Book) Forget() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.peers)
}

// expire takes out the updates of unresponsive daemons.
// Callers hold b.mu.
func (b *Book) expire(now time.Time) {
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
