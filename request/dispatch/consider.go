package dispatch

import (
	"math/rand/v2"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/port"
)

const (
	// lookAtAll is the number of a role's targets up to which a call looks at all.
	lookAtAll = 256
	// meetingPlaces is the number of targets at which calls of equal seed meet,
	// whatever daemon they come to.
	meetingPlaces = 8
	// regulars is the number of targets that a daemon prefers to others in an
	// availability zone, so that its connections are used again.
	regulars = 4
	// drawnNear and drawnFar are how many targets are drawn at random, in the
	// daemon's availability zone and in any.
	drawnNear = 12
	drawnFar  = 4
	// maxConnected bounds the connected targets that are looked at.
	maxConnected = 24
)

// considered is the targets that a call looks at.
type considered struct {
	entries []*port.TargetEntry
	seen    map[*port.TargetEntry]bool
	shared  int // the first so many are considered by all daemons alike
}

// consider returns the targets of a role that a call looks at: all, or of many
// those where its prompt's parts are kept or meet, those that the daemon is
// connected to or prefers, there or in another zone, and some drawn at random. What
// a call costs doesn't grow with the number of targets.
func (u *run) consider(role port.Role, p *prompt, zone string) *considered {
	set := u.opts.Targets.Targets(u.c.Service.Name)
	all := set.ByRole(role, "")
	if all.Len() <= lookAtAll {
		return &considered{entries: all.All(), shared: all.Len()}
	}
	c := &considered{seen: make(map[*port.TargetEntry]bool)}
	if p != nil {
		c.add(all.After(p.Seed, meetingPlaces)...)
	}
	c.shared = len(c.entries)
	if p != nil {
		for _, hash := range u.opts.Engines.Holders(p.parts) {
			c.add(all.Lookup(hash))
		}
	}
	own := engines.Hash(u.opts.Self)
	near := set.ByRole(role, u.opts.Zone)
	c.add(near.After(own, regulars)...)
	if zone != u.opts.Zone {
		c.add(set.ByRole(role, zone).After(own, regulars)...)
	}
	connected := u.opts.Pool.IdleKeys()
	for _, key := range connected[:min(len(connected), maxConnected)] {
		_, id := h1.SplitKey(key)
		c.add(all.Lookup(engines.Hash(id)))
	}
	for range drawnNear {
		c.add(near.After(rand.Uint64(), 1)...)
	}
	for range drawnFar {
		c.add(all.After(rand.Uint64(), 1)...)
	}
	return c
}

// add adds targets that aren't there yet; nil is none.
func (c *considered) add(entries ...*port.TargetEntry) {
	for _, e := range entries {
		if e != nil && !c.seen[e] {
			c.seen[e] = true
			c.entries = append(c.entries, e)
		}
	}
}
