// Package roster knows the other daemons: who is alive and takes requests, and
// what work they have at the engines. Daemons exchange small
// datagrams. A lost one does no harm, since each repeats what still holds; grpc
// between the daemons would hold updates back behind a packet that is sent again.
//
// In a small fleet each daemon sends to all others. In a large one a few in each
// availability zone aggregate what its daemons send, exchange the aggregates with other
// zones' and send the zone's daemons the whole: what a daemon sends and receives
// grows with the engines' number, not with the daemons'.
package roster

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"time"

	"gopkg.in/tomb.v2"

	"github.com/pomelospool/pomelospool/connection/address"
	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/port"
)

const (
	// heartbeatInterval is the time between heartbeats without changes.
	heartbeatInterval = 250 * time.Millisecond
	// batchDelay is how long a change waits for more before it is sent, per daemon
	// that it is sent to: with 5 others 10 ms.
	batchDelay = 2 * time.Millisecond
	// smallFleet is the number of other daemons up to which each sends to all
	// others, and changes go out at once. In a larger fleet each sends to the few
	// daemons of its availability zone that aggregate (see aggregate.go).
	smallFleet = 16
	// deadAfter is the silence after which a daemon that sends heartbeats to this one
	// counts as dead: four heartbeats, so that lost datagrams alone hardly do it.
	deadAfter = 1100 * time.Millisecond
	// relayedDeadAfter is the silence after which a daemon counts as dead of which
	// others report: they repeat it twice a second, and report at once when it is unresponsive.
	relayedDeadAfter = 2500 * time.Millisecond
	// forgetAfter is how long an unresponsive daemon is sent heartbeats.
	forgetAfter = 30 * time.Second
	// peersEvery is the number of heartbeats between two that name other daemons.
	peersEvery = 8
	// maxPeers bounds the daemons named in one heartbeat.
	maxPeers = 24
	// maxDatagram is the largest datagram sent, below what links carry whole.
	maxDatagram = 1400
	// isolatedKeep is how long the last addresses are still given when every
	// other daemon and the store became unresponsive at once.
	isolatedKeep = 15 * time.Second
)

// State says whether a daemon takes requests.
type State uint8

// The states.
const (
	Starting State = iota
	Ready
	Leaving
)

// Member is what a daemon says of itself.
type Member struct {
	_           struct{} `cbor:",toarray"`
	VM          string
	Incarnation uint64 // of its process, rising
	CallerAddr  string
	PeerAddr    string
	Zone        string
	State       State
	StoreAway   bool   // its own calls to the store fail
	LinkMbps    uint32 // bandwidth of its VM's link in Mbit/s, 0: not known
	Millicores  uint32 // processor of its VM in thousandths of a core, 0: not known
	RateLevel   uint8  // callers' requests a second, see rateLevel
}

// Options of a Roster.
type Options struct {
	Self   Member
	Store  port.Store
	Book   *engines.Tracker
	Claims Claims        // what the daemons exchange of claims
	Speeds Speeds        // and of engines' speed
	Demand Demand        // and of callers' demand
	TTL    time.Duration // how long callers keep addresses
	// StoreAway reports whether this daemon doesn't know what the store says now.
	StoreAway func() bool
	// StoreFails reports whether its own calls to the store fail; nil: StoreAway.
	StoreFails func() bool
	// Rooted has one daemon read the store for the whole fleet: the bounds leave
	// time for another hop.
	Rooted bool
	// Clock gets the other daemons' clocks; nil: none.
	Clock FleetClock
	// Usage takes other daemons' reports of usage; nil: there are none.
	Usage func(data []byte) error
	// Rate is the number of callers' requests in the last seconds, per second; nil: some, not counted.
	Rate func() float64
	// Conn replaces the UDP socket, in tests.
	Conn net.PacketConn
}

// Roster is safe for concurrent use.
type Roster struct {
	o       Options
	conn    net.PacketConn
	tomb    tomb.Tomb
	updates chan struct{}

	mu      sync.Mutex
	self    Member
	seq     uint64
	peers   map[string]*peer  // by peer address
	tokens  map[uint32]string // peer address by the token that stands for a daemon's process
	sent    []sentHeartbeat   // recent own heartbeats, the newest last
	agg     aggregation
	paused  pauses
	written bool // this daemon is a contact; of announce
	// listedAt is when the contacts were read, zero before.
	listedAt time.Time
	// upstream was found at upstreamAt.
	upstream   Upstream
	upstreamAt time.Time

	ownership ownership
	owners    owners        // guarded by mu
	listed    chan struct{} // closed once the daemons were listed, or that failed twice
	listedOne sync.Once

	sockets sync.Once
}

// New opens the roster's socket.
func New(o Options) (*Roster, error) {
	conn := o.Conn
	if conn == nil {
		var err error
		if conn, err = net.ListenPacket("udp4", o.Self.PeerAddr); err != nil {
			return nil, err
		}
		o.Self.PeerAddr = conn.LocalAddr().String()
	}
	return &Roster{
		o:         o,
		conn:      conn,
		updates:   make(chan struct{}, 1),
		self:      o.Self,
		peers:     make(map[string]*peer),
		tokens:    make(map[uint32]string),
		agg:       aggregation{changed: make(chan struct{}, 1)},
		ownership: newOwnership(),
		listed:    make(chan struct{}),
	}, nil
}

// Start announces this daemon and begins to send and receive heartbeats.
func (r *Roster) Start() {
	r.tomb.Go(r.receiveDatagrams)
	r.tomb.Go(r.sendHeartbeats)
	r.tomb.Go(r.announce)
	r.tomb.Go(r.aggregate)
}

// Stop ends all.
func (r *Roster) Stop() error {
	r.tomb.Kill(nil)
	r.close()
	return r.tomb.Wait()
}

func (r *Roster) close() { r.sockets.Do(func() { _ = r.conn.Close() }) }

// SetState changes what this daemon says of itself, and broadcasts it now:
// to all of them that it leaves, so that callers learn it in time.
func (r *Roster) SetState(s State) {
	r.mu.Lock()
	r.self.State = s
	r.mu.Unlock()
	r.send(s == Leaving)
}

// Notify asks for a heartbeat soon, without waiting for it.
func (r *Roster) Notify() {
	select {
	case r.updates <- struct{}{}:
	default:
	}
}

// Members returns the daemons that are alive, this one first, then by name.
func (r *Roster) Members() []Member {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Member
	for _, p := range r.peers {
		if r.isAlive(p, now) {
			out = append(out, p.member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return append([]Member{r.self}, out...)
}

// ReadyPeers returns the peer addresses of the other daemons that take requests.
func (r *Roster) ReadyPeers() []string {
	return r.peerAddrs(func(m *Member) bool { return m.State == Ready || m.State == Leaving })
}

// PeersWithStore returns the peer addresses of the other daemons that take
// requests and can read the store.
func (r *Roster) PeersWithStore() []string {
	return r.peerAddrs(func(m *Member) bool { return m.State == Ready && !m.StoreAway })
}

// peerAddrs returns the peer addresses of the other daemons that fit.
func (r *Roster) peerAddrs(fits func(m *Member) bool) []string {
	var out []string
	for _, m := range r.Members()[1:] {
		if fits(&m) {
			out = append(out, m.PeerAddr)
		}
	}
	return out
}

// Known is the number of daemons that were seen recently, dead ones and this
// one included.
func (r *Roster) Known() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return 1 + len(r.peers)
}

// Ready reports whether this daemon takes requests.
func (r *Roster) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self.State == Ready
}

// Addresses returns the callers' addresses of the daemons that take requests,
// in the order of the caller with that address in an availability zone: each
// has one of its own, since callers read no more than the first few of a large
// fleet.
//
// The guard is against a daemon that is cut off: it sees no other and
// would send all callers that ask it to itself alone. When the others and the
// store became unresponsive together, the daemons seen recently still count.
func (r *Roster) Addresses(zone, caller string) ([]string, time.Duration) {
	serving := r.serving
	if len(r.Members()) == 1 && r.o.StoreAway() {
		serving = r.recentlySeen
	}
	all := serving()
	list, named := active(all, zone)
	entries := address.NewBook(func() []address.Member { return list }, r.o.TTL).Answer(zone, address.Seed(caller)).Addresses
	out := make([]string, 0, len(entries))
	for _, e := range entries[:min(len(entries), named)] {
		out = append(out, e.Addr)
	}
	return out, r.o.TTL
}

// serving returns the daemons that take requests.
func (r *Roster) serving() []candidate {
	now := time.Now()
	return r.forCallers(func(p *peer) bool { return r.isAlive(p, now) })
}

// recentlySeen returns the same with those that have become unresponsive since.
func (r *Roster) recentlySeen() []candidate {
	now := time.Now()
	return r.forCallers(func(p *peer) bool { return now.Sub(p.lastSeen) < isolatedKeep })
}

// forCallers returns the daemons that take requests, this one included, of
// those that there are.
func (r *Roster) forCallers(there func(p *peer) bool) []candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []candidate
	add := func(m *Member) {
		if m.State == Ready {
			out = append(out, candidate{
				Member: address.Member{Addr: m.CallerAddr, Zone: m.Zone, Weight: m.millicores() / 1000},
				rate:   m.rate(),
			})
		}
	}
	add(&r.self)
	for _, p := range r.peers {
		if there(p) {
			add(&p.member)
		}
	}
	return out
}
