package usage

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxMessageBytes limits the encoded counts of a message, so that it fits into
	// a datagram.
	maxMessageBytes = 1100
	// countBytes is the encoded size of a count without its organisation's name.
	countBytes = 7
)

// message is the wire format of an update.
type message struct {
	_           struct{} `cbor:",toarray"`
	VM          string
	Incarnation uint64
	First       int64
	Window      int64
	Total       uint32
	Closed      bool
	Orgs        []string
	Counts      []uint32
}

// encode encodes an update as one or more messages.
func encode(u *update) ([][]byte, error) {
	var out [][]byte
	m := message{VM: u.Source.VM, Incarnation: u.Source.Incarnation, First: u.First, Window: u.Window, Total: u.Total, Closed: u.Closed}
	size := 0
	flush := func() error {
		data, err := cbor.Marshal(m)
		if err != nil {
			return fmt.Errorf("usage: %w", err)
		}
		out = append(out, data)
		m.Orgs, m.Counts, size = nil, nil, 0
		return nil
	}
	for _, org := range slices.Sorted(maps.Keys(u.Counts)) {
		if size+len(org)+countBytes > maxMessageBytes {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		m.Orgs, m.Counts = append(m.Orgs, org), append(m.Counts, u.Counts[org])
		size += len(org) + countBytes
	}
	return out, flush()
}

func decode(data []byte) (*update, error) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("usage: message: %w", err)
	}
	if len(m.Orgs) != len(m.Counts) {
		return nil, fmt.Errorf("usage: message: %d counts of %d organisations", len(m.Counts), len(m.Orgs))
	}
	u := &update{Source: Source{VM: m.VM, Incarnation: m.Incarnation}, First: m.First, Window: m.Window, Total: m.Total, Closed: m.Closed, Counts: make(Counts, len(m.Orgs))}
	for i, org := range m.Orgs {
		u.Counts[org] = m.Counts[i]
	}
	return u, nil
}
