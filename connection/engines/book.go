// Package engines keeps what this process knows of the model engines' work:
// what it sent itself, what the other daemons say they sent, and which prompt
// prefixes each engine has read. Engines' own reports lag by some hundred
// milliseconds and are paid for; a daemon's own word reaches the others in a
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
	Down    bool // this daemon can't reach it
}

func (w *Work) idle() bool {
	return w.Streams == 0 && w.Prompts == 0 && w.Becomes == "" && !w.Down
}

// Read says that an engine reads a prompt.
type Read struct {
	_      struct{} `cbor:",toarray"`
	Target uint64
	Parts  []port.PromptPart
}

// Load is what all daemons together have at one engine.
type Load struct {
	Wait    time.Duration // until the engine has read the prompts sent to it
	Streams int
	Cached  int // leading prompt tokens of the request that the engine keeps
	// Becomes is the role that the engine takes by an order that it carries
	// out, of whichever daemon; empty: it carries out none.
	Becomes port.Role
	Down    int // daemons that can't reach it, this one included
}

// downVotes is the number of daemons whose word takes a target out. One alone
// may be cut off from a target that all others reach.
const downVotes = 2

// Unreachable tells whether enough daemons can't reach the target.
func (l Load) Unreachable() bool { return l.Down >= downVotes }

// Book is safe for concurrent use.
type Book struct {
	now     func() time.Time
	changed func() // called after own work changed

	mu      sync.Mutex
	engines map[uint64]*engine
	peers   map[string]*peerWork
	reads   []Read // of this process, not yet told to all daemons
	news    []Read // of these, not yet told to the near ones
}

type engine struct {
	own   Work
	keeps *prefixes
	since time.Time // when it began with the prompt that it reads now, about
	down  time.Time // this process couldn't reach it, until then
}

type peerWork struct {
	at   time.Time
	work []Work
}

// believedFor is how long a peer's word about its work counts without news:
// it is repeated every 250 ms, and a prompt is read in well under 2 s.
const believedFor = 1500 * time.Millisecond

// maxUntold bounds the reads that wait to be told to the other daemons.
const maxUntold = 64

// New returns an empty Book. changed is called, without locks held, when the
// process's own work changed.
func New(now func() time.Time, changed func()) *Book {
	return &Book{now: now, changed: changed, engines: make(map[uint64]*engine), peers: make(map[string]*peerWork)}
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
		e = &engine{own: Work{Target: target}, keeps: newPrefixes(assumedMemory)}
		b.engines[target] = e
	}
	if tokens > 0 {
		e.keeps.limit = tokens
	}
	return e
}

// Prefill notes that a prompt is sent to an engine with that much memory, and
// for how long it will read. Call the result once it has read it, or failed.
func (b *Book) Prefill(target string, memory int, parts []port.PromptPart, reading time.Duration) (done func()) {
	hash := Hash(target)
	cost := uint32(reading.Microseconds())
	b.mu.Lock()
	e := b.engine(hash, memory)
	if all, _ := b.sum(hash, e); all.Prompts == 0 {
		e.since = b.now()
	}
	e.own.Reading += cost
	e.own.Prompts++
	b.reading(hash, e, parts)
	b.mu.Unlock()
	b.changed()
	return sync.OnceFunc(func() {
		b.mu.Lock()
		e.own.Reading -= cost
		e.own.Prompts--
		e.since = b.now()
		b.mu.Unlock()
		b.changed()
	})
}

// reading notes that an engine will keep a prompt, and that the other daemons
// are to be told. Callers hold b.mu.
func (b *Book) reading(hash uint64, e *engine, parts []port.PromptPart) {
	e.keeps.add(parts)
	r := Read{Target: hash, Parts: parts}
	if len(b.reads) < maxUntold {
		b.reads = append(b.reads, r)
	}
	if len(b.news) < maxUntold {
		b.news = append(b.news, r)
	}
}

// Learn takes an engine's own word about what it keeps.
func (b *Book) Learn(target string, memory int, parts []port.PromptPart) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.engine(Hash(target), memory).keeps.add(parts)
}

// Decode notes that a request goes to an engine to be decoded. Call the result
// when it ended.
func (b *Book) Decode(target string, memory int, parts []port.PromptPart) (done func()) {
	hash := Hash(target)
	b.mu.Lock()
	e := b.engine(hash, memory)
	e.own.Streams++
	b.reading(hash, e, parts)
	b.mu.Unlock()
	b.changed()
	return sync.OnceFunc(func() {
		b.mu.Lock()
		e.own.Streams--
		b.mu.Unlock()
		b.changed()
	})
}

// Changing notes the role that an engine takes by an order that it carries out;
// empty: none any more.
func (b *Book) Changing(target string, becomes port.Role) {
	b.mu.Lock()
	b.engine(Hash(target), 0).own.Becomes = becomes
	b.mu.Unlock()
	b.changed()
}

// Down notes that this process can't reach a target, for some time.
func (b *Book) Down(target string, until time.Time) {
	b.mu.Lock()
	b.engine(Hash(target), 0).down = until
	b.mu.Unlock()
	b.changed()
}

// Load sums what all daemons have at a target now.
//
// Engines read prompts in the order of their arrival, whatever their urgency:
// over 1,600 prompts that found others before them, this order foresaw the
// time within 67 ms on the mean, sharing within 124 ms, urgency within 134 ms.
func (b *Book) Load(target string, parts []port.PromptPart) Load {
	hash := Hash(target)
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engines[hash]
	w, down := b.sum(hash, e)
	l := Load{Streams: int(w.Streams), Becomes: w.Becomes, Down: down}
	if e != nil {
		l.Cached = e.keeps.cached(parts)
	}
	if w.Prompts > 0 {
		l.Wait = time.Duration(w.Reading) * time.Microsecond
		l.Wait -= b.progress(e, &w)
	}
	return l
}

// progress is how much of the prompt that the engine reads now it has read. No
// more than an average prompt counts: an engine that ends none makes none.
func (b *Book) progress(e *engine, w *Work) time.Duration {
	if e == nil {
		return 0
	}
	average := time.Duration(w.Reading/w.Prompts) * time.Microsecond
	return min(max(b.now().Sub(e.since), 0), average)
}

// sum adds up what all daemons say of an engine, and counts those that can't
// reach it. Callers hold b.mu.
func (b *Book) sum(hash uint64, e *engine) (w Work, down int) {
	now := b.now()
	if e != nil {
		w = e.own
		if now.Before(e.down) {
			down++
		}
	}
	for _, p := range b.peers {
		if now.Sub(p.at) > believedFor {
			continue
		}
		for i := range p.work {
			if p.work[i].Target != hash {
				continue
			}
			w.add(&p.work[i])
			if p.work[i].Down {
				down++
			}
		}
	}
	return w, down
}

func (w *Work) add(o *Work) {
	w.Reading += o.Reading
	w.Prompts += o.Prompts
	w.Streams += o.Streams
	if w.Becomes == "" {
		w.Becomes = o.Becomes
	}
}

// Own returns what this process has at its engines, and what it had them read
// since the last call; near: since the last call of either kind.
func (b *Book) Own(near bool) ([]Work, []Read) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	var out []Work
	for _, e := range b.engines {
		e.own.Down = now.Before(e.down)
		if !e.own.idle() {
			out = append(out, e.own)
		}
	}
	reads := b.news
	b.news = nil
	if !near {
		reads, b.reads = b.reads, nil
	}
	return out, reads
}

// Hear takes another daemon's word.
func (b *Book) Hear(peer string, work []Work, reads []Read) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.peers[peer]
	b.peers[peer] = &peerWork{at: b.now(), work: work}
	for i := range work {
		e := b.engine(work[i].Target, 0)
		before := old.prompts(work[i].Target)
		all, _ := b.sum(work[i].Target, e)
		begins := before == 0 && work[i].Prompts > 0 && all.Prompts == work[i].Prompts
		if work[i].Prompts < before || begins {
			e.since = b.now()
		}
	}
	if old != nil {
		b.ended(old.work, work)
	}
	for _, r := range reads {
		b.engine(r.Target, 0).keeps.add(r.Parts)
	}
}

// ended notes the engines of which a daemon said before that they read, and
// now says nothing. Callers hold b.mu.
func (b *Book) ended(before, now []Work) {
	for i := range before {
		if before[i].Prompts == 0 || named(now, before[i].Target) {
			continue
		}
		b.engine(before[i].Target, 0).since = b.now()
	}
}

func named(work []Work, target uint64) bool {
	for i := range work {
		if work[i].Target == target {
			return true
		}
	}
	return false
}

// prompts is the number of prompts that a daemon said it has at an engine.
func (p *peerWork) prompts(target uint64) uint32 {
	if p == nil {
		return 0
	}
	for i := range p.work {
		if p.work[i].Target == target {
			return p.work[i].Prompts
		}
	}
	return 0
}

// Retain forgets the engines that keep doesn't name and that have no work of
// this process.
func (b *Book) Retain(keep map[uint64]bool) {
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for hash, e := range b.engines {
		if !keep[hash] && e.own.idle() {
			delete(b.engines, hash)
		}
	}
	for name, p := range b.peers {
		if now.Sub(p.at) > believedFor {
			delete(b.peers, name)
		}
	}
}
