package budget

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	testRatio  = 0.2
	testSlack  = 52.0
	testWindow = 10 * time.Second
	// testStep is the time between two rounds of requests.
	testStep = 50 * time.Millisecond
	// testWarmup is a time after which a daemon may spend its full share.
	testWarmup = 40 * time.Second
)

// testFleet is a number of daemons that each get one request a round.
type testFleet struct {
	now      time.Duration
	known    int // daemons that each one knows of; 0: all
	daemons  []*Fleet
	requests []time.Duration
	extras   []time.Duration
}

func newTestFleet(daemons int) *testFleet {
	f := &testFleet{daemons: make([]*Fleet, daemons)}
	for i := range f.daemons {
		f.restart(i)
	}
	f.run(testWarmup, 0)
	return f
}

// restart replaces a daemon by a new process.
func (f *testFleet) restart(i int) {
	f.daemons[i] = NewFleet(FleetOptions{
		Ratio: testRatio, Slack: testSlack, Window: testWindow,
		Daemons: func() int { return cmp.Or(f.known, len(f.daemons)) },
		Clock:   func() time.Duration { return f.now },
	})
}

// run lets time pass. Each request is followed by attempts to send it again.
func (f *testFleet) run(d time.Duration, retries int) {
	for end := f.now + d; f.now < end; f.now += testStep {
		for _, daemon := range f.daemons {
			c := daemon.NewCall("s")
			f.requests = append(f.requests, f.now)
			c.Begin("t").Answered()
			for range retries {
				if ok, _ := c.Take(1); ok {
					f.extras = append(f.extras, f.now)
					c.Begin("t").Answered()
				}
			}
			c.SentAll()
		}
	}
}

// check fails the test if the extra sends of any window exceed the limit. The
// requests are those of the window, of the one before it or of the one half a
// window before it, whichever has most.
func (f *testFleet) check(t *testing.T) {
	t.Helper()
	checkBudget(t, f.requests, f.extras)
}

// checkBudget checks sorted times.
func checkBudget(t *testing.T, requests, extras []time.Duration) {
	t.Helper()
	for _, from := range extras {
		count, sent := countIn(extras, from), 0
		for _, shift := range []time.Duration{0, testWindow / 2, testWindow} {
			sent = max(sent, countIn(requests, from-shift))
		}
		if allowed := testRatio*float64(sent) + testSlack; float64(count) > allowed {
			t.Fatalf("%d extra sends in the window from %v, %.0f allowed", count, from, allowed)
		}
	}
}

func countIn(sorted []time.Duration, from time.Duration) int {
	first, _ := slices.BinarySearch(sorted, from)
	end, _ := slices.BinarySearch(sorted, from+testWindow)
	return end - first
}

// Guards against daemons that are restarted in series spending their share of
// the slack in each process.
func TestRestartedDaemonsKeepTheBudget(t *testing.T) {
	f := newTestFleet(6)
	for range 6 {
		for i := range f.daemons {
			f.restart(i)
		}
		f.run(2*time.Second, 5)
	}
	f.check(t)
}

// Guards against extra sends being forgotten before the window has passed, so
// that two bursts within one window both spend the whole limit.
func TestBurstsWithinAWindowKeepTheBudget(t *testing.T) {
	for phase := time.Duration(0); phase < time.Second; phase += testStep {
		f := newTestFleet(6)
		f.run(phase, 0)
		f.run(300*time.Millisecond, 50)
		f.run(testWindow-time.Second, 0)
		f.run(700*time.Millisecond, 50)
		f.check(t)
	}
}

// Guards against a limit that keeps the budget by forbidding retries: while
// requests fail for long, at least half of the allowed sends are made.
func TestFailingRequestsAreRetriedWithinTheBudget(t *testing.T) {
	f := newTestFleet(6)
	f.run(testWindow, 0)
	f.run(4*testWindow, 5)
	f.check(t)
	allowed := 4 * (testRatio*float64(countIn(f.requests, f.requests[0])) + testSlack)
	if len(f.extras) < int(allowed/2) {
		t.Errorf("%d extra sends, %.0f allowed", len(f.extras), allowed)
	}
}

// Guards against requests of two busy periods being counted together, though
// the limit of no window counts both.
func TestTrafficInPulsesKeepsTheBudget(t *testing.T) {
	for lull := time.Second; lull <= testWindow; lull += time.Second {
		f := newTestFleet(6)
		f.idle(testWindow)
		f.run(2500*time.Millisecond, 0)
		f.idle(lull)
		f.run(2500*time.Millisecond, 10)
		f.check(t)
	}
}

// idle lets time pass without requests.
func (f *testFleet) idle(d time.Duration) { f.now += d }

// Guards against daemons that divide the slack by those that are left, while the
// sends of others that have just left still count.
func TestDaemonsThatLeaveKeepTheBudget(t *testing.T) {
	f := newTestFleet(6)
	f.idle(2 * testWindow)
	f.run(300*time.Millisecond, 50)
	f.daemons = f.daemons[:2]
	f.run(300*time.Millisecond, 50)
	f.check(t)
}

// Guards against daemons that have waited for the store, without requests, and
// spend their part of the slack before they know each other.
func TestDaemonsThatFindEachOtherLateKeepTheBudget(t *testing.T) {
	f := &testFleet{daemons: make([]*Fleet, 6), known: 1}
	for i := range f.daemons {
		f.restart(i)
	}
	f.idle(time.Minute)
	f.run(time.Second, 5)
	f.known = 0
	f.run(time.Second, 5)
	f.check(t)
}

// Guards against any order of busy periods, lulls, rejections and restarts in
// which the daemons together exceed the limit.
func TestRandomTrafficKeepsTheBudget(t *testing.T) {
	const seeds, periods = 60, 25
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 1))
		f := newTestFleet(1 + r.IntN(8))
		for range periods {
			length := time.Duration(r.Int64N(int64(testWindow / 3)))
			switch r.IntN(4) {
			case 0:
				f.idle(2 * length)
			case 1:
				f.restart(r.IntN(len(f.daemons)))
			default:
				f.run(length, r.IntN(20))
			}
		}
		f.check(t)
	}
}
