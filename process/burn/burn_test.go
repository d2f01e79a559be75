package burn

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/standin/logsvc"
	"github.com/pomelospool/pomelospool/version/document"
)

var goals = document.Objectives{
	FirstToken:    time.Second,
	BetweenTokens: 50 * time.Millisecond,
	Answer:        10 * time.Second,
	Target:        0.9,
	Window:        720 * time.Hour,
}

// clock is a settable clock.
type clock struct{ now time.Time }

func newClock() *clock { return &clock{time.Date(2026, 5, 4, 8, 0, 10, 0, time.UTC)} }

func (c *clock) newTracker(daemon string) *Tracker {
	return New(Options{
		Daemon:     daemon,
		Now:        func() time.Time { return c.now },
		Objectives: func(string) (document.Objectives, bool) { return goals, true },
	})
}

func sample(c code.Code, first, between, total time.Duration) Sample {
	return Sample{Service: "lm", Org: "school", Code: c, TimeToFirstToken: first, TimePerToken: between, Total: total}
}

func goodSample() Sample { return sample(code.OK, 1, 1, 1) }

func TestGradeSample(t *testing.T) {
	const s, ms = time.Second, time.Millisecond
	tests := []struct {
		name string
		x    Sample
		want [objectiveCount]grade // first, between, answer, lost
	}{
		{"good", sample(code.OK, s, 50*ms, 10*s), [objectiveCount]grade{good, good, good, good}},
		{"late first token", sample(code.OK, s+1, 50*ms, 9*s), [objectiveCount]grade{bad, good, good, good}},
		{"slow tokens", sample(code.OK, s, 51*ms, 9*s), [objectiveCount]grade{good, bad, good, good}},
		{"late answer", sample(code.OK, s, 50*ms, 10*s+1), [objectiveCount]grade{good, good, bad, good}},
		{"plain answer", sample(code.OK, 0, 0, s), [objectiveCount]grade{unmeasured, unmeasured, good, good}},
		{"refused", sample(code.Overloaded, 0, 0, ms), [objectiveCount]grade{bad, unmeasured, bad, good}},
		{"cut", sample(code.StreamCut, s, 20*ms, 2*s), [objectiveCount]grade{good, good, bad, bad}},
		{"unknown outcome", sample(code.OutcomeUnknown, 0, 0, s), [objectiveCount]grade{bad, unmeasured, bad, bad}},
		{"caller's fault", sample(code.PromptTooLong, 0, 0, ms), [objectiveCount]grade{}},
		{"caller gone", sample(code.CallerGone, s, ms, s), [objectiveCount]grade{}},
		{"over its share", sample(code.OrgOverShare, 0, 0, ms), [objectiveCount]grade{}},
	}
	for _, tt := range tests {
		if got := gradeSample(tt.x, goals).grades; got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

// During a long outage the ticket alert must start. After it, the short window
// must end the alert soon, while the spent budget stays visible for three days.
func TestAlertStartsAndEnds(t *testing.T) {
	c := newClock()
	tracker := c.newTracker("a")
	run := func(d time.Duration, x Sample) {
		for range int(d / time.Minute) {
			c.now = c.now.Add(time.Minute)
			for range 10 {
				tracker.Observe(x)
			}
		}
	}
	check := func(what string, alert Alert, rates ...float64) Service {
		t.Helper()
		s := tracker.Report().Services[0]
		if got := s.Alert(WholeAnswer); got != alert {
			t.Errorf("%s: alert %q, want %q", what, got, alert)
		}
		for i, want := range rates {
			if got := s.Windows[i].Rate(WholeAnswer, goals.Target); got < want-0.001 || got > want+0.001 {
				t.Errorf("%s: rate over %v is %v, want %v", what, s.Windows[i].Length, got, want)
			}
		}
		return s
	}
	run(6*time.Hour, goodSample())
	check("before", AlertNone, 0, 0, 0, 0)
	run(10*time.Minute, sample(code.NoTarget, 0, 0, 1))
	// 10 of 60 minutes bad: a sixth, at a budget of a tenth.
	check("outage", AlertNone, 10, 10.0/6)
	run(50*time.Minute, sample(code.NoTarget, 0, 0, 1))
	s := check("long outage", AlertTicket, 10, 10)
	if got := s.Windows[1].Codes; len(got) != 1 || got[0] != (CodeCount{code.NoTarget, 600}) {
		t.Errorf("codes of the last hour: %v", got)
	}
	run(2*time.Hour, sample(code.NoTarget, 0, 0, 1))
	check("longer outage", AlertTicket, 10, 10)
	run(6*time.Hour+30*time.Minute, goodSample())
	s = check("after", AlertNone, 0, 0, 0)
	if s.Spent(WholeAnswer) <= 0 {
		t.Error("the spent budget is no longer reported")
	}
	run(73*time.Hour, goodSample())
	check("three days after", AlertNone, 0, 0, 0, 0)
}

// With a budget of 1%, an outage must page at once.
func TestStrictTargetPagesAtOnce(t *testing.T) {
	c := newClock()
	strict := goals
	strict.Target = 0.99
	tracker := New(Options{Now: func() time.Time { return c.now }, Objectives: func(string) (document.Objectives, bool) { return strict, true }})
	for range 20 {
		c.now = c.now.Add(time.Minute)
		tracker.Observe(sample(code.NoTarget, 0, 0, 1))
	}
	if got := tracker.Report().Services[0].Alert(WholeAnswer); got != AlertPage {
		t.Errorf("alert %q", got)
	}
}

// randomSamples returns n random requests of ten organisations to three
// services.
func randomSamples(n int) []Sample {
	rng := rand.New(rand.NewPCG(1, 2))
	codes := []code.Code{code.OK, code.OK, code.OK, code.StreamCut, code.Overloaded, code.CallerGone}
	out := make([]Sample, n)
	for i := range out {
		x := sample(codes[rng.IntN(len(codes))], time.Duration(rng.Int64N(int64(2*time.Second))), time.Duration(rng.Int64N(int64(time.Second/10))), time.Duration(rng.Int64N(int64(20*time.Second))))
		x.Service = fmt.Sprintf("s%d", rng.IntN(3))
		x.Org = fmt.Sprintf("org-%d", rng.IntN(10))
		out[i] = x
	}
	return out
}

// Merged reports of several daemons must equal the report of one daemon that
// observed all samples.
func TestMergeIsExact(t *testing.T) {
	c := newClock()
	parts := []*Tracker{c.newTracker("a"), c.newTracker("b"), c.newTracker("c")}
	whole := c.newTracker("all")
	for i, x := range randomSamples(5000) {
		c.now = c.now.Add(2 * time.Second)
		parts[(i*7)%3].Observe(x)
		whole.Observe(x)
	}
	reports := make([]*Report, len(parts))
	for i, p := range parts {
		data, err := json.Marshal(p.Report())
		if err != nil {
			t.Fatal(err)
		}
		reports[i] = new(Report)
		if err := json.Unmarshal(data, reports[i]); err != nil {
			t.Fatal(err)
		}
	}
	got := Merge(reports...)
	want := Merge(whole.Report())
	if !reflect.DeepEqual(got.Services, want.Services) {
		t.Errorf("got  %+v\nwant %+v", got.Services, want.Services)
	}
	if fmt.Sprint(got.Daemons) != "[a b c]" || len(got.Services) != 3 {
		t.Errorf("daemons %v, %d services", got.Daemons, len(got.Services))
	}
}

// With thousands of organisations the number of groups must stay bounded, the
// busiest must have groups of their own, and the sum must include every request.
func TestOrganisationsAreBounded(t *testing.T) {
	c := newClock()
	tracker := c.newTracker("a")
	const n = 20000
	for i := range n {
		c.now = c.now.Add(100 * time.Millisecond)
		x := goodSample()
		x.Org = fmt.Sprintf("org-%d", i%5000)
		if i%4 == 0 {
			x.Org = "busy"
		}
		tracker.Observe(x)
	}
	s := tracker.Report().Services[0]
	sum, busy := uint64(0), uint64(0)
	for _, o := range s.Orgs {
		good := o.Windows[2].Counts[WholeAnswer].Good
		sum += good
		if o.Name == "busy" {
			busy = good
		}
	}
	if len(s.Orgs) > maxOrgs+1 || sum != n || busy != n/4 {
		t.Errorf("%d groups, %d requests, %d of the busy one", len(s.Orgs), sum, busy)
	}
}

// After a restart the long windows must continue from the snapshot. The
// snapshot must fit its size limit even with three full days of every service.
func TestRestoreAfterRestart(t *testing.T) {
	c := newClock()
	before := c.newTracker("a")
	for i, x := range randomSamples(9000) {
		c.now = c.now.Add(29 * time.Second)
		if i%3 == 0 {
			x.Service = fmt.Sprintf("busy-%d", i%maxServices)
		}
		before.Observe(x)
	}
	data, err := before.Snapshot()
	if err != nil || len(data) > MaxSnapshot {
		t.Fatalf("%d bytes, %v", len(data), err)
	}
	after := c.newTracker("a")
	if err := after.Restore(data); err != nil {
		t.Fatal(err)
	}
	left := len(before.names()) - len(after.names())
	if left < 0 || left == len(before.names()) {
		t.Fatalf("%d services left out", left)
	}
	for _, name := range after.names() {
		got, want := after.services[name].all.windows(c.now)[2:], before.services[name].all.windows(c.now)[2:]
		if !reflect.DeepEqual(got, want) {
			t.Errorf("%s: got %+v, want %+v", name, got, want)
		}
	}
	if err := c.newTracker("b").Restore(data); err == nil {
		t.Error("another daemon restored the snapshot, so its counts would be merged twice")
	}
	early := c.newTracker("a")
	c.now = c.now.Add(-100 * time.Hour)
	if err := early.Restore(data); err != nil || len(early.services["s0"].all.coarse.save(time.Time{})) > 0 {
		t.Errorf("buckets with a future time were restored: %v", err)
	}
	if err := early.Restore([]byte(`{"daemon":"a","data":"eA=="}`)); err == nil {
		t.Error("a corrupt snapshot was restored")
	}
}

// The log is down while a daemon starts, so it can't load its snapshot. It must
// not save a new one before it has loaded the old one, and earlier samples must
// count exactly once.
func TestSaveWaitsForLoad(t *testing.T) {
	c := newClock()
	log := logsvc.New(logsvc.Options{})
	defer log.Close()
	run := func(n int) *Tracker {
		tracker := c.newTracker("a")
		for range n {
			tracker.Observe(goodSample())
		}
		return tracker
	}
	first := run(3)
	if err := errors.Join(first.Load(t.Context(), log), first.Save(t.Context(), log, "1")); err != nil {
		t.Fatal(err)
	}
	second := run(4)
	log.SetOutage(logsvc.Refuse)
	if err := second.Load(t.Context(), log); err == nil {
		t.Error("loaded in an outage")
	}
	log.SetOutage(logsvc.Up)
	if err := second.Save(t.Context(), log, "2"); !errors.Is(err, ErrNotLoaded) {
		t.Errorf("saved before the load: %v", err)
	}
	for range 2 {
		if err := second.Load(t.Context(), log); err != nil {
			t.Fatal(err)
		}
	}
	if err := second.Save(t.Context(), log, "2"); err != nil {
		t.Fatal(err)
	}
	third := run(0)
	if err := third.Load(t.Context(), log); err != nil {
		t.Fatal(err)
	}
	if got := third.Report().Services[0].Windows[3].Counts[WholeAnswer].Good; got != 7 {
		t.Errorf("%d requests, want 7", got)
	}
}

func BenchmarkObserve(b *testing.B) {
	tracker := newClock().newTracker("a")
	x := goodSample()
	x.Total = time.Second
	b.ReportAllocs()
	for i := range b.N {
		x.Org = orgNames[i%len(orgNames)]
		tracker.Observe(x)
	}
}

var orgNames = func() []string {
	names := make([]string, 5000)
	for i := range names {
		names[i] = fmt.Sprintf("org-%d", i)
	}
	return names
}()

// BenchmarkService measures the memory of one service with all its groups.
func BenchmarkService(b *testing.B) {
	b.ReportAllocs()
	for range b.N {
		tracker := newClock().newTracker("a")
		for i := range orgNames {
			x := goodSample()
			x.Org = orgNames[i]
			tracker.Observe(x)
		}
	}
}
