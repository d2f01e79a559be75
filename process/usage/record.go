package usage

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Keys of the records in port.TopicUsage.
const (
	keyRows  = "rows"  // the counts of windows that aren't final
	keyFinal = "final" // the newest window whose counts are final
)

// finalRecord holds the final counts of a window. After it is written, every
// report of the window states these counts.
type finalRecord struct {
	_      struct{} `cbor:",toarray"`
	Window int64
	Counts Counts
}

// rowsRecord holds rows. It contains the name of each organisation only once.
type rowsRecord struct {
	_    struct{} `cbor:",toarray"`
	Orgs []string
	Rows []storedRow
}

type storedRow struct {
	_           struct{} `cbor:",toarray"`
	VM          string
	Incarnation uint64
	First       int64
	Window      int64
	Total       uint32
	Closed      bool
	Counts      [][2]uint32 // index in Orgs, count
}

func encodeRows(rows []update) ([]byte, error) {
	var r rowsRecord
	index := make(map[string]uint32)
	for _, u := range rows {
		s := storedRow{VM: u.Source.VM, Incarnation: u.Source.Incarnation, First: u.First, Window: u.Window, Total: u.Total, Closed: u.Closed}
		for org, n := range u.Counts {
			at, known := index[org]
			if !known {
				at = uint32(len(r.Orgs))
				index[org] = at
				r.Orgs = append(r.Orgs, org)
			}
			s.Counts = append(s.Counts, [2]uint32{at, n})
		}
		r.Rows = append(r.Rows, s)
	}
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("usage: rows: %w", err)
	}
	return data, nil
}

func decodeRows(data []byte) ([]update, error) {
	var r rowsRecord
	if err := cbor.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("usage: rows: %w", err)
	}
	var out []update
	for _, s := range r.Rows {
		u := update{Source: Source{VM: s.VM, Incarnation: s.Incarnation}, First: s.First, Window: s.Window, Total: s.Total, Closed: s.Closed, Counts: make(Counts)}
		for _, c := range s.Counts {
			if int(c[0]) >= len(r.Orgs) {
				return nil, fmt.Errorf("usage: rows: organisation %d of %d", c[0], len(r.Orgs))
			}
			u.Counts[r.Orgs[c[0]]] = c[1]
		}
		out = append(out, u)
	}
	return out, nil
}
