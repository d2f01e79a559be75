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
// window. Time is divided into slots, and old counts expire by the slot. A
// request expires early, by up to the length of a slot, and an extra send
// late, so that the limit holds in any window. Services come from the active
// configuration, which bounds the size of the map.
type windows struct {
	span  time.Duration
	clock Clock

	mu       sync.Mutex
	services map[string]*window
}

// window holds the slots that overlap the present window.
type window [windowSlots + 1]slot

// windowSlots is the number of slots that a window is divided into.
const windowSlots = 20

// Clock returns the time since an arbitrary start. It never goes back and
// isn't affected by steps of the time of day.
type Clock func() time.Duration

type slot struct {
	number     int64 // counted from 1
	requests   float64
	extraSends float64
}

func newWindows(span time.Duration, clock Clock) *windows {
	return &windows{span: span, clock: clock, services: make(map[string]*window)}
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
	state.Requests, state.Spent = w.services[service].sum(s.number)
	state.Limit = allowed(state.Requests)
	if state.Spent+float64(n) > state.Limit {
		return false
	}
	s.extraSends += float64(n)
	return true
}

func (w *window) sum(now int64) (requests, extras float64) {
	for _, s := range w {
		if s.number > now-windowSlots {
			requests += s.requests
		}
		if s.number >= now-windowSlots {
			extras += s.extraSends
		}
	}
	return requests, extras
}

// slot returns the slot for the present time. The caller must hold w.mu.
func (w *windows) slot(service string) *slot {
	win := w.services[service]
	if win == nil {
		win = &window{}
		w.services[service] = win
	}
	number := int64(w.clock()/(w.span/windowSlots)) + 1
	s := &win[number%int64(len(win))]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}
