package shares

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
)

// newTracker returns a Tracker with a clock that the test sets.
func newTracker() (*Tracker, *time.Time) {
	now := time.Unix(1000, 0)
	return New(func() time.Time { return now }), &now
}

// Guards against rejections of organisations that nobody competes with: a lone
// one, and several with equal usage, may use the whole of the waiting time.
func TestEqualOrganisationsAreWithinTheirShares(t *testing.T) {
	for _, orgs := range []int{1, 5} {
		tr, now := newTracker()
		for i := range 2000 {
			*now = now.Add(10 * time.Millisecond)
			for org := range orgs {
				name := fmt.Sprint("org", org)
				if tr.Rejects("s", name, 0.99) {
					t.Fatalf("%d organisations: rejected", orgs)
				}
				tr.Record("s", name, time.Second, i%2 == 0) // half are rejected for another reason
			}
		}
	}
}

// Guards against a table that grows with the organisations, and against usage
// that is lost when it is cut: a cut sum has the same totals.
func TestSentTableIsBounded(t *testing.T) {
	a, _ := newTracker()
	b, _ := newTracker()
	for i := range 300 {
		a.Record("s", fmt.Sprint("org", i), time.Duration(i+100)*time.Millisecond, true)
	}
	pieces, err := a.table.Report(func(string) bool { return false }, 1<<20)
	if err != nil || len(pieces) != 1 || len(pieces[0]) > 2000 {
		t.Fatalf("%d pieces of %d bytes, %v", len(pieces), len(pieces[0]), err)
	}
	if err := b.table.Merge("a", 0, 1, pieces[0]); err != nil {
		t.Fatal(err)
	}
	rows, used, orgs := b.table.Sum(), 0.0, uint32(0)
	for _, r := range rows {
		used += float64(r.Used)
		orgs += r.Orgs
	}
	if want := (300*299/2 + 300*100) * 0.001 / 8; len(rows) != maxRows+1 || orgs != 300 || math.Abs(used-want) > 1e-3 {
		t.Errorf("%d rows of %d organisations with usage %g, want %g", len(rows), orgs, used, want)
	}
}

// Guards against a table of many services that takes more pieces than receivers
// accept, so that no usage is exchanged at all.
func TestTableOfManyServicesIsReceived(t *testing.T) {
	const services, orgs = 60, 77
	a, _ := newTracker()
	b, _ := newTracker()
	for service := range services {
		for org := range orgs {
			a.Record(fmt.Sprint("s", service), fmt.Sprint("org", org), time.Duration(org+100)*time.Millisecond, true)
		}
	}
	pieces, err := a.table.Report(func(string) bool { return false }, 1300)
	if err != nil {
		t.Fatal(err)
	}
	for i, p := range pieces {
		if err := b.table.Merge("a", i, len(pieces), p); err != nil {
			t.Fatal(err)
		}
	}
	known := make(map[uint64]uint32)
	for _, r := range b.table.Sum() {
		known[r.Service] += r.Orgs
	}
	for service, n := range known {
		if n != orgs {
			t.Errorf("service %x has %d organisations", service, n)
		}
	}
	if len(known) != services {
		t.Errorf("%d services", len(known))
	}
}

// Guards against a level that is not a number because of a row from the network.
func TestDamagedRows(t *testing.T) {
	bad := float32(math.NaN())
	v := newView(1, []Row{{Service: 1, Org: 2, Orgs: 1, Asked: bad, Used: bad}, {Service: 1, Org: 3, Asked: -1}, {Service: 1, Org: 4, Orgs: 1, Asked: 1, Used: 1}}, 1)
	if v.over(2) || v.over(4) || !(v.level > 0) {
		t.Errorf("%+v", v)
	}
}

// Guards against a log line for each rejection, and against periods of contention
// that don't end.
func TestContentionIsLoggedOnce(t *testing.T) {
	h := memory.New()
	log.SetHandler(h)
	log.SetLevel(log.InfoLevel)
	defer log.SetLevel(log.FatalLevel)
	tr, now := newTracker()
	for range 1000 {
		*now = now.Add(10 * time.Millisecond)
		tr.Record("s", "small", 2*time.Millisecond, true)
		tr.Record("s", "flood", 50*time.Millisecond, !tr.Rejects("s", "flood", 0.9))
	}
	st := tr.Update()
	if len(st) != 1 || st[0].Rejected == 0 || !st[0].Contention || st[0].Over != 1 || len(h.Entries) != 1 {
		t.Errorf("%+v, %d lines", st, len(h.Entries))
	}
	*now = now.Add(quietTime)
	st = tr.Update()
	if st[0].Contention || len(h.Entries) != 2 || h.Entries[1].Fields["rejected"] != st[0].Rejected {
		t.Errorf("%+v, %d lines", st, len(h.Entries))
	}
}

// Guards against a row from the network that spoils the sum of its organisation, and
// of the rest, for all daemons.
func TestDamagedRowsAreNotSummed(t *testing.T) {
	bad := float32(math.NaN())
	good := Row{Service: 1, Org: 2, Orgs: 1, Asked: 2, Used: 1}
	for _, damaged := range []Row{{Service: 1, Org: 2, Orgs: 1, Asked: bad, Used: 1}, {Service: 1, Org: 2, Orgs: 1, Asked: 2, Used: float32(math.Inf(1))}} {
		if a, b := good.Add(damaged), damaged.Add(good); a != good || b != good {
			t.Errorf("sums %+v and %+v, want %+v", a, b, good)
		}
	}
	rows := []Row{{Service: 1, Org: 7, Orgs: 1, Asked: bad, Used: bad}}
	for org := range uint64(maxRows + 2) {
		rows = append(rows, Row{Service: 1, Org: org + 100, Orgs: 1, Asked: 1, Used: 1})
	}
	for _, r := range limit(rows) {
		if !r.valid() {
			t.Errorf("%+v", r)
		}
	}
}

// Guards against rejections while the service has capacity: one call whose
// objective leaves it no time to wait says nothing about the others.
func TestNoContentionByASingleCall(t *testing.T) {
	tr, now := newTracker()
	call := func(fullness float64) (rejected bool) {
		*now = now.Add(10 * time.Millisecond)
		tr.Record("s", "small", 2*time.Millisecond, true)
		tr.Rejects("s", "small", fullness)
		rejected = tr.Rejects("s", "large", 1)
		tr.Record("s", "large", 50*time.Millisecond, !rejected)
		return rejected
	}
	for range 1000 {
		// Every tenth call leaves no time to wait.
		*now = now.Add(10 * time.Millisecond)
		for range 9 {
			tr.Rejects("s", "small", 0.05)
		}
		tr.Record("s", "small", 2*time.Millisecond, true)
		if tr.Rejects("s", "large", 1) {
			t.Fatal("rejected while other calls hardly wait")
		}
		tr.Record("s", "large", 50*time.Millisecond, true)
	}
	rejected := false
	for range 20 {
		rejected = rejected || call(0.9)
	}
	if !rejected {
		t.Error("not rejected although all calls wait")
	}
}
