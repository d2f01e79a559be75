package engine

import (
	"slices"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/prefix"
)

// Reasons for the end of a sequence.
const (
	finishLength    = "length"
	finishCancelled = "cancelled"
	finishCut       = "cut" // by a change or the engine's stop
)

// prefillChunk is the limit of prompt tokens that one step prefills, by role. A
// decode engine has a low limit to keep its steps short.
var prefillChunk = map[port.Role]int{
	port.RolePrefill: 4096,
	port.RoleMixed:   1024,
	port.RoleDecode:  256,
}

// seq is one request in the batch.
type seq struct {
	id           string
	blocks       []uint64
	promptTokens int
	priority     int
	resumeAt     int // answer tokens that the caller already has
	maxTokens    int // answer tokens in total
	prefillLeft  int // tokens to prefill
	cached       int // tokens found in the prefix cache
	generated    int // answer tokens so far, including resumeAt
	progress     progress
}

// kvTokens returns the KV capacity that the sequence reserves while it runs.
func (s *seq) kvTokens() int { return s.promptTokens + s.maxTokens }

// progress passes the progress of a sequence from the batch to its handler. The
// tokens are a function of the prompt, so their number is enough.
type progress struct {
	mu        sync.Mutex
	generated int
	reason    string
	wake      chan struct{}
}

func (p *progress) set(generated int, reason string) {
	p.mu.Lock()
	p.generated, p.reason = generated, reason
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *progress) get() (generated int, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.generated, p.reason
}

// batch models continuous batching. It isn't safe for concurrent use.
type batch struct {
	opts       Options
	role       port.Role
	cache      *cache
	slowdown   float64 // factor by which the time of a step is multiplied
	waiting    []*seq  // in the order in which they start
	running    []*seq
	kvReserved int           // KV tokens that the running sequences reserve
	credit     time.Duration // time available for further steps; negative after a step that overran
	generated  int           // answer tokens generated in total
}

func newBatch(o Options) *batch {
	c := newCache(o.CacheBlocks, eventLog{engine: o.Name, dropEvery: o.DropEventEvery, lag: o.EventLag})
	return &batch{opts: o, role: o.Spec.Role, cache: c, slowdown: 1}
}

func (b *batch) active() bool { return len(b.waiting)+len(b.running) > 0 }

// add queues a sequence behind those of the same or a higher priority.
func (b *batch) add(s *seq) {
	s.prefillLeft = s.promptTokens + s.resumeAt
	s.generated = s.resumeAt
	i := len(b.waiting)
	for i > 0 && b.waiting[i-1].priority < s.priority {
		i--
	}
	b.waiting = slices.Insert(b.waiting, i, s)
}

// remove removes a sequence from the batch and reports whether it was in it.
func (b *batch) remove(s *seq, reason string) bool {
	if i := slices.Index(b.waiting, s); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
		s.progress.set(s.generated, reason)
		return true
	}
	i := slices.Index(b.running, s)
	if i < 0 {
		return false
	}
	b.running = slices.Delete(b.running, i, i+1)
	b.kvReserved -= s.kvTokens()
	s.progress.set(s.generated, reason)
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

// advance runs the steps of the time d. A step may overrun; its excess time is
// subtracted from the next call's.
func (b *batch) advance(now time.Time, d time.Duration) {
	b.credit += d
	for b.credit > 0 && b.active() {
		cost := b.step(now)
		b.credit -= time.Duration(float64(cost) * b.slowdown)
	}
	if !b.active() {
		b.credit = 0
	}
}

// step prefills one chunk and generates one token of each sequence that was
// prefilled by an earlier step. It returns the time that the step takes.
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

// admit starts waiting sequences in their order while the batch and the KV cache
// have room. A sequence that doesn't fit holds back those behind it.
func (b *batch) admit() {
	for len(b.waiting) > 0 && len(b.running) < b.opts.MaxBatch {
		s := b.waiting[0]
		if len(b.running) > 0 && b.kvReserved+s.kvTokens() > b.opts.KVCapacity {
			return
		}
		b.waiting = b.waiting[1:]
		b.running = append(b.running, s)
		b.kvReserved += s.kvTokens()
		s.cached = min(b.cache.matchPrefix(s.blocks)*prefix.TokensPerBlock, s.promptTokens)
		s.prefillLeft = max(s.prefillLeft-s.cached, 1)
	}
}

// decodable returns the running sequences whose prefill is complete.
func (b *batch) decodable() []*seq {
	var list []*seq
	for _, s := range b.running {
		if s.prefillLeft == 0 {
			list = append(list, s)
		}
	}
	return list
}

// prefill prefills one chunk and returns the number of its tokens.
func (b *batch) prefill(now time.Time) int {
	budget := prefillChunk[b.role]
	used := 0
	for _, s := range b.running {
		if s.prefillLeft == 0 || used >= budget {
			continue
		}
		n := min(s.prefillLeft, budget-used)
		s.prefillLeft -= n
		used += n
		if s.prefillLeft == 0 {
			b.cache.insert(now, s.blocks)
		}
	}
	return used
}

func (b *batch) decode(s *seq) {
	if s.generated < s.maxTokens {
		s.generated++
		b.generated++
	}
	if s.generated >= s.maxTokens {
		b.remove(s, finishLength)
		return
	}
	s.progress.set(s.generated, "")
}

// load returns the load of the batch.
func (b *batch) load() port.Load {
	l := port.Load{
		Running:     len(b.running),
		Waiting:     len(b.waiting),
		KVCapacity:  b.opts.KVCapacity,
		PrefillRate: b.opts.PrefillRate / b.slowdown,
	}
	for _, s := range slices.Concat(b.running, b.waiting) {
		l.QueuedPrefill += s.prefillLeft
		l.DecodeRemaining += s.maxTokens - s.generated
	}
	for _, s := range b.running {
		l.KVUsed += s.promptTokens + s.generated - s.prefillLeft
	}
	n := max(len(b.running), 1)
	l.DecodeRate = float64(n) / (b.stepTime(n).Seconds() * b.slowdown)
	return l
}
