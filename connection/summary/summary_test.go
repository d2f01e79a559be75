package summary

import (
	"testing"
	"time"
)

type row struct {
	_     struct{} `cbor:",toarray"`
	ID    uint64
	Value float64
}

func (r row) Key() uint64 { return r.ID }

func (r row) Add(o row) row { r.Value += o.Value; return r }

// newTable returns a table with one own row per value and a clock that the
// test sets.
func newTable(now *time.Time, values ...float64) *Table[row] {
	var own []row
	for i, v := range values {
		own = append(own, row{ID: uint64(i), Value: v})
	}
	return New(Options[row]{Now: func() time.Time { return *now }, Own: func() []row { return own }})
}

func total(rows []row) (sum float64) {
	for _, r := range rows {
		sum += r.Value
	}
	return sum
}

func none(string) bool { return false }

func all(string) bool { return true }

// transfer sends a report of one table to another in pieces.
func transfer(t *testing.T, from *Table[row], include func(string) bool, maxBytes int, merge func(index, pieces int, data []byte) error) int {
	t.Helper()
	pieces, err := from.Report(include, maxBytes)
	if err != nil {
		t.Fatal(err)
	}
	for i, p := range pieces {
		if len(p) > maxBytes {
			t.Errorf("piece %d has %d bytes", i, len(p))
		}
		if err := merge(i, len(pieces), p); err != nil {
			t.Fatal(err)
		}
	}
	return len(pieces)
}

func as(t *Table[row], name string) func(int, int, []byte) error {
	return func(i, n int, data []byte) error { return t.Merge(name, i, n, data) }
}

// Guards against a daemon's entries counted twice, or lost, on their way over the
// aggregators of two availability zones.
func TestSumOverZones(t *testing.T) {
	now := time.Unix(1000, 0)
	member, agg1, agg2 := newTable(&now, 1, 2), newTable(&now, 10), newTable(&now, 100, 0, 5)
	for range 3 {
		transfer(t, member, none, 1000, as(agg1, "member"))
		transfer(t, agg1, func(n string) bool { return n == "member" }, 1000, as(agg2, "zone 1"))
		transfer(t, agg2, none, 1000, as(agg1, "zone 2"))
		transfer(t, agg1, all, 1000, member.MergeFleet)
	}
	for name, tab := range map[string]*Table[row]{"member": member, "agg1": agg1, "agg2": agg2} {
		if got := total(tab.Sum()); got != 118 {
			t.Errorf("%s: sum %v, want 118", name, got)
		}
	}
}

// Guards against decisions by the state of daemons that died: a part expires,
// and without a fresh sum of the fleet the own entries remain.
func TestPartsExpire(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := newTable(&now, 1), newTable(&now, 10)
	transfer(t, b, none, 1000, as(a, "b"))
	transfer(t, b, none, 1000, a.MergeFleet)
	now = now.Add(TTL + time.Millisecond)
	if got := total(a.Sum()); got != 1 {
		t.Errorf("after the TTL: %v", got)
	}
}

// Guards against entries that are counted twice after a lost datagram: a table
// of several pieces keeps each entry in one piece.
func TestLostPiece(t *testing.T) {
	now := time.Unix(1000, 0)
	values := make([]float64, 400)
	for i := range values {
		values[i] = 1
	}
	from, to := newTable(&now, values...), newTable(&now)
	if n := transfer(t, from, none, 1000, as(to, "a")); n < 3 {
		t.Fatalf("%d pieces", n)
	}
	values[0] = 2
	from = newTable(&now, values...)
	drop := func(i, n int, data []byte) error {
		if i == 1 {
			return nil
		}
		return to.Merge("a", i, n, data)
	}
	transfer(t, from, none, 1000, drop)
	if got := total(to.Sum()); got != 401 {
		t.Errorf("sum %v, want 401", got)
	}
}

// Guards against a panic or a stored table from a damaged datagram.
func TestDamagedPiece(t *testing.T) {
	now := time.Unix(1000, 0)
	tab := newTable(&now, 1)
	for _, err := range []error{tab.Merge("a", 2, 2, nil), tab.Merge("a", -1, 1, nil), tab.Merge("a", 0, 1, []byte{0xff}), tab.MergeFleet(0, 1000, []byte{0x80})} {
		if err == nil {
			t.Error("accepted")
		}
	}
	if got := total(tab.Sum()); got != 1 {
		t.Errorf("sum %v", got)
	}
}
