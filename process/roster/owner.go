package roster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/pomelospool/pomelospool/connection/engines"
)

const (
	// queryTimeout is how long a question may take: some times the way between two
	// zones there and back, and what a busy VM needs to answer. Whoever has not
	// answered then is estimated from the aggregates.
	queryTimeout = 15 * time.Millisecond
	// workReportInterval is how long a report of work counts before it is sent
	// again: reports count for three times as long.
	workReportInterval = 500 * time.Millisecond
	// maxReports is the number of reports kept from which on old ones are dropped.
	maxReports = 4096
)

// workReport is what one daemon has at one engine now, sent to the engine's owner.
type workReport struct {
	_    struct{} `cbor:",toarray"`
	Seq  uint64   // rises over a daemon's reports
	Work engines.Work
}

// queueQuery asks an engines' owner for their queues.
type queueQuery struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Targets []uint64
}

// queueReply is an owner's reply, in the order of the query.
type queueReply struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Queues []queue
}

type queue struct {
	_      struct{} `cbor:",toarray"`
	Target uint64
	WaitUs uint32
}

// ownership is what daemons of a large fleet send each engine's owner, and the
// questions that are open.
//
// The load that it answers: hundreds of daemons choose among hundreds of
// engines, and each sees one in hundreds of an engine's work. By aggregates that are
// half a second old all choose the same engine at once, and a prompt that takes
// 45 ms waits 450. One daemon owns each engine's queue and receives each
// change as it happens; a daemon that is about to choose asks the owners of a few.
type ownership struct {
	book *engines.Tracker // others' and own work at the engines kept here

	mu      sync.Mutex
	seq     uint64
	last    map[string]receivedReport // by name of the report in the book
	busy    map[uint64]ownWork        // own work that owners have received
	next    uint64
	pending map[uint64]*pendingQuery
}

type receivedReport struct {
	seq uint64
	at  time.Time
}

// ownWork is when own work was last sent to an owner.
type ownWork struct {
	work engines.Work
	at   time.Time
}

// pendingQuery is an open question.
type pendingQuery struct {
	left  int // owners that haven't answered
	waits map[uint64]time.Duration
	done  chan struct{}
}

func newOwnership() ownership {
	return ownership{
		book:    engines.New(time.Now, func(engines.Work) {}),
		last:    make(map[string]receivedReport),
		busy:    make(map[uint64]ownWork),
		pending: make(map[uint64]*pendingQuery),
	}
}

// Changed records that this daemon's work at an engine changed, and reports it to the daemon that
// has to know.
func (r *Roster) Changed(w engines.Work) {
	r.mu.Lock()
	small := r.small()
	r.mu.Unlock()
	if small {
		r.Notify()
		return
	}
	r.workReport(w, time.Now())
}

// workReport sends an engine's owner this daemon's work there.
func (r *Roster) workReport(w engines.Work, now time.Time) {
	k := &r.ownership
	k.mu.Lock()
	k.seq++
	n := workReport{Seq: k.seq, Work: w}
	if w.Idle() {
		delete(k.busy, w.Target)
	} else {
		k.busy[w.Target] = ownWork{work: w, at: now}
	}
	k.mu.Unlock()
	r.mu.Lock()
	to := r.owner(w.Target, now)
	r.mu.Unlock()
	if to == nil {
		r.handleWorkReport(&n, r.o.Self.PeerAddr, now)
		return
	}
	r.sendMessage(kindWorkReport, &n, to)
}

// repeatWorkReports sends again what still holds, for new owners and for
// reports that were lost.
func (r *Roster) repeatWorkReports(now time.Time) {
	var again []engines.Work
	r.ownership.mu.Lock()
	for _, t := range r.ownership.busy {
		if now.Sub(t.at) >= workReportInterval {
			again = append(again, t.work)
		}
	}
	r.ownership.mu.Unlock()
	for _, w := range again {
		r.workReport(w, now)
	}
}

// owners are the daemons that own engines' queues, as of a moment.
type owners struct {
	at   time.Time
	list []ownerPoint
}

// ownerPoint is a daemon by the hash of its peer address; addr nil: this one.
type ownerPoint struct {
	hash uint64
	addr net.Addr
}

// ownersFor is how long the list of owners is used.
const ownersFor = heartbeatInterval

// ownerList returns the daemons that may own queues. Callers hold r.mu.
func (r *Roster) ownerList(now time.Time) []ownerPoint {
	k := &r.owners
	if !k.at.IsZero() && now.Sub(k.at) < ownersFor {
		return k.list
	}
	k.at, k.list = now, k.list[:0]
	if r.self.State != Leaving {
		k.list = append(k.list, ownerPoint{hash: engines.Hash(r.self.PeerAddr)})
	}
	for addr, p := range r.peers {
		if p.member.State != Leaving && p.alive(now, r.patience()) {
			k.list = append(k.list, ownerPoint{hash: engines.Hash(addr), addr: p.addr})
		}
	}
	return k.list
}

// owner returns the address of the daemon that owns an engine's queue, nil
// for this one: the one that the hash of both names, so that each daemon finds
// the same without talking. Callers hold r.mu.
func (r *Roster) owner(target uint64, now time.Time) net.Addr {
	var to net.Addr
	var best uint64
	for _, o := range r.ownerList(now) {
		if rank := mix(target ^ o.hash); rank >= best {
			best, to = rank, o.addr
		}
	}
	return to
}

// mix spreads the bits of a hash: the finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// sendMessage sends a message to one daemon.
func (r *Roster) sendMessage(kind byte, message any, to net.Addr) {
	data, err := packed(kind, message)
	if err != nil {
		// Messages of numbers always encode.
		panic(err)
	}
	r.write(data, to)
}

// handleWorkReport merges a daemon's report. An older one that was overtaken is left out.
func (r *Roster) handleWorkReport(n *workReport, from string, now time.Time) {
	name := fmt.Sprintf("%s at %x", from, n.Work.Target)
	k := &r.ownership
	k.mu.Lock()
	defer k.mu.Unlock()
	if old, ok := k.last[name]; ok && n.Seq <= old.seq && now.Sub(old.at) < deadAfter {
		return
	}
	if len(k.last) >= maxReports {
		for other, l := range k.last {
			if now.Sub(l.at) > deadAfter {
				delete(k.last, other)
			}
		}
	}
	k.last[name] = receivedReport{seq: n.Seq, at: now}
	if n.Work.Idle() {
		k.book.Merge(name, nil, nil)
		return
	}
	k.book.Merge(name, []engines.Work{n.Work}, nil)
}

// Asks reports whether owners are asked: in a small fleet each daemon receives
// all work at once.
func (r *Roster) Asks() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.small()
}

// Queues returns how long a prompt will wait at engines that are about to be
// chosen from, as far as their owners answer: -1 where they don't. It returns nil
// in a small fleet, where each daemon receives all work at once.
func (r *Roster) Queues(ctx context.Context, targets []string) []time.Duration {
	now := time.Now()
	asks := make(map[net.Addr][]uint64)
	waits := make(map[uint64]time.Duration, len(targets))
	r.mu.Lock()
	if r.small() {
		r.mu.Unlock()
		return nil
	}
	for _, t := range targets {
		hash := engines.Hash(t)
		if to := r.owner(hash, now); to != nil {
			asks[to] = append(asks[to], hash)
		} else {
			waits[hash] = r.ownership.book.LoadOf(hash, nil).Wait
		}
	}
	r.mu.Unlock()
	r.ask(ctx, asks, waits)
	out := make([]time.Duration, len(targets))
	for i, t := range targets {
		w, known := waits[engines.Hash(t)]
		if !known {
			w = -1
		}
		out[i] = w
	}
	return out
}

// ask adds what owners answer in time to waits.
func (r *Roster) ask(ctx context.Context, asks map[net.Addr][]uint64, waits map[uint64]time.Duration) {
	if len(asks) == 0 {
		return
	}
	k := &r.ownership
	a := &pendingQuery{left: len(asks), waits: waits, done: make(chan struct{})}
	k.mu.Lock()
	k.next++
	id := k.next
	k.pending[id] = a
	k.mu.Unlock()
	for to, hashes := range asks {
		r.sendMessage(kindQueueQuery, &queueQuery{ID: id, Targets: hashes}, to)
	}
	limit := time.NewTimer(queryTimeout)
	defer limit.Stop()
	select {
	case <-a.done:
	case <-limit.C:
	case <-ctx.Done():
	}
	k.mu.Lock()
	delete(k.pending, id)
	k.mu.Unlock()
}

// handleQueueQuery answers a question.
func (r *Roster) handleQueueQuery(q *queueQuery, from net.Addr) {
	out := queueReply{ID: q.ID}
	for _, t := range q.Targets {
		wait := r.ownership.book.LoadOf(t, nil).Wait
		out.Queues = append(out.Queues, queue{Target: t, WaitUs: uint32(wait.Microseconds())})
	}
	r.sendMessage(kindQueueReply, &out, from)
}

// handleQueueReply takes an answer. One that comes too late finds no question.
func (r *Roster) handleQueueReply(n *queueReply) {
	k := &r.ownership
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.pending[n.ID]
	if a == nil {
		return
	}
	for _, q := range n.Queues {
		a.waits[q.Target] = time.Duration(q.WaitUs) * time.Microsecond
	}
	if a.left--; a.left == 0 {
		close(a.done)
	}
}

// handleOwnerMessage handles a datagram to or from an owner.
func (r *Roster) handleOwnerMessage(data []byte, from net.Addr) error {
	var err error
	switch data[0] {
	case kindWorkReport:
		var n workReport
		if err = cbor.Unmarshal(data[1:], &n); err == nil {
			r.handleWorkReport(&n, from.String(), time.Now())
		}
	case kindQueueQuery:
		var q queueQuery
		if err = cbor.Unmarshal(data[1:], &q); err == nil {
			r.handleQueueQuery(&q, from)
		}
	case kindQueueReply:
		var a queueReply
		if err = cbor.Unmarshal(data[1:], &a); err == nil {
			r.handleQueueReply(&a)
		}
	default:
		err = errors.New("unknown kind")
	}
	if err != nil {
		return fmt.Errorf("roster: datagram of kind %d: %w", data[0], err)
	}
	return nil
}
