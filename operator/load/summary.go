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

// Distribution is the distribution of a time.
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

func newTimes() *Distribution { return &Distribution{h: hdrhistogram.New(1, high, digits)} }

func (t *Distribution) add(d time.Duration) { _ = t.h.RecordValue(min(max(int64(d/step), 0), high)) }

// Quantile returns the time at or below which a share q lies.
func (t *Distribution) Quantile(q float64) time.Duration {
	const percent = 100
	return time.Duration(t.h.ValueAtQuantile(q*percent)) * step
}

func (t *Distribution) fill() {
	t.Count = t.h.TotalCount()
	t.P50, t.P90, t.P95, t.P99, t.P999 = t.Quantile(0.5), t.Quantile(0.9), t.Quantile(0.95), t.Quantile(0.99), t.Quantile(0.999)
	t.Max = time.Duration(t.h.Max()) * step
}

// CodeCount is how many requests ended with a code.
type CodeCount struct {
	Code  code.Code `json:"code"`
	Name  string    `json:"name"`
	Count int       `json:"count"`
}

// KindSummary is the part of one kind of request.
type KindSummary struct {
	Kind
	Sent             int           `json:"sent"`
	Complete         int           `json:"whole"`
	TimeToFirstToken *Distribution `json:"first"`
	TimeToCompletion *Distribution `json:"answer"`
}

// Summary is the result of a run. All times but Unadjusted count from the
// intended arrival, and are those of whole answers.
type Summary struct {
	Rate              float64       `json:"rate"`
	Seed              uint64        `json:"seed"`
	Elapsed           time.Duration `json:"took_ns"`
	Planned           int           `json:"planned"`
	Sent              int           `json:"sent"`
	Complete          int           `json:"whole"`
	NotRun            int           `json:"not_run"`  // refused, and truly not run
	Failed            int           `json:"failed"`   // neither whole nor refused
	Verified          bool          `json:"verified"` // each token was checked
	Attempts          int           `json:"attempts"`
	CutAttempts       int           `json:"cut"` // attempts; a cut one may have been repeated
	Faults            caller.Faults `json:"faults"`
	Tokens            int           `json:"tokens"` // of whole answers
	TokensPerSecond   float64       `json:"tokens_per_second"`
	ByCode            []CodeCount   `json:"ended"`
	TimeToFirstToken  *Distribution `json:"first"`
	TimeBetweenTokens *Distribution `json:"between"`
	TimeToCompletion  *Distribution `json:"answer"`
	SendDelay         *Distribution `json:"late"`       // how late requests were sent
	Unadjusted        *Distribution `json:"unadjusted"` // whole answers, from the true start
	Kinds             []KindSummary `json:"kinds"`
}

func sum(o Options, samples []sample, took time.Duration) *Summary {
	s := &Summary{
		Rate: o.Rate, Seed: o.Seed, Elapsed: took, Planned: len(samples), Verified: o.Verify != nil,
		TimeToFirstToken: newTimes(), TimeBetweenTokens: newTimes(), TimeToCompletion: newTimes(), SendDelay: newTimes(), Unadjusted: newTimes(),
	}
	for _, k := range o.Mix {
		s.Kinds = append(s.Kinds, KindSummary{Kind: k, TimeToFirstToken: newTimes(), TimeToCompletion: newTimes()})
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
	s.TokensPerSecond = float64(s.Tokens) / took.Seconds()
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
	s.CutAttempts += a.CutAttempts
	s.Faults.Crossed += a.Faults.Crossed
	s.Faults.Duplicated += a.Faults.Duplicated
	s.Faults.Lost += a.Faults.Lost
	s.Faults.Wrong += a.Faults.Wrong
	s.SendDelay.add(x.late)
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
	s.TimeToFirstToken.add(x.late + a.TimeToFirstToken)
	s.TimeToCompletion.add(x.late + a.Total)
	s.Unadjusted.add(a.Total)
	k.TimeToFirstToken.add(x.late + a.TimeToFirstToken)
	k.TimeToCompletion.add(x.late + a.Total)
	if a.TimeBetweenTokens > 0 {
		s.TimeBetweenTokens.add(a.TimeBetweenTokens)
	}
}

func (s *Summary) times() []*Distribution {
	all := []*Distribution{s.TimeToFirstToken, s.TimeBetweenTokens, s.TimeToCompletion, s.SendDelay, s.Unadjusted}
	for _, k := range s.Kinds {
		all = append(all, k.TimeToFirstToken, k.TimeToCompletion)
	}
	return all
}

// Passed reports whether every planned request was sent and answered whole or
// truly refused, without a fault.
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

// Plot draws the times over their quantiles as SVG.
func (s *Summary) Plot() ([]byte, error) {
	return svgplot.Quantiles(fmt.Sprintf("%g requests a second", s.Rate),
		svgplot.Curve{Name: "first token", At: s.TimeToFirstToken.Quantile},
		svgplot.Curve{Name: "whole answer", At: s.TimeToCompletion.Quantile},
		svgplot.Curve{Name: "whole answer, from the true start", At: s.Unadjusted.Quantile})
}
