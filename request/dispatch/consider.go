package dispatch

import (
	"math/rand/v2"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/port"
)

const (
	// sampleThreshold is the number of a role's targets up to which a call looks at all.
	sampleThreshold = 256
	// affinityTargets is the number of targets at which calls of equal seed meet,
	// whatever daemon they come to.
	affinityTargets = 8
	// preferredTargets is the number of targets that a daemon prefers to others in an
	// availability zone, so that its connections are used again.
	preferredTargets = 4
	// randomInZone and randomAnywhere are how many targets are drawn at random, in the
	// daemon's availability zone and in any.
	randomInZone   = 12
	randomAnywhere = 4
	// maxConnected bounds the connected targets that are looked at.
	maxConnected = 24
)

// targetSample is the targets that a call looks at.
type targetSample struct {
	entries []*port.TargetEntry
	seen    map[*port.TargetEntry]bool
	shared  int // the first so many are considered by all daemons alike
}

// sampleTargets returns the targets of a role that a call looks at: all, or of many
// those where its prompt's parts are kept or meet, those that the daemon is
// connected to or prefers, there or in another zone, and some drawn at random. What
// a call costs doesn't grow with the number of targets.
func (x *execution) sampleTargets(role port.Role, p *prompt, zone string) *targetSample {
	set := x.opts.Targets.Targets(x.call.Service.Name)
	all := set.Of(role, "")
	if all.Len() <= sampleThreshold {
		return &targetSample{entries: all.All(), shared: all.Len()}
	}
	c := &targetSample{seen: make(map[*port.TargetEntry]bool)}
	if p != nil {
		c.add(all.After(p.Seed, affinityTargets)...)
	}
	c.shared = len(c.entries)
	if p != nil {
		for _, hash := range x.opts.Engines.Holders(p.parts) {
			c.add(all.Lookup(hash))
		}
	}
	own := engines.Hash(x.opts.Self)
	near := set.Of(role, x.opts.Zone)
	c.add(near.After(own, preferredTargets)...)
	if zone != x.opts.Zone {
		c.add(set.Of(role, zone).After(own, preferredTargets)...)
	}
	connected := x.opts.Pool.IdleKeys()
	for _, key := range connected[:min(len(connected), maxConnected)] {
		_, id := h1.SplitKey(key)
		c.add(all.Lookup(engines.Hash(id)))
	}
	for range randomInZone {
		c.add(near.After(rand.Uint64(), 1)...)
	}
	for range randomAnywhere {
		c.add(all.After(rand.Uint64(), 1)...)
	}
	return c
}

// add adds targets that aren't there yet; nil is none.
func (c *targetSample) add(entries ...*port.TargetEntry) {
	for _, e := range entries {
		if e != nil && !c.seen[e] {
			c.seen[e] = true
			c.entries = append(c.entries, e)
		}
	}
}
