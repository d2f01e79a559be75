// Package engines keeps what this process knows of the model engines' work:
// what it sent itself, what the other daemons say they sent, and which prompt
// prefixes each engine has read. Engines' own reports lag by some hundred
// milliseconds and are paid for; a daemon's own report reaches the others in a
// few.
package engines

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomelospool/pomelospool/port"
)

// Work is what one daemon has at one engine now.
type Work struct {
	_       struct{} `cbor:",toarray"` // 20 bytes an engine in place of 65
	Target  uint64   // hash of the engine's id
	Reading uint32   // microseconds that the engine needs for the prompts sent to it
	Prompts uint32   // number of these
	Streams uint32   // requests that decode there, or are about to
	// Becomes is the role that the engine takes by an order of this daemon's;
	// it refuses requests meanwhile. Empty: it carries out none.
	Becomes port.Role
	Down    uint16 // daemons that can't reach it: 0 or 1 in one daemon's report, their number in a sum
}

// Idle reports whether there is nothing to report.
func (w *Work) Idle() bool {
	return w.Streams == 0 && w.Prompts == 0 && w.Becomes == "" && w.Down == 0
}

// Read says that an engine reads a prompt.
type Read struct {
	_      struct{} `cbor:",toarray"`
	Target uint64
	Parts  []port.PromptPart
	LeftMs uint32 // until it has read it, about, from when this is sent

	ready time.Time // the same by this process's clock
}

// Tokens is the number of tokens of the parts.
func (r Read) Tokens() int {
	n := 0
	for _, p := range r.Parts {
		n += p.Tokens
	}
	return n
}

// Key is equal for equal reads, and spread evenly.
func (r Read) Key() uint64 {
	key := r.Target
	for _, p := range r.Parts {
		key = key*31 + p.ID
	}
	return key ^ key>>32
}

// At is the read as it is reported at that time.
func (r Read) At(now time.Time) Read {
	r.LeftMs = uint32(max(r.ready.Sub(now), 0).Milliseconds())
	return r
}

// Load is what all daemons together have at one engine.
type Load struct {
	Wait    time.Duration // until the engine has read the prompts sent to it
	Streams int
	Cached  int // leading prompt tokens of the request that the engine keeps, or will have read by the time that it gets to the request
	Ready   int // of these, the leading ones that can be fetched from it now
	// Becomes is the role that the engine takes by an order that it carries
	// out, of whichever daemon; empty: it carries out none.
	Becomes port.Role
	Down    int // daemons that can't reach it, this one included
}

// downVotes is the number of daemons whose report takes a target out. One alone
// may be cut off from a target that all others reach.
const downVotes = 2

// Unreachable reports whether enough daemons can't reach the target.
func (l Load) Unreachable() bool { return l.Down >= downVotes }

// Book is safe for concurrent use.
type Book struct {
	now     func() time.Time
	changed func(Work) // called with own work at an engine after it changed

	mu      sync.Mutex
	engines map[uint64]*engine
	holders map[uint64][]uint64 // by id of a prompt part, the last engines that read it
	peers   map[string]*peerWork
	oldest  time.Time // no report in peers is older
	reads   []Read    // of this process, not yet reported
}

type engine struct {
	own    Work
	others tally // what the reports in peers say of it
	keeps  *prefixes
	since  time.Time // when it began with the prompt that it reads now, about
	down   time.Time // this process couldn't reach it, until then
	before uint32    // prompts in the report that is being replaced
}

// peerWork is the newest report of one daemon.
type peerWork struct {
	at   time.Time
	work []Work
}

// reportTTL is how long a peer's report of its work counts:
// it is repeated every 250 ms, and a prompt is read in well under 2 s.
const reportTTL = 1500 * time.Millisecond

// maxUnsent bounds the reads that wait to be reported.
const maxUnsent = 64

// New returns an empty Book. changed is called, without locks held, with the
// process's own work at an engine when it changed.
func New(now func() time.Time, changed func(Work)) *Book {
	return &Book{now: now, changed: changed, engines: make(map[uint64]*engine), holders: make(map[uint64][]uint64), peers: make(map[string]*peerWork), oldest: now()}
}

// Hash names an engine in the daemons' messages.
func Hash(target string) uint64 { return xxhash.Sum64String(target) }

// assumedMemory is the memory of an engine of which only other daemons spoke
// so far, in tokens: that of the smallest engines served here.
const assumedMemory = 450_000

// engine returns the state of a target with that much memory, 0: not known
// here. Callers hold b.mu.
func (b *Book) engine(target uint64, tokens int) *engine {
	e := b.engines[target]
	if e == nil {
		e = &engine{own: Work{Target: target}, others: tally{Work: Work{Target: target}}, keeps: newPrefixes(assumedMemory)}
		b.engines[target] = e
	}
	if tokens > 0 {
		e.keeps.limit = tokens
	}
	return e
}

// Prefill notes that a prompt is sent to an engine with that much memory, and
// for how long it will read, after a wait. Call the result once it has read it,
// or failed.
func (b *Book) Prefill(target string, memory int, parts []port.PromptPart, wait, reading time.Duration) (done func()) {
	hash := Hash(target)
	cost := uint32(reading.Microseconds())
	b.mu.Lock()
	e := b.engine(hash, memory)
	b.expire(b.now())
	if e.own.Prompts+e.others.Prompts == 0 {
		e.since = b.now()
	}
	e.own.Reading += cost
	e.own.Prompts++
	b.reading(hash, e, parts, b.now().Add(wait+reading))
	b.unlockChanged(e)
	return sync.OnceFunc(func() {
		b.mu.Lock()
		e.own.Reading -= cost
		e.own.Prompts--
		e.since = b.now()
		e.keeps.arrived(parts, e.since)
		b.unlockChanged(e)
	})
}

// unlockChanged ends a change of own work at an engine. Callers hold b.mu.
func (b *Book) unlockChanged(e *engine) {
	w := e.report(b.now())
	b.mu.Unlock()
	b.changed(w)
}

// report is what this process has at the engine.
func (e *engine) report(now time.Time) Work {
	w := e.own
	if now.Before(e.down) {
		w.Down = 1
	}
	return w
}

// reading notes that an engine will keep a prompt, and that the other daemons
// get a report. Callers hold b.mu.
func (b *Book) reading(hash uint64, e *engine, parts []port.PromptPart, ready time.Time) {
	b.keep(hash, e, parts, ready)
	if len(b.reads) < maxUnsent {
		b.reads = append(b.reads, Read{Target: hash, Parts: parts, ready: ready})
	}
}

// Learn takes an engine's own report of what it keeps.
func (b *Book) Learn(target string, memory int, parts []port.PromptPart) {
	b.mu.Lock()
	defer b.mu.Unlock()
	hash := Hash(target)
	b.keep(hash, b.engine(hash, memory), parts, b.now())
}

// Decode notes that a request goes to an engine to be decoded, which has its KV
// cache after the time of the move. Call the result when it ended.
func (b *Book) Decode(target string, memory int, parts []port.PromptPart, moving time.Duration) (done func()) {
	hash := Hash(target)
	b.mu.Lock()
	e := b.engine(hash, memory)
	e.own.Streams++
	b.reading(hash, e, parts, b.now().Add(moving))
	b.unlockChanged(e)
	return sync.OnceFunc(func() {
		b.mu.Lock()
		e.own.Streams--
		b.unlockChanged(e)
	})
}

// Changing notes the role that an engine takes by an order that it carries out;
// empty: none any more.
func (b *Book) Changing(target string, becomes port.Role) {
	b.mu.Lock()
	e := b.engine(Hash(target), 0)
	e.own.Becomes = becomes
	b.unlockChanged(e)
}

// Down notes that this process can't reach a target, for some time.
func (b *Book) Down(target string, until time.Time) {
	b.mu.Lock()
	e := b.engine(Hash(target), 0)
	e.down = until
	b.unlockChanged(e)
}

// Load sums what all daemons have at a target now.
//
// Engines read prompts in the order of their arrival, whatever their urgency:
// over 1,600 prompts that found others before them, this order predicted the
// time within 67 ms on the mean, sharing within 124 ms, urgency within 134 ms.
func (b *Book) Load(target string, parts []port.PromptPart) Load {
	return b.LoadOf(Hash(target), parts)
}

// LoadOf is the same for the engine with that hash.
func (b *Book) LoadOf(hash uint64, parts []port.PromptPart) Load {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engines[hash]
	if e == nil {
		return Load{}
	}
	b.expire(now)
	w := e.sum(now)
	l := Load{Streams: int(w.Streams), Becomes: w.Becomes, Down: int(w.Down)}
	l.Cached, l.Ready = e.keeps.cached(parts, now)
	if w.Prompts > 0 {
		l.Wait = time.Duration(w.Reading)*time.Microsecond - e.progress(now, &w)
	}
	return l
}

// progress is how much of the prompt that the engine reads now it has read. No
// more than an average prompt counts: an engine that ends none makes none.
func (e *engine) progress(now time.Time, w *Work) time.Duration {
	average := time.Duration(w.Reading/w.Prompts) * time.Microsecond
	return min(max(now.Sub(e.since), 0), average)
}

// sum adds up what all daemons say of the engine.
func (e *engine) sum(now time.Time) Work {
	w := e.others.Work
	w.add(&e.own)
	if e.own.Becomes != "" {
		w.Becomes = e.own.Becomes
	}
	if now.Before(e.down) {
		w.Down++
	}
	return w
}

// Retain forgets the engines that keep doesn't want kept, by the hash of their
// id, and that have no work.
func (b *Book) Retain(keep func(hash uint64) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(b.now())
	for hash, e := range b.engines {
		if !keep(hash) && e.own.Idle() && e.others.Idle() {
			delete(b.engines, hash)
		}
	}
}
