package origin

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// fleet connects the trackers of daemons. Each one's records go to its keepers, and
// its queries to all reachable daemons.
type fleet struct {
	mu      sync.Mutex // guards changes of daemons: records are shared by timers, too
	daemons []*testDaemon
}

type testDaemon struct {
	*Tracker
	fleet   *fleet
	history *History
	cutOff  atomic.Bool  // from all other daemons
	shared  atomic.Int64 // records sent
	age     time.Duration
	behind  bool // the store has a change that this daemon lacks
}

func newFleet(n int, complete bool) *fleet {
	f := &fleet{}
	for range n {
		f.daemons = append(f.daemons, f.newDaemon(complete))
	}
	return f
}

func (f *fleet) newDaemon(complete bool) *testDaemon {
	d := &testDaemon{fleet: f}
	start := time.Now()
	d.history = NewHistory(HistoryOptions{
		Now:    func() time.Duration { return time.Since(start) },
		Age:    func() (time.Duration, bool) { return d.age, true },
		MaxAge: 2 * time.Second, Complete: complete,
	})
	d.Tracker = New(Options{History: d.history, Peers: d, Confirm: func(context.Context) bool { return !d.behind }})
	return d
}

func (d *testDaemon) others() []*testDaemon {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(d.fleet.daemons), func(o *testDaemon) bool { return o == d || o.cutOff.Load() || d.cutOff.Load() })
}

func (d *testDaemon) ShareOrigins(records []Record) {
	d.shared.Add(int64(len(records)))
	for _, o := range d.others() {
		o.Store(records)
	}
}

func (d *testDaemon) AskOrigins(ctx context.Context, q Query, handle func(Reply) bool) {
	if d.cutOff.Load() {
		<-ctx.Done()
	}
	for _, o := range d.others() {
		if handle(o.Answer(q)) {
			return
		}
	}
}

func (d *testDaemon) AskVersions(ctx context.Context, q Query, handle func(Reply) bool) {
	d.AskOrigins(ctx, q, handle)
}

// observe gives the listed daemons the same list of targets.
func (f *fleet) observe(software ...string) {
	for _, d := range f.daemons {
		d.Observe(map[string][]string{"s": software})
	}
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Second)
		for _, d := range f.daemons {
			d.Tick(context.Background())
		}
	}
}

func (d *testDaemon) find(request string) string {
	software, from := d.Find(context.Background(), Stream{Service: "s", Request: request})
	if from == Unknown {
		return "unknown"
	}
	return software
}

// restart adds a daemon that has just started and lists the versions.
func (f *fleet) restart(software ...string) *testDaemon {
	d := f.newDaemon(false)
	f.mu.Lock()
	f.daemons = append(f.daemons, d)
	f.mu.Unlock()
	d.Observe(map[string][]string{"s": software})
	return d
}

var stream = Stream{Service: "s", Request: "r1"}

// Guards against streams that can't go on, or go on at another version, after the
// daemon at which they began has died.
func TestStreamOutlivesItsDaemon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(4, true)
		f.observe("v1", "v2")
		f.daemons[0].Begin(stream, "v2")
		f.daemons[0].cutOff.Store(true)
		for i, d := range f.daemons[1:] {
			if got := d.find("r1"); got != "v2" {
				t.Errorf("daemon %d: %s", i+1, got)
			}
			if got := d.find("another"); got != "unknown" {
				t.Errorf("daemon %d: %s for a stream without a record", i+1, got)
			}
		}
		restarted := f.restart("v1", "v2")
		if got := restarted.find("r1"); got != "v2" {
			t.Errorf("a daemon that has just started: %s", got)
		}
	})
}

// Guards against streams that begin while a service has one version and whose records
// are lost with their daemon once there are two.
func TestStreamsBeforeARolloutAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, true)
		f.observe("v1")
		f.daemons[0].Begin(stream, "v1")
		f.daemons[0].Begin(Stream{Service: "s", Request: "ended"}, "v1")
		f.daemons[0].Complete(Stream{Service: "s", Request: "ended"})
		if f.daemons[0].shared.Load() != 0 {
			t.Errorf("%d records sent while there is one version", f.daemons[0].shared.Load())
		}
		f.observe("v1", "v2")
		f.daemons[0].cutOff.Store(true)
		if got := f.daemons[1].find("r1"); got != "v1" || f.daemons[0].shared.Load() != 1 {
			t.Errorf("%s, %d records sent", got, f.daemons[0].shared.Load())
		}
	})
}

// Guards against rejected streams while only one version is in use: at daemons that
// have just started, that are cut off, or after the loss of the stream's daemon.
func TestOnlyVersionNeedsNoRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, true)
		f.observe("v1")
		f.daemons[0].Begin(stream, "v1")
		f.daemons[0].cutOff.Store(true)
		if got := f.daemons[1].find("r1"); got != "v1" {
			t.Errorf("after the loss of its daemon: %s", got)
		}
		restarted := f.restart("v1")
		if got := restarted.find("r1"); got != "v1" {
			t.Errorf("at a daemon that has just started: %s", got)
		}
		f.run(2 * time.Second)
		restarted.cutOff.Store(true)
		if got := restarted.find("r1"); got != "v1" {
			t.Errorf("at a daemon that was cut off after its start: %s", got)
		}
	})
}

// Guards against streams that go on at another version at a daemon that doesn't know
// where they began: it is cut off from the store or all others, or has just started.
func TestUnknownOriginIsNotGuessed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, true)
		f.observe("v1")
		f.run(time.Minute)
		behind := f.daemons[2]
		for _, d := range f.daemons[:2] {
			d.Observe(map[string][]string{"s": {"v1", "v2"}})
		}
		f.daemons[0].Begin(stream, "v2")
		if got := behind.find("r1"); got != "v2" {
			t.Errorf("at a daemon with an outdated list: %s", got)
		}
		if got := behind.find("another"); got != "unknown" {
			t.Errorf("at a daemon with an outdated list, without a record: %s", got)
		}
		behind.cutOff.Store(true)
		behind.age = 3 * time.Second
		if got := behind.find("another"); got != "unknown" {
			t.Errorf("at a daemon that is cut off from all others and the store: %s", got)
		}
		restarted := f.newDaemon(false)
		restarted.Observe(map[string][]string{"s": {"v2"}})
		if got := restarted.find("another"); got != "unknown" {
			t.Errorf("at a daemon that has just started, after the loss of all: %s", got)
		}
	})
}

// Guards against a stream that goes on at another version, at a daemon that other
// daemons don't reach while a version is so new that its list, though current, lacks it.
func TestNewVersionIsUnknownToADaemonThatIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, true)
		f.observe("v1")
		f.run(time.Minute)
		cutOff := f.daemons[2]
		cutOff.cutOff.Store(true)
		cutOff.behind, cutOff.age = true, time.Second
		for _, d := range f.daemons[:2] {
			d.Observe(map[string][]string{"s": {"v1", "v2"}})
		}
		f.daemons[0].Begin(stream, "v2")
		if got := cutOff.find("r1"); got != "unknown" {
			t.Errorf("a stream of v2: %s", got)
		}
		cutOff.behind = false
		if got := cutOff.find("another"); got != "v1" {
			t.Errorf("a stream of v1, while there is no other version: %s", got)
		}
	})
}

// Guards against rejected streams at a daemon that other daemons answer late.
func TestLateRepliesOfOtherDaemonsCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, true)
		f.observe("v1")
		late := latePeers{Peers: f.daemons[0], delay: 2 * vetoTimeout}
		tracker := New(Options{History: f.daemons[0].history, Peers: late, Confirm: func(context.Context) bool { return false }})
		if software, from := tracker.Find(t.Context(), stream); software != "v1" || from != FromOnlyVersion {
			t.Errorf("%q, %s", software, from)
		}
	})
}

// latePeers passes replies on after a delay.
type latePeers struct {
	Peers
	delay time.Duration
}

func (p latePeers) AskOrigins(ctx context.Context, q Query, handle func(Reply) bool) {
	select {
	case <-time.After(p.delay):
		p.Peers.AskOrigins(ctx, q, handle)
	case <-ctx.Done():
	}
}

// Guards against records that are lost in restarts of all daemons in series while a
// stream goes on.
func TestRecordsOutliveRestartsInSeries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, true)
		f.observe("v1", "v2")
		f.daemons[0].Begin(stream, "v2")
		for i := 1; i < 3; i++ {
			f.daemons[i] = f.newDaemon(false)
			f.daemons[i].Observe(map[string][]string{"s": {"v1", "v2"}})
			f.run(4 * time.Second)
		}
		f.daemons[0].cutOff.Store(true)
		for i, d := range f.daemons[1:] {
			if got := d.find("r1"); got != "v2" {
				t.Errorf("daemon %d: %s", i+1, got)
			}
		}
	})
}

// Guards against streams that can't go on since their daemon died before a second
// version appeared, when it had sent its records to nobody.
func TestStreamOfALostDaemonIsKnownOnceASecondVersionAppears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, true)
		f.observe("v1")
		lost := f.daemons[0]
		lost.Begin(stream, "v1")
		lost.Begin(Stream{Service: "s", Request: "short"}, "v1")
		lost.Complete(Stream{Service: "s", Request: "short"})
		time.Sleep(2 * shareDelay)
		lost.cutOff.Store(true)
		f.run(time.Second)
		f.observe("v1", "v2")
		for i, d := range f.daemons[1:] {
			if got := d.find("r1"); got != "v1" {
				t.Errorf("daemon %d: %s", i+1, got)
			}
			if got := d.find("another"); got != "unknown" {
				t.Errorf("daemon %d: %s for a stream without a record", i+1, got)
			}
		}
		if lost.shared.Load() != 1 {
			t.Errorf("%d records sent for one stream that stayed open", lost.shared.Load())
		}
	})
}

// Guards against streams that can't go on after a planned restart of all daemons in
// turn: those that were sent a record when its stream began are all replaced.
func TestRecordsOutliveAPlannedRestartOfAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, true)
		f.observe("v1", "v2")
		f.daemons[0].Begin(stream, "v2")
		f.daemons[0].Begin(Stream{Service: "s", Request: "ended"}, "v2")
		f.daemons[0].Complete(Stream{Service: "s", Request: "ended"})
		for i, d := range f.daemons {
			d.HandOver()
			f.daemons[i] = f.newDaemon(false)
			f.daemons[i].Observe(map[string][]string{"s": {"v1", "v2"}})
		}
		for i, d := range f.daemons {
			if got := d.find("r1"); got != "v2" {
				t.Errorf("daemon %d: %s", i, got)
			}
		}
	})
}

// Guards against records that are saved again and again, or for streams that have ended.
func TestOpenStreamsAreSavedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newFleet(1, true).daemons[0]
		d.Begin(stream, "v1")
		d.Begin(Stream{Service: "s", Request: "short"}, "v1")
		if records := d.unsaved(false); len(records) != 0 {
			t.Errorf("%d records at once", len(records))
		}
		d.Complete(Stream{Service: "s", Request: "short"})
		time.Sleep(saveDelay)
		if records := d.unsaved(false); len(records) != 1 || records[0].Software != "v1" {
			t.Errorf("%v", records)
		}
		if again := d.unsaved(false); len(again) != 0 {
			t.Errorf("%d records again", len(again))
		}
		if again := d.unsaved(true); len(again) != 1 {
			t.Errorf("%d records after a failed save", len(again))
		}
		d.Begin(Stream{Service: "s", Request: "second"}, "v1")
		time.Sleep(saveDelay)
		if records := d.unsaved(false); len(records) != 2 {
			t.Errorf("%d records of two open streams", len(records))
		}
		d.Complete(stream)
		if records := d.unsaved(true); len(records) != 1 {
			t.Errorf("%d records of one open stream", len(records))
		}
	})
}

// Guards against a save that the store refuses for its size.
func TestSavedRecordsFit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const maxBytes = 10_000
		d := newFleet(1, true).daemons[0]
		for n := range 100 {
			d.Begin(Stream{Service: "s", Request: fmt.Sprint(n)}, strings.Repeat("x", 500))
		}
		time.Sleep(saveDelay)
		data, err := d.Unsaved(false, maxBytes)
		if err != nil || len(data) > maxBytes || len(data) < maxBytes/4 {
			t.Errorf("%d bytes, %v", len(data), err)
		}
	})
}

// Guards against memory that grows with streams that nobody saves.
func TestUnsentStreamsAreBounded(t *testing.T) {
	var u unsent
	for n := range 2 * maxUnsent {
		k := Key{byte(n), byte(n >> 8), byte(n >> 16)}
		u.addToSave(k)
		u.addToShare(k)
	}
	if len(u.toSave) != maxUnsent || len(u.toShare) != maxUnsent {
		t.Errorf("%d and %d streams are queued", len(u.toSave), len(u.toShare))
	}
}
