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

// keyState is the state of a key according to the log.
type keyState uint8

const (
	free    keyState = iota // no attempt holds the key
	open                    // an attempt holds the key and may be running
	done                    // answered
	unknown                 // the call may have run; the outcome is not known
)

// entry is the state of one key. It does not contain the answer, which is read
// back from the log.
type entry struct {
	digest    uint64
	changedAt int64    // log time in ms of the last record that changed the entry
	window    int64    // ms
	offset    int64    // offset of the batch that closed the key
	attempt   string   // attempt that holds or closed the key
	writer    string   // incarnation of that attempt's process
	neverRun  []string // attempts that will never run
	state     keyState
}

// item is one parsed record: an intent or a result.
type item struct {
	env    record.Envelope
	id     keyID
	intent *record.Intent
	result *record.Result
}

// parse decodes an envelope received from the log or from a peer.
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

// StateMachine is the state of one shard after a prefix of its stream. It
// depends only on the records and on the log's timestamps, so that every process
// that applies the same records reaches the same state. It is not safe for
// concurrent use.
//
// The rules, in which "first" refers to the order of the log:
//   - The first intent for a key that no attempt holds wins. Later intents and
//     duplicate copies change nothing.
//   - An OK result closes its key whatever its state, because only the winner
//     runs the call. The first OK result counts.
//   - An unknown result closes its key unless the key is answered or the attempt
//     is known never to run.
//   - A "not run" result frees the key if its attempt holds it. The attempt can
//     never win afterwards, even if its intent arrives later. Only the process
//     that made the attempt may write this result.
//   - A key is removed once its window has passed since the last record that
//     changed it, measured by the log's timestamps.
type StateMachine struct {
	next    int64 // offset of the next record
	now     int64 // newest log time in ms
	sweptAt int64 // log time in ms of the last sweep
	keys    map[keyID]*entry
	writers map[string]string // interned incarnation names
	skipped int               // records that could not be parsed
}

// NewStateMachine returns the state before the record at offset from.
func NewStateMachine(from int64) *StateMachine {
	return &StateMachine{next: from, keys: make(map[keyID]*entry), writers: make(map[string]string)}
}

// Next returns the offset of the first record that has not been applied.
func (m *StateMachine) Next() int64 { return m.next }

// Len returns the number of keys held.
func (m *StateMachine) Len() int { return len(m.keys) }

// Apply applies the next record of the stream.
func (m *StateMachine) Apply(r port.Record) {
	m.next = r.Offset + 1
	m.now = max(m.now, r.Time.UnixMilli())
	var b record.Batch
	if json.Unmarshal(r.Data, &b) != nil {
		m.skipped++
		return
	}
	for _, env := range b.Records {
		it, err := parse(env)
		if err != nil {
			m.skipped++
			continue
		}
		m.apply(&it, r.Offset)
	}
	m.sweep()
}

func (m *StateMachine) apply(it *item, offset int64) {
	switch {
	case it.intent != nil:
		m.applyIntent(it)
	case it.result.Code == code.OK:
		m.close(it, offset, done)
	case it.result.Code.Info().NotRun:
		m.applyNotRun(it)
	default:
		m.applyUnknown(it, offset)
	}
}

func (m *StateMachine) applyIntent(it *item) {
	e := m.lookup(it.id)
	if e == nil {
		e = m.insert(it.id)
	}
	if e.state != free || slices.Contains(e.neverRun, it.intent.Attempt) {
		return
	}
	e.state = open
	e.attempt = it.intent.Attempt
	e.writer = m.intern(it.env.Writer)
	e.digest = it.intent.Digest
	m.touch(e, it.intent.Window)
}

func (m *StateMachine) applyUnknown(it *item, offset int64) {
	e := m.lookup(it.id)
	if e != nil && slices.Contains(e.neverRun, it.result.Attempt) {
		return
	}
	m.close(it, offset, unknown)
}

func (m *StateMachine) close(it *item, offset int64, to keyState) {
	e := m.lookup(it.id)
	if e == nil {
		e = m.insert(it.id)
	}
	if e.state == done || e.state == to {
		return
	}
	e.state = to
	e.offset = offset
	e.attempt = it.result.Attempt
	e.writer = m.intern(writerOf(it.result.Attempt))
	e.digest = it.result.Digest
	e.neverRun = nil
	m.touch(e, it.result.Window)
}

func (m *StateMachine) applyNotRun(it *item) {
	a := it.result.Attempt
	if writerOf(a) != it.env.Writer {
		return
	}
	e := m.lookup(it.id)
	if e == nil {
		e = m.insert(it.id)
	}
	if e.state == done || e.state == unknown || slices.Contains(e.neverRun, a) {
		return
	}
	// Dropping the oldest tombstone is safe. A late copy of the intent can let
	// its attempt win, but the attempt never runs, and its process reports that
	// on Lookup.
	if len(e.neverRun) >= maxNeverRun {
		e.neverRun = slices.Delete(e.neverRun, 0, 1)
	}
	e.neverRun = append(e.neverRun, a)
	m.touch(e, it.result.Window)
	if e.state == open && e.attempt == a {
		e.state, e.attempt, e.writer = free, "", ""
	}
}

// maxNeverRun limits the tombstones of one key.
const maxNeverRun = 32

// lookup returns the entry of a key, or nil if its window has passed.
func (m *StateMachine) lookup(id keyID) *entry {
	e := m.keys[id]
	if e == nil || e.changedAt+e.window <= m.now {
		return nil
	}
	return e
}

func (m *StateMachine) insert(id keyID) *entry {
	e := &entry{}
	m.keys[id] = e
	return e
}

func (m *StateMachine) touch(e *entry, window int64) {
	e.changedAt = m.now
	e.window = max(e.window, window)
}

func (m *StateMachine) intern(s string) string {
	if known, ok := m.writers[s]; ok {
		return known
	}
	s = strings.Clone(s)
	m.writers[s] = s
	return s
}

// sweepEvery is the log time between two sweeps, in ms.
const sweepEvery = int64(time.Minute / time.Millisecond)

// sweep removes the keys whose window has passed.
func (m *StateMachine) sweep() {
	if m.now-m.sweptAt < sweepEvery {
		return
	}
	m.sweptAt = m.now
	for id, e := range m.keys {
		if e.changedAt+e.window <= m.now {
			delete(m.keys, id)
		}
	}
}

// decision is the outcome of one record according to a prefix of the log.
type decision struct {
	kind    peerpb.Outcome_Kind
	attempt string // attempt that holds or closed the key
	writer  string
	offset  int64 // of the batch that closed the key
	final   bool  // no later record changes it within the window
}

// decide returns the outcome of a record according to the applied prefix. It
// returns false if the prefix contains no decision, in which case the record
// must be appended. The result is the same whether the stream contains the
// record once, twice or not at all, so that a lost reply to an append needs no
// special handling. After a WON outcome, no longer prefix gives the key to
// another attempt before a result of this one.
func (m *StateMachine) decide(it *item) (decision, bool) {
	e := m.lookup(it.id)
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
	case slices.Contains(e.neverRun, a):
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

// recorded reports whether the entry already reflects r.
func recorded(e *entry, r *record.Result) bool {
	if e.state == done || slices.Contains(e.neverRun, r.Attempt) {
		return true
	}
	return e.state == unknown && r.Code != code.OK
}
