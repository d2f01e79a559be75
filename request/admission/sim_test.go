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

// The simulated fleet consists of servers that queue every request they receive.
const (
	simTargets        = 4
	simServers        = 20 // requests that a target runs at once
	simDaemons        = 4
	simWorkMean       = time.Second // mean time of a request at a server
	simReportInterval = 250 * time.Millisecond
	simLength         = 40 * time.Second
	simDeadline       = 4 * time.Second
	capacity          = simTargets * simServers // requests a second
)

// source is one organisation's load.
type source struct {
	org      string
	priority int
	rate     float64 // requests a second
}

// traffic is a source with its own random numbers, so that its requests
// depend neither on their outcome nor on the other sources.
type traffic struct {
	source
	rnd *rand.Rand
}

// sim is a discrete-event simulation that drives Controllers in virtual
// time.
type sim struct {
	now     time.Time
	end     time.Time
	limit   int     // slots of a target; 0: no limit
	events  []event // ordered by time
	targets [simTargets]simTarget
	daemons [simDaemons]*simDaemon
	onTime  map[string]float64 // requests answered before their deadline, by organisation
	refused map[code.Code]int
}

type simTarget struct {
	running, reported int
	reportedAt        time.Time // of the report
	queue             []*simRequest
}

type simDaemon struct {
	ctl      *Controller
	inFlight [simTargets]int
	sent     [simTargets]int
}

type simRequest struct {
	source
	work     time.Duration
	daemon   *simDaemon
	target   int
	deadline time.Time
	release  func()
}

type event struct {
	at time.Time
	do func()
}

// run returns the simulation after its end. Runs with the same seed are
// equal.
func run(seed uint64, limit int, sources []source) *sim {
	s := &sim{limit: limit}
	s.now = time.Unix(0, 0)
	s.end = s.now.Add(simLength)
	s.onTime = make(map[string]float64)
	s.refused = make(map[code.Code]int)
	for i := range s.daemons {
		s.daemons[i] = &simDaemon{ctl: New(func() time.Time { return s.now })}
	}
	for i, src := range sources {
		s.scheduleArrivals(traffic{src, rand.New(rand.NewPCG(seed, uint64(i)))})
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

func (s *sim) after(d time.Duration, do func()) {
	at := s.now.Add(d)
	i, _ := slices.BinarySearchFunc(s.events, at, func(e event, at time.Time) int {
		if e.at.After(at) {
			return 1
		}
		return -1
	})
	s.events = slices.Insert(s.events, i, event{at, do})
}

func (t traffic) expDuration(mean float64) time.Duration {
	return time.Duration(t.rnd.ExpFloat64() * mean * float64(time.Second))
}

// scheduleArrivals lets src send requests at random times until the end.
func (s *sim) scheduleArrivals(src traffic) {
	s.after(src.expDuration(1/src.rate), func() {
		if s.now.After(s.end) {
			return
		}
		s.arrive(src)
		s.scheduleArrivals(src)
	})
}

// report updates the load of targets that daemons know.
func (s *sim) report() {
	for i := range s.targets {
		s.targets[i].reported = s.targets[i].running + len(s.targets[i].queue)
		s.targets[i].reportedAt = s.now
	}
	for _, d := range s.daemons {
		d.sent = [simTargets]int{}
	}
	if s.now.Before(s.end) {
		s.after(simReportInterval, s.report)
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
			LoadAge:   s.now.Sub(s.targets[i].reportedAt),
			Load:      port.Load{Running: s.targets[i].reported},
		}
	}
	return out
}

// route returns the target with the least work and the expected duration
// there. Like the real routing, it accounts for requests that other daemons
// sent and that the target completed since the report.
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
	done := simServers * targets[best].LoadAge.Seconds() / simWorkMean.Seconds()
	wait := max(0, float64(least-simServers+1)+others-done)
	return best, simWorkMean + time.Duration(wait/simServers*float64(simWorkMean))
}

func (s *sim) arrive(src traffic) {
	d := s.daemons[src.rnd.IntN(simDaemons)]
	work := src.expDuration(simWorkMean.Seconds())
	view := s.view(d)
	i, finish := route(view)
	release, err := d.ctl.Admit(Request{
		Doc:        &document.Document{Service: "s"},
		Org:        src.org,
		Priority:   src.priority,
		Cost:       1,
		TimeLeft:   simDeadline,
		Decision:   routing.Decision{TimeToCompletion: finish},
		Targets:    view,
		IdleFinish: func() (time.Duration, bool) { return simWorkMean, true },
	})
	if err != nil {
		s.refused[code.Of(err)]++
		return
	}
	d.inFlight[i]++
	d.sent[i]++
	s.start(&simRequest{source: src.source, work: work, daemon: d, target: i, deadline: s.now.Add(simDeadline), release: release})
}

func (s *sim) start(r *simRequest) {
	t := &s.targets[r.target]
	if t.running == simServers {
		t.enqueue(r)
		return
	}
	t.running++
	s.after(r.work, func() { s.finish(r) })
}

// enqueue queues a request with high priority before others, as engines do.
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
	if !s.now.After(r.deadline) && s.now.Before(s.end) {
		s.onTime[r.org]++
	}
	if len(t.queue) > 0 {
		first := t.queue[0]
		t.queue = t.queue[1:]
		s.start(first)
	}
}

func (s *sim) total() float64 {
	sum := 0.0
	for _, n := range s.onTime {
		sum += n
	}
	return sum
}
