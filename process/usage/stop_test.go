package usage

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/claim"
	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/internal/storetest"
)

// stopTime is how long daemons serve on after the start of a planned stop.
const stopTime = 3600 * time.Millisecond

// leave begins planned stops.
func (f *fleet) leave(names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		f.daemons[name].leaving = true
	}
}

// end ends planned stops, as the daemon does after its last request.
func (f *fleet) end(names ...string) {
	for _, name := range names {
		f.daemons[name].Flush()
		f.kill(name)
	}
}

// Guards against requests that aren't reported, since the daemon that counted them, or
// that collected the counts of others, was stopped as planned.
func TestPlannedStopsLoseNoCounts(t *testing.T) {
	withFleet(t, 5, func(f *fleet) {
		want := f.run(2 * time.Second)
		for _, name := range []string{"vm-0", "vm-3", "vm-1", "vm-2", "vm-4"} {
			f.leave(name)
			want += f.run(stopTime)
			f.end(name)
			want += f.run(700 * time.Millisecond)
			f.start(name)
			want += f.run(time.Second)
		}
		time.Sleep(late)
		f.check()
		if got := f.duties.total(); got != want {
			t.Errorf("reported %d of %d", got, want)
		}
	})
}

// Guards against requests that aren't reported after all daemons were stopped as
// planned at once.
func TestPlannedStopOfAllKeepsCounts(t *testing.T) {
	all := []string{"vm-0", "vm-1", "vm-2", "vm-3", "vm-4"}
	for after := time.Duration(0); after < period; after += 970 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			withFleet(t, len(all), func(f *fleet) {
				want := f.run(period + after)
				f.leave(all...)
				want += f.run(stopTime)
				f.end(all...)
				time.Sleep(500 * time.Millisecond)
				for _, name := range slices.Backward(all) {
					f.start(name)
				}
				want += f.run(2 * period)
				time.Sleep(2 * late)
				f.check()
				// The two that end after the last collector lose what they counted since
				// their last report.
				if got := f.duties.total(); got > want || want-got > 2*3 {
					t.Errorf("reported %d of %d", got, want)
				}
			})
		})
	}
}

// hangingStore is a store that never answers.
type hangingStore struct{ *storetest.Store }

// Newest implements port.Store.
func (hangingStore) Newest(ctx context.Context, _ port.Topic, _ string) (port.KeyedPage, error) {
	<-ctx.Done()
	return port.KeyedPage{}, ctx.Err()
}

// Guards against a stop that waits for a store that never answers, until the process is
// killed.
func TestStopDoesNotWaitForTheStore(t *testing.T) {
	for name, before := range map[string]time.Duration{"before its first call": 0, "during a call": 2 * leaderInterval} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fleet{t: t, runtimeClock: clock.NewRuntime(), daemons: make(map[string]*daemon)}
				d := &daemon{f: f, name: "vm-0", alive: true, leaving: true}
				f.daemons[d.name] = d
				store := hangingStore{&storetest.Store{}}
				d.Reporter = New(Options{
					Self: Source{VM: d.name}, Period: period, ReportDeadline: late,
					Clock: clock.NewEstimator(f.runtimeClock, time.Now), Roster: d, Store: store, Duties: &duties{},
					Claims: claim.New(claim.Options{Self: d.name, Store: store, Lease: lease, Clock: f.runtimeClock, Ages: claim.NewAgeTracker(f.runtimeClock)}),
				})
				d.Start()
				d.Add("o0", 0)
				time.Sleep(before)
				begun := time.Now()
				d.Flush()
				_ = d.Stop()
				if took := time.Since(begun); took > handOverTimeout {
					t.Errorf("took %v", took)
				}
			})
		})
	}
}
