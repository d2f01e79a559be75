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

// Check returns the first window in which targets received more extra sends
// than allowed, or an empty string. requests are the times at which callers
// sent requests. As the rules state, the requests are those of the window, the
// one before it or the one half a window before it, whichever has most.
func (b Budget) Check(requests []time.Time, arrivals []standin.Arrival) string {
	slices.SortFunc(requests, time.Time.Compare)
	extras := extraSends(arrivals)
	for i, from := range extras {
		count := countBefore(extras, from.Add(b.Window)) - i
		sent := 0
		for _, shift := range []time.Duration{0, b.Window / 2, b.Window} {
			start := from.Add(-shift)
			sent = max(sent, countBefore(requests, start.Add(b.Window))-countBefore(requests, start))
		}
		if allowed := b.Ratio*float64(sent) + b.Slack; float64(count) > allowed {
			return fmt.Sprintf("%d extra sends from %s on, %.0f allowed for %d requests", count, from.Format(time.TimeOnly), allowed, sent)
		}
	}
	return ""
}

// extraSends returns the times of the extra sends among the arrivals, in order.
func extraSends(arrivals []standin.Arrival) []time.Time {
	slices.SortFunc(arrivals, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	var out []time.Time
	prefilled, sent := make(map[string]bool), make(map[string]bool)
	for _, a := range arrivals {
		switch {
		case a.Prefill && !prefilled[a.ID]:
			prefilled[a.ID] = true
		case !sent[a.ID]:
			sent[a.ID] = true
		default:
			out = append(out, a.At)
		}
	}
	return out
}

// countBefore returns the number of sorted times that are before t.
func countBefore(times []time.Time, t time.Time) int {
	n, _ := slices.BinarySearchFunc(times, t, time.Time.Compare)
	return n
}
