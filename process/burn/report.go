package burn

import (
	"slices"
	"sort"
	"time"

	"github.com/pomelospool/pomelospool/version/document"
)

// Path is the HTTP path at which daemons serve a Report in JSON.
const Path = "/burn"

// Report holds the budget burn measured by one daemon, or merged over several.
type Report struct {
	Daemons  []string  `json:"daemons"` // daemons whose samples are included
	At       time.Time `json:"at"`
	Services []Service `json:"services"`
	Dropped  uint64    `json:"dropped,omitempty"` // samples dropped because there were too many services
}

// Service is the budget burn of one service.
type Service struct {
	Name    string    `json:"name"`
	Goals   Goals     `json:"goals"`
	Windows []Window  `json:"windows"` // 5m, 1h, 6h and 3d
	First   Histogram `json:"first"`   // time to first token, over the last 30 to 60 minutes
	Between Histogram `json:"between"`
	Answer  Histogram `json:"answer"`
	Orgs    []Org     `json:"organisations"`
}

// Org is the budget burn of one organisation, or of all others together.
type Org struct {
	Name    string    `json:"name"`
	Windows []Window  `json:"windows"`
	Answer  Histogram `json:"answer"`
}

// Goals are the objectives against which the samples were counted.
type Goals struct {
	FirstToken    time.Duration `json:"first_token_ns"`
	BetweenTokens time.Duration `json:"between_tokens_ns"`
	Answer        time.Duration `json:"answer_ns"`
	Target        float64       `json:"target"`
	Window        time.Duration `json:"window_ns"`
}

func goalsOf(o document.Objectives) Goals {
	return Goals{
		FirstToken:    o.FirstToken,
		BetweenTokens: o.BetweenTokens,
		Answer:        o.Answer,
		Target:        o.Target,
		Window:        o.Window,
	}
}

// Window counts the requests of a time window that ends now.
type Window struct {
	Length time.Duration         `json:"length_ns"`
	Counts [objectiveCount]Count `json:"counts"` // by Objective
	Codes  []CodeCount           `json:"codes"`  // all result codes, including those excluded from the budget
}

// Rate returns the burn rate of an objective: 1 spends exactly the budget, 2
// spends it twice as fast.
func (w Window) Rate(o Objective, target float64) float64 {
	c := w.Counts[o]
	all := c.Good + c.Bad
	if all == 0 || target >= 1 {
		return 0
	}
	return float64(c.Bad) / float64(all) / (1 - target)
}

// Alert is the urgency of a burn rate.
type Alert string

// The alerts. A page means that the budget will be spent within hours or days,
// a ticket that it won't last until the end of the window.
const (
	AlertNone   Alert = ""
	AlertTicket Alert = "ticket"
	AlertPage   Alert = "page"
)

// alertRule raises an alert if, in both a long and a short window, the burn rate
// would spend share of the budget within the long one. The short window ends the
// alert soon after the burn ends.
type alertRule struct {
	alert       Alert
	long, short int // indices of windowLengths
	share       float64
}

var alertRules = []alertRule{
	{AlertPage, 1, 0, 0.02},
	{AlertPage, 2, 1, 0.05},
	{AlertTicket, 3, 2, 0.10},
}

// Alert returns the most urgent alert for an objective.
func (s Service) Alert(o Objective) Alert {
	if len(s.Windows) != len(windowLengths) {
		return AlertNone
	}
	for _, r := range alertRules {
		long, short := s.Windows[r.long], s.Windows[r.short]
		threshold := r.share * float64(s.Goals.Window) / float64(long.Length)
		if long.Rate(o, s.Goals.Target) >= threshold && short.Rate(o, s.Goals.Target) >= threshold {
			return r.alert
		}
	}
	return AlertNone
}

// Spent returns the share of the budget for the document's window that was
// spent in the last three days.
func (s Service) Spent(o Objective) float64 {
	if len(s.Windows) == 0 || s.Goals.Window <= 0 {
		return 0
	}
	w := s.Windows[len(s.Windows)-1]
	return w.Rate(o, s.Goals.Target) * float64(w.Length) / float64(s.Goals.Window)
}

// Merge returns the sum of reports of different daemons. Counts and histograms
// merge exactly. The goals are those of the newest report.
func Merge(reports ...*Report) *Report {
	out := new(Report)
	services := make(map[string]Service)
	for _, r := range slices.SortedStableFunc(slices.Values(reports), func(a, b *Report) int { return a.At.Compare(b.At) }) {
		out.Daemons = append(out.Daemons, r.Daemons...)
		out.Dropped += r.Dropped
		out.At = r.At
		for _, s := range r.Services {
			services[s.Name] = mergeService(services[s.Name], s)
		}
	}
	for _, s := range services {
		out.Services = append(out.Services, s)
	}
	sort.Slice(out.Services, func(i, j int) bool { return out.Services[i].Name < out.Services[j].Name })
	sort.Strings(out.Daemons)
	return out
}

func mergeService(a, b Service) Service {
	return Service{
		Name:    b.Name,
		Goals:   b.Goals,
		Windows: mergeWindows(a.Windows, b.Windows),
		First:   mergeHistograms(a.First, b.First),
		Between: mergeHistograms(a.Between, b.Between),
		Answer:  mergeHistograms(a.Answer, b.Answer),
		Orgs:    mergeOrgs(a.Orgs, b.Orgs),
	}
}

func mergeOrgs(a, b []Org) []Org {
	byName := make(map[string]Org)
	for _, o := range append(slices.Clone(a), b...) {
		old := byName[o.Name]
		byName[o.Name] = Org{
			Name:    o.Name,
			Windows: mergeWindows(old.Windows, o.Windows),
			Answer:  mergeHistograms(old.Answer, o.Answer),
		}
	}
	out := make([]Org, 0, len(byName))
	for _, o := range byName {
		out = append(out, o)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// mergeWindows adds up windows of the same length.
func mergeWindows(a, b []Window) []Window {
	out := make([]Window, 0, len(windowLengths))
	for _, length := range windowLengths {
		sum := bucket{}
		for _, w := range append(slices.Clone(a), b...) {
			if w.Length == length {
				sum.merge(bucket{counts: w.Counts, codes: w.Codes})
			}
		}
		sort.Slice(sum.codes, func(i, j int) bool { return sum.codes[i].Code < sum.codes[j].Code })
		out = append(out, Window{Length: length, Counts: sum.counts, Codes: sum.codes})
	}
	return out
}
