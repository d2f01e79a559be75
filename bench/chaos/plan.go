// Package chaos generates the schedule of faults and the load of a chaos run.
// The same seed gives the same schedule and the same load. scripts/chaos.sh
// applies the schedule to separate processes, and bench/audit judges the
// results.
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
	Target string // name of a process, like "daemon-2", or of the document to publish
	Fault  string // fault command in JSON, for VerbFault only
}

// Verb is what a step does.
type Verb string

// The verbs.
const (
	VerbKill    Verb = "kill"    // SIGKILL
	VerbTerm    Verb = "term"    // SIGTERM, a planned stop
	VerbStart   Verb = "start"   // start again once the old process has exited
	VerbPause   Verb = "pause"   // SIGSTOP
	VerbResume  Verb = "resume"  // SIGCONT
	VerbFault   Verb = "fault"   // send a fault command to a stand-in
	VerbPublish Verb = "publish" // publish a new version of a document
)

// String returns the line that scripts/chaos.sh reads: milliseconds, verb,
// target and fault command, separated by spaces.
func (e Event) String() string {
	s := fmt.Sprintf("%d %s %s", e.At.Milliseconds(), e.Verb, e.Target)
	if e.Fault != "" {
		s += " " + e.Fault
	}
	return s
}

// Fleet holds the number of processes of each kind and the documents that a
// schedule uses.
type Fleet struct {
	Daemons, Engines, Plain int
	Documents               []string // documents to publish again
}

const (
	warmUp       = 2 * time.Second  // load before the first fault
	quietPeriod  = 12 * time.Second // time without faults at the end, in which open requests end
	meanGap      = 1500 * time.Millisecond
	maxDown      = 2 // processes of one kind that are down at the same time
	minPause     = time.Second
	maxPause     = 8 * time.Second
	stopDowntime = 8 * time.Second // from the planned stop of a daemon to its restart
	minDowntime  = time.Second
	maxDowntime  = 5 * time.Second
	maxLogOutage = 6 * time.Second
)

// planner builds a schedule.
type planner struct {
	rng       *rand.Rand
	fleet     Fleet
	faultsEnd time.Duration            // no fault lasts longer
	downUntil map[string]time.Duration // until when a process counts as down
	events    []Event
}

// Plan returns the schedule of a run. All faults are over before the last
// seconds of the run, so that a request that never ends is a fault of the
// system.
func Plan(seed uint64, length time.Duration, f Fleet) []Event {
	p := &planner{
		rng:       rand.New(rand.NewPCG(seed, planStreamID)),
		fleet:     f,
		faultsEnd: length - quietPeriod,
		downUntil: make(map[string]time.Duration),
	}
	for at := warmUp; at < p.faultsEnd; at += p.randomGap() {
		p.addFault(at)
	}
	slices.SortStableFunc(p.events, func(a, b Event) int { return int(a.At - b.At) })
	return p.events
}

// planStreamID is the PCG stream of the schedule. It differs from that of the
// load, so that the two are independent.
const planStreamID = 1

func (p *planner) randomGap() time.Duration {
	return time.Duration((0.5 + p.rng.Float64()) * float64(meanGap))
}

// addFault adds a random fault that starts at the given time, and its end.
func (p *planner) addFault(at time.Duration) {
	kinds := []func(time.Duration){
		p.killDaemon, p.killDaemon, p.pauseDaemon, p.pauseDaemon, p.termDaemon,
		p.replaceAll,
		p.crashEngine, p.pauseEngine, p.engineFault, p.engineFault, p.engineFault,
		p.plainFault, p.plainFault, p.plainFault,
		p.outage, p.loseAppends, p.publish,
	}
	kinds[p.rng.IntN(len(kinds))](at)
}

func (p *planner) addStep(at time.Duration, v Verb, target, fault string) {
	p.events = append(p.events, Event{at, v, target, fault})
}

func (p *planner) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(p.rng.Int64N(int64(high-low)))
}

// takeDown picks a process of a kind that isn't down and marks it as down until
// the given time. It returns "" if maxDown processes of the kind are down.
func (p *planner) takeDown(kind string, n int, at, until time.Duration) string {
	var names []string
	down := 0
	for i := 1; i <= n; i++ {
		name := fmt.Sprintf("%s-%d", kind, i)
		if p.downUntil[name] >= at && p.downUntil[name] > 0 {
			down++
			continue
		}
		names = append(names, name)
	}
	if down >= maxDown || len(names) == 0 {
		return ""
	}
	name := names[p.rng.IntN(len(names))]
	p.downUntil[name] = until
	return name
}

// addDowntime adds a step that takes a process down and one that brings it back.
func (p *planner) addDowntime(kind string, n int, at, downtime time.Duration, down, up Verb) {
	until := min(at+downtime, p.faultsEnd)
	if name := p.takeDown(kind, n, at, until+recoveryTime); name != "" {
		p.addStep(at, down, name, "")
		p.addStep(until, up, name, "")
	}
}

// recoveryTime is the time after its return in which a process isn't taken down
// again.
const recoveryTime = time.Second

func (p *planner) killDaemon(at time.Duration) {
	p.addDowntime("daemon", p.fleet.Daemons, at, p.randomDuration(minDowntime, maxDowntime), VerbKill, VerbStart)
}

func (p *planner) pauseDaemon(at time.Duration) {
	p.addDowntime("daemon", p.fleet.Daemons, at, p.randomDuration(minPause, maxPause), VerbPause, VerbResume)
}

func (p *planner) termDaemon(at time.Duration) {
	p.addDowntime("daemon", p.fleet.Daemons, at, stopDowntime, VerbTerm, VerbStart)
}

func (p *planner) pauseEngine(at time.Duration) {
	p.addDowntime("engine", p.fleet.Engines, at, p.randomDuration(minPause, maxPause), VerbPause, VerbResume)
}

// replaceAll kills all running daemons at the same time and starts new ones, as
// when the platform replaces all VMs.
func (p *planner) replaceAll(at time.Duration) {
	for i := 1; i <= p.fleet.Daemons; i++ {
		name := fmt.Sprintf("daemon-%d", i)
		if p.downUntil[name] >= at && p.downUntil[name] > 0 {
			continue
		}
		until := min(at+p.randomDuration(minDowntime, maxDowntime), p.faultsEnd)
		p.downUntil[name] = until + recoveryTime
		p.addStep(at, VerbKill, name, "")
		p.addStep(until, VerbStart, name, "")
	}
}

// crashEngine makes an engine crash in the middle of its work.
func (p *planner) crashEngine(at time.Duration) {
	until := min(at+p.randomDuration(minDowntime, maxDowntime), p.faultsEnd)
	if name := p.takeDown("engine", p.fleet.Engines, at, until+recoveryTime); name != "" {
		p.addStep(at, VerbFault, name, `{"kind":"crash"}`)
		p.addStep(until, VerbStart, name, "")
	}
}

// engineFaults are faults of single answers. The engine keeps running.
var engineFaults = []string{
	`{"kind":"silent"}`,
	`{"kind":"cut","count":3,"after":5}`,
	`{"kind":"cut","count":3,"after":5,"text":"reset"}`,
	`{"kind":"cross","count":4}`,
	`{"kind":"refuse","count":4}`,
	`{"kind":"lose","count":1}`,
}

func (p *planner) engineFault(at time.Duration) {
	p.addFaultCommand("engine", p.fleet.Engines, at, engineFaults)
}

// plainFaults are faults of single answers. They never end the process, because
// it holds the count of runs that the judge needs.
var plainFaults = []string{
	`{"kind":"silent"}`,
	`{"kind":"cut","count":3}`,
	`{"kind":"cross","count":4}`,
	`{"kind":"lose","count":3}`,
	`{"kind":"late","count":5,"ms":3000}`,
	`{"kind":"refuse","count":4}`,
}

func (p *planner) plainFault(at time.Duration) {
	p.addFaultCommand("plain", p.fleet.Plain, at, plainFaults)
}

// addFaultCommand adds a random fault command for a random process. It adds
// none if that process is down, because nothing would receive the command.
func (p *planner) addFaultCommand(kind string, n int, at time.Duration, list []string) {
	name := fmt.Sprintf("%s-%d", kind, 1+p.rng.IntN(n))
	f := list[p.rng.IntN(len(list))]
	if p.downUntil[name] < at {
		p.addStep(at, VerbFault, name, f)
	}
}

// outage makes the log refuse calls, hang or refuse reads for some time.
func (p *planner) outage(at time.Duration) {
	until := min(at+p.randomDuration(minDowntime, maxLogOutage), p.faultsEnd)
	if p.takeDown("log", 1, at, until) == "" {
		return
	}
	how := []string{"refuse", "hang", "no_reads"}[p.rng.IntN(3)]
	p.addStep(at, VerbFault, "log", fmt.Sprintf(`{"kind":%q}`, how))
	p.addStep(until, VerbFault, "log", `{"kind":"up"}`)
}

// loseAppends makes the log return errors for appends that nevertheless take
// effect, immediately or later.
func (p *planner) loseAppends(at time.Duration) {
	f := []string{`{"kind":"lose","count":3}`, `{"kind":"delay","count":2,"ms":1500}`}[p.rng.IntN(2)]
	p.addStep(at, VerbFault, "log", f)
}

func (p *planner) publish(at time.Duration) {
	if n := len(p.fleet.Documents); n > 0 {
		p.addStep(at, VerbPublish, p.fleet.Documents[p.rng.IntN(n)], "")
	}
}
