package planner

import (
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/document"
)

// limits keep enough engines able to prefill and to decode. Without them a
// mix that is all of one kind for a while would leave a service unable to
// answer anything else for as long as a change takes.
type limits struct {
	prefill, decode       int // engines able to, mixed ones in both
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

// canTakeFrom reports whether the service lives on while an engine of the role is away.
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

// canChange reports whether it lives on after the change.
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
