package budget

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// stallSim is a fleet whose targets reject all requests, and receive nothing
// while they are stopped.
type stallSim struct {
	*testFleet
	rand     *rand.Rand
	interval time.Duration // between two requests of a daemon
	targets  []*simTarget
	calls    []*simCall
	arrivals map[int][]time.Duration // by request
}

type simTarget struct {
	addr    string
	resumes time.Duration // stopped until then
	backlog []int         // requests that it receives then
}

type simCall struct {
	id     int
	daemon int
	call   *Call
	next   time.Duration // of its next step
	left   int           // sends
	silent *Send         // sent to a stopped target
}

// giveUp is how long a daemon waits for an answer.
const giveUp = 300 * time.Millisecond

func newStallSim(seed uint64, daemons, targets int, interval time.Duration) *stallSim {
	s := &stallSim{testFleet: newTestFleet(daemons), rand: rand.New(rand.NewPCG(seed, 2)), interval: interval, arrivals: make(map[int][]time.Duration)}
	for i := range targets {
		s.targets = append(s.targets, &simTarget{addr: fmt.Sprint("t", i)})
	}
	return s
}

// stop stops a target for a time.
func (s *stallSim) stop(target int, d time.Duration) {
	s.targets[target].resumes = max(s.targets[target].resumes, s.now+d)
}

// load lets time pass with new requests, or without.
func (s *stallSim) load(d time.Duration, requests bool) {
	for end := s.now + d; s.now < end; s.now += testStep {
		s.resume()
		for i, d := range s.daemons {
			if requests && s.rand.Float64() < float64(testStep)/float64(s.interval) {
				s.requests = append(s.requests, s.now)
				s.calls = append(s.calls, &simCall{id: len(s.requests), daemon: i, call: d.NewCall("s"), next: s.now, left: 6})
			}
		}
		s.calls = slices.DeleteFunc(s.calls, func(c *simCall) bool {
			for c.next <= s.now {
				if !s.step(c) {
					c.call.SentAll()
					return true
				}
			}
			return false
		})
	}
}

// resume delivers what stopped targets have missed.
func (s *stallSim) resume() {
	for _, t := range s.targets {
		if t.resumes > s.now {
			continue
		}
		for _, id := range t.backlog {
			s.arrivals[id] = append(s.arrivals[id], s.now)
		}
		t.backlog = nil
	}
}

// step makes the next send of a call, or gives up the last one.
func (s *stallSim) step(c *simCall) bool {
	if c.silent != nil {
		c.silent.Lost()
		c.silent = nil
		return s.retry(c)
	}
	c.left--
	t := s.targets[s.rand.IntN(len(s.targets))]
	send := c.call.Begin(t.addr)
	if t.resumes > s.now {
		t.backlog = append(t.backlog, c.id)
		c.silent, c.next = send, s.now+giveUp
		return true
	}
	s.arrivals[c.id] = append(s.arrivals[c.id], s.now)
	send.Answered()
	return s.retry(c)
}

func (s *stallSim) retry(c *simCall) bool {
	if c.left == 0 {
		return false
	}
	ok, _ := c.call.Take(1)
	return ok
}

// check fails the test if targets received more extra sends than allowed.
func (s *stallSim) check(t *testing.T) {
	t.Helper()
	var extras []time.Duration
	for _, list := range s.arrivals {
		slices.Sort(list)
		extras = append(extras, list[1:]...)
	}
	slices.Sort(extras)
	checkBudget(t, s.requests, extras)
}

// Guards against retries that stopped targets receive all at once when they
// continue, together with those that are decided afterwards.
func TestStoppedTargetsKeepTheBudget(t *testing.T) {
	for _, stop := range []time.Duration{time.Second, 4 * time.Second, 9 * time.Second, 30 * time.Second} {
		s := newStallSim(1, 6, 4, 100*time.Millisecond)
		s.load(testWindow, true)
		for i := range s.targets {
			s.stop(i, stop)
		}
		s.load(stop+2*testWindow, true)
		s.check(t)
	}
}

// Guards against sends that stopped targets receive after the requests that paid
// for them have ceased to count.
func TestTargetsThatContinueAfterTheLoadKeepTheBudget(t *testing.T) {
	s := newStallSim(1, 30, 4, testStep)
	s.run(testWindow, 0)
	const stop = 6 * time.Second
	for i := range s.targets {
		s.stop(i, stop)
	}
	s.load(time.Second, true)
	s.load(stop, false)
	s.check(t)
}

// Guards against any order of stops of targets that exceeds the limit, in small
// and in large fleets, in which a daemon's part of the slack is less than a send.
func TestRandomStopsKeepTheBudget(t *testing.T) {
	for seed := range uint64(60) {
		r := rand.New(rand.NewPCG(seed, 1))
		daemons, interval := 2+r.IntN(8), 100*time.Millisecond
		if seed%10 == 0 {
			daemons, interval = 200, 500*time.Millisecond
		}
		s := newStallSim(seed, daemons, 1+r.IntN(6), interval)
		for range 8 {
			s.load(time.Duration(r.Int64N(int64(testWindow/2))), r.IntN(4) > 0)
			length := time.Duration(r.Int64N(int64(3 * testWindow / 2)))
			for i := range s.targets {
				if r.IntN(3) > 0 {
					s.stop(i, length)
				}
			}
		}
		s.load(3*testWindow, true)
		s.check(t)
	}
}
