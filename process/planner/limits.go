package planner

import (
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/document"
)

// limits guard the minimum numbers of engines that can prefill and that can decode.
// Without them, a temporary mix of only one kind of work would leave the service
// unable to serve the other kind until a change of role is complete.
type limits struct {
	prefill, decode       int // engines that can; mixed engines count in both
	minPrefill, minDecode int
}

func newLimits(o *Observation, doc *document.Document) limits {
	l := limits{minPrefill: max(doc.Roles.MinPrefill, 1), minDecode: max(doc.Roles.MinDecode, 1)}
	for i := range o.Engines {
		e := &o.Engines[i]
		if !e.Live || e.Changing {
			continue
		}
		if e.Role != port.RoleDecode {
			l.prefill++
		}
		if e.Role != port.RolePrefill {
			l.decode++
		}
	}
	return l
}

// canTakeFrom reports whether the minimums hold while one engine of the role is
// changing.
func (l limits) canTakeFrom(role port.Role) bool {
	prefill, decode := l.prefill, l.decode
	if role != port.RoleDecode {
		prefill--
	}
	if role != port.RolePrefill {
		decode--
	}
	return prefill >= l.minPrefill && decode >= l.minDecode
}

// canChange reports whether the minimums hold after the change.
func (l limits) canChange(from, to port.Role) bool {
	prefill, decode := l.prefill, l.decode
	if from != port.RoleDecode {
		prefill--
	}
	if from != port.RolePrefill {
		decode--
	}
	if to != port.RoleDecode {
		prefill++
	}
	if to != port.RolePrefill {
		decode++
	}
	return prefill >= l.minPrefill && decode >= l.minDecode
}
