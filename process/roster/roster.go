// Package roster knows the other daemons: who is alive and takes requests, and
// what work each has at the engines. Daemons tell each other in small
// datagrams. A lost one does no harm, since each carries the sender's whole
// state; grpc between the daemons would hold news back behind a packet that is
// sent again.
package roster

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"gopkg.in/tomb.v2"

	"github.com/pomelospool/pomelospool/connection/address"
	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
)

const (
	// beatEvery is the time between beats without news.
	beatEvery = 250 * time.Millisecond
	// newsAfter is how long news waits for more before it is sent, per daemon
	// that it is sent to: with 5 others 10 ms.
	newsAfter = 2 * time.Millisecond
	// smallFleet is the number of other daemons up to which news goes to all.
	// In a larger fleet it goes to those of the same availability zone, and to
	// the others with the beats, which come more seldom: a daemon with a fifth
	// of a core can't take 500 datagrams a second.
	smallFleet = 16
	// farEvery is the time between beats to all, per other daemon of a large
	// fleet: with 89 others 700 ms.
	farEvery = 8 * time.Millisecond
	// nearAfter is the wait of news in a large fleet, per daemon of the zone:
	// with 29 others 290 ms. At 2 ms a daemon 90 daemons use 195 s of processor
	// time for 138 s a day, for 0.007 to 0.016 of its credit.
	nearAfter = 10 * time.Millisecond
	// deadAfter is the silence after which a daemon counts as dead: four
	// beats, so that lost datagrams alone hardly do it; deadBeats beats of a
	// large fleet.
	deadAfter = 1100 * time.Millisecond
	deadBeats = 4
	// forgetAfter is how long a silent daemon is sent beats.
	forgetAfter = 30 * time.Second
	// peersEvery is the number of beats between two that name other daemons.
	peersEvery = 8
	// maxPeers bounds the daemons named in one beat.
	maxPeers = 24
	// maxDatagram is the largest datagram sent, below what links carry whole.
	maxDatagram = 1400
	// isolatedKeep is how long the last addresses are still given when every
	// other daemon and the store fell silent at once.
	isolatedKeep = 15 * time.Second
	// listBackoff is the wait after a failed listing of the daemons.
	listBackoff = 500 * time.Millisecond
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
	StoreAway   bool // it can't read the store now
}

type peer struct {
	member Member
	seq    uint64
	heard  time.Time
	addr   net.Addr
}

// Options of a Roster.
type Options struct {
	Self  Member
	Store port.Store
	Book  *engines.Book
	// Claims is what the daemons tell each other of claims; nil: nothing.
	Claims Claims
	// Speeds is what they tell each other of engines' speed; nil: nothing.
	Speeds Speeds
	// Demand is what they tell each other of callers' demand; nil: nothing.
	Demand Demand
	TTL    time.Duration // how long callers keep addresses
	// StoreAway tells whether the store can't be read now.
	StoreAway func() bool
	// Conn replaces the UDP socket, in tests.
	Conn net.PacketConn
}

// Roster is safe for concurrent use.
type Roster struct {
	o    Options
	conn net.PacketConn
	tomb tomb.Tomb
	news chan struct{}

	mu    sync.Mutex
	self  Member
	seq   uint64
	peers map[string]*peer // by peer address

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
		o:     o,
		conn:  conn,
		news:  make(chan struct{}, 1),
		self:  o.Self,
		peers: make(map[string]*peer),
	}, nil
}

// Start announces this daemon and begins to send and hear beats.
func (r *Roster) Start() {
	r.tomb.Go(r.hear)
	r.tomb.Go(r.tell)
	r.tomb.Go(r.announce)
}

// Stop ends all.
func (r *Roster) Stop() error {
	r.tomb.Kill(nil)
	r.close()
	return r.tomb.Wait()
}

func (r *Roster) close() { r.sockets.Do(func() { _ = r.conn.Close() }) }

// SetState changes what this daemon says of itself, and tells the others now.
func (r *Roster) SetState(s State) {
	r.mu.Lock()
	r.self.State = s
	r.mu.Unlock()
	r.send(false)
}

// News asks for a beat soon, without waiting for it.
func (r *Roster) News() {
	select {
	case r.news <- struct{}{}:
	default:
	}
}

// announce writes this daemon into the store and learns the others from it.
// Two daemons that start at once find each other: whoever lists second sees
// the first, and its beat tells the other.
func (r *Roster) announce() error {
	ctx := r.tomb.Context(context.Background())
	value, err := json.Marshal(map[string]string{"addr": r.o.Self.PeerAddr})
	if err != nil {
		return err
	}
	written := false
	for r.tomb.Alive() {
		if !written {
			_, err = r.o.Store.Put(ctx, port.TopicDaemons, r.o.Self.VM, value)
			written = err == nil
		}
		if written {
			err = r.list(ctx)
		}
		if err == nil {
			return nil
		}
		log.WithError(err).Debug("roster: daemons not listed yet")
		if pause.For(ctx, listBackoff) != nil {
			return nil
		}
	}
	return nil
}

func (r *Roster) list(ctx context.Context) error {
	after := ""
	for {
		page, err := r.o.Store.Newest(ctx, port.TopicDaemons, after)
		if err != nil {
			return err
		}
		for _, rec := range page.Records {
			var d struct{ Addr string }
			if err := json.Unmarshal(rec.Value, &d); err != nil {
				log.WithError(err).WithField("vm", rec.Key).Warn("roster: entry can't be read")
				continue
			}
			r.learn(d.Addr)
		}
		if !page.More || len(page.Records) == 0 {
			r.send(false)
			return nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
}

// learn adds a daemon's address, of which nothing has been heard yet.
func (r *Roster) learn(addr string) {
	udp, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		log.WithError(err).WithField("addr", addr).Warn("roster: address can't be read")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if addr == r.self.PeerAddr || r.peers[addr] != nil {
		return
	}
	r.peers[addr] = &peer{addr: udp, heard: time.Now().Add(-deadAfter)}
}

func (p *peer) alive(now time.Time, dead time.Duration) bool {
	return p.member.VM != "" && now.Sub(p.heard) < dead
}

// Members returns the daemons that are alive, this one first, then by name.
func (r *Roster) Members() []Member {
	now, dead := time.Now(), r.deadAfter()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Member
	for _, p := range r.peers {
		if p.alive(now, dead) {
			out = append(out, p.member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return append([]Member{r.self}, out...)
}

// ReadyPeers returns the peer addresses of the other daemons that take requests.
func (r *Roster) ReadyPeers() []string {
	var out []string
	for _, m := range r.Members()[1:] {
		if m.State == Ready || m.State == Leaving {
			out = append(out, m.PeerAddr)
		}
	}
	return out
}

// Known is the number of daemons that were heard of lately, dead ones and this
// one included.
func (r *Roster) Known() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return 1 + len(r.peers)
}

// MayLead tells whether this daemon takes the duties that one of them has:
// whether it is the first by name of those that take requests and can read the
// store. Two may think so for a while; claims keep them apart.
func (r *Roster) MayLead() bool {
	if !r.Ready() || r.o.StoreAway() {
		return false
	}
	for _, m := range r.Members()[1:] {
		if m.State == Ready && !m.StoreAway && m.VM < r.o.Self.VM {
			return false
		}
	}
	return true
}

// readersPerZone is the number of daemons of an availability zone that read the
// store for the others: with one dead the other goes on.
const readersPerZone = 2

// Relays tells whether the fleet is so large that few daemons read the store
// for the others.
func (r *Roster) Relays() bool { return large(r.Members()) }

// large tells whether the members, this daemon included, are a large fleet.
func large(members []Member) bool { return len(members) > smallFleet+1 }

// Reader returns the peer address of the daemon that reads the store for this
// one, empty when this one reads it itself: in a small fleet, and as one of the
// first of its zone by name.
func (r *Roster) Reader() string {
	members := r.Members()
	if !large(members) {
		return ""
	}
	self := members[0]
	var readers []Member
	for _, m := range members[1:] {
		if m.Zone == self.Zone && m.State == Ready && !m.StoreAway && m.VM < self.VM {
			readers = append(readers, m)
		}
	}
	if len(readers) < readersPerZone {
		return ""
	}
	return readers[int(engines.Hash(self.VM)%readersPerZone)].PeerAddr
}

// Ready tells whether this daemon takes requests.
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
// The guard is against a daemon that is cut off: it hears of no other and
// would send all callers that ask it to itself alone. When the others and the
// store fell silent together, the daemons heard lately still count.
func (r *Roster) Addresses(zone, caller string) ([]string, time.Duration) {
	limit := r.deadAfter()
	if len(r.Members()) == 1 && r.o.StoreAway() {
		limit = isolatedKeep
	}
	book := address.NewBook(func() []address.Member { return r.serving(limit) }, r.o.TTL)
	entries := book.Answer(zone, address.Seed(caller)).Addresses
	out := make([]string, 0, len(entries))
	for _, e := range entries {
		out = append(out, e.Addr)
	}
	return out, r.o.TTL
}

// serving returns the daemons that take requests and were heard of within the
// limit.
func (r *Roster) serving(limit time.Duration) []address.Member {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []address.Member
	if r.self.State == Ready {
		out = append(out, r.self.forCallers())
	}
	for _, p := range r.peers {
		if p.member.State == Ready && now.Sub(p.heard) < limit {
			out = append(out, p.member.forCallers())
		}
	}
	return out
}

func (m *Member) forCallers() address.Member {
	return address.Member{Addr: m.CallerAddr, Zone: m.Zone}
}
