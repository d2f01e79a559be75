package shares

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/apex/log"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

const (
	simEngines = 8
	simCost    = 64 * time.Millisecond  // engine time of a call
	simSpare   = 500 * time.Millisecond // time that a call may wait
	simStep    = 10 * time.Millisecond
	simLength  = 60 * time.Second
	simOthers  = 6  // organisations within their share, with a load of 1 engine each
	simFlood   = 10 // load of the other one, in engines: twice the capacity in all
	simRepeats = 10 // of a rejected call, at once
)

// flooding is the organisation that sends more than its share.
const flooding = "flood"

// sim is a service in virtual time: engines with one queue, and daemons that know
// its length.
type sim struct {
	now      time.Time
	backlog  time.Duration // of all engines
	daemons  []*Tracker
	alive    int   // daemons that take calls and send sums, from the first
	exchange bool  // daemons send sums
	isolated int   // number of the last daemons that receive no sum
	repeat   bool  // the flooding organisation repeats rejected calls
	decide   bool  // by shares; without it, all calls wait up to simSpare
	calm     bool  // the flooding organisation sends as much as the others
	sent     []int // calls of the others by daemon
	lost     []int // those of them that were rejected
	rnd      *rand.Rand
}

func newSim(daemons int) *sim {
	s := &sim{now: time.Unix(1000, 0), alive: daemons, exchange: daemons > 1, decide: true, rnd: rand.New(rand.NewPCG(1, 2))}
	s.sent, s.lost = make([]int, daemons), make([]int, daemons)
	for range daemons {
		s.daemons = append(s.daemons, New(func() time.Time { return s.now }))
	}
	return s
}

// call sends a call to a random daemon and reports whether it is admitted.
func (s *sim) call(org string) bool {
	at := s.rnd.IntN(s.alive)
	d := s.daemons[at]
	fullness := float64(s.backlog) / simEngines / float64(simSpare)
	admitted := fullness <= 1 && !(s.decide && d.Rejects("llm", org, fullness))
	d.Record("llm", org, simCost, admitted)
	if admitted {
		s.backlog += simCost
	}
	if org != flooding {
		s.sent[at]++
		if !admitted {
			s.lost[at]++
		}
	}
	return admitted
}

// share sends the daemons' sums through the first daemon that is alive, as an
// aggregator does.
func (s *sim) share(t *testing.T) {
	for i, d := range s.daemons[1:s.alive] {
		s.send(t, d, false, func(n, of int, b []byte) error { return s.daemons[0].table.Merge(fmt.Sprint(i), n, of, b) })
	}
	for _, d := range s.daemons[1 : len(s.daemons)-s.isolated] {
		s.send(t, s.daemons[0], true, d.table.MergeFleet)
	}
}

func (s *sim) send(t *testing.T, from *Tracker, all bool, merge func(int, int, []byte) error) {
	pieces, err := from.table.Report(func(string) bool { return all }, 1200)
	if err != nil {
		t.Fatal(err)
	}
	for i, p := range pieces {
		if err := merge(i, len(pieces), p); err != nil {
			t.Fatal(err)
		}
	}
}

// run returns the fraction of their calls that the organisations within their
// share lose at the daemon where it is highest, and the engines that the flooding
// one gets. at is called at each second.
func (s *sim) run(t *testing.T, at func(second int)) (lost, flood float64) {
	admitted := 0
	for end := s.now.Add(simLength); s.now.Before(end); s.now = s.now.Add(simStep) {
		if since := simLength - end.Sub(s.now); since%time.Second == 0 {
			at(int(since / time.Second))
			if s.exchange {
				s.share(t)
			}
		}
		for range s.arrivals(simOthers + simFlood) {
			if org := s.rnd.IntN(simOthers + simFlood); org < simOthers {
				s.call(fmt.Sprint("org", org))
			} else if (!s.calm || org == simOthers) && s.flood() {
				admitted++
			}
		}
		s.backlog = max(0, s.backlog-simEngines*simStep)
	}
	for i, n := range s.sent {
		lost = max(lost, float64(s.lost[i])/float64(n))
	}
	return lost, float64(admitted) * simCost.Seconds() / simLength.Seconds()
}

// arrivals returns the number of calls of a load, in engines, in one step.
func (s *sim) arrivals(load float64) int {
	n, at := 0, s.rnd.ExpFloat64()
	for limit := load * float64(simStep) / float64(simCost); at < limit; at += s.rnd.ExpFloat64() {
		n++
	}
	return n
}

// flood sends a call of the flooding organisation, and repeats it if it does so.
func (s *sim) flood() bool {
	for range simRepeats {
		if s.call(flooding) {
			return true
		}
		if !s.repeat {
			return false
		}
	}
	return false
}

// Guards against organisations within their share that lose more than 5 in 100
// calls because another one sends ten times as much as each of them, at twice the
// capacity; also while the fleet's sum isn't known or expires. Each case must lose
// more without the decision, which shows that its load is high enough.
func TestFloodAtTwiceTheCapacity(t *testing.T) {
	const daemons = 8
	for _, tc := range []struct {
		name    string
		daemons int
		set     func(s *sim)
		at      func(s *sim, second int)
	}{
		{"one daemon", 1, func(*sim) {}, nil},
		{"one daemon, repeated", 1, func(s *sim) { s.repeat = true }, nil},
		{"sums", daemons, func(*sim) {}, nil},
		{"sums, repeated", daemons, func(s *sim) { s.repeat = true }, nil},
		{"one without a sum", daemons, func(s *sim) { s.isolated = 1 }, nil},
		{"sums expire", daemons, func(*sim) {}, func(s *sim, second int) { s.exchange = second < 20 }},
		{"daemons are gone", daemons, func(*sim) {}, func(s *sim, second int) {
			if second == 20 {
				s.alive = daemons / 2
			}
		}},
		{"begins after 20 s", daemons, func(s *sim) { s.calm = true }, func(s *sim, second int) { s.calm = second < 20 }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			run := func(decide bool) (lost, flood float64) {
				s := newSim(tc.daemons)
				s.decide = decide
				tc.set(s)
				return s.run(t, func(second int) {
					if tc.at != nil {
						tc.at(s, second)
					}
				})
			}
			lost, flood := run(true)
			lostWithout, floodWithout := run(false)
			t.Logf("lost %.4f, the flood gets %.2f engines; without the decision %.4f and %.2f", lost, flood, lostWithout, floodWithout)
			if lost > 0.05 || lostWithout <= 0.05 {
				t.Errorf("lost %.4f, without the decision %.4f", lost, lostWithout)
			}
			if unused := simEngines - simOthers - flood; tc.name != "begins after 20 s" && unused > 0.2 {
				t.Errorf("%.2f engines are unused", unused)
			}
		})
	}
}
