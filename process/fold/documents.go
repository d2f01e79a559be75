package fold

import (
	"slices"
	"strings"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/process/record"
)

// document queues a document whose base is the version in force. Any other
// document gets a BaseConflict outcome that names the version in force.
func (s *State) document(offset int64, id string, d record.Document) {
	svc := s.Services[d.Service]
	if d.Service == "" || svc.hasDocument(id) {
		return
	}
	switch {
	case d.Base != svc.Version:
		svc.addOutcome(Outcome{ID: id, Version: offset, Code: code.BaseConflict, Winner: svc.Version})
	case len(svc.Pending) >= MaxPending:
		svc.addOutcome(Outcome{ID: id, Version: offset, Code: code.BaseConflict, Winner: svc.Version, Detail: "too many documents on this base"})
	default:
		c := Candidate{ID: id, Version: offset, YAML: d.YAML, Remove: d.Remove}
		svc.Pending = append(slices.Clip(svc.Pending), c)
	}
	s.Services[d.Service] = svc
}

// hasDocument reports whether a document with the id is pending or has an
// outcome.
//
// Without this check, a duplicate of a refused document would be validated
// again, perhaps by a binary with other rules. MaxPending and MaxOutcomes bound
// the number of ids kept. That is enough: a duplicate has an effect only while
// its base is in force, so more than MaxOutcomes other documents on the same
// base would have to come between the two.
func (svc *Service) hasDocument(id string) bool {
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

// verdict applies a verdict to the first document in the queue.
//
// The verdict is a record, the first one counts, and folding never validates.
// Otherwise a binary with stricter rules would refuse, on replay, a document
// that was accepted before the upgrade.
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
	svc.addOutcome(Outcome{ID: head.ID, Version: head.Version, Code: refusalCode(v.Code), Winner: svc.Version, Detail: v.Detail})
	s.Services[v.Service] = svc
}

// accept puts the document in force. All other pending documents have the same
// base and get a BaseConflict.
func (s *State) accept(offset int64, name string, svc Service, head Candidate) {
	svc.Version = head.Version
	svc.YAML = head.YAML
	svc.Removed = head.Remove
	svc.addOutcome(Outcome{ID: head.ID, Version: head.Version, Winner: head.Version})
	for _, c := range svc.Pending {
		svc.addOutcome(Outcome{ID: c.ID, Version: c.Version, Code: code.BaseConflict, Winner: head.Version})
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

// refusalCode returns the code of a refusal, or Internal if the verdict has
// none.
func refusalCode(c code.Code) code.Code {
	if c == code.OK {
		return code.Internal
	}
	return c
}

// addOutcome appends an outcome and drops the oldest beyond MaxOutcomes.
func (svc *Service) addOutcome(o Outcome) {
	kept := svc.Outcomes
	if len(kept) >= MaxOutcomes {
		kept = kept[len(kept)-MaxOutcomes+1:]
	}
	svc.Outcomes = append(slices.Clip(kept), o)
}

// dropService deletes the leases and open orders of a removed service. The
// service itself stays as a tombstone with its version, so that a late
// duplicate of its first document, with base 0, can't restore it.
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

// dropOldestRemoved keeps at most MaxRemoved tombstones of removed services.
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

// ServiceOf returns the service of a group. Group names have the form
// service/zone/number.
func ServiceOf(group string) string {
	service, _, _ := strings.Cut(group, "/")
	return service
}
