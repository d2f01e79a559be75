// Package audit compares what callers got with what targets recorded. It
// trusts neither the daemons' counters nor their logs.
//
// Every request ends for its caller in one way, the best over its sendings:
//
//   - answered: whole. A stream's every token was checked, a plain answer's
//     body is the one to this request.
//   - refused, not run: every attempt proved that nothing reached a target.
//   - unknown: a call that may run at most once, and may have run.
//   - failed, told so: an idempotent request that was given up, with a 2xxx
//     code of a daemon; past the deadline only when the deadline had passed.
//     Also a plain call that the target itself answered with a 5xx status.
//   - cut: a stream that ended in the middle for good, told or not; also any
//     answer taken for whole that is shorter than asked.
//   - lost: all else. Nobody gave an answer or a truthful code before the
//     deadline; or the caller has an answer, but no target counted a run.
//
// Doubled is a key that targets ran more than once, or a token that came
// twice. Crossed is anything of another request that reached the caller.
// Untrue is a refusal as not run although a target counted a run. Conflicting
// are orders that an engine got while another one ran, or carried out under a
// fencing number below the highest that it had seen.
package audit

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Plain is what the stand-in of a plain service recorded.
type Plain struct {
	Name     string         `json:"name"`
	Runs     int            `json:"runs"`
	Keys     map[string]int `json:"keys"`     // runs by Idempotency-Key
	Requests map[string]int `json:"requests"` // runs by X-Request-Id
}

// Engine is the part of an engine stand-in's record that is judged. One that
// crashed has a record for each life.
type Engine struct {
	Engine      string `json:"engine"`
	Overlapping int    `json:"overlapping"` // orders that came while another one ran
	Stale       int    `json:"stale"`       // orders under a lower fencing number that took effect
}

// Records is what all targets of a run recorded.
type Records struct {
	Plain   []Plain
	Engines []Engine
}

// Row counts how the requests of one kind ended and what must not be.
type Row struct {
	Kind                                  Kind
	Sent, Answered, NotRun, Unknown, Told int
	Lost, Doubled, Crossed, Cut, Untrue   int
}

// Good reports whether nothing happened that must not.
func (r Row) Good() bool { return r.Lost+r.Doubled+r.Crossed+r.Cut+r.Untrue == 0 }

// Report is the judgement of a run.
type Report struct {
	Rows        []Row
	Attempts    int
	CutAttempts int // that their callers repeated, or not
	Conflicting int // orders
	Runs        int // of keys
	Bad         []string
}

// Good reports whether the run showed no fault.
func (r *Report) Good() bool {
	for _, row := range r.Rows {
		if !row.Good() {
			return false
		}
	}
	return r.Conflicting == 0
}

// Untouched reports whether no attempt was cut and none ended in doubt, which is
// what planned changes owe to callers beyond Good.
func (r *Report) Untouched() bool {
	t := r.total()
	return r.CutAttempts+t.Unknown+t.Told == 0
}

// Judge compares outcomes with records.
func Judge(outcomes []Outcome, rec Records) *Report {
	rep := &Report{}
	runs := rec.runs()
	for _, kind := range []Kind{KindStream, KindFeed, KindOnce} {
		rep.Rows = append(rep.Rows, rep.row(kind, byRequest(outcomes, kind), runs))
	}
	for _, o := range outcomes {
		rep.Attempts += o.Attempts
		rep.CutAttempts += o.Cut
	}
	for _, e := range rec.Engines {
		rep.Conflicting += e.Overlapping + e.Stale
		if e.Overlapping+e.Stale > 0 {
			rep.bad("%s: %d overlapping and %d stale orders", e.Engine, e.Overlapping, e.Stale)
		}
	}
	return rep
}

// runs sums the runs of each key, and of each request without one. Daemons
// give every attempt an id of its own: the caller's, a dot and the attempt.
func (rec Records) runs() map[string]int {
	sum := make(map[string]int)
	for _, p := range rec.Plain {
		for key, n := range p.Keys {
			sum[key] += n
		}
		for attempt, n := range p.Requests {
			id, _, _ := strings.Cut(attempt, ".")
			sum[id] += n
		}
	}
	return sum
}

// byRequest gathers the sendings of each request, in the order of the first.
func byRequest(outcomes []Outcome, kind Kind) [][]Outcome {
	var out [][]Outcome
	index := make(map[string]int)
	for _, o := range outcomes {
		if o.Kind != kind {
			continue
		}
		name := o.name()
		i, ok := index[name]
		if !ok {
			i = len(out)
			index[name] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], o)
	}
	return out
}

// name is what targets count the request under.
func (o *Outcome) name() string {
	if o.Kind == KindOnce {
		return o.Key
	}
	return o.ID
}

func (r *Report) row(kind Kind, requests [][]Outcome, runs map[string]int) Row {
	row := Row{Kind: kind, Sent: len(requests)}
	for _, sendings := range requests {
		r.count(&row, sendings)
		r.faults(&row, sendings)
		if kind != KindStream {
			r.ran(&row, sendings, runs[sendings[0].name()])
		}
	}
	return row
}

// best is how a request ended over all its sendings: an answer counts whenever
// it came, and "not run" only if each sending said so.
func best(sendings []Outcome) end {
	worst := endNotRun
	for _, o := range sendings {
		switch e := o.end(); e {
		case endAnswered:
			return e
		case endNotRun:
		default:
			worst = max(worst, e)
		}
	}
	return worst
}

func (r *Report) count(row *Row, sendings []Outcome) {
	o := &sendings[0]
	switch best(sendings) {
	case endAnswered:
		row.Answered++
	case endNotRun:
		row.NotRun++
	case endUnknown:
		row.Unknown++
	case endTold:
		row.Told++
		r.bad("told: %s", o.line())
	case endCut:
		row.Cut++
		r.bad("cut: %s", o.line())
	default:
		row.Lost++
		r.bad("lost: %s", o.line())
	}
}

// faults looks into what arrived.
func (r *Report) faults(row *Row, sendings []Outcome) {
	for i := range sendings {
		o := &sendings[i]
		if o.crossed() {
			row.Crossed++
			r.bad("crossed: %s", o.line())
		}
		if o.Faults.Duplicated > 0 {
			row.Doubled++
			r.bad("doubled tokens: %s", o.line())
		}
		if o.Whole && o.short() || o.Faults.Lost > 0 {
			row.Cut++
			r.bad("short: %s", o.line())
		}
	}
}

// ran holds the callers' view against the runs that targets counted.
func (r *Report) ran(row *Row, sendings []Outcome, runs int) {
	e, o := best(sendings), &sendings[0]
	switch {
	case e == endAnswered && runs == 0:
		row.Lost++
		r.bad("answered, but never ran: %s", o.line())
	case e == endNotRun && runs > 0:
		row.Untrue++
		r.bad("said not run, but ran %d times: %s", runs, o.line())
	}
	if row.Kind == KindOnce {
		r.Runs += runs
		if runs > 1 {
			row.Doubled++
			r.bad("ran %d times: %s", runs, o.line())
		}
	}
}

func (r *Report) bad(format string, args ...any) { r.Bad = append(r.Bad, fmt.Sprintf(format, args...)) }

func (o *Outcome) line() string {
	return fmt.Sprintf("%s %s %s at %d ms, took %d of %d ms, code %d, status %d, %d attempts, last %s, %d of %d tokens: %s",
		o.Kind, o.ID, o.Key, o.StartMs, o.TookMs, o.DeadlineMs, o.Code, o.Status, o.Attempts, o.Addr, o.Tokens, o.Asked, o.Error)
}

// Table writes the report.
func (r *Report) Table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\tSENT\tANSWERED\tREFUSED, NOT RUN\tUNKNOWN\tFAILED, TOLD SO\tLOST\tDOUBLED\tCROSSED\tCUT\tUNTRUE\t")
	for _, v := range append(r.Rows, r.total()) {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
			v.Kind, v.Sent, v.Answered, v.NotRun, v.Unknown, v.Told, v.Lost, v.Doubled, v.Crossed, v.Cut, v.Untrue)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(out, "conflicting orders %d; %d attempts, %d of them cut; keys ran %d times\n",
		r.Conflicting, r.Attempts, r.CutAttempts, r.Runs)
	return nil
}

func (r *Report) total() Row {
	t := Row{Kind: "total"}
	for _, v := range r.Rows {
		t.Sent += v.Sent
		t.Answered += v.Answered
		t.NotRun += v.NotRun
		t.Unknown += v.Unknown
		t.Told += v.Told
		t.Lost += v.Lost
		t.Doubled += v.Doubled
		t.Crossed += v.Crossed
		t.Cut += v.Cut
		t.Untrue += v.Untrue
	}
	return t
}
