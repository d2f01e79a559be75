// Package agreecheck drives the real fold, lease and order rules through
// random histories of several processes and looks for what must never happen.
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
	// maxDrift is far beyond real clocks, so that short histories show what
	// drift does. Guard must cover it over T, and UserTimeout besides.
	maxDrift = 0.08
)

// groups are two of one service. A document says which engine is in which.
var groups = []string{"s/z/0", "s/z/1"}

// Endings of documents that move the engines and take it back.
const (
	moved     = "-moved-0"
	movedBack = "-back-5"
)

// groupOf stands for the targets of a document: it gives an engine's group.
func groupOf(yaml string, engine int) string {
	if yaml[len(yaml)-1] <= '1' {
		engine++ // a fifth of the documents have the engines the other way round
	}
	return groups[engine%2]
}

var rule = lease.Rule{Duration: 3 * time.Second, Guard: 1500 * time.Millisecond, Stagger: 300 * time.Millisecond}

// kind is a kind of engine.
type kind struct {
	fenced   bool // refuses old fencing numbers
	allIDs   bool // knows each order id of its incarnation, not only the last
	anyDelay bool // bytes may stay on the way for longer than UserTimeout
	anyPause bool // processes may be paused between the check and the write
}

// world is one history: the log, engines, processes, and all that is on its
// way between them.
type world struct {
	rng       *rand.Rand
	kind      kind
	plant     plant
	now       time.Duration
	pace      int           // most milliseconds from one step to the next
	recs      []port.Record // all that ever stood, offset 1 first
	earliest  int64
	truth     *fold.State
	states    []*fold.State     // truth at each offset
	tokens    map[string]int64  // accepted document decisions: their version
	decided   map[string]string // carried out order decisions: the order
	engines   []*engine
	procs     []*proc
	appends   []*pendingAppend
	writes    []*write
	backAt    time.Duration   // when an operator takes the last move back
	suspected map[string]bool // live processes that membership takes for dead
	ids       int
	stats     stats
	violation string
}

// stats count what the histories exercised.
type stats struct {
	histories, accepted, effects, copies, takeovers, lost, recoveries, late, pauses int
	excused                                                                         int // histories with a stale order that was let through
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
	s.excused += o.excused
	s.pauses += o.pauses
}

// pendingAppend is an append on its way to the log.
type pendingAppend struct {
	due  time.Duration
	data []byte
	body any // what a planted double append decides anew when it lands
}

// write is an order on its way to an engine.
type write struct {
	due         time.Duration
	from        string // incarnation of the sender
	engine      int
	incarnation int // of the engine at the other end of the connection
	order       port.Order
	excused     bool // a pause or delay beyond what the guard covers
	answered    bool
	err         error
}

// engine carries out whatever it doesn't refuse; it never says that it is busy.
type engine struct {
	incarnation int
	state       port.EngineState
	until       time.Duration
	ids         map[string]bool
}

func newWorld(seed uint64, k kind, p plant) *world {
	w := &world{kind: k, plant: p, earliest: 1, truth: fold.New()}
	w.rng = rand.New(rand.NewPCG(seed, 0))
	w.pace = []int{60, 160, 200}[w.draw(0, 2)]
	w.states = []*fold.State{fold.New()}
	w.tokens = map[string]int64{}
	w.decided = map[string]string{}
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

// chance is true once in n.
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
		w.violation = fmt.Sprintf("at %v, offset %d: ", w.now, w.truth.Applied) + fmt.Sprintf(format, args...)
	}
}

// publish puts a document with the decision token on its way.
func (w *world) publish(token string, base int64) {
	w.send(w.id("doc"), record.KindDocument, record.Document{Service: service, Base: base, YAML: token})
}

// send puts a record on its way; its answer may be lost, and then the writer
// looks for it and sends it again, by when the first may still be on its way.
func (w *world) send(id string, k record.Kind, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	data, err := json.Marshal(record.Envelope{ID: id, Kind: k, Body: raw})
	if err != nil {
		panic(err)
	}
	delay := w.ms(0, 2*w.pace)
	if w.chance(12) || k == record.KindCheckpoint && w.chance(2) {
		delay = w.ms(300, 15000)
	}
	w.appends = append(w.appends, &pendingAppend{due: w.now + delay, data: data})
	if w.chance(8) {
		w.stats.lost++
		w.again(data, body)
	}
}

// again is the writer's second try after a lost answer.
func (w *world) again(data []byte, body any) {
	a := &pendingAppend{due: w.now + w.ms(300, 6000), data: data}
	if w.plant == doubleAppend {
		a.body = body
	}
	w.appends = append(w.appends, a)
}

// tick moves time on and delivers what is due, in order.
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
				x.data = renewed(w, x)
			}
			w.land(x.data)
		case m >= 0:
			w.now = max(w.now, w.writes[m].due)
			x := w.writes[m]
			w.writes = slices.Delete(w.writes, m, m+1)
			w.deliver(x)
		default:
			w.now = end
			return
		}
		w.oneHolder()
	}
}

// earliestDue returns the index of what is due first, -1 when nothing is.
func earliestDue[T any](list []T, due func(T) time.Duration, end time.Duration) int {
	best := -1
	for i, x := range list {
		if due(x) <= end && (best < 0 || due(x) < due(list[best])) {
			best = i
		}
	}
	return best
}

// land appends a record to the log and folds the truth.
func (w *world) land(data []byte) {
	offset := int64(len(w.recs)) + 1
	w.recs = append(w.recs, port.Record{Offset: offset, Data: data})
	before, claims := w.truth.Services[service].Version, w.truth.Leases
	claimed := claims[groups[0]].Claim + claims[groups[1]].Claim
	if err := w.truth.Apply(offset, data); err != nil {
		panic(err)
	}
	w.pace = []int{60, 160, 200}[w.draw(0, 2)]
	w.states = append(w.states, w.truth.Clone())
	if svc := w.truth.Services[service]; svc.Version != before {
		w.accepted(svc, before)
	}
	if claims[groups[0]].Claim+claims[groups[1]].Claim != claimed {
		w.stats.takeovers++
	}
}

// expire lets old records go, as far as the newest checkpoint allows.
func (w *world) expire() {
	if m := w.truth.Checkpoint; m.At > 0 && m.Covers+1 > w.earliest {
		w.earliest = m.Covers + 1
	}
}

func (e *engine) settle(now time.Duration) {
	if e.state.Changing && now >= e.until {
		e.state.Changing, e.state.Spec = false, e.state.Target
	}
}

// restart is a crash: the engine forgets all, and its connections are gone.
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

// logView is the world's log as the real recovery reads it.
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
