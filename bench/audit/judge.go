// Package audit compares what callers received with what targets recorded. It
// doesn't rely on the counters or logs of the daemons.
//
// A caller may send a request several times. The request is counted by its
// best result over all sends:
//
//   - answered: The answer is complete. Every token of a stream was checked,
//     and the body of a plain answer belongs to the request.
//   - refused, not run: Every send proved that nothing reached a target.
//   - unknown: The call may run at most once, and it may have run.
//   - failed, told so: An idempotent request was given up, and a daemon
//     returned a 2xxx code. The code for a passed deadline counts only if the
//     deadline had passed. A plain call to which the target itself answered
//     with a 5xx status counts here too.
//   - cut: A stream ended early and wasn't repeated successfully, whether or
//     not a code reported it. An answer that passed as complete but is shorter
//     than requested counts too.
//   - lost: Anything else. The caller received neither an answer nor a correct
//     code before the deadline, or it has an answer but no target counted a
//     run.
//
// A request is doubled if targets ran its key more than once, or if a token was
// received twice. It is crossed if anything of another request reached the
// caller. It is untrue if it was refused as not run although a target, plain or an
// engine, counted a run. Orders to an engine conflict if one arrived while another
// was running, or if one took effect under a fencing number lower than the highest
// that the engine had received.
package audit

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// PlainRecord is the record of a plain service's stand-in.
type PlainRecord struct {
	Name     string         `json:"name"`
	Runs     int            `json:"runs"`
	Keys     map[string]int `json:"keys"`     // runs by Idempotency-Key
	Requests map[string]int `json:"requests"` // runs by X-Request-Id
}

// EngineRecord is the part of an engine stand-in's record that the judge uses.
// An engine that crashed has one record for each incarnation.
type EngineRecord struct {
	Engine      string                `json:"engine"`
	Requests    map[string]EngineRuns `json:"requests"`    // by X-Request-Id
	Overlapping int                   `json:"overlapping"` // orders that arrived while another was running
	Stale       int                   `json:"stale"`       // orders with a lower fencing number that took effect
}

// EngineRuns counts the runs of one attempt at an engine.
type EngineRuns struct {
	Starts int `json:"starts"`
}

// Records holds the records of all targets of a run.
type Records struct {
	Plain   []PlainRecord
	Engines []EngineRecord
}

// Row counts the requests of one kind by result, and their faults. The package
// comment defines the columns.
type Row struct {
	Kind                                    Kind
	Sent, Answered, NotRun, Unknown, Failed int
	Lost, Doubled, Crossed, Cut, Untrue     int
}

// Passed reports whether the requests show no fault.
func (r Row) Passed() bool { return r.Lost+r.Doubled+r.Crossed+r.Cut+r.Untrue == 0 }

// Report is the result of the judgement of a run.
type Report struct {
	Rows        []Row
	Attempts    int
	CutAttempts int      // attempts that were cut, whether or not they were repeated
	Conflicting int      // conflicting orders
	Runs        int      // runs of calls that may run at most once
	Findings    []string // one line for each fault
}

// Passed reports whether the run shows no fault.
func (r *Report) Passed() bool {
	for _, row := range r.Rows {
		if !row.Passed() {
			return false
		}
	}
	return r.Conflicting == 0
}

// Undisturbed reports whether no attempt was cut and no request ended as unknown
// or failed. Planned changes must meet this in addition to Passed.
func (r *Report) Undisturbed() bool {
	t := r.total()
	return r.CutAttempts+t.Unknown+t.Failed == 0
}

// Judge compares outcomes with records.
func Judge(outcomes []Outcome, rec Records) *Report {
	rep := &Report{}
	runs := rec.runCounts()
	for _, kind := range []Kind{KindStream, KindFeed, KindOnce} {
		rep.Rows = append(rep.Rows, rep.row(kind, groupByRequest(outcomes, kind), runs))
	}
	for _, o := range outcomes {
		rep.Attempts += o.Attempts
		rep.CutAttempts += o.CutAttempts
	}
	for _, e := range rec.Engines {
		rep.Conflicting += e.Overlapping + e.Stale
		if e.Overlapping+e.Stale > 0 {
			rep.addFinding("%s: %d overlapping and %d stale orders", e.Engine, e.Overlapping, e.Stale)
		}
	}
	return rep
}

// runCounts returns the number of runs by key, and by request id for requests
// without a key. A daemon gives each attempt an id that consists of the
// caller's request id, a dot and the number of the attempt.
func (rec Records) runCounts() map[string]int {
	sum := make(map[string]int)
	for _, p := range rec.Plain {
		for key, n := range p.Keys {
			sum[key] += n
		}
		for attempt, n := range p.Requests {
			sum[requestOf(attempt)] += n
		}
	}
	for _, e := range rec.Engines {
		for attempt, runs := range e.Requests {
			sum[requestOf(attempt)] += runs.Starts
		}
	}
	return sum
}

// requestOf returns the caller's request id of an attempt.
func requestOf(attempt string) string {
	id, _, _ := strings.Cut(attempt, ".")
	return id
}

// groupByRequest groups the outcomes of one kind by request, in the order of
// the first send.
func groupByRequest(outcomes []Outcome, kind Kind) [][]Outcome {
	var out [][]Outcome
	index := make(map[string]int)
	for _, o := range outcomes {
		if o.Kind != kind {
			continue
		}
		name := o.recordKey()
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

// recordKey returns the key under which targets count the request.
func (o *Outcome) recordKey() string {
	if o.Kind == KindOnce {
		return o.Key
	}
	return o.ID
}

func (r *Report) row(kind Kind, requests [][]Outcome, runs map[string]int) Row {
	row := Row{Kind: kind, Sent: len(requests)}
	for _, sends := range requests {
		r.count(&row, sends)
		r.checkContent(&row, sends)
		r.checkRuns(&row, sends, runs[sends[0].recordKey()])
	}
	return row
}

// finalResult returns the result of a request over all its sends. It is
// answered if any send was, and not run only if every send was reported so.
func finalResult(sends []Outcome) result {
	worst := resultNotRun
	for _, o := range sends {
		switch res := o.result(); res {
		case resultAnswered:
			return res
		case resultNotRun:
		default:
			worst = max(worst, res)
		}
	}
	return worst
}

func (r *Report) count(row *Row, sends []Outcome) {
	o := &sends[0]
	switch finalResult(sends) {
	case resultAnswered:
		row.Answered++
	case resultNotRun:
		row.NotRun++
	case resultUnknown:
		row.Unknown++
	case resultFailed:
		row.Failed++
		r.addFinding("told: %s", o.describe())
	case resultCut:
		row.Cut++
		r.addFinding("cut: %s", o.describe())
	default:
		row.Lost++
		r.addFinding("lost: %s", o.describe())
	}
}

// checkContent counts the faults in what the caller received.
func (r *Report) checkContent(row *Row, sends []Outcome) {
	for i := range sends {
		o := &sends[i]
		if o.crossed() {
			row.Crossed++
			r.addFinding("crossed: %s", o.describe())
		}
		if o.Faults.Duplicated > 0 {
			row.Doubled++
			r.addFinding("doubled tokens: %s", o.describe())
		}
		if o.Complete && o.truncated() || o.Faults.Lost > 0 {
			row.Cut++
			r.addFinding("short: %s", o.describe())
		}
	}
}

// checkRuns compares the result of a request with the runs that targets
// counted.
func (r *Report) checkRuns(row *Row, sends []Outcome, runs int) {
	res, o := finalResult(sends), &sends[0]
	switch {
	case res == resultAnswered && runs == 0 && row.Kind != KindStream: // the tokens of a stream prove its run
		row.Lost++
		r.addFinding("answered, but never ran: %s", o.describe())
	case res == resultNotRun && runs > 0:
		row.Untrue++
		r.addFinding("said not run, but ran %d times: %s", runs, o.describe())
	}
	if row.Kind == KindOnce {
		r.Runs += runs
		if runs > 1 {
			row.Doubled++
			r.addFinding("ran %d times: %s", runs, o.describe())
		}
	}
}

func (r *Report) addFinding(format string, args ...any) {
	r.Findings = append(r.Findings, fmt.Sprintf(format, args...))
}

// describe returns one line for a finding about the request.
func (o *Outcome) describe() string {
	return fmt.Sprintf("%s %s %s at %d ms, took %d of %d ms, code %d, status %d, %d attempts, last %s, %d of %d tokens: %s",
		o.Kind, o.ID, o.Key, o.StartMs, o.TookMs, o.DeadlineMs, o.Code, o.Status, o.Attempts, o.Addr, o.Tokens, o.RequestedTokens, o.Error)
}

// WriteTable writes the report as a table.
func (r *Report) WriteTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\tSENT\tANSWERED\tREFUSED, NOT RUN\tUNKNOWN\tFAILED, TOLD SO\tLOST\tDOUBLED\tCROSSED\tCUT\tUNTRUE\t")
	for _, v := range append(r.Rows, r.total()) {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
			v.Kind, v.Sent, v.Answered, v.NotRun, v.Unknown, v.Failed, v.Lost, v.Doubled, v.Crossed, v.Cut, v.Untrue)
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
		t.Failed += v.Failed
		t.Lost += v.Lost
		t.Doubled += v.Doubled
		t.Crossed += v.Crossed
		t.Cut += v.Cut
		t.Untrue += v.Untrue
	}
	return t
}
