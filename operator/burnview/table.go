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

// allObjectives in the order of the table.
var allObjectives = []burn.Objective{burn.FirstToken, burn.BetweenTokens, burn.WholeAnswer, burn.NotLost}

const percent = 100

// Row is one line of the table of burn rates.
type Row struct {
	Service   string
	Objective string
	Goal      string
	Rates     []string // by window, as "1.5"
	Spent     string   // share of the budget that three days spent
	Alert     burn.Alert
}

// Rows lists the objectives that a service has samples of.
func Rows(s burn.Service) []Row {
	var rows []Row
	for _, o := range allObjectives {
		if !measured(s, o) {
			continue
		}
		r := Row{Service: s.Name, Objective: o.String(), Goal: goal(s.Goals, o), Alert: s.Alert(o)}
		for _, w := range s.Windows {
			r.Rates = append(r.Rates, fmt.Sprintf("%.2f", w.Rate(o, s.Goals.Target)))
		}
		r.Spent = fmt.Sprintf("%.1f%%", s.Spent(o)*percent)
		rows = append(rows, r)
	}
	return rows
}

func measured(s burn.Service, o burn.Objective) bool {
	for _, w := range s.Windows {
		if w.Counts[o] != (burn.Count{}) {
			return true
		}
	}
	return false
}

func goal(g burn.Goals, o burn.Objective) string {
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

// Ended is one code by which requests ended.
type Ended struct {
	Code  code.Code
	Name  string
	Count uint64
	Share string // of all requests
}

// Codes lists how the requests of the longest window ended, most frequent first.
func Codes(s burn.Service) []Ended {
	if len(s.Windows) == 0 {
		return nil
	}
	counts := s.Windows[len(s.Windows)-1].Codes
	total := uint64(0)
	for _, c := range counts {
		total += c.Count
	}
	var out []Ended
	for _, c := range counts {
		share := fmt.Sprintf("%.2f%%", percent*float64(c.Count)/float64(total))
		out = append(out, Ended{c.Code, c.Code.Info().Name, c.Count, share})
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Count > out[j].Count })
	return out
}

// Quantiles are the times of a histogram, as text.
type Quantiles struct {
	What          string
	Count         int64
	P50, P95, P99 time.Duration
}

// Times lists the quantiles of a service's recent times.
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

// OrgRow is one organisation's line.
type OrgRow struct {
	Name     string
	Requests uint64
	Bad      uint64
	P95      time.Duration
}

// Orgs lists the organisations by what they lost within six hours.
func Orgs(s burn.Service) []OrgRow {
	const sixHours = 2 // index among the windows
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

// Table writes the view as text.
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
