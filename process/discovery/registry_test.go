package discovery

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
)

func TestMain(m *testing.M) {
	log.SetLevel(log.FatalLevel)
	m.Run()
}

// decode reads "service" or "service leaving" from a record's value.
func decode(r port.KeyedRecord) (port.TargetEntry, bool, error) {
	if r.Value == nil {
		return port.TargetEntry{ID: r.Key}, false, nil
	}
	if string(r.Value) == "broken" {
		return port.TargetEntry{ID: r.Key}, false, errors.New("broken")
	}
	service, state, _ := strings.Cut(string(r.Value), " ")
	return port.TargetEntry{ID: r.Key, Service: service, Leaving: state == "leaving"}, true, nil
}

func rec(offset int64, key, value string) port.KeyedRecord {
	r := port.KeyedRecord{Key: key, Offset: offset}
	if value != "" {
		r.Value = []byte(value)
	}
	return r
}

func ids(r *Registry, service string) []string {
	var out []string
	for _, e := range r.Snapshot().Targets[service].All().All() {
		out = append(out, e.ID)
	}
	slices.Sort(out)
	return out
}

func want(t *testing.T, r *Registry, service string, list ...string) {
	t.Helper()
	if got := ids(r, service); !slices.Equal(got, list) {
		t.Errorf("targets of %s: %v, want %v", service, got, list)
	}
}

// Guards against a service whose requests are all rejected although its targets
// are healthy. The targets' entries lapse during an outage of the store, and a
// daemon reads their removal when the store recovers, before the targets have
// written their entries again.
func TestEntriesThatLapsedInAnOutageAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(Options{Decode: decode})
		r.Reset([]port.KeyedRecord{rec(0, "a", "s"), rec(1, "b", "s")}, 0)
		r.StoreLost(errors.New("the store is unavailable"))
		r.Apply([]port.KeyedRecord{rec(2, "a", ""), rec(3, "b", "")})
		r.StoreRecovered()
		want(t, r, "s", "a", "b")
		_ = pause.For(context.Background(), time.Second)
		r.Apply([]port.KeyedRecord{rec(4, "a", "s")})
		_ = pause.For(context.Background(), lapsedGracePeriod)
		synctest.Wait()
		want(t, r, "s", "a")
	})
}

// Guards against requests to targets that left while this daemon changed the
// daemon that it reads from: the store was available, so a missing entry was
// removed by its target. In a later part of the outage entries may lapse.
func TestEntriesRemovedWhileTheStoreWasAvailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(Options{Decode: decode})
		r.Reset([]port.KeyedRecord{rec(0, "a", "s"), rec(1, "b", "s"), rec(2, "c", "s")}, 0)
		r.StoreLost(errors.New("the reader's data isn't current"))
		r.StoreAvailable()
		r.Reset([]port.KeyedRecord{rec(1, "b", "s"), rec(2, "c", "s")}, 0)
		want(t, r, "s", "b", "c")
		r.StoreLost(errors.New("listed from another daemon"))
		r.Apply([]port.KeyedRecord{rec(3, "b", "")})
		want(t, r, "s", "b", "c")
		r.StoreRecovered()
		_ = pause.For(context.Background(), lapsedGracePeriod)
		synctest.Wait()
		want(t, r, "s", "c")
		r.StoreLost(errors.New("the reader's data isn't current"))
		r.StoreAvailable()
		r.StoreRecovered()
		_ = pause.For(context.Background(), lapsedGracePeriod)
		r.Apply([]port.KeyedRecord{rec(4, "c", "")})
		want(t, r, "s")
	})
}

// Guards against entries that are kept after an outage of this daemon's reads alone,
// and against entries that lapsed in an outage before it and are kept for ever.
func TestReadOutageAfterAnOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(Options{Decode: decode})
		r.Reset([]port.KeyedRecord{rec(0, "a", "s"), rec(1, "b", "s"), rec(2, "c", "s")}, 0)
		readOutage := func() {
			r.StoreLost(errors.New("the reader's data isn't current"))
			_ = pause.For(context.Background(), lapsedGracePeriod)
			synctest.Wait()
			r.StoreAvailable()
			r.StoreRecovered()
		}
		readOutage()
		r.Apply([]port.KeyedRecord{rec(3, "a", "")})
		want(t, r, "s", "b", "c")
		r.StoreLost(errors.New("store unavailable"))
		r.Apply([]port.KeyedRecord{rec(4, "b", "")})
		r.StoreRecovered()
		readOutage()
		want(t, r, "s", "b", "c")
		_ = pause.For(context.Background(), lapsedGracePeriod)
		synctest.Wait()
		want(t, r, "s", "c")
	})
}

// An entry that is missing in a listing after an outage is treated like a
// removed one.
func TestListingAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(Options{Decode: decode})
		r.Reset([]port.KeyedRecord{rec(0, "a", "s"), rec(1, "b", "s")}, 0)
		r.StoreLost(errors.New("the store is unavailable"))
		r.Reset([]port.KeyedRecord{rec(1, "b", "s")}, 0)
		r.StoreRecovered()
		want(t, r, "s", "a", "b")
		_ = pause.For(context.Background(), lapsedGracePeriod)
		synctest.Wait()
		want(t, r, "s", "b")
	})
}

func TestRemovalWithoutOutageTakesEffectAtOnce(t *testing.T) {
	r := New(Options{Decode: decode})
	r.Reset([]port.KeyedRecord{rec(0, "a", "s"), rec(1, "b", "s")}, 0)
	r.Apply([]port.KeyedRecord{rec(2, "a", "")})
	want(t, r, "s", "b")
}

// A target that announces that it leaves gets no new work, also during an
// outage.
func TestLeavingTakesEffectDuringOutage(t *testing.T) {
	r := New(Options{Decode: decode})
	r.Reset([]port.KeyedRecord{rec(0, "a", "s")}, 0)
	r.StoreLost(errors.New("the store is unavailable"))
	r.Apply([]port.KeyedRecord{rec(1, "a", "s leaving")})
	if e := r.Snapshot().Targets["s"].All().All()[0]; !e.Leaving {
		t.Error("the target isn't marked as leaving")
	}
}

func TestOlderRecordIsIgnored(t *testing.T) {
	r := New(Options{Decode: decode})
	r.Apply([]port.KeyedRecord{rec(5, "a", "s leaving")})
	r.Apply([]port.KeyedRecord{rec(3, "a", "s")})
	if e := r.Snapshot().Targets["s"].All().All()[0]; !e.Leaving {
		t.Error("an older record replaced a newer one")
	}
}

// Guards against requests to an address that no target uses any more: another
// writer replaced the target's entry by bytes that can't be decoded. The entry
// is removed until the target writes it again; other targets are not affected.
func TestUnreadableRecordRemovesTarget(t *testing.T) {
	r := New(Options{Decode: decode})
	r.Apply([]port.KeyedRecord{rec(1, "a", "s"), rec(2, "b", "s")})
	r.Apply([]port.KeyedRecord{rec(6, "a", "broken"), rec(7, "c", "broken")})
	want(t, r, "s", "b")
	r.Apply([]port.KeyedRecord{rec(3, "a", "s")})
	want(t, r, "s", "b")
	r.Apply([]port.KeyedRecord{rec(8, "a", "s")})
	want(t, r, "s", "a", "b")
}

// A target that restarts under its name gets a new ID, in a listing as well as
// in the log. State kept for the earlier start (failures, cached prompts,
// orders) goes with the old ID. An entry of the earlier start that arrives late
// is ignored.
func TestRestartUnderTheSameName(t *testing.T) {
	decode := func(rec port.KeyedRecord) (port.TargetEntry, bool, error) {
		born := int64(len(rec.Value))
		return port.TargetEntry{ID: fmt.Sprint(rec.Key, born), StartMs: born, Service: "s"}, rec.Value != nil, nil
	}
	r := New(Options{Decode: decode})
	r.Reset([]port.KeyedRecord{rec(1, "a", "x"), rec(2, "b", "x")}, 3)
	want(t, r, "s", "a1", "b1")
	r.Apply([]port.KeyedRecord{rec(3, "a", "xxx")})
	want(t, r, "s", "a3", "b1")
	if _, known := r.Lookup("a1"); known {
		t.Error("the earlier start is still known")
	}
	if _, known := r.Lookup("a3"); !known {
		t.Error("the new start isn't known")
	}
	r.Apply([]port.KeyedRecord{rec(4, "a", "x")})
	want(t, r, "s", "a3", "b1")
	r.Reset([]port.KeyedRecord{rec(4, "a", "x"), rec(5, "b", "xx")}, 6)
	want(t, r, "s", "a3", "b2")
}
