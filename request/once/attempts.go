package once

import (
	"container/list"
	"encoding/json"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/process/record"
)

// Limits on the attempts and answers that a process keeps in memory.
const (
	answerRetention = 10 * time.Minute // maximum age of a complete answer
	maxAnswerBytes  = 64 << 20         // total size of the complete answers
	maxTickets      = 1 << 20          // attempts recorded as having received a ticket
	maxLoggedBody   = 4 << 10          // largest answer body stored in the log, in bytes
)

// attempt is one attempt of this process to run a call.
type attempt struct {
	call     Call
	id       string
	seq      uint64
	key      keyID
	window   time.Duration
	finished chan struct{}  // closed once final is set
	final    *record.Result // includes the complete answer
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

// attemptTable holds the attempts of this process. It is safe for concurrent
// use.
type attemptTable struct {
	self string
	now  func() time.Time

	mu          sync.Mutex
	seq         uint64
	pending     map[uint64]*attempt // proposed, without a decision
	running     map[uint64]*attempt // holds a ticket, without a result
	answers     map[uint64]*list.Element
	seqByKey    map[keyID]uint64 // running or finished attempt of a key, except those that did not run
	order       *list.List       // finishedAttempt elements, oldest first
	bytes       int
	ticketed    map[uint64]struct{} // attempts that received a ticket
	ticketOrder []uint64            // sequence numbers of ticketed, oldest first
	evictedUpTo uint64              // ticketed is incomplete up to this sequence number
}

type finishedAttempt struct {
	seq  uint64
	key  keyID
	at   time.Time
	size int
	r    *record.Result
}

func newAttemptTable(self string, now func() time.Time) *attemptTable {
	return &attemptTable{
		self:     self,
		now:      now,
		pending:  make(map[uint64]*attempt),
		running:  make(map[uint64]*attempt),
		answers:  make(map[uint64]*list.Element),
		seqByKey: make(map[keyID]uint64),
		order:    list.New(),
		ticketed: make(map[uint64]struct{}),
	}
}

func (t *attemptTable) begin(c Call, window time.Duration) *attempt {
	a := &attempt{call: c, key: newKeyID(c.Service, c.Key), window: window, finished: make(chan struct{})}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seq++
	a.seq = t.seq
	a.id = attemptID(t.self, a.seq)
	t.pending[a.seq] = a
	return a
}

// start moves a pending attempt to the running ones. It returns false if the
// attempt has been discarded.
func (t *attemptTable) start(a *attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending[a.seq] != a {
		return false
	}
	delete(t.pending, a.seq)
	t.running[a.seq] = a
	t.seqByKey[a.key] = a.seq
	t.ticketed[a.seq] = struct{}{}
	t.ticketOrder = append(t.ticketOrder, a.seq)
	if len(t.ticketOrder) > maxTickets {
		t.evictedUpTo = max(t.evictedUpTo, t.ticketOrder[0])
		delete(t.ticketed, t.ticketOrder[0])
		t.ticketOrder = t.ticketOrder[1:]
	}
	return true
}

// discard removes a pending attempt that will never receive a ticket.
func (t *attemptTable) discard(a *attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, a.seq)
}

// finish ends a running attempt and keeps its result for Lookup.
func (t *attemptTable) finish(a *attempt, r *record.Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, a.seq)
	a.final = r
	close(a.finished)
	if r.Code.Info().NotRun {
		t.dropKey(a.key, a.seq)
	}
	f := &finishedAttempt{seq: a.seq, key: a.key, at: t.now(), size: len(r.Body) + len(r.Key) + 256, r: r}
	t.answers[a.seq] = t.order.PushBack(f)
	t.bytes += f.size
	t.evict()
}

// evict removes the oldest answers that exceed the limits on age and size.
func (t *attemptTable) evict() {
	for e := t.order.Front(); e != nil; e = t.order.Front() {
		f := e.Value.(*finishedAttempt)
		if t.bytes <= maxAnswerBytes && t.now().Sub(f.at) < answerRetention {
			return
		}
		t.order.Remove(e)
		delete(t.answers, f.seq)
		t.dropKey(f.key, f.seq)
		t.bytes -= f.size
	}
}

func (t *attemptTable) dropKey(key keyID, seq uint64) {
	if t.seqByKey[key] == seq {
		delete(t.seqByKey, key)
	}
}

// ownAttempt returns the ID and digest of the attempt of this process that runs
// or has run the call. While the log is unavailable, it is the only source of
// the first answer.
func (t *attemptTable) ownAttempt(key keyID) (id string, digest uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	seq, ok := t.seqByKey[key]
	if !ok {
		return "", 0, false
	}
	if a := t.running[seq]; a != nil {
		return a.id, a.call.Digest, true
	}
	r := t.answers[seq].Value.(*finishedAttempt).r
	return r.Attempt, r.Digest, true
}

// attemptStatus is what this process knows about one of its own attempts. The
// zero value means that the attempt may have run and that its answer is no
// longer kept.
type attemptStatus struct {
	running  *attempt       // not finished
	result   *record.Result // result of a finished attempt
	neverRan bool           // received no ticket and never will
}

// find returns the status of an attempt.
func (t *attemptTable) find(id string) attemptStatus {
	seq, ok := seqOf(id)
	if !ok || writerOf(id) != t.self {
		return attemptStatus{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.pending[seq]; a != nil {
		return attemptStatus{running: a}
	}
	if a := t.running[seq]; a != nil {
		return attemptStatus{running: a}
	}
	if e := t.answers[seq]; e != nil {
		return attemptStatus{result: e.Value.(*finishedAttempt).r}
	}
	_, ran := t.ticketed[seq]
	return attemptStatus{neverRan: !ran && seq > t.evictedUpTo && seq <= t.seq}
}

// resultForLog returns the form of a result that is stored in the log. It omits
// an answer body that exceeds maxLoggedBody.
func resultForLog(r *record.Result) *record.Result {
	if len(r.Body) <= maxLoggedBody {
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
