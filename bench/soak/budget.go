package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
)

// Budget is the promised limit of the extra sends to a service, summed over all
// daemons. Extra sends are those beyond the first one of each request, with
// those that targets rejected. The first accepted prefill of a request isn't
// counted.
type Budget struct {
	Ratio  float64 // extra sends for each request
	Slack  float64 // additional extra sends in a window
	Window time.Duration
}

// Use is what targets received in one window.
type Use struct {
	From     time.Time
	Extras   []standin.Arrival
	Requests int // that count for the window
	Allowed  float64
}

// Exceeded reports whether targets received more extra sends than allowed.
func (u Use) Exceeded() bool { return float64(len(u.Extras)) > u.Allowed }

// String describes the use.
func (u Use) String() string {
	return fmt.Sprintf("%d extra sends from %s on, %.0f allowed for %d requests", len(u.Extras), u.From.Format(timeFormat), u.Allowed, u.Requests)
}

// Busiest returns the window in which targets received most of the extra sends
// that are allowed. requests are the times at which callers sent requests. As
// the rules state, the requests are those of the window, the one before it or the
// one half a window before it, whichever has most.
func (b Budget) Busiest(requests []time.Time, arrivals []standin.Arrival) (busiest Use) {
	slices.SortFunc(requests, time.Time.Compare)
	extras := extraSends(arrivals)
	for i := range extras {
		from := extras[i].At
		end, _ := slices.BinarySearchFunc(extras, from.Add(b.Window), func(a standin.Arrival, t time.Time) int { return a.At.Compare(t) })
		sent := 0
		for _, shift := range []time.Duration{0, b.Window / 2, b.Window} {
			start := from.Add(-shift)
			sent = max(sent, countBefore(requests, start.Add(b.Window))-countBefore(requests, start))
		}
		use := Use{From: from, Extras: extras[i:end], Requests: sent, Allowed: b.Ratio*float64(sent) + b.Slack}
		if float64(len(use.Extras))*busiest.Allowed >= float64(len(busiest.Extras))*use.Allowed {
			busiest = use
		}
	}
	return busiest
}

// extraSends returns the extra sends among the arrivals, in order.
func extraSends(arrivals []standin.Arrival) (out []standin.Arrival) {
	slices.SortFunc(arrivals, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	prefilled, sent := make(map[string]bool), make(map[string]bool)
	for _, a := range arrivals {
		switch {
		case a.Prefill && !prefilled[a.ID]:
			prefilled[a.ID] = true
		case !sent[a.ID]:
			sent[a.ID] = true
		default:
			out = append(out, a)
		}
	}
	return out
}

// countBefore returns the number of sorted times that are before t.
func countBefore(times []time.Time, t time.Time) int {
	n, _ := slices.BinarySearchFunc(times, t, time.Time.Compare)
	return n
}
