package roster

import (
	"cmp"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/pomelospool/pomelospool/connection/origin"
)

const (
	// originKeepers is the number of other daemons that keep a record, in as many
	// availability zones as there are. One more in the sender's zone keeps it for
	// callers that reach only that zone.
	originKeepers = 3
	// askedPerZone is the number of daemons of an availability zone that are queried.
	// It exceeds the number of keepers, since daemons' views of the fleet differ.
	askedPerZone = 2
	// versionPeers is the number of daemons that are asked for versions.
	versionPeers = 3
	// originsPerDatagram is the number of records that fit into a datagram. A record
	// takes up to 45 bytes.
	originsPerDatagram = 24
	// originRepeat is the time after which a query without all replies is repeated.
	originRepeat = 40 * time.Millisecond
)

// Origins keeps records of where streams began for all daemons.
type Origins interface {
	Store(records []origin.Record)
	Answer(q origin.Query) origin.Reply
}

// originQuery is a query with its number.
type originQuery struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	Query origin.Query
}

// originReply is the reply to the query with that number.
type originReply struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	Reply origin.Reply
}

// receivedOrigin is a reply with the address of its sender.
type receivedOrigin struct {
	from  string
	reply origin.Reply
}

// originQueries are the queries of this daemon that wait for replies.
type originQueries struct {
	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan receivedOrigin
}

// maxSends is the number of times that a query is sent to a daemon.
const maxSends = 2

func (o *originQueries) begin(receivers int) (id uint64, received chan receivedOrigin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastID++
	received = make(chan receivedOrigin, maxSends*receivers)
	o.pending[o.lastID] = received
	return o.lastID, received
}

func (o *originQueries) end(id uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.pending, id)
}

// deliver passes a reply on unless the query has ended.
func (o *originQueries) deliver(reply *originReply, from string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	select {
	case o.pending[reply.ID] <- receivedOrigin{from: from, reply: reply.Reply}:
	default:
	}
}

// ShareOrigins implements origin.Peers.
func (r *Roster) ShareOrigins(records []origin.Record) {
	now := time.Now()
	byKeeper := make(map[net.Addr][]origin.Record)
	r.mu.Lock()
	for _, rec := range records {
		for _, to := range r.originKeepers(rec.Key, now) {
			byKeeper[to] = append(byKeeper[to], rec)
		}
	}
	r.mu.Unlock()
	for to, list := range byKeeper {
		for part := range slices.Chunk(list, originsPerDatagram) {
			r.sendMessage(kindOrigins, part, to)
		}
	}
}

// rankedPoint is a daemon with its rank for a key by rendezvous hashing.
type rankedPoint struct {
	ownerPoint
	rank uint64
}

// rankForKey returns the other live daemons by descending rank. Callers hold r.mu.
func (r *Roster) rankForKey(key origin.Key, now time.Time) []rankedPoint {
	seed := binary.BigEndian.Uint64(key[:])
	var out []rankedPoint
	for _, o := range r.ownerList(now) {
		if o.addr != nil {
			out = append(out, rankedPoint{ownerPoint: o, rank: mix(seed ^ o.hash)})
		}
	}
	slices.SortFunc(out, func(a, b rankedPoint) int { return cmp.Compare(b.rank, a.rank) })
	return out
}

// originKeepers returns the daemons that keep the record of a stream. A cut between
// availability zones leaves at least one of them on each side that has many. Callers
// hold r.mu.
func (r *Roster) originKeepers(key origin.Key, now time.Time) []net.Addr {
	ranked := r.rankForKey(key, now)
	var out []net.Addr
	add := func(addr net.Addr) {
		if !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	byZone := firstOfZones(ranked, 1)
	for _, p := range byZone[:min(len(byZone), originKeepers)] {
		add(p.addr)
	}
	for _, p := range byZone {
		if p.zone == r.self.Zone {
			add(p.addr)
		}
	}
	for _, p := range ranked {
		if len(out) >= originKeepers {
			break
		}
		add(p.addr)
	}
	return out
}

// firstOfZones returns the first n points of each availability zone.
func firstOfZones(ranked []rankedPoint, n int) (out []rankedPoint) {
	count := make(map[string]int)
	for _, p := range ranked {
		if count[p.zone]++; count[p.zone] <= n {
			out = append(out, p)
		}
	}
	return out
}

// unresponsive returns the other daemons that seem dead and haven't left. Callers hold r.mu.
func (r *Roster) unresponsive() (out []rankedPoint) {
	for _, p := range r.peers {
		if p.known && p.member.State != Leaving {
			out = append(out, rankedPoint{ownerPoint: ownerPoint{addr: p.addr}})
		}
	}
	for _, addr := range r.probeAddrs(originKeepers) {
		out = append(out, rankedPoint{ownerPoint: ownerPoint{addr: addr}})
	}
	return out[:min(len(out), originKeepers)]
}

// AskOrigins implements origin.Peers. In a small fleet it queries all daemons, since the
// one at which the stream began has its record in any case. If all others seem dead, this
// daemon may be the one that is cut off, so it doesn't go without their replies.
func (r *Roster) AskOrigins(ctx context.Context, q origin.Query, handle func(origin.Reply) (done bool)) {
	now := time.Now()
	r.mu.Lock()
	ranked := r.rankForKey(q.Key, now)
	if !r.small() {
		ranked = slices.Concat(firstOfZones(ranked, askedPerZone), ranked[:min(len(ranked), originKeepers)])
	}
	if len(ranked) == 0 {
		ranked = r.unresponsive()
	}
	r.mu.Unlock()
	r.askOrigins(ctx, q, ranked, handle)
}

// AskVersions implements origin.Peers.
func (r *Roster) AskVersions(ctx context.Context, q origin.Query, handle func(origin.Reply) (done bool)) {
	r.mu.Lock()
	ranked := r.rankForKey(origin.Key{byte(r.seq)}, time.Now())
	r.mu.Unlock()
	r.askOrigins(ctx, q, ranked[:min(len(ranked), versionPeers)], handle)
}

func (r *Roster) askOrigins(ctx context.Context, q origin.Query, to []rankedPoint, handle func(origin.Reply) (done bool)) {
	waiting := make(map[string]net.Addr, len(to))
	for _, p := range to {
		waiting[p.addr.String()] = p.addr
	}
	if len(waiting) == 0 {
		return
	}
	id, received := r.origins.begin(len(waiting))
	defer r.origins.end(id)
	send := func() {
		for _, addr := range waiting {
			r.sendMessage(kindOriginQuery, &originQuery{ID: id, Query: q}, addr)
		}
	}
	send()
	repeat := time.NewTimer(originRepeat)
	defer repeat.Stop()
	for len(waiting) > 0 {
		select {
		case <-ctx.Done():
			return
		case <-repeat.C:
			send()
		case got := <-received:
			delete(waiting, got.from)
			if handle(got.reply) {
				return
			}
		}
	}
}

// handleOriginMessage handles a datagram about origins.
func (r *Roster) handleOriginMessage(data []byte, from net.Addr) error {
	if r.o.Origins == nil {
		return nil
	}
	var err error
	switch data[0] {
	case kindOrigins:
		var records []origin.Record
		if err = cbor.Unmarshal(data[1:], &records); err == nil {
			r.o.Origins.Store(records)
		}
	case kindOriginQuery:
		var q originQuery
		if err = cbor.Unmarshal(data[1:], &q); err == nil {
			r.sendMessage(kindOriginReply, &originReply{ID: q.ID, Reply: r.o.Origins.Answer(q.Query)}, from)
		}
	case kindOriginReply:
		var reply originReply
		if err = cbor.Unmarshal(data[1:], &reply); err == nil {
			r.origins.deliver(&reply, from.String())
		}
	}
	if err != nil {
		return fmt.Errorf("roster: decode origins: %w", err)
	}
	return nil
}
