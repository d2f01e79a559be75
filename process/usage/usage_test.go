package usage

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/claim"
	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/internal/storetest"
	"github.com/pomelospool/pomelospool/process/roster"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

const (
	period = 5 * time.Second
	late   = 10 * time.Second
	lease  = 3 * time.Second
)

// fleet is a set of daemons with an in-memory store and platform.
type fleet struct {
	t            *testing.T
	runtimeClock clock.Runtime
	store        *storetest.Store
	duties       *duties
	mu           sync.Mutex
	daemons      map[string]*daemon
}

// daemon is a daemon process with a Reporter. It implements Roster.
type daemon struct {
	*Reporter
	f           *fleet
	name        string
	incarnation uint64
	alive       bool // the process runs
	leaving     bool // it is being stopped as planned
	partitioned bool // it can't reach the others
}

func withFleet(t *testing.T, n int, test func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, runtimeClock: clock.NewRuntime(), store: &storetest.Store{}, duties: &duties{}, daemons: make(map[string]*daemon)}
		// Start the test at the beginning of a window.
		time.Sleep(time.Until(time.Now().Truncate(period).Add(period)))
		for i := range n {
			f.start(fmt.Sprint("vm-", i))
		}
		test(f)
		for _, d := range f.daemons {
			_ = d.Stop()
		}
	})
}

// start starts a daemon. It replaces an earlier daemon of that name.
func (f *fleet) start(name string) *daemon {
	d := &daemon{f: f, name: name, incarnation: uint64(time.Now().UnixNano()), alive: true}
	d.Reporter = New(Options{
		Self: Source{VM: name, Incarnation: d.incarnation}, Period: period, ReportDeadline: late,
		Clock: clock.NewEstimator(f.runtimeClock, time.Now), Roster: d, Store: f.store, Duties: f.duties,
		Claims: claim.New(claim.Options{Self: name, Store: f.store, Lease: lease, Clock: f.runtimeClock, Ages: claim.NewAgeTracker(f.runtimeClock)}),
	})
	f.mu.Lock()
	f.daemons[name] = d
	f.mu.Unlock()
	d.Start()
	return d
}

// kill stops a daemon without a Flush.
func (f *fleet) kill(name string) {
	f.mu.Lock()
	d := f.daemons[name]
	d.alive = false
	f.mu.Unlock()
	_ = d.Stop()
}

func (d *daemon) MayLead() bool {
	l := d.Leaders(1)
	return len(l) == 1 && l[0].VM == d.name
}

func (d *daemon) Leaders(n int) []roster.Member {
	m := slices.DeleteFunc(d.Members(), func(m roster.Member) bool { return m.State == roster.Leaving })
	return m[:min(n, len(m))]
}

func (d *daemon) Members() []roster.Member {
	d.f.mu.Lock()
	defer d.f.mu.Unlock()
	var out []roster.Member
	for _, name := range slices.Sorted(maps.Keys(d.f.daemons)) {
		if other := d.f.daemons[name]; other.alive && (!other.partitioned || other == d) && (!d.partitioned || other == d) {
			m := roster.Member{VM: name, PeerAddr: name, Incarnation: other.incarnation}
			if other.leaving {
				m.State = roster.Leaving
			}
			out = append(out, m)
		}
	}
	return out
}

func (d *daemon) SendUsage(data []byte, to string) {
	d.f.mu.Lock()
	other := d.f.daemons[to]
	lost := other == nil || !other.alive || other.partitioned || d.partitioned || !d.alive
	d.f.mu.Unlock()
	if lost {
		return
	}
	if err := other.Receive(data); err != nil {
		d.f.t.Error(err)
	}
}

// run counts 10 requests a second at each live daemon for the given time, for two
// organisations in turn. It returns the number of requests.
func (f *fleet) run(d time.Duration) int {
	n := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, member := range f.daemons {
			if member.alive {
				member.Add(fmt.Sprint("o", n%2), 0)
				n++
			}
		}
	}
	return n
}

// duties is an in-memory platform that receives reports.
type duties struct {
	mu            sync.Mutex
	fence         int64
	reports       map[int64]Counts
	at            map[int64]time.Time
	conflicts     []string // windows that were reported with different counts
	fail          error
	calls         int
	appliesFailed bool // calls that return an error take effect
}

func (d *duties) ReportUsage(_ context.Context, c port.DutyCall, window int64, counts map[string]uint32) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	if d.fail != nil && !d.appliesFailed {
		return d.fail
	}
	if c.Fence < d.fence {
		return port.ErrFenced
	}
	d.fence = c.Fence
	if d.reports == nil {
		d.reports, d.at = make(map[int64]Counts), make(map[int64]time.Time)
	}
	if old, known := d.reports[window]; known && !maps.Equal(old, counts) {
		d.conflicts = append(d.conflicts, fmt.Sprint(window, ": ", old, " and ", counts))
	} else if !known {
		d.reports[window], d.at[window] = maps.Clone(counts), time.Now()
	}
	return d.fail
}

func (d *duties) Scale(context.Context, port.DutyCall, port.ScaleOrder) error {
	return errors.New("not used")
}

// total returns the number of reported requests.
func (d *duties) total() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for _, c := range d.reports {
		n += int(c.total())
	}
	return n
}

// check fails the test if a window was reported with different counts, or later
// than it was due.
func (f *fleet) check() {
	f.t.Helper()
	f.duties.mu.Lock()
	defer f.duties.mu.Unlock()
	if len(f.duties.conflicts) > 0 {
		f.t.Errorf("windows with different counts: %v", f.duties.conflicts)
	}
	for window, at := range f.duties.at {
		if after := at.Sub(time.Unix(0, (window+1)*int64(period))); after > late {
			f.t.Errorf("window %d was reported after %v", window, after)
		}
	}
}

func TestEachRequestIsReportedOnce(t *testing.T) {
	withFleet(t, 5, func(f *fleet) {
		want := f.run(4 * period)
		time.Sleep(period)
		f.check()
		if got := f.duties.total(); got != want {
			t.Errorf("reported %d of %d", got, want)
		}
	})
}

// Guards against counts that are lost, or reported again with different values,
// when the leader is killed at any moment of a window.
func TestLeaderKilled(t *testing.T) {
	for after := time.Duration(0); after < period; after += 370 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			withFleet(t, 5, func(f *fleet) {
				want := f.run(2*period + after)
				f.kill("vm-0")
				want += f.run(2*period - after)
				time.Sleep(late)
				f.check()
				// The killed daemon's counts since its last report are lost.
				if got := f.duties.total(); got > want || want-got > 3 {
					t.Errorf("reported %d of %d", got, want)
				}
			})
		})
	}
}

// Guards against the loss of all counts of a window when all daemons are killed.
func TestAllDaemonsKilled(t *testing.T) {
	withFleet(t, 5, func(f *fleet) {
		want := f.run(2*period + 4*time.Second)
		for name := range f.daemons {
			f.kill(name)
		}
		time.Sleep(500 * time.Millisecond)
		for name := range f.daemons {
			f.start(name)
		}
		want += f.run(2 * period)
		time.Sleep(late)
		f.check()
		// The last save is at most one second old.
		if got := f.duties.total(); got > want || want-got > 5*10*5/4 {
			t.Errorf("reported %d of %d", got, want)
		}
	})
}

// Guards against windows that are dropped because the store or the platform was
// unavailable when they ended.
func TestOutages(t *testing.T) {
	for name, set := range map[string]func(f *fleet, on bool){
		"store":               func(f *fleet, on bool) { f.store.SetUnavailable(on) },
		"writes not answered": func(f *fleet, on bool) { f.store.LoseAnswers(on) },
		"platform":            func(f *fleet, on bool) { f.duties.fail = errorIf(on) },
		"platform, carried out": func(f *fleet, on bool) {
			f.duties.fail, f.duties.appliesFailed = errorIf(on), true
		},
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 5, func(f *fleet) {
				change := func(on bool) {
					f.duties.mu.Lock()
					set(f, on)
					f.duties.mu.Unlock()
				}
				want := f.run(2*period - time.Second)
				change(true)
				want += f.run(4 * time.Second)
				change(false)
				want += f.run(period - 3*time.Second)
				time.Sleep(late)
				f.check()
				if got := f.duties.total(); got != want {
					t.Errorf("reported %d of %d", got, want)
				}
			})
		})
	}
}

func errorIf(on bool) error {
	if on {
		return port.ErrUnavailable
	}
	return nil
}

// Guards against different counts of a window, reported by two daemons that both
// act as leader because one of them is partitioned from the others.
func TestSplitLeaders(t *testing.T) {
	for after := time.Duration(0); after < period; after += 630 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			withFleet(t, 5, func(f *fleet) {
				f.run(period + after)
				setPartitioned := func(on bool) {
					f.mu.Lock()
					defer f.mu.Unlock()
					f.daemons["vm-0"].partitioned = on
				}
				setPartitioned(true)
				f.run(2 * period)
				setPartitioned(false)
				f.run(period)
				time.Sleep(late)
				f.check()
			})
		})
	}
}

// Guards against a report that is repeated forever with a fencing token that the
// platform has rejected.
func TestFencedLeaderClaimsAgain(t *testing.T) {
	withFleet(t, 1, func(f *fleet) {
		want := f.run(period / 2)
		f.duties.mu.Lock()
		f.duties.fence = 2
		f.duties.mu.Unlock()
		want += f.run(period / 2)
		time.Sleep(2 * period)
		if got := f.duties.total(); got != want {
			t.Errorf("reported %d of %d", got, want)
		}
		if f.duties.calls > 8 {
			t.Errorf("%d calls", f.duties.calls)
		}
	})
}

func TestMessagesFitIntoDatagrams(t *testing.T) {
	u := &update{Source: Source{VM: "vm-1", Incarnation: 3}, First: 5, Window: 7, Closed: true, Counts: make(Counts)}
	for i := range 500 {
		u.Counts[fmt.Sprintf("organisation-%03d", i)] = uint32(i + 1)
		u.Total += uint32(i + 1)
	}
	messages, err := encode(u)
	if err != nil {
		t.Fatal(err)
	}
	l := newLedger()
	for _, data := range messages {
		if len(data) > 1400 {
			t.Errorf("%d bytes", len(data))
		}
		if _, missing := l.incompleteSource(7, []Source{u.Source}); !missing {
			t.Error("a part of the counts is taken as complete")
		}
		got, err := decode(data)
		if err != nil {
			t.Fatal(err)
		}
		l.merge(got)
	}
	if _, missing := l.incompleteSource(7, []Source{u.Source}); missing || !maps.Equal(l.sum(7), u.Counts) {
		t.Errorf("%d organisations with counts", len(l.sum(7)))
	}
}

// Guards against a ledger that grows with each restart of a daemon.
func TestLedgerPrunesProcesses(t *testing.T) {
	l := newLedger()
	for i := range int64(100) {
		l.merge(&update{Source: Source{VM: "vm-1", Incarnation: uint64(i)}, First: i, Window: i, Counts: Counts{"o1": 1}})
		l.prune(i - 10)
	}
	if len(l.first) > 11 || len(l.windows) > 11 {
		t.Errorf("%d processes, %d windows", len(l.first), len(l.windows))
	}
}

func TestRowsRoundTrip(t *testing.T) {
	l := newLedger()
	for i := range 3 {
		l.merge(&update{Source: Source{VM: fmt.Sprint(i)}, Window: 4, Counts: Counts{"o1": uint32(i), "o2": 5}, Closed: i == 0, Total: 5})
	}
	rows, _ := l.rows(4)
	data, err := encodeRows(rows)
	if err != nil {
		t.Fatal(err)
	}
	back, err := decodeRows(data)
	if err != nil {
		t.Fatal(err)
	}
	other := newLedger()
	for i := range back {
		other.merge(&back[i])
	}
	if !maps.Equal(other.sum(4), Counts{"o1": 3, "o2": 15}) {
		t.Errorf("read %v", other.sum(4))
	}
}
