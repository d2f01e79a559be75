package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
)

// Upstream is where a daemon reads what the store says.
type Upstream struct {
	Peers []string // peer addresses, the one to ask first; none: the store itself
	Depth int      // most daemons between the store and any daemon of the fleet, 0 in a small one
}

const (
	// headsPerZone is the number of daemons of an availability zone that the others
	// there read from: with one dead the other goes on.
	headsPerZone = 2
	// listingTime is how long a daemon's link may be filled by the listings that
	// those who read from it take as they start.
	listingTime = time.Second
	// listedBytes is what a target takes in a listing, packed.
	listedBytes = 50
	// usualTargets is the number of targets per daemon that is assumed.
	usualTargets = 10
	// unknownLink is the bandwidth assumed where none is stated, in Mbit/s.
	unknownLink = 100
	// leastReaders is the least number of daemons that read from one: a narrow link
	// makes a start slow, a deep tree makes everything slow.
	leastReaders = 4
)

// relaysBefore orders the daemons that relay: those that reach the store, then those
// with the widest links, and from the end by name. The first ones by name
// aggregate, and what they send fills a narrow link for seconds.
func relaysBefore(a, b *Member) int {
	away := 0
	if a.StoreAway != b.StoreAway {
		away = -1
		if a.StoreAway {
			away = 1
		}
	}
	return cmp.Or(away, cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(b.VM, a.VM))
}

// readersOf is the number of daemons that may read from one, in a fleet of that
// many.
func readersOf(m *Member, fleet int) int {
	bytes := float64(m.link()) * 1e6 / 8 * listingTime.Seconds()
	return max(int(bytes/float64(fleet*usualTargets*listedBytes)), leastReaders)
}

// link is the bandwidth of the VM's link in Mbit/s, or what is assumed of it.
func (m *Member) link() uint32 {
	if m.LinkMbps == 0 {
		return unknownLink
	}
	return m.LinkMbps
}

// upstreamOf finds a daemon's place in the tree of those that relay the store's
// records. The first two of each availability zone are its heads. In a rooted
// fleet one daemon reads the store, and the heads read from it; else the heads
// read the store. The others of a zone read from its heads, or, where these have
// too narrow links for all, from those that do.
//
// The load that it answers: two heads a zone that all read the store take ten
// times its bytes, each of which is paid for; and heads behind narrow links send
// a listing of thousands of targets to a hundred daemons for minutes.
func upstreamOf(self *Member, fleet []*Member, rooted bool) Upstream {
	zones := make(map[string][]*Member)
	for _, n := range fleet {
		zones[n.Zone] = append(zones[n.Zone], n)
	}
	depth := 0
	var heads []*Member
	for _, list := range zones {
		slices.SortFunc(list, relaysBefore)
		heads = append(heads, list[:min(len(list), headsPerZone)]...)
		depth = max(depth, len(levels(list, len(fleet)))-1)
	}
	slices.SortFunc(heads, relaysBefore)
	root := heads[0]
	up := Upstream{Depth: max(depth, 1)}
	if rooted {
		up.Depth = depth + 1
	}
	zone := zones[self.Zone]
	tree := levels(zone, len(fleet))
	for i, level := range tree {
		at := slices.Index(level, self)
		switch {
		case at < 0:
		case i > 0:
			up.Peers = readFrom(self, tree[i-1], at)
		case rooted:
			at = slices.Index(heads, self)
			up.Peers = peerAddrsOf(heads[:min(at, headsPerZone)])
		}
	}
	if rooted && len(up.Peers) > 0 && !slices.Contains(up.Peers, root.PeerAddr) {
		up.Peers = append(up.Peers, root.PeerAddr)
	}
	return up
}

// levels cuts a zone's daemons into levels, of which each reads from the one
// before.
func levels(zone []*Member, fleet int) [][]*Member {
	var out [][]*Member
	size := headsPerZone
	for len(zone) > 0 {
		level := zone[:min(size, len(zone))]
		out, zone = append(out, level), zone[len(level):]
		size = 0
		for _, n := range level {
			size += readersOf(n, fleet)
		}
	}
	return out
}

// readFrom returns the daemons of a level that one of the next level reads from.
func readFrom(self *Member, level []*Member, at int) []string {
	if len(level) == headsPerZone {
		at = int(engines.Hash(self.VM) % headsPerZone)
	}
	first := level[at%len(level)]
	second := level[(at+1)%len(level)]
	if first == second {
		return []string{first.PeerAddr}
	}
	return []string{first.PeerAddr, second.PeerAddr}
}

func peerAddrsOf(members []*Member) []string {
	var out []string
	for _, n := range members {
		out = append(out, n.PeerAddr)
	}
	return out
}

// upstreamFor is how long a place in the tree is kept before it is computed again.
const upstreamFor = heartbeatInterval

// Upstream returns where this daemon reads what the store says.
//
// Daemons that only start count too, and while this one starts any that is listed
// in the store. Otherwise, while a fleet starts, each daemon would list and read
// the store for itself.
func (r *Roster) Upstream() Upstream {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.upstreamAt.IsZero() && now.Sub(r.upstreamAt) < upstreamFor {
		return r.upstream
	}
	fleet := []*Member{&r.self}
	for _, p := range r.peers {
		if r.mayRelay(p, now) {
			fleet = append(fleet, &p.member)
		}
	}
	r.upstream = Upstream{}
	if len(fleet) > smallFleet+1 {
		r.upstream = upstreamOf(&r.self, fleet, r.o.Rooted)
	}
	r.upstreamAt = now
	return r.upstream
}

// startFor is how long after its first listing a daemon asks others that it has
// only found there: by then it knows those that live.
const startFor = 2 * relayedDeadAfter

// mayRelay reports whether a daemon may relay the store's records. Callers hold
// r.mu.
func (r *Roster) mayRelay(p *peer, now time.Time) bool {
	if p.member.State == Leaving || p.dead || p.member.VM == "" {
		return false
	}
	return p.alive(now, r.patience()) || !p.known && now.Sub(r.listedAt) < startFor
}

// Listed is closed once this daemon knows which others the store names, or the
// store didn't say twice.
func (r *Roster) Listed() <-chan struct{} { return r.listed }
