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

// Histograms record times with a resolution of 10 microseconds, up to an hour,
// with a precision of three significant digits.
const (
	resolution        = 10 * time.Microsecond
	maxSteps          = 360_000_000
	significantDigits = 3
)

// Distribution holds quantiles of a measured time.
type Distribution struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P90   time.Duration `json:"p90_ns"`
	P95   time.Duration `json:"p95_ns"`
	P99   time.Duration `json:"p99_ns"`
	P999  time.Duration `json:"p999_ns"`
	Max   time.Duration `json:"max_ns"`

	h *hdrhistogram.Histogram
}

func newDistribution() *Distribution {
	return &Distribution{h: hdrhistogram.New(1, maxSteps, significantDigits)}
}

func (d *Distribution) add(v time.Duration) {
	_ = d.h.RecordValue(min(max(int64(v/resolution), 0), maxSteps))
}

// Quantile returns the time at or below which a share q of the samples lies.
func (d *Distribution) Quantile(q float64) time.Duration {
	const percent = 100
	return time.Duration(d.h.ValueAtQuantile(q*percent)) * resolution
}

// fillFields sets the exported fields from the histogram.
func (d *Distribution) fillFields() {
	d.Count = d.h.TotalCount()
	d.P50, d.P90, d.P95, d.P99, d.P999 = d.Quantile(0.5), d.Quantile(0.9), d.Quantile(0.95), d.Quantile(0.99), d.Quantile(0.999)
	d.Max = time.Duration(d.h.Max()) * resolution
}

// CodeCount is the number of requests that ended with a code.
type CodeCount struct {
	Code  code.Code `json:"code"`
	Name  string    `json:"name"`
	Count int       `json:"count"`
}

// KindSummary summarizes one kind of request.
type KindSummary struct {
	Kind
	Sent             int           `json:"sent"`
	Complete         int           `json:"whole"`
	TimeToFirstToken *Distribution `json:"first"`
	TimeToCompletion *Distribution `json:"answer"`
}

// Summary is the result of a run. Times are those of complete answers, except
// SendDelay, which covers every request sent. Times to an event count from the
// planned arrival, except Unadjusted.
type Summary struct {
	Rate              float64       `json:"rate"`
	Seed              uint64        `json:"seed"`
	Elapsed           time.Duration `json:"took_ns"`
	Planned           int           `json:"planned"`
	Sent              int           `json:"sent"`
	Complete          int           `json:"whole"`
	NotRun            int           `json:"not_run"`  // refused and not run
	Failed            int           `json:"failed"`   // neither complete nor refused
	Verified          bool          `json:"verified"` // every token was checked
	Attempts          int           `json:"attempts"`
	CutAttempts       int           `json:"cut"` // attempts whose answer was cut; they may have been retried
	Faults            caller.Faults `json:"faults"`
	Tokens            int           `json:"tokens"` // of complete answers
	TokensPerSecond   float64       `json:"tokens_per_second"`
	ByCode            []CodeCount   `json:"ended"`
	TimeToFirstToken  *Distribution `json:"first"`
	TimeBetweenTokens *Distribution `json:"between"`
	TimeToCompletion  *Distribution `json:"answer"`
	SendDelay         *Distribution `json:"late"`       // from the planned to the actual start
	Unadjusted        *Distribution `json:"unadjusted"` // time to completion from the actual start
	Kinds             []KindSummary `json:"kinds"`
}

func summarize(o Options, samples []sample, elapsed time.Duration) *Summary {
	s := &Summary{
		Rate: o.Rate, Seed: o.Seed, Elapsed: elapsed, Planned: len(samples), Verified: o.Verify != nil,
		TimeToFirstToken: newDistribution(), TimeBetweenTokens: newDistribution(), TimeToCompletion: newDistribution(), SendDelay: newDistribution(), Unadjusted: newDistribution(),
	}
	for _, k := range o.Mix {
		s.Kinds = append(s.Kinds, KindSummary{Kind: k, TimeToFirstToken: newDistribution(), TimeToCompletion: newDistribution()})
	}
	ended := make(map[code.Code]int)
	for _, x := range samples {
		if x.sent {
			ended[x.answer.Code]++
			s.add(x)
		}
	}
	for c, n := range ended {
		s.ByCode = append(s.ByCode, CodeCount{c, c.Info().Name, n})
	}
	sort.Slice(s.ByCode, func(i, j int) bool { return s.ByCode[i].Code < s.ByCode[j].Code })
	s.TokensPerSecond = float64(s.Tokens) / elapsed.Seconds()
	for _, t := range s.distributions() {
		t.fillFields()
	}
	return s
}

func (s *Summary) add(x sample) {
	a, k := x.answer, &s.Kinds[x.kind]
	s.Sent++
	k.Sent++
	s.Attempts += a.Attempts
	s.CutAttempts += a.CutAttempts
	s.Faults.Crossed += a.Faults.Crossed
	s.Faults.Duplicated += a.Faults.Duplicated
	s.Faults.Lost += a.Faults.Lost
	s.Faults.Wrong += a.Faults.Wrong
	s.SendDelay.add(x.sendDelay)
	switch {
	case !a.Complete && a.NotRun:
		s.NotRun++
		return
	case !a.Complete:
		s.Failed++
		return
	}
	s.Complete++
	k.Complete++
	s.Tokens += a.Tokens
	s.TimeToFirstToken.add(x.sendDelay + a.TimeToFirstToken)
	s.TimeToCompletion.add(x.sendDelay + a.Total)
	s.Unadjusted.add(a.Total)
	k.TimeToFirstToken.add(x.sendDelay + a.TimeToFirstToken)
	k.TimeToCompletion.add(x.sendDelay + a.Total)
	if a.TimeBetweenTokens > 0 {
		s.TimeBetweenTokens.add(a.TimeBetweenTokens)
	}
}

func (s *Summary) distributions() []*Distribution {
	all := []*Distribution{s.TimeToFirstToken, s.TimeBetweenTokens, s.TimeToCompletion, s.SendDelay, s.Unadjusted}
	for _, k := range s.Kinds {
		all = append(all, k.TimeToFirstToken, k.TimeToCompletion)
	}
	return all
}

// Passed reports whether every planned request was sent and either answered
// completely or refused without running, and no answer had a fault.
func (s *Summary) Passed() bool {
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
		s.Planned, s.Rate, s.Sent, s.Complete, verified, s.NotRun, s.Failed, s.Elapsed.Round(time.Millisecond))
	fmt.Fprintf(w, "%d attempts, %d cut; tokens crossed %d, doubled %d, lost %d, wrong %d; %.0f whole tokens/s\n",
		s.Attempts, s.CutAttempts, s.Faults.Crossed, s.Faults.Duplicated, s.Faults.Lost, s.Faults.Wrong, s.TokensPerSecond)
	fmt.Fprintln(w, "TIME\tCOUNT\tp50\tp90\tp95\tp99\tp99.9\tMAX")
	row := func(name string, t *Distribution) {
		fmt.Fprintf(w, "%s\t%d", name, t.Count)
		for _, d := range []time.Duration{t.P50, t.P90, t.P95, t.P99, t.P999, t.Max} {
			fmt.Fprintf(w, "\t%s", d)
		}
		fmt.Fprintln(w)
	}
	row("first token", s.TimeToFirstToken)
	row("between tokens", s.TimeBetweenTokens)
	row("whole answer", s.TimeToCompletion)
	row("whole, from true start", s.Unadjusted)
	row("sent late by", s.SendDelay)
	for _, k := range s.Kinds {
		row(k.Name+": first token", k.TimeToFirstToken)
		row(k.Name+": whole answer", k.TimeToCompletion)
	}
	for _, e := range s.ByCode {
		fmt.Fprintf(w, "%d %s\t%d\n", int(e.Code), e.Name, e.Count)
	}
	return w.Flush()
}

// Plot returns an SVG plot of the times over their quantiles.
func (s *Summary) Plot() ([]byte, error) {
	return svgplot.Quantiles(fmt.Sprintf("%g requests a second", s.Rate),
		svgplot.Curve{Name: "first token", At: s.TimeToFirstToken.Quantile},
		svgplot.Curve{Name: "whole answer", At: s.TimeToCompletion.Quantile},
		svgplot.Curve{Name: "whole answer, from the true start", At: s.Unadjusted.Quantile})
}
