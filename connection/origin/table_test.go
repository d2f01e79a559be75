package origin

import (
	"fmt"
	"testing"
	"time"
)

func testKey(n int) Key {
	k, _ := KeyOf("s", "", fmt.Sprint(n))
	return k
}

// Guards against an organisation whose many streams push out the records of others.
func TestOwnerCantPushOutOthers(t *testing.T) {
	now := time.Duration(0)
	table := newTable(func() time.Duration { return now }, 10)
	for n := range 3 {
		table.put(Record{Key: testKey(n), Owner: 1, Software: "v1"}, "s", time.Minute)
	}
	for n := range 100 {
		table.put(Record{Key: testKey(1000 + n), Owner: 2, Software: "v1"}, "s", time.Minute)
	}
	for n := range 3 {
		if _, known := table.get(testKey(n)); !known {
			t.Errorf("record %d is gone", n)
		}
	}
	if _, known := table.get(testKey(1099)); !known || table.len() != 10 {
		t.Errorf("%d records, the newest known: %v", table.len(), known)
	}
}

func TestRecordsExpire(t *testing.T) {
	now := time.Duration(0)
	table := newTable(func() time.Duration { return now }, 10)
	table.put(Record{Key: testKey(1), Software: "v1"}, "s", time.Minute)
	now = 50 * time.Second
	table.put(Record{Key: testKey(2), Software: "v1"}, "", time.Minute)
	now = 70 * time.Second
	if _, known := table.get(testKey(1)); known {
		t.Error("an expired record is returned")
	}
	table.expire()
	if _, known := table.get(testKey(2)); !known || table.len() != 1 {
		t.Errorf("%d records after expiry", table.len())
	}
}

// Guards against a stream that goes on at one of two versions because its records
// contradict each other.
func TestContradictingRecordsAreUnknown(t *testing.T) {
	table := newTable(func() time.Duration { return 0 }, 10)
	table.put(Record{Key: testKey(1), Software: "v1"}, "s", time.Minute)
	table.put(Record{Key: testKey(1), Software: "v2"}, "", time.Minute)
	if software, known := table.get(testKey(1)); known {
		t.Errorf("version %q", software)
	}
}

func TestUnsharedRecords(t *testing.T) {
	now := time.Minute
	table := newTable(func() time.Duration { return now }, 10)
	for n := range 4 {
		table.put(Record{Key: testKey(n), Software: "v1"}, "s", time.Minute)
	}
	table.put(Record{Key: testKey(5), Software: "v1"}, "", time.Minute) // another daemon's
	table.put(Record{Key: testKey(6), Software: "v1"}, "other", time.Minute)
	table.setComplete(testKey(1))
	table.setShared(testKey(2))
	of := func(service string) bool { return service == "s" }
	if got := table.takeUnshared(of, now-time.Second); len(got) != 2 {
		t.Errorf("%d records, want those of streams 0 and 3", len(got))
	}
	now += 10 * time.Second
	if got := table.takeUnshared(of, now-time.Second); len(got) != 3 || got[0].LeftMs != 50_000 {
		t.Errorf("%+v; want 0, 2 and 3 again", got)
	}
}

// Guards against a caller that learns of another organisation's stream by its id.
func TestKeysDiffer(t *testing.T) {
	seen := make(map[Key]bool)
	for _, s := range []Stream{{"s", "a", "1"}, {"s", "b", "1"}, {"t", "a", "1"}, {"s", "a", "2"}, {"sa", "", "1"}, {"s", "a1", ""}} {
		k, ok := KeyOf(s.Service, s.Organisation, s.Request)
		if ok != (s.Request != "") || seen[k] {
			t.Errorf("%+v has the key of another stream", s)
		}
		seen[k] = true
	}
}

// len returns the number of records.
func (t *table) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byKey)
}
