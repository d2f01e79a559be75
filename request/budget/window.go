// Package budget limits retries: the sends beyond the first one of each
// request.
//
// Without a limit, each retry adds load when all targets fail, and the
// overload persists after its cause is gone.
package budget

import "time"

// windows counts requests and extra sends of each service over a sliding
// window. Time is divided into slots, and old counts expire by the slot: a
// request early, an extra send late, so that the limit holds in any window.
// Services come from the active configuration, which bounds the size of the
// map.
type windows struct {
	span  time.Duration
	clock Clock

	services map[string]*ledger
}

// ledger holds the counts of one service.
type ledger struct {
	window
	open float64 // extra sends that targets may yet receive; they don't expire
}

// window holds the slots of the present window and those before it in which
// extra sends still count.
type window [windowSlots + transitSlots + 1]slot

const (
	// windowSlots is the number of slots that a window is divided into.
	windowSlots = 40
	// transitSlots is the number of slots for which an extra send counts
	// longer, since targets receive it later than it is sent.
	transitSlots = 2
)

// Clock returns the time since an arbitrary start. It never goes back and
// isn't affected by steps of the time of day.
type Clock func() time.Duration

type slot struct {
	number     int64
	requests   float64
	extraSends float64
}

func newWindows(span time.Duration, clock Clock) *windows {
	return &windows{span: span, clock: clock, services: make(map[string]*ledger)}
}

func (w *windows) request(service string) {
	w.slot(service).requests++
}

// open counts n extra sends until settle is called, if the total stays within
// the result of allowed for the requests in the window, and the open ones within
// its result for those in the last half of the window. It sets the counts in
// state.
//
// The first limit holds for windows that contain the present. Targets may receive
// all open sends in one that begins later, for which the older requests don't
// count any more.
func (w *windows) open(service string, n int, allowed func(requests float64) float64, state *State) bool {
	now := w.slot(service).number
	l := w.services[service]
	state.Requests, state.Open = l.requestsOfAnyWindow(now), l.open
	state.Spent = l.extraSends(now) + l.open
	state.Limit = allowed(state.Requests)
	if state.Spent+float64(n) > state.Limit || l.open+float64(n) > allowed(l.requestsSince(now-windowSlots/2)) {
		return false
	}
	l.open += float64(n)
	return true
}

// settle ends the count of n open extra sends. Targets have received sent of
// them, which count for a window from now on.
func (w *windows) settle(service string, n, sent int) {
	w.slot(service).extraSends += float64(sent)
	w.services[service].open -= float64(n)
}

// extraSends returns the number of extra sends that still count.
func (w *window) extraSends(now int64) (n float64) {
	for _, s := range w {
		if s.number > now-int64(len(w)) {
			n += s.extraSends
		}
	}
	return n
}

// requestsSince returns the number of requests after a slot.
func (w *window) requestsSince(number int64) (n float64) {
	for _, s := range w {
		if s.number > number {
			n += s.requests
		}
	}
	return n
}

// requestsOfAnyWindow returns a number of requests that holds for each window
// that contains the present. For such a window the rules count its requests,
// those of the window before it, or those of the one half a window before it,
// whichever are most. Of two busy periods in the last window, none of the
// three may contain both.
//
// Let the window begin x before the present, or half a window earlier, for x
// up to half a window. One of the three contains the last window up to x
// before the present, and another one contains the last half window and x
// before it.
func (w *window) requestsOfAnyWindow(now int64) float64 {
	var sums [windowSlots + 1]float64 // of the oldest slots
	for i := range windowSlots {
		s := &w[(now-windowSlots+1+int64(i))%int64(len(w))]
		sums[i+1] = sums[i]
		if s.number > now-windowSlots {
			sums[i+1] += s.requests
		}
	}
	const half = windowSlots / 2
	least := sums[windowSlots]
	for x := range half {
		first := sums[windowSlots-x-2]
		last := sums[windowSlots] - sums[half-x]
		least = min(least, max(first, last))
	}
	return least
}

// slot returns the slot for the present time.
func (w *windows) slot(service string) *slot {
	l := w.services[service]
	if l == nil {
		l = &ledger{}
		w.services[service] = l
	}
	win := &l.window
	number := int64(w.clock()/(w.span/windowSlots)) + int64(len(win)) // beyond the zero value's
	s := &win[number%int64(len(win))]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}
