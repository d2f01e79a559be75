package roster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/pomelospool/pomelospool/connection/address"
	"github.com/pomelospool/pomelospool/connection/engines"
)

const (
	// askWithin is how long a question may take: some times the way between two
	// zones there and back, and what a busy VM needs to answer. Whoever has not
	// answered then is foreseen by the sums.
	askWithin = 15 * time.Millisecond
	// repeatNote is how long a note that says of work counts before it is told
	// again: words count for three times as long.
	repeatNote = 500 * time.Millisecond
	// maxNotes is the number of notes kept from which on old ones are dropped.
	maxNotes = 4096
)

// note is what one daemon has at one engine now, told to the engine's keeper.
type note struct {
	_    struct{} `cbor:",toarray"`
	Seq  uint64   // rises over a daemon's notes
	Work engines.Work
}

// question asks an engines' keeper for their queues.
type question struct {
	_       struct{} `cbor:",toarray"`
	ID      uint64
	Targets []uint64
}

// answer is a keeper's answer, in the order of the question.
type answer struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Queues []queue
}

type queue struct {
	_      struct{} `cbor:",toarray"`
	Target uint64
	WaitUs uint32
}

// keeping is what daemons of a large fleet tell each engine's keeper, and the
// questions that are open.
//
// The load that it answers: hundreds of daemons choose among hundreds of
// engines, and each sees one in hundreds of an engine's work. By sums that are
// half a second old all choose the same engine at once, and a prompt that takes
// 45 ms waits 450. One daemon keeps the work of each engine, told of each
// change as it happens; whoever is about to choose asks the keepers of a few.
type keeping struct {
	book *engines.Book // others' and own work at the engines kept here

	mu      sync.Mutex
	seq     uint64
	last    map[string]noted   // by name of the word in book
	busy    map[uint64]ownWork // own work that keepers were told of
	next    uint64
	pending map[uint64]*asking
}

type noted struct {
	seq uint64
	at  time.Time
}

// ownWork is when a keeper was last told of own work.
type ownWork struct {
	work engines.Work
	at   time.Time
}

// asking is an open question.
type asking struct {
	left  int // keepers that haven't answered
	waits map[uint64]time.Duration
	done  chan struct{}
}

func newKeeping() keeping {
	return keeping{
		book:    engines.New(time.Now, func(engines.Work) {}),
		last:    make(map[string]noted),
		busy:    make(map[uint64]ownWork),
		pending: make(map[uint64]*asking),
	}
}

// Changed notes that this daemon's work at an engine changed, and tells who
// has to know.
func (r *Roster) Changed(w engines.Work) {
	r.mu.Lock()
	small := r.small()
	r.mu.Unlock()
	if small {
		r.News()
		return
	}
	r.note(w, time.Now())
}

// note tells an engine's keeper of this daemon's work there.
func (r *Roster) note(w engines.Work, now time.Time) {
	k := &r.keeping
	k.mu.Lock()
	k.seq++
	n := note{Seq: k.seq, Work: w}
	if w.Idle() {
		delete(k.busy, w.Target)
	} else {
		k.busy[w.Target] = ownWork{work: w, at: now}
	}
	k.mu.Unlock()
	r.mu.Lock()
	to := r.keeper(w.Target, now)
	r.mu.Unlock()
	if to == nil {
		r.takeNote(&n, r.o.Self.PeerAddr, now)
		return
	}
	r.tellOne(kindNote, &n, to)
}

// repeatNotes tells again what still holds, for keepers that are new and for
// notes that were lost.
func (r *Roster) repeatNotes(now time.Time) {
	var again []engines.Work
	r.keeping.mu.Lock()
	for _, t := range r.keeping.busy {
		if now.Sub(t.at) >= repeatNote {
			again = append(again, t.work)
		}
	}
	r.keeping.mu.Unlock()
	for _, w := range again {
		r.note(w, now)
	}
}

// keeper returns the address of the daemon that keeps an engine's work, nil
// for this one: the one that the hash of both names, so that each daemon finds
// the same without a word. Callers hold r.mu.
func (r *Roster) keeper(target uint64, now time.Time) net.Addr {
	var to net.Addr
	best := address.Rank(target, r.self.PeerAddr)
	if r.self.State == Leaving {
		best = 0
	}
	for addr, p := range r.peers {
		if p.member.State == Leaving || !p.alive(now, r.patience()) {
			continue
		}
		if rank := address.Rank(target, addr); rank > best {
			best, to = rank, p.addr
		}
	}
	return to
}

// tellOne sends a message to one daemon.
func (r *Roster) tellOne(kind byte, message any, to net.Addr) {
	data, err := packed(kind, message)
	if err != nil {
		// Messages of numbers always encode.
		panic(err)
	}
	r.write(data, to)
}

// takeNote takes a daemon's note. An older one that was overtaken is left out.
func (r *Roster) takeNote(n *note, from string, now time.Time) {
	name := fmt.Sprintf("%s at %x", from, n.Work.Target)
	k := &r.keeping
	k.mu.Lock()
	defer k.mu.Unlock()
	if old, ok := k.last[name]; ok && n.Seq <= old.seq && now.Sub(old.at) < deadAfter {
		return
	}
	if len(k.last) >= maxNotes {
		for other, l := range k.last {
			if now.Sub(l.at) > deadAfter {
				delete(k.last, other)
			}
		}
	}
	k.last[name] = noted{seq: n.Seq, at: now}
	if n.Work.Idle() {
		k.book.Hear(name, nil, nil)
		return
	}
	k.book.Hear(name, []engines.Work{n.Work}, nil)
}

// Asks reports whether keepers are asked: in a small fleet each daemon hears of
// all work at once.
func (r *Roster) Asks() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.small()
}

// Queues returns how long a prompt will wait at engines that are about to be
// chosen from, as far as their keepers say: -1 where they don't. It returns nil
// in a small fleet, where each daemon hears of all work at once.
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
		if to := r.keeper(hash, now); to != nil {
			asks[to] = append(asks[to], hash)
		} else {
			waits[hash] = r.keeping.book.LoadOf(hash, nil).Wait
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

// ask adds what keepers answer in time to waits.
func (r *Roster) ask(ctx context.Context, asks map[net.Addr][]uint64, waits map[uint64]time.Duration) {
	if len(asks) == 0 {
		return
	}
	k := &r.keeping
	a := &asking{left: len(asks), waits: waits, done: make(chan struct{})}
	k.mu.Lock()
	k.next++
	id := k.next
	k.pending[id] = a
	k.mu.Unlock()
	for to, hashes := range asks {
		r.tellOne(kindQuestion, &question{ID: id, Targets: hashes}, to)
	}
	limit := time.NewTimer(askWithin)
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

// takeQuestion answers a question.
func (r *Roster) takeQuestion(q *question, from net.Addr) {
	out := answer{ID: q.ID}
	for _, t := range q.Targets {
		wait := r.keeping.book.LoadOf(t, nil).Wait
		out.Queues = append(out.Queues, queue{Target: t, WaitUs: uint32(wait.Microseconds())})
	}
	r.tellOne(kindAnswer, &out, from)
}

// takeAnswer takes an answer. One that comes too late finds no question.
func (r *Roster) takeAnswer(n *answer) {
	k := &r.keeping
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

// openKeeping takes a datagram that a keeper gets or sends.
func (r *Roster) openKeeping(data []byte, from net.Addr) error {
	var err error
	switch data[0] {
	case kindNote:
		var n note
		if err = cbor.Unmarshal(data[1:], &n); err == nil {
			r.takeNote(&n, from.String(), time.Now())
		}
	case kindQuestion:
		var q question
		if err = cbor.Unmarshal(data[1:], &q); err == nil {
			r.takeQuestion(&q, from)
		}
	case kindAnswer:
		var a answer
		if err = cbor.Unmarshal(data[1:], &a); err == nil {
			r.takeAnswer(&a)
		}
	default:
		err = errors.New("unknown kind")
	}
	if err != nil {
		return fmt.Errorf("roster: datagram of kind %d: %w", data[0], err)
	}
	return nil
}
