package burnview

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/process/burn"
)

// allObjectives lists the objectives in the order of the table.
var allObjectives = []burn.Objective{burn.FirstToken, burn.BetweenTokens, burn.WholeAnswer, burn.NotLost}

const percent = 100

// Row is one line of the table of burn rates.
type Row struct {
	Service   string
	Objective string
	Goal      string
	Rates     []string // one for each window, formatted like "1.50"
	Spent     string   // share of the budget spent in three days
	Alert     burn.Alert
}

// Rows returns a row for each objective that a service has samples for.
func Rows(s burn.Service) []Row {
	var rows []Row
	for _, o := range allObjectives {
		if !hasSamples(s, o) {
			continue
		}
		r := Row{Service: s.Name, Objective: o.String(), Goal: goalText(s.Goals, o), Alert: s.Alert(o)}
		for _, w := range s.Windows {
			r.Rates = append(r.Rates, fmt.Sprintf("%.2f", w.Rate(o, s.Goals.Target)))
		}
		r.Spent = fmt.Sprintf("%.1f%%", s.Spent(o)*percent)
		rows = append(rows, r)
	}
	return rows
}

func hasSamples(s burn.Service, o burn.Objective) bool {
	for _, w := range s.Windows {
		if w.Counts[o] != (burn.Count{}) {
			return true
		}
	}
	return false
}

func goalText(g burn.Goals, o burn.Objective) string {
	share := fmt.Sprintf("%g%%", g.Target*percent)
	switch o {
	case burn.FirstToken:
		return share + " within " + g.FirstToken.String()
	case burn.BetweenTokens:
		return share + " within " + g.BetweenTokens.String()
	case burn.WholeAnswer:
		return share + " within " + g.Answer.String()
	default:
		return share + " not lost"
	}
}

// CodeCount is the number of requests that ended with a code.
type CodeCount struct {
	Code  code.Code
	Name  string
	Count uint64
	Share string // of all requests
}

// Codes counts the requests of the longest window by code, most frequent first.
func Codes(s burn.Service) []CodeCount {
	if len(s.Windows) == 0 {
		return nil
	}
	counts := s.Windows[len(s.Windows)-1].Codes
	total := uint64(0)
	for _, c := range counts {
		total += c.Count
	}
	var out []CodeCount
	for _, c := range counts {
		share := fmt.Sprintf("%.2f%%", percent*float64(c.Count)/float64(total))
		out = append(out, CodeCount{c.Code, c.Code.Info().Name, c.Count, share})
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Count > out[j].Count })
	return out
}

// Quantiles holds the quantiles of a histogram of times.
type Quantiles struct {
	What          string
	Count         int64
	P50, P95, P99 time.Duration
}

// Times returns the quantiles of a service's recent times.
func Times(s burn.Service) []Quantiles {
	var out []Quantiles
	add := func(what string, h burn.Histogram) {
		if h.Count() > 0 {
			out = append(out, Quantiles{what, h.Count(), h.Quantile(0.50), h.Quantile(0.95), h.Quantile(0.99)})
		}
	}
	add("first token", s.First)
	add("between tokens", s.Between)
	add("whole answer", s.Answer)
	return out
}

// OrgRow is the table's line of one organisation.
type OrgRow struct {
	Name     string
	Requests uint64
	Bad      uint64
	P95      time.Duration
}

// Orgs returns the organisations with requests within six hours, sorted by the
// number of bad ones in descending order.
func Orgs(s burn.Service) []OrgRow {
	const sixHours = 2 // index in Windows
	var out []OrgRow
	for _, o := range s.Orgs {
		if len(o.Windows) <= sixHours {
			continue
		}
		c := o.Windows[sixHours].Counts[burn.WholeAnswer]
		if c != (burn.Count{}) {
			out = append(out, OrgRow{o.Name, c.Good + c.Bad, c.Bad, o.Answer.Quantile(0.95)})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Bad > out[j].Bad })
	return out
}

// Table writes the view as a text table, with organisations if orgs is set.
func (v View) Table(out io.Writer, orgs bool) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "burn of %d of %d daemons\n", v.Asked-len(v.Missing), v.Asked)
	fmt.Fprintln(w, "SERVICE\tOBJECTIVE\tGOAL\t5m\t1h\t6h\t3d\tSPENT IN 3d\tALERT")
	for _, s := range v.Report.Services {
		for _, r := range Rows(s) {
			fmt.Fprintf(w, "%s\t%s\t%s", r.Service, r.Objective, r.Goal)
			for _, rate := range r.Rates {
				fmt.Fprintf(w, "\t%s", rate)
			}
			fmt.Fprintf(w, "\t%s\t%s\n", r.Spent, r.Alert)
		}
	}
	for _, s := range v.Report.Services {
		fmt.Fprintf(w, "\n%s, ended within 3d\n", s.Name)
		for _, e := range Codes(s) {
			fmt.Fprintf(w, "  %d %s\t%d\t%s\n", int(e.Code), e.Name, e.Count, e.Share)
		}
		for _, q := range Times(s) {
			fmt.Fprintf(w, "  %s\tp50 %v\tp95 %v\tp99 %v\n", q.What, q.P50, q.P95, q.P99)
		}
		if !orgs {
			continue
		}
		for _, o := range Orgs(s) {
			fmt.Fprintf(w, "  %s\t%d requests in 6h\t%d bad\tp95 %v\n", o.Name, o.Requests, o.Bad, o.P95)
		}
	}
	for _, m := range v.Missing {
		fmt.Fprintf(w, "\nnot in this report: %s (%d %s)\n", m.Addr, int(m.Code), m.Code.Info().Name)
	}
	return w.Flush()
}
