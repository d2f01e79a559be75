package engine

import (
	"slices"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/prefix"
)

// The reasons for which a sequence ends.
const (
	endLength    = "length"
	endCancelled = "cancelled"
	endCut       = "cut" // by a change or the end of the engine
)

// chunk is how many prompt tokens one step takes, by role: a decode engine
// keeps its steps short.
var chunk = map[port.Role]int{
	port.RolePrefill: 4096,
	port.RoleMixed:   1024,
	port.RoleDecode:  256,
}

// seq is one request in the batch.
type seq struct {
	id       string
	blocks   []uint64
	prompt   int // tokens
	priority int
	from     int // answer tokens that the caller has already
	max      int // answer tokens in all
	left     int // tokens still to prefill
	cached   int // tokens found in the prefix cache
	made     int // answer tokens so far, counted from 0
	out      progress
}

func (s *seq) reserve() int { return s.prompt + s.max }

// progress tells a handler how far its sequence is. Tokens are a function of
// the prompt, so their number is enough.
type progress struct {
	mu   sync.Mutex
	made int
	end  string
	wake chan struct{}
}

func (p *progress) set(made int, end string) {
	p.mu.Lock()
	p.made, p.end = made, end
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *progress) get() (made int, end string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.made, p.end
}

// batch is the continuous batching model. It belongs to one goroutine.
type batch struct {
	opts    Options
	role    port.Role
	cache   *cache
	slow    float64 // factor on the time of a step
	waiting []*seq  // the next one first
	running []*seq
	kv      int           // tokens reserved by running
	credit  time.Duration // time not used by steps yet
	tokens  int           // answer tokens made in all
}

func newBatch(o Options) *batch {
	c := newCache(o.CacheBlocks, events{engine: o.Name, gap: o.DropEventEvery, lag: o.EventLag})
	return &batch{opts: o, role: o.Spec.Role, cache: c, slow: 1}
}

func (b *batch) active() bool { return len(b.waiting)+len(b.running) > 0 }

// add queues a sequence behind those of its priority.
func (b *batch) add(s *seq) {
	s.left = s.prompt + s.from
	s.made = s.from
	i := len(b.waiting)
	for i > 0 && b.waiting[i-1].priority < s.priority {
		i--
	}
	b.waiting = slices.Insert(b.waiting, i, s)
}

// end takes a sequence out; it reports whether it was there.
func (b *batch) end(s *seq, reason string) bool {
	if i := slices.Index(b.waiting, s); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		s.out.set(s.made, reason)
		return true
	}
	i := slices.Index(b.running, s)
	if i < 0 {
		return false
	}
	b.running = slices.Delete(b.running, i, i+1)
	b.kv -= s.reserve()
	s.out.set(s.made, reason)
	return true
}

func (b *batch) find(id string) *seq {
	for _, s := range slices.Concat(b.running, b.waiting) {
		if s.id == id {
			return s
		}
	}
	return nil
}

// advance runs as many steps as fit into d.
func (b *batch) advance(now time.Time, d time.Duration) {
	b.credit += d
	for b.credit > 0 && b.active() {
		cost := b.step(now)
		b.credit -= time.Duration(float64(cost) * b.slow)
	}
	if !b.active() {
		b.credit = 0
	}
}

// step prefills one chunk and makes one token of each prefilled sequence. It
// returns the time that this takes.
func (b *batch) step(now time.Time) time.Duration {
	b.admit()
	decoding := b.decodable()
	filled := b.prefill(now)
	for _, s := range decoding {
		b.decode(s)
	}
	cost := time.Duration(float64(filled) / b.opts.PrefillRate * float64(time.Second))
	if len(decoding) > 0 {
		cost += b.stepTime(len(decoding))
	}
	return max(cost, time.Microsecond)
}

func (b *batch) stepTime(n int) time.Duration {
	return b.opts.StepBase + time.Duration(n)*b.opts.StepPerSequence
}

// admit starts waiting sequences while there is room, in their order.
func (b *batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.opts.MaxBatch {
		s := b.waiting[0]
		if len(b.running) > 0 && b.kv+s.reserve() > b.opts.KVCapacity {
			return
		}
		b.waiting = b.waiting[1:]
		b.running = append(b.running, s)
		b.kv += s.reserve()
		s.cached = min(b.cache.hit(s.blocks)*prefix.TokensPerBlock, s.prompt)
		s.left = max(s.left-s.cached, 1)
	}
}

func (b *batch) decodable() []*seq {
	var list []*seq
	for _, s := range b.running {
		if s.left == 0 {
			list = append(list, s)
		}
	}
	return list
}

func (b *batch) prefill(now time.Time) int {
	budget := chunk[b.role]
	used := 0
	for _, s := range b.running {
		if s.left == 0 || used >= budget {
			continue
		}
		n := min(s.left, budget-used)
		s.left -= n
		used += n
		if s.left == 0 {
			b.cache.insert(now, s.blocks)
		}
	}
	return used
}

func (b *batch) decode(s *seq) {
	if s.made < s.max {
		s.made++
		b.tokens++
	}
	if s.made >= s.max {
		b.end(s, endLength)
		return
	}
	s.out.set(s.made, "")
}

// load measures the batch.
func (b *batch) load() port.Load {
	l := port.Load{
		Running:     len(b.running),
		Waiting:     len(b.waiting),
		KVCapacity:  b.opts.KVCapacity,
		PrefillRate: b.opts.PrefillRate / b.slow,
	}
	for _, s := range slices.Concat(b.running, b.waiting) {
		l.QueuedPrefill += s.left
		l.DecodeRemaining += s.max - s.made
	}
	for _, s := range b.running {
		l.KVUsed += s.prompt + s.made - s.left
	}
	n := max(len(b.running), 1)
	l.DecodeRate = float64(n) / (b.stepTime(n).Seconds() * b.slow)
	return l
}
