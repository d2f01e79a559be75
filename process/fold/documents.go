package fold

import (
	"slices"
	"strings"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/process/record"
)

// document queues a document whose base is the version in force. Any other
// has lost already, and its publisher is told who won.
func (s *State) document(offset int64, id string, d record.Document) {
	svc := s.Services[d.Service]
	if d.Service == "" || svc.known(id) {
		return
	}
	switch {
	case d.Base != svc.Version:
		svc.note(Outcome{ID: id, Version: offset, Code: code.BaseConflict, Winner: svc.Version})
	case len(svc.Pending) >= MaxPending:
		svc.note(Outcome{ID: id, Version: offset, Code: code.BaseConflict, Winner: svc.Version, Detail: "too many documents on this base"})
	default:
		c := Candidate{ID: id, Version: offset, YAML: d.YAML, Remove: d.Remove}
		svc.Pending = append(slices.Clip(svc.Pending), c)
	}
	s.Services[d.Service] = svc
}

// known reports whether the id is that of a document which waits or has its
// outcome.
//
// The guard is against a refused document that stands twice, which would be
// judged again, perhaps by a binary with other rules. The memory is bounded by
// MaxPending and MaxOutcomes: a copy has an effect only while its base is in
// force, so it would need more than MaxOutcomes other documents on the same
// base to come between the two.
func (svc *Service) known(id string) bool {
	for _, c := range svc.Pending {
		if c.ID == id {
			return true
		}
	}
	for _, o := range svc.Outcomes {
		if o.ID == id {
			return true
		}
	}
	return false
}

// verdict ends the wait of the document at the head of the queue.
//
// The guard is against an upgrade to a binary with stricter rules, which would
// refuse on replay what was accepted: the verdict is a record, the first one
// counts, and folding never validates.
func (s *State) verdict(offset int64, v record.Verdict) {
	svc, ok := s.Services[v.Service]
	if !ok || len(svc.Pending) == 0 || svc.Pending[0].Version != v.Version {
		return
	}
	head := svc.Pending[0]
	svc.Pending = svc.Pending[1:]
	if v.Accept {
		s.accept(offset, v.Service, svc, head)
		return
	}
	svc.note(Outcome{ID: head.ID, Version: head.Version, Code: refusal(v.Code), Winner: svc.Version, Detail: v.Detail})
	s.Services[v.Service] = svc
}

// accept puts the document in force; the others on its base lose.
func (s *State) accept(offset int64, name string, svc Service, head Candidate) {
	svc.Version = head.Version
	svc.YAML = head.YAML
	svc.Removed = head.Remove
	svc.note(Outcome{ID: head.ID, Version: head.Version, Winner: head.Version})
	for _, c := range svc.Pending {
		svc.note(Outcome{ID: c.ID, Version: c.Version, Code: code.BaseConflict, Winner: head.Version})
	}
	svc.Pending = nil
	s.Changed = offset
	s.Versions++
	if svc.Removed {
		svc.YAML = ""
	}
	s.Services[name] = svc
	if svc.Removed {
		s.dropService(name)
	}
}

// refusal gives a code to a refusal that came without one.
func refusal(c code.Code) code.Code {
	if c == code.OK {
		return code.Internal
	}
	return c
}

// note keeps an outcome and drops the oldest beyond MaxOutcomes.
func (svc *Service) note(o Outcome) {
	kept := svc.Outcomes
	if len(kept) >= MaxOutcomes {
		kept = kept[len(kept)-MaxOutcomes+1:]
	}
	svc.Outcomes = append(slices.Clip(kept), o)
}

// dropService forgets the leases and orders of a removed service. The service
// itself stays as a mark with its version, so that a late copy of its first
// document, with base 0, can't bring it back.
func (s *State) dropService(name string) {
	for group := range s.Leases {
		if ServiceOf(group) == name {
			delete(s.Leases, group)
		}
	}
	for id, e := range s.Engines {
		if e.Open != nil && ServiceOf(e.Open.Group) == name {
			delete(s.Engines, id)
		}
	}
	s.dropOldestRemoved()
}

// dropOldestRemoved keeps at most MaxRemoved marks of removed services.
func (s *State) dropOldestRemoved() {
	oldest, n := "", 0
	for name, svc := range s.Services {
		if !svc.Removed {
			continue
		}
		n++
		if oldest == "" || svc.Version < s.Services[oldest].Version {
			oldest = name
		}
	}
	if n > MaxRemoved {
		delete(s.Services, oldest)
	}
}

// ServiceOf returns the service that a group belongs to. Group names have the
// form service/zone/number.
func ServiceOf(group string) string {
	service, _, _ := strings.Cut(group, "/")
	return service
}
