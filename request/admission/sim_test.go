package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/version/document"
)

// The fleet of the simulated load: servers that queue whatever they are sent.
const (
	simTargets = 4
	simServers = 20 // requests that a target runs at once
	simDaemons = 4
	simWork    = time.Second // mean time of a request at a server
	simReport  = 250 * time.Millisecond
	simLength  = 40 * time.Second
	simLeft    = 4 * time.Second
	capacity   = simTargets * simServers // requests a second
)

// source is one organisation's load.
type source struct {
	org      string
	priority int
	rate     float64 // requests a second
}

// traffic is one source's own random numbers: what it sends doesn't depend on
// what becomes of it, nor on the other sources.
type traffic struct {
	source
	rnd *rand.Rand
}

// sim drives Controllers with virtual time, an event at a time.
type sim struct {
	now     time.Time
	end     time.Time
	limit   int     // places at a target, 0 for none
	events  []event // in the order of time
	targets [simTargets]simTarget
	daemons [simDaemons]*simDaemon
	good    map[string]float64 // requests answered in time, by organisation
	refused map[code.Code]int
}

type simTarget struct {
	running, reported int
	at                time.Time // of the report
	queue             []*simRequest
}

type simDaemon struct {
	ctl      *Controller
	inFlight [simTargets]int
	sent     [simTargets]int
}

type simRequest struct {
	source
	work    time.Duration
	daemon  *simDaemon
	target  int
	until   time.Time
	release func()
}

type event struct {
	at time.Time
	do func()
}

// run returns the sim after its time is over. The same seed gives the same run.
func run(seed uint64, limit int, sources []source) *sim {
	s := &sim{limit: limit}
	s.now = time.Unix(0, 0)
	s.end = s.now.Add(simLength)
	s.good = make(map[string]float64)
	s.refused = make(map[code.Code]int)
	for i := range s.daemons {
		s.daemons[i] = &simDaemon{ctl: New(func() time.Time { return s.now })}
	}
	for i, src := range sources {
		s.next(traffic{src, rand.New(rand.NewPCG(seed, uint64(i)))})
	}
	s.report()
	for len(s.events) > 0 {
		e := s.events[0]
		s.events = s.events[1:]
		s.now = e.at
		e.do()
	}
	return s
}

func (s *sim) in(d time.Duration, do func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.events, at, func(e event, at time.Time) int {
		if e.at.After(at) {
			return 1
		}
		return -1
	})
	s.events = slices.Insert(s.events, i, event{at, do})
}

func (t traffic) exp(mean float64) time.Duration {
	return time.Duration(t.rnd.ExpFloat64() * mean * float64(time.Second))
}

// next lets src send requests at random times until the end.
func (s *sim) next(src traffic) {
	s.in(src.exp(1/src.rate), func() {
		if s.now.After(s.end) {
			return
		}
		s.arrive(src)
		s.next(src)
	})
}

// report refreshes what daemons know of targets.
func (s *sim) report() {
	for i := range s.targets {
		s.targets[i].reported = s.targets[i].running + len(s.targets[i].queue)
		s.targets[i].at = s.now
	}
	for _, d := range s.daemons {
		d.sent = [simTargets]int{}
	}
	if s.now.Before(s.end) {
		s.in(simReport, s.report)
	}
}

func (s *sim) view(d *simDaemon) []routing.Target {
	out := make([]routing.Target, simTargets)
	for i := range out {
		out[i] = routing.Target{
			Name:      fmt.Sprint(i),
			Live:      true,
			Limit:     s.limit,
			InFlight:  d.inFlight[i],
			SentCount: d.sent[i],
			LoadAge:   s.now.Sub(s.targets[i].at),
			Load:      port.Load{Running: s.targets[i].reported},
		}
	}
	return out
}

// route takes the target with the least work; its time is the queue's. Like
// the real routing it reckons with what other daemons sent since the report,
// and with what the target got done.
func route(targets []routing.Target) (int, time.Duration) {
	best, least, sent := 0, 1<<30, 0
	for i, t := range targets {
		sent += t.SentCount
		n := max(t.InFlight, t.Load.Running+t.SentCount)
		if n < least {
			best, least = i, n
		}
	}
	others := float64(sent) / simTargets * (simDaemons - 1)
	done := simServers * targets[best].LoadAge.Seconds() / simWork.Seconds()
	wait := max(0, float64(least-simServers+1)+others-done)
	return best, simWork + time.Duration(wait/simServers*float64(simWork))
}

func (s *sim) arrive(src traffic) {
	d := s.daemons[src.rnd.IntN(simDaemons)]
	work := src.exp(simWork.Seconds())
	view := s.view(d)
	i, finish := route(view)
	release, err := d.ctl.Admit(Ask{
		Doc:      &document.Document{Service: "s"},
		Org:      src.org,
		Priority: src.priority,
		Cost:     1,
		Left:     simLeft,
		Decision: routing.Decision{TimeToCompletion: finish},
		Targets:  view,
		Idle:     func() (time.Duration, bool) { return simWork, true },
	})
	if err != nil {
		s.refused[code.Of(err)]++
		return
	}
	d.inFlight[i]++
	d.sent[i]++
	s.start(&simRequest{source: src.source, work: work, daemon: d, target: i, until: s.now.Add(simLeft), release: release})
}

func (s *sim) start(r *simRequest) {
	t := &s.targets[r.target]
	if t.running == simServers {
		t.enqueue(r)
		return
	}
	t.running++
	s.in(r.work, func() { s.finish(r) })
}

// enqueue lets high priority go first, as engines do.
func (t *simTarget) enqueue(r *simRequest) {
	i := len(t.queue)
	for r.priority > 0 && i > 0 && t.queue[i-1].priority < r.priority {
		i--
	}
	t.queue = slices.Insert(t.queue, i, r)
}

func (s *sim) finish(r *simRequest) {
	t := &s.targets[r.target]
	t.running--
	r.daemon.inFlight[r.target]--
	r.release()
	if !s.now.After(r.until) && s.now.Before(s.end) {
		s.good[r.org]++
	}
	if len(t.queue) > 0 {
		first := t.queue[0]
		t.queue = t.queue[1:]
		s.start(first)
	}
}

func (s *sim) total() float64 {
	sum := 0.0
	for _, n := range s.good {
		sum += n
	}
	return sum
}
