// Package agreecheck tests the agreement protocol by simulation. It runs the real
// fold, lease and order rules in random histories of several processes and checks
// invariants after each step.
package agreecheck

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/fold"
	"github.com/pomelospool/pomelospool/process/lease"
	"github.com/pomelospool/pomelospool/process/record"
)

const (
	service = "s"
	// maxDrift is far above the drift of real clocks, so that short histories
	// show its effects. Guard must cover the drift over Duration, and
	// UserTimeout in addition.
	maxDrift = 0.08
)

// groups are the two groups of one service. The document determines which engine
// is in which group.
var groups = []string{"s/z/0", "s/z/1"}

// Suffixes of documents that swap the groups of the engines and restore them.
const (
	moved     = "-moved-0"
	movedBack = "-back-5"
)

// groupOf returns an engine's group according to a document. The last character
// of the document represents its list of targets.
func groupOf(yaml string, engine int) string {
	if yaml[len(yaml)-1] <= '1' {
		engine++ // a fifth of the documents swap the groups
	}
	return groups[engine%2]
}

var rule = lease.Rule{Duration: 3 * time.Second, Guard: 1500 * time.Millisecond, Stagger: 300 * time.Millisecond}

// engineKind is a set of capabilities of engines and of conditions that they are
// tested with.
type engineKind struct {
	fenced   bool // the engine refuses old fencing numbers
	allIDs   bool // the engine remembers each order id of its incarnation, not only the last
	anyDelay bool // data may be in flight for longer than UserTimeout
	anyPause bool // processes may be paused between the check and the write
}

// world simulates one history: the log, the engines, the processes, and all
// messages in flight between them.
type world struct {
	rng       *rand.Rand
	kind      engineKind
	planted   plantedFault
	now       time.Duration
	maxStep   int           // maximum time between two steps, in milliseconds
	recs      []port.Record // all records ever appended, starting at offset 1
	earliest  int64
	reference *fold.State       // fold of all records in recs
	states    []*fold.State     // reference state at each offset
	tokens    map[string]int64  // version of each accepted document, by token
	executed  map[string]string // id of each executed order, by decision
	engines   []*engine
	procs     []*proc
	appends   []*pendingAppend
	writes    []*write
	revertAt  time.Duration   // when an operator reverts the last move
	suspected map[string]bool // incarnations that membership reports as dead
	ids       int
	stats     stats
	violation string
}

// stats counts what the histories exercised.
type stats struct {
	histories, accepted, effects, copies, takeovers, lost, recoveries, late, pauses int
	staleOrders                                                                     int // histories in which a stale order had an effect
}

func (s *stats) add(o stats) {
	s.histories += o.histories
	s.accepted += o.accepted
	s.effects += o.effects
	s.copies += o.copies
	s.takeovers += o.takeovers
	s.lost += o.lost
	s.recoveries += o.recoveries
	s.late += o.late
	s.staleOrders += o.staleOrders
	s.pauses += o.pauses
}

// pendingAppend is an append in flight to the log.
type pendingAppend struct {
	due  time.Duration
	data []byte
	body any // for doubleAppend: decided again when it is appended
}

// write is an order in flight to an engine.
type write struct {
	due         time.Duration
	from        string // incarnation of the sender
	engine      int
	incarnation int // incarnation of the connected engine
	order       port.Order
	beyondGuard bool // pause or delay exceeds what Guard covers
	answered    bool
	err         error
}

// engine is a simulated engine. It carries out each order that it doesn't refuse,
// and never responds that it is busy.
type engine struct {
	incarnation int
	state       port.EngineState
	changeEnds  time.Duration
	ids         map[string]bool
}

func newWorld(seed uint64, k engineKind, p plantedFault) *world {
	w := &world{kind: k, planted: p, earliest: 1, reference: fold.New()}
	w.rng = rand.New(rand.NewPCG(seed, 0))
	w.maxStep = []int{60, 160, 200}[w.draw(0, 2)]
	w.states = []*fold.State{fold.New()}
	w.tokens = map[string]int64{}
	w.executed = map[string]string{}
	w.suspected = map[string]bool{}
	w.stats.histories = 1
	for range 2 {
		w.engines = append(w.engines, &engine{ids: map[string]bool{}, state: port.EngineState{ChecksFence: k.fenced}})
	}
	for i := range w.draw(3, 5) {
		w.procs = append(w.procs, newProc(w, i))
	}
	w.publish("first", 0)
	w.tick(0)
	return w
}

func (w *world) draw(lo, hi int) int { return lo + w.rng.IntN(hi-lo+1) }

// chance returns true with probability 1/n.
func (w *world) chance(n int) bool { return w.rng.IntN(n) == 0 }

func (w *world) ms(lo, hi int) time.Duration {
	return time.Duration(w.draw(lo, hi)) * time.Millisecond
}

func (w *world) id(prefix string) string {
	w.ids++
	return fmt.Sprintf("%s%d", prefix, w.ids)
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf("at %v, offset %d: ", w.now, w.reference.Applied) + fmt.Sprintf(format, args...)
	}
}

// publish sends a document whose text is the token of the decision.
func (w *world) publish(token string, base int64) {
	w.send(w.id("doc"), record.KindDocument, record.Document{Service: service, Base: base, YAML: token})
}

// send sends a record to the log. The response may be lost. Then the writer looks
// for the record and sends it again while the first copy may still be in flight.
func (w *world) send(id string, k record.Kind, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	data, err := json.Marshal(record.Envelope{ID: id, Kind: k, Body: raw})
	if err != nil {
		panic(err)
	}
	delay := w.ms(0, 2*w.maxStep)
	if w.chance(12) || k == record.KindCheckpoint && w.chance(2) {
		delay = w.ms(300, 15000)
	}
	w.appends = append(w.appends, &pendingAppend{due: w.now + delay, data: data})
	if w.chance(8) {
		w.stats.lost++
		w.retryAppend(data, body)
	}
}

// retryAppend sends a record again after a lost response.
func (w *world) retryAppend(data []byte, body any) {
	a := &pendingAppend{due: w.now + w.ms(300, 6000), data: data}
	if w.planted == doubleAppend {
		a.body = body
	}
	w.appends = append(w.appends, a)
}

// tick advances the time by d and delivers the messages that are due, in order.
func (w *world) tick(d time.Duration) {
	end := w.now + d
	for w.violation == "" {
		a := earliestDue(w.appends, func(a *pendingAppend) time.Duration { return a.due }, end)
		m := earliestDue(w.writes, func(m *write) time.Duration { return m.due }, end)
		switch {
		case a >= 0 && (m < 0 || w.appends[a].due <= w.writes[m].due):
			w.now = max(w.now, w.appends[a].due)
			x := w.appends[a]
			w.appends = slices.Delete(w.appends, a, a+1)
			if x.body != nil {
				x.data = redecided(w, x)
			}
			w.appendRecord(x.data)
		case m >= 0:
			w.now = max(w.now, w.writes[m].due)
			x := w.writes[m]
			w.writes = slices.Delete(w.writes, m, m+1)
			w.deliver(x)
		default:
			w.now = end
			return
		}
		w.checkHolders()
	}
}

// earliestDue returns the index of the first item that is due by end, or -1 if
// there is none.
func earliestDue[T any](list []T, due func(T) time.Duration, end time.Duration) int {
	best := -1
	for i, x := range list {
		if due(x) <= end && (best < 0 || due(x) < due(list[best])) {
			best = i
		}
	}
	return best
}

// appendRecord appends a record to the log and applies it to the reference state.
func (w *world) appendRecord(data []byte) {
	offset := int64(len(w.recs)) + 1
	w.recs = append(w.recs, port.Record{Offset: offset, Data: data})
	before, claims := w.reference.Services[service].Version, w.reference.Leases
	claimed := claims[groups[0]].Claim + claims[groups[1]].Claim
	if err := w.reference.Apply(offset, data); err != nil {
		panic(err)
	}
	w.maxStep = []int{60, 160, 200}[w.draw(0, 2)]
	w.states = append(w.states, w.reference.Clone())
	if svc := w.reference.Services[service]; svc.Version != before {
		w.checkAccepted(svc, before)
	}
	if claims[groups[0]].Claim+claims[groups[1]].Claim != claimed {
		w.stats.takeovers++
	}
}

// expireRecords expires old records as far as the newest checkpoint allows.
func (w *world) expireRecords() {
	if m := w.reference.Checkpoint; m.At > 0 && m.Covers+1 > w.earliest {
		w.earliest = m.Covers + 1
	}
}

func (e *engine) finishChange(now time.Duration) {
	if e.state.Changing && now >= e.changeEnds {
		e.state.Changing, e.state.Spec = false, e.state.NextSpec
	}
}

// restart simulates a crash. The engine loses its state and its connections.
func (e *engine) restart() {
	e.incarnation++
	e.ids = map[string]bool{}
	e.state = port.EngineState{ChecksFence: e.state.ChecksFence, Spec: port.EngineSpec{Version: "old"}}
}

func engineID(i int) string { return fmt.Sprint("e", i) }

func encode(s *fold.State) string {
	data, err := s.Encode()
	if err != nil {
		panic(err)
	}
	return string(data)
}

// logView gives follow.Recover access to the simulated log.
type logView struct {
	port.Log
	w *world
}

func (l logView) Earliest(context.Context, string) (int64, error) { return l.w.earliest, nil }

func (l logView) Read(_ context.Context, _ string, from int64, n int, _ time.Duration) ([]port.Record, int64, error) {
	newest := int64(len(l.w.recs))
	if from < l.w.earliest {
		return nil, 0, port.ErrExpired
	}
	i := min(from-1, newest)
	return l.w.recs[i:min(i+int64(n), newest)], newest, nil
}
