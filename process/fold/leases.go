package fold

import "github.com/pomelospool/pomelospool/process/record"

// claim makes the writer the holder of the group, if the claim follows the
// current one. Of several that follow the same claim the first in log order
// wins, and the others name a claim that isn't current any more.
func (s *State) claim(offset int64, c record.Claim) {
	current := s.Leases[c.Group]
	if c.Group == "" || c.Previous != current.Claim {
		return
	}
	s.Leases[c.Group] = Lease{
		Claim:            offset,
		Holder:           c.Holder,
		Addr:             c.Addr,
		PreviousReleased: current.Released,
	}
}

// release gives the group back, if it names the current claim. A process that
// lost the group while it was paused can't release its successor's lease.
func (s *State) release(r record.Release) {
	l, ok := s.Leases[r.Group]
	if !ok || l.Claim != r.Claim {
		return
	}
	l.Released = true
	s.Leases[r.Group] = l
}
