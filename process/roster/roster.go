// Package roster tracks the other daemons of the fleet: which of them are alive and take
// requests, and how much work each has at the engines. Daemons exchange small UDP
// datagrams. A lost datagram does no harm, because each one repeats the state that still
// holds. A gRPC stream would delay newer updates behind a retransmitted packet.
//
// In a small fleet each daemon sends to all others. In a large fleet a few daemons of each
// availability zone aggregate what the zone's daemons send, exchange the aggregates with
// other zones and send the aggregate of the fleet to the zone's daemons. The traffic of
// one daemon therefore grows with the number of engines and not with the number of
// daemons.
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
	// heartbeatInterval is the interval between heartbeats while nothing changes.
	heartbeatInterval = 250 * time.Millisecond
	// batchDelay is how long a change waits for further changes before it is sent,
	// multiplied by the number of receivers: 10 ms with 5 other daemons.
	batchDelay = 2 * time.Millisecond
	// maxFullMeshPeers is the number of other daemons up to which each daemon sends to all
	// others and changes are sent at once. In a larger fleet each daemon sends to the
	// aggregators of its availability zone (see aggregate.go).
	maxFullMeshPeers = 16
	// deadAfter is the time without heartbeats after which a daemon that sends them to
	// this one counts as dead. It spans four heartbeats, so that lost datagrams alone
	// rarely cause it.
	deadAfter = 1100 * time.Millisecond
	// relayedDeadAfter is the time without reports after which a daemon counts as dead
	// that this one knows only from others' reports. Aggregators repeat these reports
	// twice a second and report an unresponsive daemon at once.
	relayedDeadAfter = 2500 * time.Millisecond
	// peerExpiry is how long heartbeats are still sent to an unresponsive daemon before it
	// is removed.
	peerExpiry = 30 * time.Second
	// heartbeatsPerPeerList is the number of heartbeats of which one lists other daemons.
	heartbeatsPerPeerList = 8
	// heartbeatsPerProbe is the number of heartbeats of which one also goes to daemons that
	// were removed. maxProbes bounds their number, since there can be hundreds in a large
	// fleet. One that answers names the others.
	heartbeatsPerProbe = 8
	maxProbes          = 4
	// maxListedPeers bounds the number of daemons listed in one heartbeat.
	maxListedPeers = 24
	// maxDatagramSize is the largest payload sent. It is below the MTU of common links, so
	// that datagrams aren't fragmented.
	maxDatagramSize = 1400
	// isolationGrace is how long callers still get the last known addresses after all
	// other daemons and the store became unresponsive at once.
	isolationGrace = 15 * time.Second
)

// State is a daemon's lifecycle state.
type State uint8

const (
	Starting State = iota
	Ready
	Leaving
	// Unlinked is Ready without links to the targets of some service. Only
	// heartbeats have it; the state of the daemon itself stays Ready.
	Unlinked
)

// serving reports whether the daemon takes requests.
func (m *Member) serving() bool { return m.State == Ready || m.State == Unlinked }

// Member is what a daemon reports about itself.
type Member struct {
	_           struct{} `cbor:",toarray"`
	VM          string
	Incarnation uint64 // of its process, increasing with each start
	CallerAddr  string
	PeerAddr    string
	Zone        string
	State       State
	StoreFails  bool   `cbor:"StoreAway"` // its own calls to the store fail
	LinkMbps    uint32 // bandwidth of its VM's link in Mbit/s, 0 if unknown
	Millicores  uint32 // CPU of its VM in thousandths of a core, 0 if unknown
	RateLevel   uint8  // requests from callers per second, see rateLevel
}

// Options configures a Roster.
type Options struct {
	Self    Member
	Store   port.Store
	Engines *engines.Tracker
	Claims  Claims        // claims that the daemons exchange
	Speeds  Speeds        // measured speeds of engines
	Demand  Demand        // demand of callers
	TTL     time.Duration // how long callers may cache addresses
	// StoreUnavailable reports whether this daemon has no current data of the store.
	StoreUnavailable func() bool
	// StoreFails reports whether this daemon's own calls to the store fail. If nil,
	// StoreUnavailable is used.
	StoreFails func() bool
	// SingleReader lets a single daemon read the store for the whole fleet. It is set when
	// the configured time bounds leave time for one more hop.
	SingleReader bool
	// Clock receives the other daemons' clock readings. It may be nil.
	Clock FleetClock
	// Usage handles usage reports of other daemons. If nil, they are dropped.
	Usage func(data []byte) error
	// Rate returns the recent number of requests from callers per second. If nil, the
	// daemon reports that it gets requests without a measured rate.
	Rate func() float64
	// Unlinked reports whether this daemon has lost its links to the targets of
	// some service. If nil, it never has.
	Unlinked func() bool
	// Convictions exchanges what daemons know of content that crashes targets. It
	// may be nil.
	Convictions Convictions
	// Origins keeps where streams began. It may be nil.
	Origins Origins
	// Summaries holds the tables that daemons exchange, by topic.
	Summaries map[uint8]Summary
	// Conn replaces the UDP socket, in tests.
	Conn net.PacketConn
}

// Roster tracks the daemons of the fleet. It is safe for concurrent use.
type Roster struct {
	o       Options
	conn    net.PacketConn
	tomb    tomb.Tomb
	updates chan struct{}

	mu        sync.Mutex
	self      Member
	seq       uint64
	peers     map[string]*peer    // by peer address
	tokens    map[uint32]string   // peer address by the token of a daemon's process
	badAddrs  map[string]bool     // invalid addresses that were logged
	removed   map[string]net.Addr // by VM, daemons that were removed from peers without having left
	sent      []sentHeartbeat     // recent own heartbeats, the newest last
	agg       aggregation
	paused    pauses
	isContact bool // whether this daemon is a contact; used by announce only
	// listedAt is when the contacts were first listed, zero before.
	listedAt time.Time
	// upstream is cached since upstreamAt.
	upstream   Upstream
	upstreamAt time.Time

	ownership  ownership
	origins    originQueries
	owners     owners        // guarded by mu
	share      cachedShare   // guarded by mu
	listed     chan struct{} // closed once the contacts were listed, or two attempts failed
	listedOnce sync.Once

	closeOnce sync.Once
}

// New opens the roster's UDP socket.
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
		badAddrs:  make(map[string]bool),
		removed:   make(map[string]net.Addr),
		agg:       aggregation{changed: make(chan struct{}, 1)},
		ownership: newOwnership(),
		origins:   originQueries{pending: make(map[uint64]chan receivedOrigin)},
		listed:    make(chan struct{}),
	}, nil
}

// Start announces this daemon and starts to send and receive heartbeats.
func (r *Roster) Start() {
	r.tomb.Go(r.receiveDatagrams)
	r.tomb.Go(r.sendHeartbeats)
	r.tomb.Go(r.announce)
	r.tomb.Go(r.aggregate)
}

// Stop closes the socket and waits for the roster's goroutines.
func (r *Roster) Stop() error {
	r.tomb.Kill(nil)
	r.close()
	return r.tomb.Wait()
}

func (r *Roster) close() { r.closeOnce.Do(func() { _ = r.conn.Close() }) }

// SetState changes the state of this daemon and sends it at once. Leaving goes to all
// known daemons, so that they stop naming this one to callers in time. It is final.
func (r *Roster) SetState(s State) {
	r.mu.Lock()
	if r.self.State == Leaving {
		s = Leaving // a daemon may become ready while it stops
	}
	r.self.State = s
	r.mu.Unlock()
	r.sendHeartbeat(s == Leaving)
}

// Notify requests a heartbeat soon, without waiting for it.
func (r *Roster) Notify() {
	select {
	case r.updates <- struct{}{}:
	default:
	}
}

// Members returns the live daemons: this one first, the others by VM name.
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
	return append([]Member{r.reportedSelf()}, out...)
}

// ReadyPeers returns the peer addresses of the other daemons that take requests, including
// those that are leaving.
func (r *Roster) ReadyPeers() []string {
	return r.peerAddrs(func(m *Member) bool { return m.serving() || m.State == Leaving })
}

// PeersWithStore returns the peer addresses of the other daemons that take
// requests and can read the store.
func (r *Roster) PeersWithStore() []string {
	return r.peerAddrs(func(m *Member) bool { return m.serving() && !m.StoreFails })
}

// peerAddrs returns the peer addresses of the other daemons that match.
func (r *Roster) peerAddrs(match func(m *Member) bool) []string {
	var out []string
	for _, m := range r.Members()[1:] {
		if match(&m) {
			out = append(out, m.PeerAddr)
		}
	}
	return out
}

// KnownDaemons returns the number of daemons known, including dead ones that haven't
// expired and this one.
func (r *Roster) KnownDaemons() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return 1 + len(r.peers)
}

// FleetSize returns an upper bound of the number of daemons, including this one. An unresponsive
// daemon may be cut off from this one only, so it counts until it leaves or this process
// ends.
func (r *Roster) FleetSize() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return 1 + len(r.peers) + len(r.removed)
}

// Ready reports whether this daemon takes requests.
func (r *Roster) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self.State == Ready
}

// Addresses returns the caller-facing addresses of the daemons that take requests, and how
// long they may be cached. The order depends on the availability zone and the address of
// the caller, since callers use only the first few addresses of a large fleet.
//
// An isolated daemon receives heartbeats of no other one and would send all callers that
// ask it to itself alone. If the other daemons and the store became unresponsive together,
// Addresses therefore still includes the daemons seen recently.
func (r *Roster) Addresses(zone, caller string) ([]string, time.Duration) {
	serving := r.serving
	if len(r.Members()) == 1 && r.o.StoreUnavailable() {
		serving = r.recentlySeen
	}
	all := serving()
	list, named := activeDaemons(all, zone)
	entries := address.NewSelector(func() []address.Member { return list }, r.o.TTL).Answer(zone, address.Seed(caller)).Addresses
	out := make([]string, 0, len(entries))
	for _, e := range entries[:min(len(entries), named)] {
		out = append(out, e.Addr)
	}
	return out, r.o.TTL
}

// serving returns the live daemons that take requests.
func (r *Roster) serving() []candidate {
	now := time.Now()
	return r.candidates(func(p *peer) bool { return r.isAlive(p, now) })
}

// recentlySeen is like serving, but includes the daemons that became unresponsive within
// isolationGrace.
func (r *Roster) recentlySeen() []candidate {
	now := time.Now()
	return r.candidates(func(p *peer) bool { return now.Sub(p.lastSeen) < isolationGrace })
}

// candidates returns this daemon and the included others, as far as they take requests.
// Daemons without links are left out unless they are most of them: the others couldn't
// take all callers.
func (r *Roster) candidates(include func(p *peer) bool) []candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	var linked, unlinked []candidate
	add := func(m *Member) {
		c := candidate{
			Member: address.Member{Addr: m.CallerAddr, Zone: m.Zone, Weight: m.millicores() / 1000},
			rate:   m.rate(),
		}
		switch {
		case !m.serving():
		case m.State == Unlinked:
			unlinked = append(unlinked, c)
		default:
			linked = append(linked, c)
		}
	}
	self := r.reportedSelf()
	add(&self)
	for _, p := range r.peers {
		if include(p) {
			add(&p.member)
		}
	}
	if len(linked) < len(unlinked) {
		linked = append(linked, unlinked...)
	}
	return linked
}

// reportedSelf returns this daemon as heartbeats report it. Callers hold r.mu.
func (r *Roster) reportedSelf() Member {
	m := r.self
	if m.State == Ready && r.unlinked() {
		m.State = Unlinked
	}
	return m
}

// unlinked reports whether this daemon has lost its links to some targets.
func (r *Roster) unlinked() bool { return r.o.Unlinked != nil && r.o.Unlinked() }
