// Package engines tracks the load of the model engines: the work that this
// process sent to them, the work that other daemons report, and the prompt
// prefixes that each engine has in its cache. It doesn't rely on load reports of
// the engines, which lag by some hundred milliseconds and cost resources: a
// daemon's report reaches the other daemons within a few milliseconds.
package engines

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomelospool/pomelospool/port"
)

// Work is the current work of one daemon at one engine, or a sum over daemons.
type Work struct {
	_       struct{} `cbor:",toarray"` // 20 bytes per engine instead of 65
	Target  uint64   // hash of the engine's id
	Reading uint32   // prefill time, in microseconds, of the prompts sent to the engine
	Prompts uint32   // number of these prompts
	Streams uint32   // requests that decode there, or are about to
	// Becomes is the role that this daemon has ordered the engine to change to, or
	// empty. The engine refuses requests during the change.
	Becomes port.Role
	Down    uint16 // number of daemons that can't reach the engine; 0 or 1 unless this is a sum
}

// Idle reports whether w contains nothing to report.
func (w *Work) Idle() bool {
	return w.Streams == 0 && w.Prompts == 0 && w.Becomes == "" && w.Down == 0
}

// Read reports that an engine prefills a prompt or receives its KV cache.
type Read struct {
	_      struct{} `cbor:",toarray"`
	Target uint64
	Parts  []port.PromptPart
	LeftMs uint32 // estimated milliseconds, from the time of sending, until the parts are in the cache

	ready time.Time // the time of LeftMs by this process's clock
}

// Tokens returns the number of tokens of the parts.
func (r Read) Tokens() int {
	n := 0
	for _, p := range r.Parts {
		n += p.Tokens
	}
	return n
}

// Key returns a hash of the target and the parts. Equal reads have equal keys.
func (r Read) Key() uint64 {
	key := r.Target
	for _, p := range r.Parts {
		key = key*31 + p.ID
	}
	return key ^ key>>32
}

// At returns the read with LeftMs as of now.
func (r Read) At(now time.Time) Read {
	r.LeftMs = uint32(max(r.ready.Sub(now), 0).Milliseconds())
	return r
}

// Load is the load of one engine by all daemons.
type Load struct {
	Wait    time.Duration // time until the engine has prefilled the prompts sent to it
	Streams int
	Cached  int // leading prompt tokens of the request that are in the engine's cache, or will be when the engine starts the request
	Ready   int // those of Cached that other engines can already fetch
	// Becomes is the role that the engine is changing to by an order of any
	// daemon, or empty.
	Becomes port.Role
	Down    int // number of daemons that can't reach the engine, including this one
	// Reached reports that the engine has answered this process since others
	// began to report it as down.
	Reached bool
}

// minDownReports is the number of daemons that have to report a target as down
// before it is unreachable. A single daemon may be cut off from a target that all
// others reach.
const minDownReports = 2

// Unreachable reports whether the target is down according to enough daemons,
// and hasn't answered this process meanwhile.
func (l Load) Unreachable() bool { return l.Down >= minDownReports && !l.Reached }

// Tracker tracks the load and the caches of engines. It is safe for concurrent use.
type Tracker struct {
	now     func() time.Time
	changed func(Work) // called with this process's work at an engine after a change

	mu           sync.Mutex
	engines      map[uint64]*engine
	holders      map[uint64][]uint64 // hashes of the engines that last cached a prompt part, by the part's id
	peers        map[string]*peerWork
	oldestReport time.Time // no report in peers is older
	pendingReads []Read    // of this process, not yet reported
}

type engine struct {
	own          Work
	peers        workSum // sum of the reports of other daemons
	cache        *prefixCache
	prefillSince time.Time // estimated start of the current prefill
	downUntil    time.Time // this process considers it down until then
	reportedDown time.Time // since when other daemons report it as down; zero: they don't
	reachedAt    time.Time // when it last answered this process
	oldPrompts   uint32    // prompts in the report that is being replaced
}

// peerWork is the newest report of one daemon.
type peerWork struct {
	receivedAt time.Time
	work       []Work
}

// reportTTL is the time after which a peer's report expires. Reports are repeated
// every 250 ms, and a prefill takes well under 2 s.
const reportTTL = 1500 * time.Millisecond

// maxPendingReads bounds the number of reads not yet reported.
const maxPendingReads = 64

// New returns an empty Tracker. changed is called without locks held after the
// process's own work at an engine has changed.
func New(now func() time.Time, changed func(Work)) *Tracker {
	return &Tracker{now: now, changed: changed, engines: make(map[uint64]*engine), holders: make(map[uint64][]uint64), peers: make(map[string]*peerWork), oldestReport: now()}
}

// Hash returns the hash that identifies an engine in messages between daemons.
func Hash(target string) uint64 { return xxhash.Sum64String(target) }

// defaultMemory is the assumed KV memory, in tokens, of an engine that is known
// only from other daemons' reports. It is that of the smallest supported engines.
const defaultMemory = 450_000

// engine returns the state of a target and creates it if needed. tokens is the
// target's KV memory, or 0 if unknown. Callers hold t.mu.
func (t *Tracker) engine(target uint64, tokens int) *engine {
	e := t.engines[target]
	if e == nil {
		e = &engine{own: Work{Target: target}, peers: workSum{Work: Work{Target: target}}, cache: newPrefixCache(defaultMemory)}
		t.engines[target] = e
	}
	if tokens > 0 {
		e.cache.limit = tokens
	}
	return e
}

// Prefill records that a prompt is sent to an engine with the given KV memory.
// wait and reading are the expected time until the prefill starts and its
// duration. The caller calls done when the prefill has ended or failed.
func (t *Tracker) Prefill(target string, memory int, parts []port.PromptPart, wait, prefill time.Duration) (done func()) {
	hash := Hash(target)
	cost := uint32(prefill.Microseconds())
	t.mu.Lock()
	e := t.engine(hash, memory)
	t.expire(t.now())
	if e.own.Prompts+e.peers.Prompts == 0 {
		e.prefillSince = t.now()
	}
	e.own.Reading += cost
	e.own.Prompts++
	t.recordRead(hash, e, parts, t.now().Add(wait+prefill))
	t.unlockChanged(e)
	return sync.OnceFunc(func() {
		t.mu.Lock()
		e.own.Reading -= cost
		e.own.Prompts--
		e.prefillSince = t.now()
		e.cache.markReady(parts, e.prefillSince)
		t.unlockChanged(e)
	})
}

// unlockChanged unlocks t.mu and calls t.changed with the process's own work at
// e. Callers hold t.mu.
func (t *Tracker) unlockChanged(e *engine) {
	w := e.localWork(t.now())
	t.mu.Unlock()
	t.changed(w)
}

// localWork returns this process's work at the engine.
func (e *engine) localWork(now time.Time) Work {
	w := e.own
	if now.Before(e.downUntil) {
		w.Down = 1
	}
	return w
}

// recordRead records that an engine will have a prompt in its cache, and queues
// the report to other daemons. Callers hold t.mu.
func (t *Tracker) recordRead(hash uint64, e *engine, parts []port.PromptPart, ready time.Time) {
	t.addToCache(hash, e, parts, ready)
	if len(t.pendingReads) < maxPendingReads {
		t.pendingReads = append(t.pendingReads, Read{Target: hash, Parts: parts, ready: ready})
	}
}

// AddCached records prompt parts that an engine itself reported as cached.
func (t *Tracker) AddCached(target string, memory int, parts []port.PromptPart) {
	t.mu.Lock()
	defer t.mu.Unlock()
	hash := Hash(target)
	t.addToCache(hash, t.engine(hash, memory), parts, t.now())
}

// Decode records that a request is sent to an engine for decoding. moving is the
// time until the engine has received its KV cache. The caller calls done when the
// request has ended.
func (t *Tracker) Decode(target string, memory int, parts []port.PromptPart, transfer time.Duration) (done func()) {
	hash := Hash(target)
	t.mu.Lock()
	e := t.engine(hash, memory)
	e.own.Streams++
	t.recordRead(hash, e, parts, t.now().Add(transfer))
	t.unlockChanged(e)
	return sync.OnceFunc(func() {
		t.mu.Lock()
		e.own.Streams--
		t.unlockChanged(e)
	})
}

// SetRoleChange records the role that an engine is changing to by an order of this
// process. An empty role means that the change has ended.
func (t *Tracker) SetRoleChange(target string, becomes port.Role) {
	t.mu.Lock()
	e := t.engine(Hash(target), 0)
	e.own.Becomes = becomes
	t.unlockChanged(e)
}

// MarkDown records that this process can't reach a target and considers it down
// until the given time.
func (t *Tracker) MarkDown(target string, until time.Time) {
	t.mu.Lock()
	e := t.engine(Hash(target), 0)
	e.downUntil = until
	t.unlockChanged(e)
}

// MarkReached records that a target has answered this process.
func (t *Tracker) MarkReached(target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.engine(Hash(target), 0)
	e.reachedAt, e.downUntil = t.now(), time.Time{}
}

// ReachedSince reports whether a target has answered this process since that time.
func (t *Tracker) ReachedSince(target string, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.engines[Hash(target)]
	return e != nil && e.reachedAt.After(at)
}

// updateReportedDown updates since when other daemons report the engine as down.
func (e *engine) updateReportedDown(now time.Time) {
	switch {
	case e.peers.Down == 0:
		e.reportedDown = time.Time{}
	case e.reportedDown.IsZero():
		e.reportedDown = now
	}
}

// Load returns the load of a target by all daemons, for a request with the given
// prompt parts.
//
// It assumes that engines prefill prompts in order of arrival, regardless of
// priority: this predicted prefill times with a mean error of 67 ms, against
// 124 ms for processor sharing and 134 ms for order by priority (1,600 prompts
// that queued behind others).
func (t *Tracker) Load(target string, parts []port.PromptPart) Load {
	return t.LoadOf(Hash(target), parts)
}

// LoadOf is like Load, for the engine with the given hash.
func (t *Tracker) LoadOf(hash uint64, parts []port.PromptPart) Load {
	now := t.now()
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.engines[hash]
	if e == nil {
		return Load{}
	}
	t.expire(now)
	w := e.sum(now)
	l := Load{Streams: int(w.Streams), Becomes: w.Becomes, Down: int(w.Down)}
	l.Reached = !e.reportedDown.IsZero() && e.reachedAt.After(e.reportedDown)
	l.Cached, l.Ready = e.cache.cached(parts, now)
	if w.Prompts > 0 {
		l.Wait = time.Duration(w.Reading)*time.Microsecond - e.progress(now, &w)
	}
	return l
}

// progress returns the time that the engine has spent on its current prompt. It
// is at most the duration of an average prompt: an engine that doesn't finish a
// prompt makes no further progress.
func (e *engine) progress(now time.Time, w *Work) time.Duration {
	average := time.Duration(w.Reading/w.Prompts) * time.Microsecond
	return min(max(now.Sub(e.prefillSince), 0), average)
}

// sum returns the sum of all daemons' work at the engine.
func (e *engine) sum(now time.Time) Work {
	w := e.peers.Work
	w.add(&e.own)
	if e.own.Becomes != "" {
		w.Becomes = e.own.Becomes
	}
	if now.Before(e.downUntil) {
		w.Down++
	}
	return w
}

// Retain deletes the engines without work for whose hashes keep returns false.
func (t *Tracker) Retain(keep func(hash uint64) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(t.now())
	for hash, e := range t.engines {
		if !keep(hash) && e.own.Idle() && e.peers.Idle() {
			delete(t.engines, hash)
		}
	}
}
