package load

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/operator/caller"
	"github.com/pomelospool/pomelospool/operator/svgplot"
)

// Histograms count in steps of 10 microseconds up to an hour, within one in a
// thousand.
const (
	step   = 10 * time.Microsecond
	high   = 360_000_000
	digits = 3
)

// Times is the distribution of a time.
type Times struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P90   time.Duration `json:"p90_ns"`
	P95   time.Duration `json:"p95_ns"`
	P99   time.Duration `json:"p99_ns"`
	P999  time.Duration `json:"p999_ns"`
	Max   time.Duration `json:"max_ns"`

	h *hdrhistogram.Histogram
}

func newTimes() *Times { return &Times{h: hdrhistogram.New(1, high, digits)} }

func (t *Times) add(d time.Duration) { _ = t.h.RecordValue(min(max(int64(d/step), 0), high)) }

// At returns the time at or below which a share q lies.
func (t *Times) At(q float64) time.Duration {
	const percent = 100
	return time.Duration(t.h.ValueAtQuantile(q*percent)) * step
}

func (t *Times) fill() {
	t.Count = t.h.TotalCount()
	t.P50, t.P90, t.P95, t.P99, t.P999 = t.At(0.5), t.At(0.9), t.At(0.95), t.At(0.99), t.At(0.999)
	t.Max = time.Duration(t.h.Max()) * step
}

// Ended is how many requests ended with a code.
type Ended struct {
	Code  code.Code `json:"code"`
	Name  string    `json:"name"`
	Count int       `json:"count"`
}

// KindSummary is the part of one kind of request.
type KindSummary struct {
	Kind
	Sent   int    `json:"sent"`
	Whole  int    `json:"whole"`
	First  *Times `json:"first"`
	Answer *Times `json:"answer"`
}

// Summary is the result of a run. All times but Unadjusted count from the
// intended arrival, and are those of whole answers.
type Summary struct {
	Rate     float64       `json:"rate"`
	Seed     uint64        `json:"seed"`
	Took     time.Duration `json:"took_ns"`
	Planned  int           `json:"planned"`
	Sent     int           `json:"sent"`
	Whole    int           `json:"whole"`
	NotRun   int           `json:"not_run"`  // refused, and truly not run
	Failed   int           `json:"failed"`   // neither whole nor refused
	Verified bool          `json:"verified"` // each token was checked
	Attempts int           `json:"attempts"`
	Cut      int           `json:"cut"` // attempts; a cut one may have been repeated
	Faults   caller.Faults `json:"faults"`
	Tokens   int           `json:"tokens"` // of whole answers
	Goodput  float64       `json:"tokens_per_second"`
	Ended    []Ended       `json:"ended"`
	First    *Times        `json:"first"`
	Between  *Times        `json:"between"`
	Answer   *Times        `json:"answer"`
	Late     *Times        `json:"late"`       // how late requests were sent
	Raw      *Times        `json:"unadjusted"` // whole answers, from the true start
	Kinds    []KindSummary `json:"kinds"`
}

func sum(o Options, samples []sample, took time.Duration) *Summary {
	s := &Summary{
		Rate: o.Rate, Seed: o.Seed, Took: took, Planned: len(samples), Verified: o.Verify != nil,
		First: newTimes(), Between: newTimes(), Answer: newTimes(), Late: newTimes(), Raw: newTimes(),
	}
	for _, k := range o.Mix {
		s.Kinds = append(s.Kinds, KindSummary{Kind: k, First: newTimes(), Answer: newTimes()})
	}
	ended := make(map[code.Code]int)
	for _, x := range samples {
		if x.sent {
			ended[x.answer.Code]++
			s.add(x)
		}
	}
	for c, n := range ended {
		s.Ended = append(s.Ended, Ended{c, c.Info().Name, n})
	}
	sort.Slice(s.Ended, func(i, j int) bool { return s.Ended[i].Code < s.Ended[j].Code })
	s.Goodput = float64(s.Tokens) / took.Seconds()
	for _, t := range s.times() {
		t.fill()
	}
	return s
}

func (s *Summary) add(x sample) {
	a, k := x.answer, &s.Kinds[x.kind]
	s.Sent++
	k.Sent++
	s.Attempts += a.Attempts
	s.Cut += a.Cut
	s.Faults.Crossed += a.Faults.Crossed
	s.Faults.Doubled += a.Faults.Doubled
	s.Faults.Lost += a.Faults.Lost
	s.Faults.Wrong += a.Faults.Wrong
	s.Late.add(x.late)
	switch {
	case !a.Whole && a.NotRun:
		s.NotRun++
		return
	case !a.Whole:
		s.Failed++
		return
	}
	s.Whole++
	k.Whole++
	s.Tokens += a.Tokens
	s.First.add(x.late + a.First)
	s.Answer.add(x.late + a.Total)
	s.Raw.add(a.Total)
	k.First.add(x.late + a.First)
	k.Answer.add(x.late + a.Total)
	if a.Between > 0 {
		s.Between.add(a.Between)
	}
}

func (s *Summary) times() []*Times {
	all := []*Times{s.First, s.Between, s.Answer, s.Late, s.Raw}
	for _, k := range s.Kinds {
		all = append(all, k.First, k.Answer)
	}
	return all
}

// Good reports whether every planned request was sent and answered whole or
// truly refused, without a fault.
func (s *Summary) Good() bool {
	return s.Failed == 0 && s.Sent == s.Planned && !s.Faults.Any()
}

// Table writes the summary as text.
func (s *Summary) Table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	verified := "not verified"
	if s.Verified {
		verified = "every token verified"
	}
	fmt.Fprintf(w, "%d planned at %g/s, %d sent, %d whole (%s), %d refused and not run, %d failed, in %s\n",
		s.Planned, s.Rate, s.Sent, s.Whole, verified, s.NotRun, s.Failed, s.Took.Round(time.Millisecond))
	fmt.Fprintf(w, "%d attempts, %d cut; tokens crossed %d, doubled %d, lost %d, wrong %d; %.0f whole tokens/s\n",
		s.Attempts, s.Cut, s.Faults.Crossed, s.Faults.Doubled, s.Faults.Lost, s.Faults.Wrong, s.Goodput)
	fmt.Fprintln(w, "TIME\tCOUNT\tp50\tp90\tp95\tp99\tp99.9\tMAX")
	row := func(name string, t *Times) {
		fmt.Fprintf(w, "%s\t%d", name, t.Count)
		for _, d := range []time.Duration{t.P50, t.P90, t.P95, t.P99, t.P999, t.Max} {
			fmt.Fprintf(w, "\t%s", d)
		}
		fmt.Fprintln(w)
	}
	row("first token", s.First)
	row("between tokens", s.Between)
	row("whole answer", s.Answer)
	row("whole, from true start", s.Raw)
	row("sent late by", s.Late)
	for _, k := range s.Kinds {
		row(k.Name+": first token", k.First)
		row(k.Name+": whole answer", k.Answer)
	}
	for _, e := range s.Ended {
		fmt.Fprintf(w, "%d %s\t%d\n", int(e.Code), e.Name, e.Count)
	}
	return w.Flush()
}

// Plot draws the times over their quantiles as SVG.
func (s *Summary) Plot() ([]byte, error) {
	return svgplot.Quantiles(fmt.Sprintf("%g requests a second", s.Rate),
		svgplot.Curve{Name: "first token", At: s.First.At},
		svgplot.Curve{Name: "whole answer", At: s.Answer.At},
		svgplot.Curve{Name: "whole answer, from the true start", At: s.Raw.At})
}
