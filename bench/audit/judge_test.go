package audit

import (
	"testing"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/operator/caller"
)

const deadline = 20000

func stream(o Outcome) Outcome {
	o.Kind, o.ID, o.RequestedTokens, o.DeadlineMs = KindStream, "s", 9, deadline
	return o
}

func plain(kind Kind, o Outcome) Outcome {
	o.Kind, o.ID, o.Key, o.DeadlineMs = kind, "r", "k", deadline
	return o
}

// TestJudge guards against a judge that misses a fault or reports one where
// there is none. Each kind of fault must make the judgement fail.
func TestJudge(t *testing.T) {
	complete := Outcome{Complete: true, Tokens: 9, Status: 200, BodyMatches: true}
	refused := Outcome{NotRun: true, Code: code.Draining, Status: 503}
	unknown := Outcome{Code: code.OutcomeUnknown, Status: 502}
	with := func(o Outcome, f func(*Outcome)) Outcome { f(&o); return o }
	for _, c := range []struct {
		name     string
		outcomes []Outcome
		runs     int
		want     Row
	}{
		{"stream whole", []Outcome{stream(complete)}, 0, Row{Answered: 1}},
		{"stream refused", []Outcome{stream(refused)}, 0, Row{NotRun: 1}},
		{"stream said not run, but ran", []Outcome{stream(refused)}, 1, Row{NotRun: 1, Untrue: 1}},
		{"stream run again after a fault", []Outcome{stream(complete)}, 2, Row{Answered: 1}},
		{"stream too short", []Outcome{stream(with(complete, func(o *Outcome) { o.Tokens = 8 }))}, 0, Row{Answered: 1, Cut: 1}},
		{"stream with a gap", []Outcome{stream(with(complete, func(o *Outcome) { o.Faults.Lost = 1 }))}, 0, Row{Answered: 1, Cut: 1}},
		{"stream with a token twice", []Outcome{stream(with(complete, func(o *Outcome) { o.Faults.Duplicated = 1 }))}, 0, Row{Answered: 1, Doubled: 1}},
		{"stream of another", []Outcome{stream(with(complete, func(o *Outcome) { o.Faults.Wrong = 1 }))}, 0, Row{Answered: 1, Crossed: 1}},
		{"stream cut, told", []Outcome{stream(Outcome{Code: code.StreamCut, Status: 200})}, 0, Row{Cut: 1}},
		{"given up, told", []Outcome{stream(Outcome{Code: code.TargetFailed, Status: 502})}, 0, Row{Failed: 1}},
		{"past its deadline, told", []Outcome{stream(Outcome{Code: code.DeadlinePassed, Status: 504, TookMs: deadline})}, 0, Row{Failed: 1}},
		{"said past its deadline before it was", []Outcome{stream(Outcome{Code: code.DeadlinePassed, Status: 504, TookMs: 9000})}, 0, Row{Lost: 1}},
		{"no word by the deadline", []Outcome{stream(Outcome{Code: code.DeadlinePassed, TookMs: deadline})}, 0, Row{Lost: 1}},
		{"a fault of the daemon itself", []Outcome{stream(Outcome{Code: code.Internal, Status: 500})}, 0, Row{Lost: 1}},

		{"board", []Outcome{plain(KindFeed, complete)}, 1, Row{Answered: 1}},
		{"board, run again after a fault", []Outcome{plain(KindFeed, complete)}, 2, Row{Answered: 1}},
		{"board of another", []Outcome{plain(KindFeed, with(complete, func(o *Outcome) { o.BodyMatches = false }))}, 1, Row{Answered: 1, Crossed: 1}},
		{"board, the target's own error", []Outcome{plain(KindFeed, Outcome{Complete: true, Status: 503})}, 0, Row{Failed: 1}},
		{"board of another, well answered", []Outcome{plain(KindFeed, Outcome{Complete: true, Status: 404})}, 1, Row{Answered: 1, Crossed: 1}},
		{"ticket, the target's own error, ran twice", []Outcome{plain(KindOnce, Outcome{Complete: true, Status: 500})}, 2, Row{Failed: 1, Doubled: 1}},
		{"board from nowhere", []Outcome{plain(KindFeed, complete)}, 0, Row{Answered: 1, Lost: 1}},
		{"board said not run, but ran", []Outcome{plain(KindFeed, refused)}, 1, Row{NotRun: 1, Untrue: 1}},

		{"ticket", []Outcome{plain(KindOnce, complete)}, 1, Row{Answered: 1}},
		{"ticket asked for twice", []Outcome{plain(KindOnce, complete), plain(KindOnce, complete)}, 1, Row{Answered: 1}},
		{"ticket twice", []Outcome{plain(KindOnce, complete)}, 2, Row{Answered: 1, Doubled: 1}},
		{"ticket unknown", []Outcome{plain(KindOnce, unknown)}, 1, Row{Unknown: 1}},
		{"ticket unknown, not run", []Outcome{plain(KindOnce, unknown)}, 0, Row{Unknown: 1}},
		{"ticket unknown, ran twice", []Outcome{plain(KindOnce, unknown)}, 2, Row{Unknown: 1, Doubled: 1}},
		{"ticket unknown, then known", []Outcome{plain(KindOnce, unknown), plain(KindOnce, complete)}, 1, Row{Answered: 1}},
		{"ticket unknown, then refused", []Outcome{plain(KindOnce, unknown), plain(KindOnce, refused)}, 1, Row{Unknown: 1}},
		{"ticket said not run, but ran", []Outcome{plain(KindOnce, refused)}, 1, Row{NotRun: 1, Untrue: 1}},
		{"ticket from nowhere", []Outcome{plain(KindOnce, complete)}, 0, Row{Answered: 1, Lost: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			kind := c.outcomes[0].Kind
			p := PlainRecord{Keys: map[string]int{"k": c.runs}}
			if kind == KindFeed {
				p = PlainRecord{Requests: map[string]int{"r.1": c.runs}}
			}
			e := EngineRecord{Requests: map[string]EngineRuns{"s.1": {Starts: c.runs}}}
			rep := Judge(c.outcomes, Records{Plain: []PlainRecord{p}, Engines: []EngineRecord{{}, e}})
			c.want.Kind, c.want.Sent = kind, 1
			for _, row := range rep.Rows {
				if row.Kind == kind && row != c.want {
					t.Errorf("got  %+v\nwant %+v", row, c.want)
				}
			}
			if rep.Passed() != c.want.Passed() {
				t.Errorf("passed: %t", rep.Passed())
			}
		})
	}
}

func TestConflictingOrdersAndCuts(t *testing.T) {
	for _, e := range []EngineRecord{{Overlapping: 1}, {Stale: 1}} {
		if Judge(nil, Records{Engines: []EngineRecord{{}, e}}).Passed() {
			t.Errorf("%+v passes", e)
		}
	}
	repeated := stream(Outcome{Complete: true, Tokens: 9, Attempts: 2, CutAttempts: 1, Faults: caller.Faults{}})
	rep := Judge([]Outcome{repeated}, Records{})
	if !rep.Passed() || rep.Undisturbed() {
		t.Error("an answer that was cut once and repeated must pass, but not as undisturbed")
	}
}
