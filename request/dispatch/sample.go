package dispatch

import (
	"math/rand/v2"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/h1"
	"github.com/pomelospool/pomelospool/port"
)

const (
	// sampleThreshold is the number of targets of a role up to which a call
	// considers all of them. Beyond it, the call considers a sample.
	sampleThreshold = 256
	// affinityTargets is the number of targets that calls with the same
	// seed consider at every daemon.
	affinityTargets = 8
	// preferredTargets is the number of targets in an availability zone
	// that a daemon always considers, so that its connections are reused.
	preferredTargets = 4
	// randomInZone and randomAnywhere are the numbers of targets chosen at
	// random, in the daemon's availability zone and in any zone.
	randomInZone   = 12
	randomAnywhere = 4
	// maxConnected bounds the number of connected targets that are
	// considered.
	maxConnected = 24
)

// targetSample is the set of targets that a call considers.
type targetSample struct {
	entries []*port.TargetEntry
	seen    map[*port.TargetEntry]bool
	shared  int // number of leading entries that every daemon considers
}

// sampleTargets returns the targets of a role that a call considers. Up to
// sampleThreshold these are all. Beyond it they are the targets that the
// prompt's seed maps to, those that hold parts of the prompt, those that the
// daemon is connected to or prefers in its own zone and in the given one,
// and some random ones. The cost of a call thus doesn't grow with the number
// of targets.
func (x *execution) sampleTargets(role port.Role, p *prompt, zone string) *targetSample {
	set := x.targets()
	all := set.ByRole(role, "")
	if x.origin != nil && role != port.RolePrefill {
		return x.sampleVersion(set, role)
	}
	if all.Len() <= sampleThreshold {
		return &targetSample{entries: all.All(), shared: all.Len()}
	}
	s := &targetSample{seen: make(map[*port.TargetEntry]bool)}
	if p != nil {
		s.add(all.After(p.Seed, affinityTargets)...)
	}
	s.shared = len(s.entries)
	if p != nil {
		for _, hash := range x.opts.Engines.Holders(p.parts) {
			s.add(all.Lookup(hash))
		}
	}
	selfHash := engines.Hash(x.opts.Self)
	inZone := set.ByRole(role, x.opts.Zone)
	s.add(inZone.After(selfHash, preferredTargets)...)
	if zone != x.opts.Zone {
		s.add(set.ByRole(role, zone).After(selfHash, preferredTargets)...)
	}
	connected := x.opts.Pool.IdleKeys()
	for _, key := range connected[:min(len(connected), maxConnected)] {
		_, id := h1.SplitKey(key)
		s.add(all.Lookup(engines.Hash(id)))
	}
	for range randomInZone {
		s.add(inZone.After(rand.Uint64(), 1)...)
	}
	for range randomAnywhere {
		s.add(all.After(rand.Uint64(), 1)...)
	}
	return s
}

// add adds the entries that are neither nil nor present.
func (s *targetSample) add(entries ...*port.TargetEntry) {
	for _, e := range entries {
		if e != nil && !s.seen[e] {
			s.seen[e] = true
			s.entries = append(s.entries, e)
		}
	}
}
