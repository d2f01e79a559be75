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

// Every request of a service is refused although its targets are well.
// The store was away, the targets' entries lapsed in it, and the daemon read
// their removal when the store came back, before the targets had written anew.
func TestEntriesThatLapsedInAnOutageAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(Options{Decode: decode})
		r.Reset([]port.KeyedRecord{rec(0, "a", "s"), rec(1, "b", "s")}, 0)
		r.StoreLost(errors.New("away"))
		r.Apply([]port.KeyedRecord{rec(2, "a", ""), rec(3, "b", "")})
		r.StoreRecovered()
		want(t, r, "s", "a", "b")
		_ = pause.For(context.Background(), time.Second)
		r.Apply([]port.KeyedRecord{rec(4, "a", "s")})
		_ = pause.For(context.Background(), keepAfterReturn)
		synctest.Wait()
		want(t, r, "s", "a")
	})
}

// A listing after the outage that lacks an entry counts like its removal.
func TestListingAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New(Options{Decode: decode})
		r.Reset([]port.KeyedRecord{rec(0, "a", "s"), rec(1, "b", "s")}, 0)
		r.StoreLost(errors.New("away"))
		r.Reset([]port.KeyedRecord{rec(1, "b", "s")}, 0)
		r.StoreRecovered()
		want(t, r, "s", "a", "b")
		_ = pause.For(context.Background(), keepAfterReturn)
		synctest.Wait()
		want(t, r, "s", "b")
	})
}

func TestRemovalWithoutAnOutageCountsAtOnce(t *testing.T) {
	r := New(Options{Decode: decode})
	r.Reset([]port.KeyedRecord{rec(0, "a", "s"), rec(1, "b", "s")}, 0)
	r.Apply([]port.KeyedRecord{rec(2, "a", "")})
	want(t, r, "s", "b")
}

// A target that says it leaves gets no new work, also in an outage's wake.
func TestLeavingCountsAtOnce(t *testing.T) {
	r := New(Options{Decode: decode})
	r.Reset([]port.KeyedRecord{rec(0, "a", "s")}, 0)
	r.StoreLost(errors.New("away"))
	r.Apply([]port.KeyedRecord{rec(1, "a", "s leaving")})
	if e := r.Snapshot().Targets["s"].All().All()[0]; !e.Leaving {
		t.Error("the target doesn't count as leaving")
	}
}

func TestOlderRecordIsLeftOut(t *testing.T) {
	r := New(Options{Decode: decode})
	r.Apply([]port.KeyedRecord{rec(5, "a", "s leaving")})
	r.Apply([]port.KeyedRecord{rec(3, "a", "s")})
	if e := r.Snapshot().Targets["s"].All().All()[0]; !e.Leaving {
		t.Error("an older record took the newer one's place")
	}
}

// Requests go to an address that no target stands for any more. Another writer
// put bytes that can't be read over a target's entry, and the daemon held on to
// what it had read before. The entry names no target until the target writes
// its own again; the others hold.
func TestUnreadableRecordNamesNoTarget(t *testing.T) {
	r := New(Options{Decode: decode})
	r.Apply([]port.KeyedRecord{rec(1, "a", "s"), rec(2, "b", "s")})
	r.Apply([]port.KeyedRecord{rec(6, "a", "broken"), rec(7, "c", "broken")})
	want(t, r, "s", "b")
	r.Apply([]port.KeyedRecord{rec(3, "a", "s")})
	want(t, r, "s", "b")
	r.Apply([]port.KeyedRecord{rec(8, "a", "s")})
	want(t, r, "s", "a", "b")
}

// A target starts again under its name. What was known of the start before
// (failures, prompts kept, orders) goes with that start's id, in a listing and
// in the log alike. The entry of the earlier start, seen late, changes nothing.
func TestRestartUnderTheSameName(t *testing.T) {
	decode := func(rec port.KeyedRecord) (port.TargetEntry, bool, error) {
		born := int64(len(rec.Value))
		return port.TargetEntry{ID: fmt.Sprint(rec.Key, born), Born: born, Service: "s"}, rec.Value != nil, nil
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
