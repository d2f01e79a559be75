package relay

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/pomelospool/pomelospool/port"
)

// pack is records as they go to another daemon: CBOR, deflated, empty for none.
//
// The load that it answers: a fleet's 248 targets enter at once, 62 kB of
// records, and the reader sends them to some 30 daemons of its zone at the same
// moment: 15 Mbit over a link that may carry 20 in a second. All are late, and
// each goes on to read the store itself for some seconds. Deflated it is a
// tenth, and all who wait for the same records get the same bytes.
type pack []byte

func newPack(records []port.KeyedRecord) (pack, error) {
	if len(records) == 0 {
		return nil, nil
	}
	data, err := cbor.Marshal(records)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	return out.Bytes(), nil
}

func (p pack) records() ([]port.KeyedRecord, error) {
	if len(p) == 0 {
		return nil, nil
	}
	var out []port.KeyedRecord
	r := flate.NewReader(bytes.NewReader(p))
	if err := cbor.NewDecoder(io.LimitReader(r, maxAnswer)).Decode(&out); err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	return out, nil
}

// packer makes packs, and keeps the last one: most who wait want the same.
type packer struct {
	mu   sync.Mutex
	key  packKey
	last pack
}

// packKey tells a topic's packs apart.
type packKey struct {
	whole bool  // a listing, else changes
	first int64 // offset of the first change
	last  int64 // offset of the last change, or version of the listing
	n     int   // number of changes
}

// key is that of the listing's pack.
func (l *listed) key() packKey { return packKey{whole: true, last: l.version} }

// key is that of the changes' pack.
func (b *batch) key() packKey {
	if len(b.changes) == 0 {
		return packKey{}
	}
	return packKey{first: b.changes[0].at, last: b.changes[len(b.changes)-1].at, n: len(b.changes)}
}

// pack returns the records' pack. Those under an equal key must be equal.
func (p *packer) pack(key packKey, records []port.KeyedRecord) (pack, error) {
	if len(records) == 0 {
		return nil, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last != nil && p.key == key {
		return p.last, nil
	}
	made, err := newPack(records)
	if err != nil {
		return nil, err
	}
	p.key, p.last = key, made
	return made, nil
}
