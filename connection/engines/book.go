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
)

// Levels is the number of urgencies told apart; 0 is the most urgent.
const Levels = 4

// Level maps a priority to its level.
func Level(priority int) int { return min(max(priority, 0), Levels-1) }

// Work is what one daemon has at one engine now.
type Work struct {
	Target  uint64         // hash of the engine's id
	Ahead   [Levels]uint32 // prompt tokens still to be read, by level
	Streams uint32         // requests that decode there, or are about to
	// Changing says that the engine carries out an order of this daemon's, and
	// refuses requests meanwhile.
	Changing bool
}

func (w *Work) idle() bool {
	return w.Streams == 0 && w.Ahead == [Levels]uint32{} && !w.Changing
}

// Read says that an engine reads a prompt.
type Read struct {
	Target uint64
	Runs   []Run
}

// Load is what all daemons together have at one engine.
type Load struct {
	Ahead   [Levels]int // prompt tokens still to be read
	Streams int
	Cached  int // leading prompt tokens of the request that the engine keeps
	// Changing says that the engine carries out an order.
	Changing bool
}

// Book is safe for concurrent use.
type Book struct {
	now     func() time.Time
	changed func() // called after own work changed

	mu      sync.Mutex
	engines map[uint64]*engine
	peers   map[string]*peerWork
	reads   []Read // of this process, not yet told
}

type engine struct {
	own   Work
	keeps *prefixes
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
// how many of its tokens the engine has to read. Call the result once it has
// read them, or failed.
func (b *Book) Prefill(target string, memory, level int, runs []Run, missing int) (done func()) {
	hash := Hash(target)
	b.mu.Lock()
	e := b.engine(hash, memory)
	e.own.Ahead[level] += uint32(missing)
	e.keeps.add(runs)
	if len(b.reads) < maxUntold {
		b.reads = append(b.reads, Read{Target: hash, Runs: runs})
	}
	b.mu.Unlock()
	b.changed()
	return sync.OnceFunc(func() {
		b.mu.Lock()
		e.own.Ahead[level] -= uint32(missing)
		b.mu.Unlock()
		b.changed()
	})
}

// Decode notes that a request goes to an engine to be decoded. Call the result
// when it ended.
func (b *Book) Decode(target string, memory int, runs []Run) (done func()) {
	hash := Hash(target)
	b.mu.Lock()
	e := b.engine(hash, memory)
	e.own.Streams++
	e.keeps.add(runs)
	if len(b.reads) < maxUntold {
		b.reads = append(b.reads, Read{Target: hash, Runs: runs})
	}
	b.mu.Unlock()
	b.changed()
	return sync.OnceFunc(func() {
		b.mu.Lock()
		e.own.Streams--
		b.mu.Unlock()
		b.changed()
	})
}

// Changing notes that an engine begins or ends to carry out an order.
func (b *Book) Changing(target string, on bool) {
	b.mu.Lock()
	b.engine(Hash(target), 0).own.Changing = on
	b.mu.Unlock()
	b.changed()
}

// Load sums what all daemons have at a target now.
func (b *Book) Load(target string, runs []Run) Load {
	hash := Hash(target)
	now := b.now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var l Load
	if e := b.engines[hash]; e != nil {
		l.add(&e.own)
		l.Cached = e.keeps.cached(runs)
	}
	for _, p := range b.peers {
		if now.Sub(p.at) > believedFor {
			continue
		}
		for i := range p.work {
			if p.work[i].Target == hash {
				l.add(&p.work[i])
			}
		}
	}
	return l
}

func (l *Load) add(w *Work) {
	for i, n := range w.Ahead {
		l.Ahead[i] += int(n)
	}
	l.Streams += int(w.Streams)
	l.Changing = l.Changing || w.Changing
}

// Own returns what this process has at its engines, and what it had them read
// since the last call.
func (b *Book) Own() ([]Work, []Read) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Work
	for _, e := range b.engines {
		if !e.own.idle() {
			out = append(out, e.own)
		}
	}
	reads := b.reads
	b.reads = nil
	return out, reads
}

// Hear takes another daemon's word.
func (b *Book) Hear(peer string, work []Work, reads []Read) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[peer] = &peerWork{at: b.now(), work: work}
	for _, r := range reads {
		b.engine(r.Target, 0).keeps.add(r.Runs)
	}
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
