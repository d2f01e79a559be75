package shares

import (
	"cmp"
	"math"
	"slices"

	"github.com/pomelospool/pomelospool/connection/engines"
)

const (
	// maxRows is the number of organisations of a service that are sent one by
	// one, which bounds the size of a table to about 1.5 kB for each service.
	maxRows = 48
	// maxTableRows is the number of rows of all services up to which each may have
	// maxRows. It bounds a table to about 45 kB: with 60 services of 77 organisations
	// it took 97 pieces, of which receivers accept 64.
	maxTableRows = 1500
	// restOrg stands for the organisations that aren't sent one by one.
	restOrg = 0
	// minUsage is the demand, as a number of targets, below which an
	// organisation isn't sent.
	minUsage = 1e-6
)

// Row is the usage of a service's targets by one organisation, or by all that
// aren't sent one by one.
type Row struct {
	_       struct{} `cbor:",toarray"`
	Service uint64   // hash of the service's name
	Org     uint64   // hash of the organisation's name, or restOrg
	Orgs    uint32   // number of organisations
	Asked   float32  // mean number of targets that all calls would keep busy
	Used    float32  // the same of the admitted calls
}

// Key implements summary.Entry.
func (r Row) Key() uint64 { return r.Service*31 + r.Org }

// Add implements summary.Entry. The rest of several daemons is mostly the same
// organisations, so their numbers aren't added up. A row with unusable numbers is
// left out, since the sum would be unusable for all daemons.
func (r Row) Add(o Row) Row {
	if !o.valid() {
		return r
	}
	if !r.valid() {
		return o
	}
	r.Asked += o.Asked
	r.Used += o.Used
	r.Orgs = max(r.Orgs, o.Orgs)
	return r
}

// valid reports whether a received row has usable numbers.
func (r Row) valid() bool {
	finite := func(v float32) bool { return v >= 0 && v <= math.MaxFloat32 }
	return r.Orgs > 0 && finite(r.Asked) && finite(r.Used)
}

// ownRows returns the usage at this daemon.
func (t *Tracker) ownRows() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Row
	for name, s := range t.services {
		out = t.appendRows(out, engines.Hash(name), s)
	}
	return out
}

// appendRows appends the rows of a service, and drops the names of organisations
// without usage. Callers hold t.mu.
func (t *Tracker) appendRows(out []Row, service uint64, s *service) []Row {
	now := t.now()
	used := make(map[string]float64)
	s.used.Usage(now, func(org string, v float64) { used[org] = v })
	clear(s.names)
	s.asked.Usage(now, func(org string, v float64) {
		hash := engines.Hash(org)
		s.names[hash] = org
		if v >= minUsage {
			out = append(out, Row{Service: service, Org: hash, Orgs: 1, Asked: float32(v), Used: float32(used[org])})
		}
	})
	return out
}

// limit keeps the organisations with the highest demand of each service, maxRows or
// fewer if there are many services, and adds up the others. It drops rows with
// unusable numbers.
func limit(rows []Row) []Row {
	rows = slices.DeleteFunc(rows, func(r Row) bool { return !r.valid() })
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(b.rank(), a.rank()), cmp.Compare(a.Org, b.Org))
	})
	services := 1
	for i := range rows[min(1, len(rows)):] {
		if rows[i].Service != rows[i+1].Service {
			services++
		}
	}
	most := min(maxRows, max(maxTableRows/services-1, 0)) // apart from the row of the rest
	var out []Row
	kept, rest := 0, -1 // of the present service: rows kept, and the index of the row of the rest
	for i, r := range rows {
		if i > 0 && r.Service != rows[i-1].Service {
			kept, rest = 0, -1
		}
		switch {
		case r.Org != restOrg && kept < most:
			kept++
			out = append(out, r)
		case rest < 0:
			r.Org, rest = restOrg, len(out)
			out = append(out, r)
		default:
			out[rest].Orgs += r.Orgs
			out[rest].Asked += r.Asked
			out[rest].Used += r.Used
		}
	}
	return out
}

// rank orders the rows of a service. The row of the rest comes last.
func (r Row) rank() float32 {
	if r.Org == restOrg {
		return -1
	}
	return r.Asked
}
