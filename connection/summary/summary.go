// Package summary holds tables that daemons exchange as sums: each daemon's own
// entries, those received from other daemons or availability zones, and the sum
// over the fleet as an aggregator sends it.
package summary

import (
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// TTL is the time after which a received part expires. It spans three sends.
const TTL = 3 * time.Second

// Entry is a row of a table. Add returns the sum of two rows with the same key.
type Entry[E any] interface {
	Key() uint64
	Add(other E) E
}

// Options configures a Table.
type Options[E Entry[E]] struct {
	Now func() time.Time
	// Own returns this process's entries.
	Own func() []E
	// Limit reduces the entries to those worth sending. nil sends all.
	Limit func(entries []E) []E
}

// Table is one exchanged table. It is safe for concurrent use.
type Table[E Entry[E]] struct {
	o Options[E]

	mu    sync.Mutex
	parts map[string]*part[E] // by name of the daemon or the availability zone
	fleet part[E]
}

// part is a table that was received in pieces. Its entries are assigned to
// pieces by their keys, so that a lost piece leaves no entry twice.
type part[E Entry[E]] struct {
	pieces []piece[E]
}

type piece[E Entry[E]] struct {
	at      time.Time
	entries []E
}

// New returns a Table without received parts.
func New[E Entry[E]](o Options[E]) *Table[E] {
	return &Table[E]{o: o, parts: make(map[string]*part[E])}
}

// Report returns the encoded sum of the own entries and of the received parts
// whose names include accepts, in pieces of about maxBytes at most. It returns
// nil if there is nothing to send.
func (t *Table[E]) Report(include func(name string) bool, maxBytes int) ([][]byte, error) {
	own := t.o.Own()
	t.mu.Lock()
	entries := t.sum(own, include)
	t.mu.Unlock()
	if t.o.Limit != nil {
		entries = t.o.Limit(entries)
	}
	return encode(entries, maxBytes)
}

// usableShare is the share of a piece's size that is planned for, since the
// keys don't fill the pieces evenly.
const usableShare = 0.7

func encode[E Entry[E]](entries []E, maxBytes int) ([][]byte, error) {
	if len(entries) == 0 {
		return nil, nil
	}
	all, err := cbor.Marshal(entries)
	if err != nil {
		return nil, fmt.Errorf("summary: %w", err)
	}
	if len(all) <= maxBytes {
		return [][]byte{all}, nil
	}
	n := uint64(float64(len(all))/(usableShare*float64(maxBytes))) + 1
	split := make([][]E, n)
	for _, e := range entries {
		at := e.Key() % n
		split[at] = append(split[at], e)
	}
	out := make([][]byte, n)
	for i, list := range split {
		if out[i], err = cbor.Marshal(list); err != nil {
			return nil, fmt.Errorf("summary: %w", err)
		}
	}
	return out, nil
}

// Merge stores a piece of the part of a daemon or an availability zone, and
// replaces the previous one.
func (t *Table[E]) Merge(name string, index, pieces int, data []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.parts[name]
	if p == nil {
		p = &part[E]{}
		t.parts[name] = p
	}
	return p.store(index, pieces, data, t.o.Now())
}

// MergeFleet stores a piece of the sum of the whole fleet.
func (t *Table[E]) MergeFleet(index, pieces int, data []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fleet.store(index, pieces, data, t.o.Now())
}

// maxPieces bounds the pieces of one part.
const maxPieces = 64

func (p *part[E]) store(index, pieces int, data []byte, now time.Time) error {
	if index < 0 || index >= pieces || pieces > maxPieces {
		return fmt.Errorf("summary: piece %d of %d", index, pieces)
	}
	var entries []E
	if err := cbor.Unmarshal(data, &entries); err != nil {
		return fmt.Errorf("summary: %w", err)
	}
	if len(p.pieces) != pieces {
		p.pieces = make([]piece[E], pieces)
	}
	p.pieces[index] = piece[E]{at: now, entries: entries}
	return nil
}

// fresh calls visit with the entries that haven't expired, and reports whether
// any piece has not.
func (p *part[E]) fresh(now time.Time, visit func(E)) bool {
	any := false
	for i := range p.pieces {
		if p.pieces[i].at.IsZero() || now.Sub(p.pieces[i].at) > TTL {
			continue
		}
		any = true
		for _, e := range p.pieces[i].entries {
			visit(e)
		}
	}
	return any
}

// Sum returns the entries of the whole fleet: the received sum while it is
// fresh, else the sum of the own entries and of the parts received directly. The
// received sum includes the own entries of about a second before.
func (t *Table[E]) Sum() []E {
	own := t.o.Own()
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []E
	if t.fleet.fresh(t.o.Now(), func(e E) { out = append(out, e) }) {
		return out
	}
	return t.sum(own, func(string) bool { return true })
}

// sum adds the included parts to the own entries, and drops the parts that have
// expired. Callers hold t.mu.
func (t *Table[E]) sum(own []E, include func(name string) bool) []E {
	index := make(map[uint64]int, len(own))
	var out []E
	add := func(e E) {
		if at, ok := index[e.Key()]; ok {
			out[at] = out[at].Add(e)
			return
		}
		index[e.Key()] = len(out)
		out = append(out, e)
	}
	for _, e := range own {
		add(e)
	}
	now := t.o.Now()
	for name, p := range t.parts {
		visit := func(E) {}
		if include(name) {
			visit = add
		}
		if !p.fresh(now, visit) {
			delete(t.parts, name)
		}
	}
	return out
}
