package fold

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/record"
)

// entry is one record of a test log: the envelope id and the body.
type entry struct {
	id   string
	body any
}

func encode(t testing.TB, e entry) []byte {
	t.Helper()
	kinds := map[string]record.Kind{
		"record.Document": record.KindDocument, "record.Verdict": record.KindVerdict,
		"record.Claim": record.KindClaim, "record.Release": record.KindRelease,
		"record.Order": record.KindOrder, "record.OrderDone": record.KindOrderDone,
		"record.Checkpoint": record.KindCheckpoint,
	}
	body, err := json.Marshal(e.body)
	if err != nil {
		t.Fatal(err)
	}
	data, err := json.Marshal(record.Envelope{ID: e.id, Kind: kinds[fmt.Sprintf("%T", e.body)], Body: body})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// foldAll folds the entries at offsets from 1 on.
func foldAll(t testing.TB, entries ...entry) *State {
	t.Helper()
	s := New()
	for i, e := range entries {
		if err := s.Apply(int64(i+1), encode(t, e)); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func doc(id string, base int64) entry {
	return entry{id, record.Document{Service: "s", Base: base, YAML: id}}
}

func verdict(version int64, c code.Code) entry {
	return entry{fmt.Sprint("v", version, c), record.Verdict{Service: "s", Version: version, Accept: c == code.OK, Code: c}}
}

// Two operators publish on the same base, records are duplicated or arrive
// late, and daemons write several verdicts. Each operator must see one outcome
// with the winner's version, and the version in force must not move back.
func TestDocuments(t *testing.T) {
	for _, c := range []struct {
		name     string
		log      []entry
		version  int64
		outcomes map[string]Outcome
	}{
		{"racing operators", []entry{doc("a", 0), doc("b", 0), verdict(1, code.OK), verdict(2, code.OK)}, 1,
			map[string]Outcome{"a": {Winner: 1}, "b": {Code: code.BaseConflict, Winner: 1}}},
		{"refused, then the next", []entry{doc("a", 0), doc("b", 0), verdict(1, code.DocSyntax), verdict(2, code.OK)}, 2,
			map[string]Outcome{"a": {Code: code.DocSyntax}, "b": {Winner: 2}}},
		{"verdict out of turn", []entry{doc("a", 0), doc("b", 0), verdict(2, code.OK)}, 0, nil},
		{"second verdict", []entry{doc("a", 0), verdict(1, code.OK), verdict(1, code.DocSyntax)}, 1,
			map[string]Outcome{"a": {Winner: 1}}},
		{"copy of the accepted", []entry{doc("a", 0), verdict(1, code.OK), doc("a", 0), verdict(3, code.OK)}, 1,
			map[string]Outcome{"a": {Winner: 1}}},
		{"copy of the refused", []entry{doc("a", 0), verdict(1, code.DocSyntax), doc("a", 0), verdict(3, code.OK)}, 0,
			map[string]Outcome{"a": {Code: code.DocSyntax}}},
		{"old base", []entry{doc("a", 0), verdict(1, code.OK), doc("b", 0), verdict(3, code.OK)}, 1,
			map[string]Outcome{"b": {Code: code.BaseConflict, Winner: 1}}},
		{"refusal without a code", []entry{doc("a", 0), {"v", record.Verdict{Service: "s", Version: 1}}}, 0,
			map[string]Outcome{"a": {Code: code.Internal}}},
		{"removed, first document again", []entry{doc("a", 0), verdict(1, code.OK),
			{"r", record.Document{Service: "s", Base: 1, Remove: true}}, verdict(3, code.OK), doc("a2", 0), verdict(5, code.OK)}, 3,
			map[string]Outcome{"a2": {Code: code.BaseConflict, Winner: 3}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := foldAll(t, c.log...)
			if v := s.Services["s"].Version; v != c.version {
				t.Errorf("version %d in force, want %d", v, c.version)
			}
			for id, want := range c.outcomes {
				got, ok := s.Outcome("s", id)
				if !ok || got.Code != want.Code || got.Winner != want.Winner {
					t.Errorf("outcome of %s: %+v, want %+v", id, got, want)
				}
			}
		})
	}
}

func claim(previous int64, holder string) entry {
	return entry{"c" + holder, record.Claim{Group: "s/z/0", Previous: previous, Holder: holder}}
}

func order(id string, claim, after int64) entry {
	return entry{id, record.Order{Group: "s/z/0", Claim: claim, Engine: "e", After: after, Spec: port.EngineSpec{Version: id}}}
}

func orderDone(order string, claim, changed int64) entry {
	return entry{"d" + order, record.OrderDone{Group: "s/z/0", Claim: claim, Changed: changed, Engine: "e", Order: order}}
}

// Processes that lost the lease on a group keep writing, and records are
// duplicated. Such records must be void, or an engine would get conflicting
// orders.
func TestLeasesAndOrders(t *testing.T) {
	for _, c := range []struct {
		name     string
		log      []entry
		holder   string
		released bool
		open     string
	}{
		{"two claims on the same", []entry{claim(0, "a"), claim(0, "b")}, "a", false, ""},
		{"takeover", []entry{claim(0, "a"), claim(1, "b")}, "b", false, ""},
		{"release", []entry{claim(0, "a"), {"r", record.Release{Group: "s/z/0", Claim: 1}}}, "a", true, ""},
		{"late release", []entry{claim(0, "a"), claim(1, "b"), {"r", record.Release{Group: "s/z/0", Claim: 1}}}, "b", false, ""},
		{"order", []entry{claim(0, "a"), order("o", 1, 0)}, "a", false, "o"},
		{"order of an old holder", []entry{claim(0, "a"), claim(1, "b"), order("o", 1, 0)}, "b", false, ""},
		{"order after the release", []entry{claim(0, "a"), {"r", record.Release{Group: "s/z/0", Claim: 1}}, order("o", 1, 0)}, "a", true, ""},
		{"second order while one is open", []entry{claim(0, "a"), order("o", 1, 0), order("p", 1, 0)}, "a", false, "o"},
		{"successor's order while one is open", []entry{claim(0, "a"), order("o", 1, 0), claim(1, "b"), order("p", 3, 0)}, "b", false, "o"},
		{"next order", []entry{claim(0, "a"), order("o", 1, 0), orderDone("o", 1, 0), order("p", 1, 3)}, "a", false, "p"},
		{"copy of an order that ended", []entry{claim(0, "a"), order("o", 1, 0), orderDone("o", 1, 0), order("o", 1, 0)}, "a", false, ""},
		{"end by an old holder", []entry{claim(0, "a"), order("o", 1, 0), claim(1, "b"), orderDone("o", 1, 0)}, "b", false, "o"},
		{"end by the successor", []entry{claim(0, "a"), order("o", 1, 0), claim(1, "b"), orderDone("o", 3, 0)}, "b", false, ""},
		{"end by an old document", []entry{claim(0, "a"), order("o", 1, 0), doc("d", 0), verdict(3, code.OK), orderDone("o", 1, 0)}, "a", false, "o"},
		{"end of another order", []entry{claim(0, "a"), order("o", 1, 0), orderDone("x", 1, 0)}, "a", false, "o"},
		{"service removed", []entry{doc("a", 0), verdict(1, code.OK), claim(0, "a"), order("o", 3, 0),
			{"r", record.Document{Service: "s", Base: 1, Remove: true}}, verdict(5, code.OK)}, "", false, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := foldAll(t, c.log...)
			l := s.Leases["s/z/0"]
			if l.Holder != c.holder || l.Released != c.released {
				t.Errorf("lease %+v, want holder %q released %v", l, c.holder, c.released)
			}
			open := ""
			if o := s.Engines["e"].Open; o != nil {
				open = o.ID
			}
			if open != c.open {
				t.Errorf("open order %q, want %q", open, c.open)
			}
		})
	}
}

// A daemon restarts from a checkpoint that a paused process wrote late. It must
// reach the same state as the other daemons, or not use the checkpoint.
func TestCheckpoint(t *testing.T) {
	log := []entry{doc("a", 0), verdict(1, code.OK), claim(0, "a"), order("o", 3, 0), doc("b", 1), verdict(5, code.OK), {"junk", 7}}
	whole := foldAll(t, log...)
	part := foldAll(t, log[:4]...)
	data, err := part.Encode()
	if err != nil {
		t.Fatal(err)
	}
	s, err := Load(record.Checkpoint{Covers: 4, State: data})
	if err != nil {
		t.Fatal(err)
	}
	for i := 4; i < len(log); i++ {
		if err := s.Apply(int64(i+1), encode(t, log[i])); err != nil {
			t.Fatal(err)
		}
	}
	a, _ := whole.Encode()
	b, _ := s.Encode()
	if string(a) != string(b) {
		t.Errorf("from the checkpoint %s\nfrom the whole log %s", b, a)
	}
	if c, _ := part.Encode(); string(c) != string(data) {
		t.Error("folding more records changed a state that was returned before")
	}
	if err := s.Apply(9, nil); err != ErrGap {
		t.Errorf("a gap gave %v", err)
	}
	for _, c := range []struct {
		name                 string
		covers, at, earliest int64
		want                 bool
	}{
		{"next record kept", 4, 9, 5, true},
		{"next record gone", 4, 9, 6, false},
		{"covers itself", 9, 9, 5, false},
		{"covers what comes later", 12, 9, 5, false},
		{"negative", -1, 9, 0, false},
	} {
		if got := Trusted(record.Checkpoint{Covers: c.covers}, c.at, c.earliest); got != c.want {
			t.Errorf("%s: trusted %v", c.name, got)
		}
	}
	late := s.Clone()
	_ = late.Apply(8, encode(t, entry{"k", record.Checkpoint{Covers: 7}}))
	_ = late.Apply(9, encode(t, entry{"k2", record.Checkpoint{Covers: 2}}))
	if late.Checkpoint != (CheckpointPosition{At: 8, Covers: 7}) || late.Services["s"].Version != 5 {
		t.Errorf("a late checkpoint moved the state back: %+v", late.Checkpoint)
	}
}

// Over years, many engines and services are added and removed, and publishers
// repeat documents. The state must stay within its bounds.
func TestStateIsBounded(t *testing.T) {
	s := New()
	next := func(e entry) { _ = s.Apply(s.Applied+1, encode(t, e)) }
	for i := range 3 * MaxOutcomes {
		next(doc(fmt.Sprint("x", i), 7))
	}
	for i := range 2 * MaxPending {
		next(doc(fmt.Sprint("p", i), 0))
	}
	svc := s.Services["s"]
	if len(svc.Outcomes) != MaxOutcomes || len(svc.Pending) != MaxPending {
		t.Errorf("%d outcomes and %d pending documents kept", len(svc.Outcomes), len(svc.Pending))
	}
	next(claim(0, "a"))
	lease := s.Applied
	for i := range MaxEngines + 5 {
		id := fmt.Sprint("e", i)
		next(entry{id, record.Order{Group: "s/z/0", Claim: lease, Engine: id}})
		next(entry{"d", record.OrderDone{Group: "s/z/0", Claim: lease, Engine: id, Order: id}})
	}
	if _, ok := s.Engines["e4"]; ok || len(s.Engines) != MaxEngines {
		t.Errorf("%d engines kept, the oldest still there: %v", len(s.Engines), ok)
	}
}
