package once

import (
	"container/list"
	"encoding/json"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/process/record"
)

// Bounds of what a process remembers of its own attempts.
const (
	keepFor      = 10 * time.Minute // a whole answer, at most
	keepBytes    = 64 << 20         // of all whole answers
	maxWon       = 1 << 20          // attempts remembered as run
	maxKeptSmall = 4 << 10          // bytes of an answer that goes into the log
)

// attempt is one try of this process to run a call.
type attempt struct {
	call   Call
	id     string
	seq    uint64
	key    keyID
	window time.Duration
	over   chan struct{}  // closed once final is set
	final  *record.Result // with the whole answer
}

func (a *attempt) shard(n int) int { return a.key.shardOf(n) }

func (a *attempt) result(c code.Code) *record.Result {
	return &record.Result{
		Service: a.call.Service,
		Key:     a.call.Key,
		Attempt: a.id,
		Code:    c,
		Digest:  a.call.Digest,
		Window:  a.window.Milliseconds(),
	}
}

// attempts are the attempts of this process. It is safe for concurrent use.
type attempts struct {
	self string
	now  func() time.Time

	mu      sync.Mutex
	seq     uint64
	pending map[uint64]*attempt // proposed, not decided
	running map[uint64]*attempt // won, without a result
	kept    map[uint64]*list.Element
	byKey   map[keyID]uint64 // running or kept, unless not run
	order   *list.List       // of keptAnswer, oldest first
	bytes   int
	ran     map[uint64]struct{} // every attempt that got a ticket
	ranList []uint64            // the same in order
	floor   uint64              // up to it, ran is no longer complete
}

type keptAnswer struct {
	seq  uint64
	key  keyID
	at   time.Time
	size int
	r    *record.Result
}

func newAttempts(self string, now func() time.Time) *attempts {
	return &attempts{
		self:    self,
		now:     now,
		pending: make(map[uint64]*attempt),
		running: make(map[uint64]*attempt),
		kept:    make(map[uint64]*list.Element),
		byKey:   make(map[keyID]uint64),
		order:   list.New(),
		ran:     make(map[uint64]struct{}),
	}
}

func (t *attempts) begin(c Call, window time.Duration) *attempt {
	a := &attempt{call: c, key: newKeyID(c.Service, c.Key), window: window, over: make(chan struct{})}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	a.seq = t.seq
	a.id = attemptID(t.self, a.seq)
	t.pending[a.seq] = a
	return a
}

// won moves an attempt to those that run. False: it was given up before.
func (t *attempts) won(a *attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending[a.seq] != a {
		return false
	}
	delete(t.pending, a.seq)
	t.running[a.seq] = a
	t.byKey[a.key] = a.seq
	t.ran[a.seq] = struct{}{}
	t.ranList = append(t.ranList, a.seq)
	if len(t.ranList) > maxWon {
		t.floor = max(t.floor, t.ranList[0])
		delete(t.ran, t.ranList[0])
		t.ranList = t.ranList[1:]
	}
	return true
}

// lost ends an attempt that got no ticket and never will.
func (t *attempts) lost(a *attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, a.seq)
}

// finish ends a running attempt and keeps its result for Lookup.
func (t *attempts) finish(a *attempt, r *record.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, a.seq)
	a.final = r
	close(a.over)
	if r.Code.Info().NotRun {
		t.forget(a.key, a.seq)
	}
	k := &keptAnswer{seq: a.seq, key: a.key, at: t.now(), size: len(r.Body) + len(r.Key) + 256, r: r}
	t.kept[a.seq] = t.order.PushBack(k)
	t.bytes += k.size
	t.trim()
}

func (t *attempts) trim() {
	for e := t.order.Front(); e != nil; e = t.order.Front() {
		k := e.Value.(*keptAnswer)
		if t.bytes <= keepBytes && t.now().Sub(k.at) < keepFor {
			return
		}
		t.order.Remove(e)
		delete(t.kept, k.seq)
		t.forget(k.key, k.seq)
		t.bytes -= k.size
	}
}

func (t *attempts) forget(key keyID, seq uint64) {
	if t.byKey[key] == seq {
		delete(t.byKey, key)
	}
}

// own returns the attempt of this process that runs or has run the call, with
// its digest. With the log down it is all that can tell the first answer.
func (t *attempts) own(key keyID) (id string, digest uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seq, ok := t.byKey[key]
	if !ok {
		return "", 0, false
	}
	if a := t.running[seq]; a != nil {
		return a.id, a.call.Digest, true
	}
	r := t.kept[seq].Value.(*keptAnswer).r
	return r.Attempt, r.Digest, true
}

// found is what a process knows of an attempt of its own.
type found struct {
	running *attempt       // not over
	result  *record.Result // over
	never   bool           // got no ticket and never will
}

// find looks an attempt up. The zero found: it may have run, and the answer is
// no longer kept.
func (t *attempts) find(id string) found {
	seq, ok := seqOf(id)
	if !ok || writerOf(id) != t.self {
		return found{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.pending[seq]; a != nil {
		return found{running: a}
	}
	if a := t.running[seq]; a != nil {
		return found{running: a}
	}
	if e := t.kept[seq]; e != nil {
		return found{result: e.Value.(*keptAnswer).r}
	}
	_, ran := t.ran[seq]
	return found{never: !ran && seq > t.floor && seq <= t.seq}
}

// stored returns the form of a result that goes into the log: a large answer
// stays behind.
func stored(r *record.Result) *record.Result {
	if len(r.Body) <= maxKeptSmall {
		return r
	}
	small := *r
	small.Body, small.Kept = nil, false
	return &small
}

func marshalResult(r *record.Result) []byte {
	data, _ := json.Marshal(r)
	return data
}
