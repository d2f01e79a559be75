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

// pack is the encoding of records for other daemons: CBOR compressed with
// DEFLATE, empty for no records.
//
// When 248 targets of a fleet register at once, their records take 62 kB, and
// the reader sends them to some 30 daemons of its zone at the same moment. That
// is 15 Mbit over a link that may carry 20 Mbit/s. All answers would be late,
// and each daemon would read the store itself for some seconds. Compression
// reduces the records to a tenth, and all daemons that wait for the same
// records get the same bytes.
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
	if err := cbor.NewDecoder(io.LimitReader(r, maxAnswerBytes)).Decode(&out); err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	return out, nil
}

// packer makes packs and caches the last one, since most waiting readers need
// the same records.
type packer struct {
	mu   sync.Mutex
	key  packKey
	last pack
}

// packKey identifies a pack of a topic.
type packKey struct {
	whole bool  // a whole listing; otherwise changes
	first int64 // offset of the first change
	last  int64 // offset of the last change, or version of the listing
	n     int   // number of changes
}

// key returns the key of the listing's pack.
func (l *cachedListing) key() packKey { return packKey{whole: true, last: l.version} }

// key returns the key of the changes' pack.
func (b *batch) key() packKey {
	if len(b.changes) == 0 {
		return packKey{}
	}
	return packKey{first: b.changes[0].at, last: b.changes[len(b.changes)-1].at, n: len(b.changes)}
}

// pack returns the pack of records. Calls with an equal key must pass equal
// records.
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
