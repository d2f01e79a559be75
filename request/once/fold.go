package once

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/record"
)

// state is what the log says of a key.
type state uint8

const (
	free    state = iota // no attempt holds the key
	open                 // an attempt holds it and may be running
	done                 // answered
	unknown              // may have run, and nobody knows
)

// entry is one key. Answers aren't in it: they are read back from the log.
type entry struct {
	digest  uint64
	touched int64    // log time in ms of the last record that changed the entry
	window  int64    // ms
	offset  int64    // of the batch that closed the key
	attempt string   // that holds or closed the key
	writer  string   // incarnation of that attempt's process
	dead    []string // attempts that will never run
	state   state
}

// item is one parsed record: an intent or a result.
type item struct {
	env    record.Envelope
	id     keyID
	intent *record.Intent
	result *record.Result
}

// parse reads an envelope that came from the log or from a peer.
func parse(env record.Envelope) (item, error) {
	it := item{env: env}
	var service, key string
	switch env.Kind {
	case record.KindIntent:
		it.intent = &record.Intent{}
		if err := json.Unmarshal(env.Body, it.intent); err != nil {
			return it, fmt.Errorf("once: intent: %w", err)
		}
		service, key = it.intent.Service, it.intent.Key
	case record.KindResult:
		it.result = &record.Result{}
		if err := json.Unmarshal(env.Body, it.result); err != nil {
			return it, fmt.Errorf("once: result: %w", err)
		}
		service, key = it.result.Service, it.result.Key
	default:
		return it, fmt.Errorf("once: record of kind %q", env.Kind)
	}
	it.id = newKeyID(service, key)
	return it, nil
}

// Fold is the state of one shard after a prefix of its stream. Every process
// that folds the same records comes to the same state: it depends on nothing
// but the records and the log's own times. It is not safe for concurrent use.
//
// The rules, in which "first" is by log order:
//   - the first intent of a key that no attempt holds wins; later ones change
//     nothing, and neither does a second copy of one
//   - an OK result closes its key, whatever stood before: only a winner runs,
//     so it is true; the first one counts
//   - an unknown result closes its key unless it is answered, or the attempt
//     is known never to run
//   - a result that says "not run" frees the key if its attempt holds it, and
//     the attempt can never win after that, even if its intent comes later;
//     only the process that made the attempt may say so
//   - a key is forgotten once its window has passed, by the log's clock, since
//     the last record that changed it
type Fold struct {
	next    int64 // offset of the next record
	now     int64 // newest log time in ms
	swept   int64
	keys    map[keyID]*entry
	writers map[string]string // one copy of each incarnation's name
	skipped int               // records that can't be parsed
}

// NewFold returns the state before the record at offset from.
func NewFold(from int64) *Fold {
	return &Fold{next: from, keys: make(map[keyID]*entry), writers: make(map[string]string)}
}

// Next is the offset of the first record that isn't folded.
func (f *Fold) Next() int64 { return f.next }

// Len is the number of keys held.
func (f *Fold) Len() int { return len(f.keys) }

// Apply folds the next record of the stream.
func (f *Fold) Apply(r port.Record) {
	f.next = r.Offset + 1
	f.now = max(f.now, r.Time.UnixMilli())
	var b record.Batch
	if json.Unmarshal(r.Data, &b) != nil {
		f.skipped++
		return
	}
	for _, env := range b.Records {
		it, err := parse(env)
		if err != nil {
			f.skipped++
			continue
		}
		f.apply(&it, r.Offset)
	}
	f.sweep()
}

func (f *Fold) apply(it *item, offset int64) {
	switch {
	case it.intent != nil:
		f.applyIntent(it)
	case it.result.Code == code.OK:
		f.close(it, offset, done)
	case it.result.Code.Info().NotRun:
		f.applyNotRun(it)
	default:
		f.applyUnknown(it, offset)
	}
}

func (f *Fold) applyIntent(it *item) {
	e := f.lookup(it.id)
	if e == nil {
		e = f.insert(it.id)
	}
	if e.state != free || slices.Contains(e.dead, it.intent.Attempt) {
		return
	}
	e.state = open
	e.attempt = it.intent.Attempt
	e.writer = f.intern(it.env.Writer)
	e.digest = it.intent.Digest
	f.touch(e, it.intent.Window)
}

func (f *Fold) applyUnknown(it *item, offset int64) {
	e := f.lookup(it.id)
	if e != nil && slices.Contains(e.dead, it.result.Attempt) {
		return
	}
	f.close(it, offset, unknown)
}

func (f *Fold) close(it *item, offset int64, to state) {
	e := f.lookup(it.id)
	if e == nil {
		e = f.insert(it.id)
	}
	if e.state == done || e.state == to {
		return
	}
	e.state = to
	e.offset = offset
	e.attempt = it.result.Attempt
	e.writer = f.intern(writerOf(it.result.Attempt))
	e.digest = it.result.Digest
	e.dead = nil
	f.touch(e, it.result.Window)
}

func (f *Fold) applyNotRun(it *item) {
	a := it.result.Attempt
	if writerOf(a) != it.env.Writer {
		return
	}
	e := f.lookup(it.id)
	if e == nil {
		e = f.insert(it.id)
	}
	if e.state == done || e.state == unknown || slices.Contains(e.dead, a) {
		return
	}
	// The oldest tombstone may go: its attempt can win again by a late copy of
	// its intent, but never runs, and its process says so when asked.
	if len(e.dead) >= maxDead {
		e.dead = slices.Delete(e.dead, 0, 1)
	}
	e.dead = append(e.dead, a)
	f.touch(e, it.result.Window)
	if e.state == open && e.attempt == a {
		e.state, e.attempt, e.writer = free, "", ""
	}
}

// maxDead bounds the tombstones of one key.
const maxDead = 32

// lookup returns the entry unless its window has passed.
func (f *Fold) lookup(id keyID) *entry {
	e := f.keys[id]
	if e == nil || e.touched+e.window <= f.now {
		return nil
	}
	return e
}

func (f *Fold) insert(id keyID) *entry {
	e := &entry{}
	f.keys[id] = e
	return e
}

func (f *Fold) touch(e *entry, window int64) {
	e.touched = f.now
	e.window = max(e.window, window)
}

func (f *Fold) intern(s string) string {
	if known, ok := f.writers[s]; ok {
		return known
	}
	s = strings.Clone(s)
	f.writers[s] = s
	return s
}

// sweepEvery is the log time between two passes over all keys, in ms.
const sweepEvery = int64(time.Minute / time.Millisecond)

// sweep frees the memory of the keys whose window has passed.
func (f *Fold) sweep() {
	if f.now-f.swept < sweepEvery {
		return
	}
	f.swept = f.now
	for id, e := range f.keys {
		if e.touched+e.window <= f.now {
			delete(f.keys, id)
		}
	}
}

// decision is what a prefix of the log says about one record.
type decision struct {
	kind    peerpb.Outcome_Kind
	attempt string // that holds or closed the key
	writer  string
	offset  int64 // of the batch that closed the key
	final   bool  // no later record changes it within the window
}

// Decide tells what the folded prefix decided about a record, or false when it
// decided nothing yet, so that the record has to be appended. It holds for a
// record that stands once, twice, or not at all: a lost answer to an append
// needs no other treatment. Once it says WON, no longer prefix gives the key
// to another attempt before a result of this one.
func (f *Fold) decide(it *item) (decision, bool) {
	e := f.lookup(it.id)
	if it.result != nil {
		return decision{kind: peerpb.Outcome_RECORDED}, e != nil && recorded(e, it.result)
	}
	if e == nil {
		return decision{}, false
	}
	d := decision{attempt: e.attempt, writer: e.writer, offset: e.offset, final: e.state == done}
	a := it.intent.Attempt
	switch {
	case e.state == open && e.attempt == a:
		d.kind = peerpb.Outcome_WON
	case slices.Contains(e.dead, a):
		d.kind = peerpb.Outcome_UNKNOWN
	case e.state == free:
		return d, false
	case e.digest != it.intent.Digest:
		d.kind = peerpb.Outcome_REUSED
	case e.state == open:
		d.kind = peerpb.Outcome_BUSY
	default:
		d.kind = peerpb.Outcome_CLOSED
	}
	return d, true
}

// recorded reports whether the entry shows all that r would change.
func recorded(e *entry, r *record.Result) bool {
	if e.state == done || slices.Contains(e.dead, r.Attempt) {
		return true
	}
	return e.state == unknown && r.Code != code.OK
}
