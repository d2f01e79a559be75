package fold

import "github.com/pomelospool/pomelospool/process/record"

// claim makes the writer the holder of the group if the record names the
// current claim as the previous one. If several name the same claim, the first
// in log order wins; for the others that claim is no longer current.
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

// release releases the lease on the group if the record names the current
// claim. A process that lost the group while paused thus can't release its
// successor's lease.
func (s *State) release(r record.Release) {
	l, ok := s.Leases[r.Group]
	if !ok || l.Claim != r.Claim {
		return
	}
	l.Released = true
	s.Leases[r.Group] = l
}
