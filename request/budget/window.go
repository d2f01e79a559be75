// Package budget limits retries: the sends beyond the first one of each
// request.
//
// Without a limit, each retry adds load when all targets fail, and the
// overload persists after its cause is gone.
package budget

import (
	"sync"
	"time"
)

// windows counts requests and extra sends of each service over a sliding
// window. Time is divided into slots, and old counts expire by the slot: a
// request early, an extra send late, so that the limit holds in any window.
// Services come from the active configuration, which bounds the size of the
// map.
type windows struct {
	span          time.Duration
	clock         Clock
	countRequests func(w *window, now int64) float64

	mu       sync.Mutex
	services map[string]*window
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

func newWindows(span time.Duration, clock Clock, countRequests func(w *window, now int64) float64) *windows {
	return &windows{span: span, clock: clock, countRequests: countRequests, services: make(map[string]*window)}
}

func (w *windows) request(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slot(service).requests++
}

// count counts n extra sends.
func (w *windows) count(service string, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slot(service).extraSends += float64(n)
}

// take counts n extra sends if the total stays within the result of allowed
// for the requests in the window. It reports whether it does, and sets the
// counts in state.
func (w *windows) take(service string, n int, allowed func(requests float64) float64, state *State) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.slot(service)
	win := w.services[service]
	state.Requests, state.Spent = w.countRequests(win, s.number), win.extraSends(s.number)
	state.Limit = allowed(state.Requests)
	if state.Spent+float64(n) > state.Limit {
		return false
	}
	s.extraSends += float64(n)
	return true
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

// requests returns the number of requests in the last window.
func (w *window) requests(now int64) (n float64) {
	for _, s := range w {
		if s.number > now-windowSlots {
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

// slot returns the slot for the present time. The caller must hold w.mu.
func (w *windows) slot(service string) *slot {
	win := w.services[service]
	if win == nil {
		win = &window{}
		w.services[service] = win
	}
	number := int64(w.clock()/(w.span/windowSlots)) + int64(len(win)) // beyond the zero value's
	s := &win[number%int64(len(win))]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}
