// Package chaos makes the seeded runs under faults: the schedule of what fails
// when, and the load that goes on meanwhile. The same seed gives the same
// schedule and the same load; scripts/chaos.sh carries the schedule out on
// separate processes, and bench/audit judges what came of it.
package chaos

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Event is one step of a schedule.
type Event struct {
	At     time.Duration // since the start of the load
	Verb   Verb
	Target string // process, as "daemon-2", or the document to publish
	Fault  string // JSON of the fault command, for VerbFault only
}

// Verb is what a step does.
type Verb string

// The verbs.
const (
	VerbKill    Verb = "kill"    // SIGKILL
	VerbTerm    Verb = "term"    // SIGTERM, a planned stop
	VerbStart   Verb = "start"   // start again, after the old process is gone
	VerbPause   Verb = "pause"   // SIGSTOP
	VerbResume  Verb = "resume"  // SIGCONT
	VerbFault   Verb = "fault"   // fault command of a stand-in
	VerbPublish Verb = "publish" // a new version of the document
)

// String gives the line that the script reads: milliseconds, verb, target and
// the fault command, separated by blanks.
func (e Event) String() string {
	s := fmt.Sprintf("%d %s %s", e.At.Milliseconds(), e.Verb, e.Target)
	if e.Fault != "" {
		s += " " + e.Fault
	}
	return s
}

// Fleet is how many processes of each kind a schedule may strike.
type Fleet struct {
	Daemons, Engines, Plain int
	Documents               []string // to publish anew
}

const (
	warmUp    = 2 * time.Second  // of load before the first fault
	quiet     = 12 * time.Second // at the end, for open requests
	meanGap   = 1500 * time.Millisecond
	maxOut    = 2 // processes of one kind that are out at once
	minPause  = time.Second
	maxPause  = 8 * time.Second
	termAway  = 8 * time.Second // until a daemon that was stopped starts again
	minAway   = time.Second
	maxAway   = 5 * time.Second
	logOutage = 6 * time.Second // the longest
)

// planner builds a schedule.
type planner struct {
	rng    *rand.Rand
	fleet  Fleet
	end    time.Duration            // of the last fault
	out    map[string]time.Duration // when a process is back
	events []Event
}

// Plan makes the schedule of a run. Everything is back before its last
// seconds, so that a request which never ends is the system's fault.
func Plan(seed uint64, length time.Duration, f Fleet) []Event {
	p := &planner{
		rng:   rand.New(rand.NewPCG(seed, planStream)),
		fleet: f,
		end:   length - quiet,
		out:   make(map[string]time.Duration),
	}
	for at := warmUp; at < p.end; at += p.gap() {
		p.strike(at)
	}
	slices.SortStableFunc(p.events, func(a, b Event) int { return int(a.At - b.At) })
	return p.events
}

// planStream keeps the schedule's random numbers apart from the load's.
const planStream = 1

func (p *planner) gap() time.Duration {
	return time.Duration((0.5 + p.rng.Float64()) * float64(meanGap))
}

// strike adds one fault at a time, with its end.
func (p *planner) strike(at time.Duration) {
	kinds := []func(time.Duration){
		p.killDaemon, p.killDaemon, p.pauseDaemon, p.pauseDaemon, p.termDaemon,
		p.replaceAll,
		p.crashEngine, p.pauseEngine, p.engineFault, p.engineFault, p.engineFault,
		p.plainFault, p.plainFault, p.plainFault,
		p.outage, p.loseAppends, p.publish,
	}
	kinds[p.rng.IntN(len(kinds))](at)
}

func (p *planner) add(at time.Duration, v Verb, target, fault string) {
	p.events = append(p.events, Event{at, v, target, fault})
}

func (p *planner) between(low, high time.Duration) time.Duration {
	return low + time.Duration(p.rng.Int64N(int64(high-low)))
}

// free picks a process of a kind that is not out, and takes it out until the
// time given. It returns "" when enough of the kind are out.
func (p *planner) free(kind string, n int, at, until time.Duration) string {
	var names []string
	out := 0
	for i := 1; i <= n; i++ {
		name := fmt.Sprintf("%s-%d", kind, i)
		if p.out[name] >= at && p.out[name] > 0 {
			out++
			continue
		}
		names = append(names, name)
	}
	if out >= maxOut || len(names) == 0 {
		return ""
	}
	name := names[p.rng.IntN(len(names))]
	p.out[name] = until
	return name
}

// away adds a pair of steps that take a process out and bring it back.
func (p *planner) away(kind string, n int, at, for_ time.Duration, out, back Verb) {
	until := min(at+for_, p.end)
	if name := p.free(kind, n, at, until+settle); name != "" {
		p.add(at, out, name, "")
		p.add(until, back, name, "")
	}
}

// settle is how long a process that is back is left alone.
const settle = time.Second

func (p *planner) killDaemon(at time.Duration) {
	p.away("daemon", p.fleet.Daemons, at, p.between(minAway, maxAway), VerbKill, VerbStart)
}

func (p *planner) pauseDaemon(at time.Duration) {
	p.away("daemon", p.fleet.Daemons, at, p.between(minPause, maxPause), VerbPause, VerbResume)
}

func (p *planner) termDaemon(at time.Duration) {
	p.away("daemon", p.fleet.Daemons, at, termAway, VerbTerm, VerbStart)
}

func (p *planner) pauseEngine(at time.Duration) {
	p.away("engine", p.fleet.Engines, at, p.between(minPause, maxPause), VerbPause, VerbResume)
}

// replaceAll kills every daemon that is up at the same moment, as when the
// platform replaces all VMs, and starts new ones.
func (p *planner) replaceAll(at time.Duration) {
	for i := 1; i <= p.fleet.Daemons; i++ {
		name := fmt.Sprintf("daemon-%d", i)
		if p.out[name] >= at && p.out[name] > 0 {
			continue
		}
		until := min(at+p.between(minAway, maxAway), p.end)
		p.out[name] = until + settle
		p.add(at, VerbKill, name, "")
		p.add(until, VerbStart, name, "")
	}
}

// crashEngine lets an engine end itself in the middle of what it does.
func (p *planner) crashEngine(at time.Duration) {
	until := min(at+p.between(minAway, maxAway), p.end)
	if name := p.free("engine", p.fleet.Engines, at, until+settle); name != "" {
		p.add(at, VerbFault, name, `{"kind":"crash"}`)
		p.add(until, VerbStart, name, "")
	}
}

// engineFaults strike single answers, and leave the engine up.
var engineFaults = []string{
	`{"kind":"silent"}`,
	`{"kind":"cut","count":3,"after":5}`,
	`{"kind":"cut","count":3,"after":5,"text":"reset"}`,
	`{"kind":"cross","count":4}`,
	`{"kind":"refuse","count":4}`,
	`{"kind":"lose","count":1}`,
}

func (p *planner) engineFault(at time.Duration) {
	p.fault("engine", p.fleet.Engines, at, engineFaults)
}

// plainFaults never end the process: it holds the count of runs that the
// judge needs.
var plainFaults = []string{
	`{"kind":"silent"}`,
	`{"kind":"cut","count":3}`,
	`{"kind":"cross","count":4}`,
	`{"kind":"lose","count":3}`,
	`{"kind":"late","count":5,"ms":3000}`,
	`{"kind":"refuse","count":4}`,
}

func (p *planner) plainFault(at time.Duration) { p.fault("plain", p.fleet.Plain, at, plainFaults) }

// fault strikes one process; one that is out is struck when it is back, or not
// at all, since nothing listens.
func (p *planner) fault(kind string, n int, at time.Duration, list []string) {
	name := fmt.Sprintf("%s-%d", kind, 1+p.rng.IntN(n))
	f := list[p.rng.IntN(len(list))]
	if p.out[name] < at {
		p.add(at, VerbFault, name, f)
	}
}

// outage takes the log away, refusing or hanging.
func (p *planner) outage(at time.Duration) {
	until := min(at+p.between(minAway, logOutage), p.end)
	if p.free("log", 1, at, until) == "" {
		return
	}
	how := []string{"refuse", "hang", "no_reads"}[p.rng.IntN(3)]
	p.add(at, VerbFault, "log", fmt.Sprintf(`{"kind":%q}`, how))
	p.add(until, VerbFault, "log", `{"kind":"up"}`)
}

// loseAppends loses answers to appends that took effect.
func (p *planner) loseAppends(at time.Duration) {
	f := []string{`{"kind":"lose","count":3}`, `{"kind":"delay","count":2,"ms":1500}`}[p.rng.IntN(2)]
	p.add(at, VerbFault, "log", f)
}

func (p *planner) publish(at time.Duration) {
	if n := len(p.fleet.Documents); n > 0 {
		p.add(at, VerbPublish, p.fleet.Documents[p.rng.IntN(n)], "")
	}
}
