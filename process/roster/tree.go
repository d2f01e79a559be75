package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
)

// Upstream is the source from which a daemon reads the store's records.
type Upstream struct {
	Peers []string // peer addresses in the order of preference; empty: the store itself
	Depth int      // maximum number of daemons between the store and any daemon of the fleet, 0 in a small one
}

const (
	// headsPerZone is the number of daemons of an availability zone that the others of the
	// zone read from, so that the other one continues when one dies.
	headsPerZone = 2
	// maxListingTime is how long the listings taken by starting readers may saturate a
	// daemon's link.
	maxListingTime = time.Second
	// bytesPerListedTarget is the compressed size of a target in a listing.
	bytesPerListedTarget = 50
	// targetsPerDaemon is the assumed number of targets per daemon.
	targetsPerDaemon = 10
	// defaultLinkMbps is assumed for links of unknown bandwidth, in Mbit/s.
	defaultLinkMbps = 100
	// minReaders is the minimum number of daemons that may read from one. A narrow link
	// only slows down a start, while a deep tree delays every record.
	minReaders = 4
)

// relaysBefore orders the daemons that relay records: first those that reach the store,
// then by descending link bandwidth, then by descending VM name. The order of names is the
// reverse of that of the aggregators, whose digests saturate a narrow link for seconds.
func relaysBefore(a, b *Member) int {
	order := 0
	if a.StoreFails != b.StoreFails {
		order = -1
		if a.StoreFails {
			order = 1
		}
	}
	return cmp.Or(order, cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(b.VM, a.VM))
}

// readersOf returns the number of daemons that may read from one daemon in a fleet of the
// given size.
func readersOf(m *Member, fleet int) int {
	bytes := float64(m.link()) * 1e6 / 8 * maxListingTime.Seconds()
	return max(int(bytes/float64(fleet*targetsPerDaemon*bytesPerListedTarget)), minReaders)
}

// link returns the bandwidth of the VM's link in Mbit/s, or the default if it is unknown.
func (m *Member) link() uint32 {
	if m.LinkMbps == 0 {
		return defaultLinkMbps
	}
	return m.LinkMbps
}

// upstreamOf computes a daemon's place in the tree that relays the store's records. The
// first two daemons of each availability zone are its heads. In a fleet with a single
// reader one daemon reads the store and the heads read from it; otherwise the heads read
// the store. The other daemons of a zone read from its heads or, if the heads' links are
// too narrow for all, from daemons that do.
//
// Two heads per zone that all read the store transfer ten times the bytes, which are
// billed. Heads with narrow links take minutes to send a listing of thousands of targets
// to a hundred daemons.
func upstreamOf(self *Member, fleet []*Member, singleReader bool) Upstream {
	zones := make(map[string][]*Member)
	for _, m := range fleet {
		zones[m.Zone] = append(zones[m.Zone], m)
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
	if singleReader {
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
		case singleReader:
			at = slices.Index(heads, self)
			up.Peers = peerAddrsOf(heads[:min(at, headsPerZone)])
		}
	}
	if singleReader && len(up.Peers) > 0 && !slices.Contains(up.Peers, root.PeerAddr) {
		up.Peers = append(up.Peers, root.PeerAddr)
	}
	return up
}

// levels splits a zone's daemons into levels. Each level reads from the one before.
func levels(zone []*Member, fleet int) [][]*Member {
	var out [][]*Member
	size := headsPerZone
	for len(zone) > 0 {
		level := zone[:min(size, len(zone))]
		out, zone = append(out, level), zone[len(level):]
		size = 0
		for _, m := range level {
			size += readersOf(m, fleet)
		}
	}
	return out
}

// readFrom returns the daemons of a level from which a daemon of the next level reads.
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

// peerAddrsOf returns the members' peer addresses.
func peerAddrsOf(members []*Member) []string {
	var out []string
	for _, m := range members {
		out = append(out, m.PeerAddr)
	}
	return out
}

// upstreamTTL is how long the place in the tree is cached.
const upstreamTTL = heartbeatInterval

// Upstream returns the source from which this daemon reads the store's records.
//
// Starting daemons are part of the tree, and while this daemon starts also those that it
// knows only from the store. Otherwise each daemon of a starting fleet would list and read
// the store itself.
func (r *Roster) Upstream() Upstream {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.upstreamAt.IsZero() && now.Sub(r.upstreamAt) < upstreamTTL {
		return r.upstream
	}
	fleet := []*Member{&r.self}
	for _, p := range r.peers {
		if r.mayRelay(p, now) {
			fleet = append(fleet, &p.member)
		}
	}
	r.upstream = Upstream{}
	if len(fleet) > maxFullMeshPeers+1 {
		r.upstream = upstreamOf(&r.self, fleet, r.o.SingleReader)
	}
	r.upstreamAt = now
	return r.upstream
}

// startupPeriod is how long after its first listing a daemon uses peers that it knows only
// from the store. After that it knows which of them are alive.
const startupPeriod = 2 * relayedDeadAfter

// mayRelay reports whether a daemon may relay the store's records. Callers hold r.mu.
func (r *Roster) mayRelay(p *peer, now time.Time) bool {
	if p.member.State == Leaving || p.dead || p.member.VM == "" {
		return false
	}
	return p.alive(now, r.deadTimeout()) || !p.known && now.Sub(r.listedAt) < startupPeriod
}

// ContactsListed returns a channel that is closed once the contacts were listed, or two
// attempts to list them failed.
func (r *Roster) ContactsListed() <-chan struct{} { return r.listed }
