// Package demand measures the callers' demand for a service's engines: prefill of
// prompts and decoding slots for streams. Refused requests count, too. Daemons
// exchange their measurements, so that the planning daemon has the total.
package demand

import (
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/internal/steady"
)

const (
	// bucketDuration is the time that one bucket of a ring covers.
	bucketDuration = 100 * time.Millisecond
	// window is the time over which demand is averaged. It is about the time of a
	// change of role, since a shorter peak can't be served by one.
	window = 30 * bucketDuration
	// peerTimeout is how long an update of another daemon is valid.
	peerTimeout = 2 * time.Second
)

// Load is the demand for a service's engines.
type Load struct {
	Prefill float64 // number of engines that prefill would keep busy
	Streams float64 // number of concurrent streams if all requests were served
	Urgent  float64 // of these, streams of the most urgent priority requested so far
	// WeightedPrefill is Prefill with each prompt weighted by the share of its
	// objective that its prefill takes. It measures the cost of waiting.
	WeightedPrefill float64
	Transfer        float64 // number of engines whose links KV cache transfers would keep busy
}

func (l Load) add(o Load) Load {
	return Load{
		Prefill: l.Prefill + o.Prefill, Streams: l.Streams + o.Streams, Urgent: l.Urgent + o.Urgent,
		WeightedPrefill: l.WeightedPrefill + o.WeightedPrefill, Transfer: l.Transfer + o.Transfer,
	}
}

// Update is the demand for one service that a daemon sends to others.
type Update struct {
	_               struct{} `cbor:",toarray"`
	Service         uint64   // hash of the service's name
	Prefill         float32  `cbor:"Reading"`
	Streams         float32
	Urgent          float32
	WeightedPrefill float32 `cbor:"Weighty"`
	Transfer        float32 `cbor:"Moving"`
}

// Request is the estimated demand of one request at its arrival.
type Request struct {
	Prefill        time.Duration // of an engine
	StreamDuration time.Duration // for which its stream will run
	Transfer       time.Duration // of its KV cache to the decoding engine
	// Objective is the time within which the caller expects the first event; 0: none.
	Objective time.Duration
	Priority  int // of its route; 0 is the most urgent
}

// Tracker measures the demand at this daemon and holds the updates of others. It is
// safe for concurrent use.
type Tracker struct {
	now func() time.Time

	mu     sync.Mutex
	local  map[uint64]*ring
	peers  map[string]peer
	oldest time.Time // lower bound of the times in peers
}

type peer struct {
	at      time.Time
	updates []Update
}

// New returns an empty Tracker.
func New(now func() time.Time) *Tracker {
	now = steady.Clock(now)
	return &Tracker{now: now, local: make(map[uint64]*ring), peers: make(map[string]peer), oldest: now()}
}

// Observe adds one request.
func (t *Tracker) Observe(service string, req Request) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.local[engines.Hash(service)]
	if r == nil {
		r = newRing(now)
		t.local[engines.Hash(service)] = r
	}
	r.add(now, req)
}

// MostUrgent reports whether no request of the service so far was more urgent than
// priority.
func (t *Tracker) MostUrgent(service string, priority int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.local[engines.Hash(service)]
	return r == nil || priority <= r.mostUrgent
}

// Total returns the demand at all daemons.
func (t *Tracker) Total(service string) Load {
	now, k := t.now(), engines.Hash(service)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var sum Load
	if r := t.local[k]; r != nil {
		sum = r.load(now)
	}
	return t.addOthers(sum, k)
}

// Others returns the demand at all other daemons.
func (t *Tracker) Others(service string) Load {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	return t.addOthers(Load{}, engines.Hash(service))
}

// addOthers returns sum plus the updates of all other daemons for a service.
// Callers hold t.mu.
func (t *Tracker) addOthers(sum Load, k uint64) Load {
	for _, p := range t.peers {
		for _, u := range p.updates {
			if u.Service == k {
				sum = sum.add(u.load())
			}
		}
	}
	return sum
}

func (u Update) load() Load {
	return Load{
		Prefill: float64(u.Prefill), Streams: float64(u.Streams), Urgent: float64(u.Urgent),
		WeightedPrefill: float64(u.WeightedPrefill), Transfer: float64(u.Transfer),
	}
}

func newUpdate(service uint64, l Load) Update {
	return Update{
		Service: service, Prefill: float32(l.Prefill), Streams: float32(l.Streams), Urgent: float32(l.Urgent),
		WeightedPrefill: float32(l.WeightedPrefill), Transfer: float32(l.Transfer),
	}
}

// Report returns the demand at this process, by service.
func (t *Tracker) Report() []Update { return t.SumOf(func(string) bool { return false }) }

// SumOf returns the sum of the demand at this process and of the updates whose names
// are accepted by names.
func (t *Tracker) SumOf(names func(name string) bool) []Update {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	sums := make(map[uint64]Load, len(t.local))
	for k, r := range t.local {
		sums[k] = r.load(now)
	}
	for name, p := range t.peers {
		if !names(name) {
			continue
		}
		for _, u := range p.updates {
			sums[u.Service] = sums[u.Service].add(u.load())
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

// Subtract returns a sum of updates without a part of it. No result is negative, as
// it could be if the part was sent earlier than the sum.
func Subtract(sum, part []Update) []Update {
	out := make([]Update, 0, len(sum))
	for _, u := range sum {
		for _, p := range part {
			if p.Service == u.Service {
				u.Prefill, u.Streams, u.Urgent = max(u.Prefill-p.Prefill, 0), max(u.Streams-p.Streams, 0), max(u.Urgent-p.Urgent, 0)
				u.WeightedPrefill, u.Transfer = max(u.WeightedPrefill-p.WeightedPrefill, 0), max(u.Transfer-p.Transfer, 0)
			}
		}
		out = append(out, u)
	}
	return out
}

// Merge stores the update of another daemon, or the sum of several. It replaces the
// last update under the same name.
func (t *Tracker) Merge(from string, updates []Update) {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[from] = peer{at: now, updates: updates}
	t.expire(now)
}

// RemovePeers removes the updates of all other daemons.
func (t *Tracker) RemovePeers() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.peers)
}

// expire removes updates older than peerTimeout. Callers hold t.mu.
func (t *Tracker) expire(now time.Time) {
	if now.Sub(t.oldest) <= peerTimeout {
		return
	}
	t.oldest = now
	for name, p := range t.peers {
		if now.Sub(p.at) > peerTimeout {
			delete(t.peers, name)
		} else if p.at.Before(t.oldest) {
			t.oldest = p.at
		}
	}
}
