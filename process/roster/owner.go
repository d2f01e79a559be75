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
	// queryTimeout is the time limit of a queue query. It covers a few round trips between
	// two zones and the time a busy VM needs to reply. Queues whose owner hasn't replied
	// by then are estimated from the aggregates.
	queryTimeout = 15 * time.Millisecond
	// workReportInterval is the interval at which a report of work is repeated. A report
	// is valid for three times as long.
	workReportInterval = 500 * time.Millisecond
	// maxReports is the number of stored reports from which on expired ones are removed.
	maxReports = 4096
)

// workReport is a daemon's current work at one engine, sent to the engine's owner.
type workReport struct {
	_    struct{} `cbor:",toarray"`
	Seq  uint64   // increases with each report of a daemon
	Work engines.Work
}

// queueQuery queries the owner of some engines for their queues.
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

// queue is the expected wait at one engine.
type queue struct {
	_      struct{} `cbor:",toarray"`
	Target uint64
	WaitUs uint32
}

// ownership is the state of what the daemons of a large fleet report to each engine's
// owner, and of this daemon's pending queries.
//
// Hundreds of daemons choose among hundreds of engines, and each one sees only a small
// part of an engine's work. With aggregates that are half a second old all of them choose
// the same engine at once, and a prompt that takes 45 ms waits 450 ms. Therefore one
// daemon owns each engine's queue and receives each change as it happens, and a daemon
// that is about to choose queries the owners of a few engines.
type ownership struct {
	tracker *engines.Tracker // work at the engines whose queues this daemon owns

	mu          sync.Mutex
	seq         uint64
	lastReports map[string]receivedReport // by name of the report in tracker
	reported    map[uint64]ownWork        // own work that was reported to owners
	lastQueryID uint64
	pending     map[uint64]*pendingQuery
}

// receivedReport is the sequence number of a report and the time it was received.
type receivedReport struct {
	seq uint64
	at  time.Time
}

// ownWork is own work and the time it was last sent to an owner.
type ownWork struct {
	work engines.Work
	at   time.Time
}

// pendingQuery is a queue query that waits for replies.
type pendingQuery struct {
	left  int // owners that haven't replied
	waits map[uint64]time.Duration
	done  chan struct{}
}

func newOwnership() ownership {
	return ownership{
		tracker:     engines.New(time.Now, func(engines.Work) {}),
		lastReports: make(map[string]receivedReport),
		reported:    make(map[uint64]ownWork),
		pending:     make(map[uint64]*pendingQuery),
	}
}

// WorkChanged records that this daemon's work at an engine changed. In a small fleet it
// requests a heartbeat, in a large one it reports the work to the engine's owner.
func (r *Roster) WorkChanged(w engines.Work) {
	r.mu.Lock()
	small := r.small()
	r.mu.Unlock()
	if small {
		r.Notify()
		return
	}
	r.sendWorkReport(w, time.Now())
}

// sendWorkReport reports this daemon's work at an engine to the engine's owner.
func (r *Roster) sendWorkReport(w engines.Work, now time.Time) {
	s := &r.ownership
	s.mu.Lock()
	s.seq++
	report := workReport{Seq: s.seq, Work: w}
	if w.Idle() {
		delete(s.reported, w.Target)
	} else {
		s.reported[w.Target] = ownWork{work: w, at: now}
	}
	s.mu.Unlock()
	r.mu.Lock()
	to := r.owner(w.Target, now)
	r.mu.Unlock()
	if to == nil {
		r.handleWorkReport(&report, r.o.Self.PeerAddr, now)
		return
	}
	r.sendMessage(kindWorkReport, &report, to)
}

// repeatWorkReports reports unfinished work again, in case the owner changed or a report
// was lost.
func (r *Roster) repeatWorkReports(now time.Time) {
	var repeated []engines.Work
	r.ownership.mu.Lock()
	for _, t := range r.ownership.reported {
		if now.Sub(t.at) >= workReportInterval {
			repeated = append(repeated, t.work)
		}
	}
	r.ownership.mu.Unlock()
	for _, w := range repeated {
		r.sendWorkReport(w, now)
	}
}

// owners caches the daemons that may own engines' queues.
type owners struct {
	at   time.Time
	list []ownerPoint
}

// ownerPoint is a daemon that may own queues, with the hash of its peer address and its
// availability zone. addr is nil for this daemon.
type ownerPoint struct {
	hash uint64
	zone string
	addr net.Addr
}

// ownersTTL is how long the list of owners is cached.
const ownersTTL = heartbeatInterval

// ownerList returns the daemons that may own queues. Callers hold r.mu.
func (r *Roster) ownerList(now time.Time) []ownerPoint {
	cache := &r.owners
	if !cache.at.IsZero() && now.Sub(cache.at) < ownersTTL {
		return cache.list
	}
	cache.at, cache.list = now, cache.list[:0]
	if r.self.State != Leaving {
		cache.list = append(cache.list, ownerPoint{hash: engines.Hash(r.self.PeerAddr), zone: r.self.Zone})
	}
	for addr, p := range r.peers {
		if p.member.State != Leaving && p.alive(now, r.deadTimeout()) {
			cache.list = append(cache.list, ownerPoint{hash: engines.Hash(addr), zone: p.member.Zone, addr: p.addr})
		}
	}
	return cache.list
}

// owner returns the address of the daemon that owns an engine's queue, or nil if it is
// this daemon. The owner is chosen by rendezvous hashing, so that all daemons find the
// same one without communication. Callers hold r.mu.
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

// mix distributes the bits of a hash. It is the finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// sendMessage sends a message to one daemon.
func (r *Roster) sendMessage(kind byte, message any, to net.Addr) {
	data, err := encodeMessage(kind, message)
	if err != nil {
		// Messages that consist of numbers can always be encoded.
		panic(err)
	}
	r.write(data, to)
}

// handleWorkReport merges a daemon's report. A report that arrives after a newer one is
// ignored.
func (r *Roster) handleWorkReport(report *workReport, from string, now time.Time) {
	name := fmt.Sprintf("%s at %x", from, report.Work.Target)
	s := &r.ownership
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.lastReports[name]; ok && report.Seq <= old.seq && now.Sub(old.at) < deadAfter {
		return
	}
	if len(s.lastReports) >= maxReports {
		for other, l := range s.lastReports {
			if now.Sub(l.at) > deadAfter {
				delete(s.lastReports, other)
			}
		}
	}
	s.lastReports[name] = receivedReport{seq: report.Seq, at: now}
	if report.Work.Idle() {
		s.tracker.Merge(name, nil, nil)
		return
	}
	s.tracker.Merge(name, []engines.Work{report.Work}, nil)
}

// CanQueryQueues reports whether owners are queried. In a small fleet they aren't, because each
// daemon receives all work at once.
func (r *Roster) CanQueryQueues() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.small()
}

// Queues returns the expected wait of a prompt at each of the given engines, or -1 where
// the owner doesn't reply in time. It returns nil in a small fleet, where each daemon
// receives all work at once.
func (r *Roster) Queues(ctx context.Context, targets []string) []time.Duration {
	now := time.Now()
	queries := make(map[net.Addr][]uint64)
	waits := make(map[uint64]time.Duration, len(targets))
	r.mu.Lock()
	if r.small() {
		r.mu.Unlock()
		return nil
	}
	for _, t := range targets {
		hash := engines.Hash(t)
		if to := r.owner(hash, now); to != nil {
			queries[to] = append(queries[to], hash)
		} else {
			waits[hash] = r.ownership.tracker.LoadOf(hash, nil).Wait
		}
	}
	r.mu.Unlock()
	r.queryOwners(ctx, queries, waits)
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

// queryOwners queries the owners and adds what they reply in time to waits.
func (r *Roster) queryOwners(ctx context.Context, queries map[net.Addr][]uint64, waits map[uint64]time.Duration) {
	if len(queries) == 0 {
		return
	}
	s := &r.ownership
	p := &pendingQuery{left: len(queries), waits: waits, done: make(chan struct{})}
	s.mu.Lock()
	s.lastQueryID++
	id := s.lastQueryID
	s.pending[id] = p
	s.mu.Unlock()
	for to, hashes := range queries {
		r.sendMessage(kindQueueQuery, &queueQuery{ID: id, Targets: hashes}, to)
	}
	limit := time.NewTimer(queryTimeout)
	defer limit.Stop()
	select {
	case <-p.done:
	case <-limit.C:
	case <-ctx.Done():
	}
	s.mu.Lock()
	delete(s.pending, id)
	s.mu.Unlock()
}

// handleQueueQuery replies to a query.
func (r *Roster) handleQueueQuery(q *queueQuery, from net.Addr) {
	out := queueReply{ID: q.ID}
	for _, t := range q.Targets {
		wait := r.ownership.tracker.LoadOf(t, nil).Wait
		out.Queues = append(out.Queues, queue{Target: t, WaitUs: uint32(wait.Microseconds())})
	}
	r.sendMessage(kindQueueReply, &out, from)
}

// handleQueueReply records a reply. A reply that arrives after the query has ended is
// ignored.
func (r *Roster) handleQueueReply(reply *queueReply) {
	s := &r.ownership
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pending[reply.ID]
	if p == nil {
		return
	}
	for _, q := range reply.Queues {
		p.waits[q.Target] = time.Duration(q.WaitUs) * time.Microsecond
	}
	if p.left--; p.left == 0 {
		close(p.done)
	}
}

// handleOwnerMessage handles a datagram to or from an owner.
func (r *Roster) handleOwnerMessage(data []byte, from net.Addr) error {
	var err error
	switch data[0] {
	case kindWorkReport:
		var report workReport
		if err = cbor.Unmarshal(data[1:], &report); err == nil {
			r.handleWorkReport(&report, from.String(), time.Now())
		}
	case kindQueueQuery:
		var q queueQuery
		if err = cbor.Unmarshal(data[1:], &q); err == nil {
			r.handleQueueQuery(&q, from)
		}
	case kindQueueReply:
		var reply queueReply
		if err = cbor.Unmarshal(data[1:], &reply); err == nil {
			r.handleQueueReply(&reply)
		}
	default:
		err = errors.New("unknown datagram kind")
	}
	if err != nil {
		return fmt.Errorf("roster: decode datagram of kind %d: %w", data[0], err)
	}
	return nil
}
