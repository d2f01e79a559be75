// Package budget bounds the sends beyond the first one of each request.
//
// The failure it stops: when all targets fail, each retry adds load to what is
// failing already, and the load stays when its cause has gone.
package budget

import (
	"sync"
	"time"
)

// windows counts requests and sends beyond the first for each service, over
// the span that ends now. It counts in slots, so that what lies longer ago than
// the span leaves little by little. Services come from the configuration in
// force, so the map stays as small as their number.
type windows struct {
	span time.Duration
	now  func() time.Time

	mu       sync.Mutex
	services map[string]*window
}

type window [windowSlots]slot

// windowSlots is the number of slots in a window: a tenth of what counts
// leaves at a time.
const windowSlots = 10

type slot struct {
	number     int64
	requests   float64
	extraSends float64
}

func newWindows(span time.Duration, now func() time.Time) *windows {
	return &windows{span: span, now: now, services: make(map[string]*window)}
}

// request counts a request of a caller.
func (w *windows) request(service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slot(service).requests++
}

// count counts n sends beyond the first.
func (w *windows) count(service string, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slot(service).extraSends += float64(n)
}

// take counts n sends beyond the first if they stay within what allowed gives
// for the requests in the window.
func (w *windows) take(service string, n int, allowed func(requests float64) float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.slot(service)
	requests, extras := w.services[service].sum(s.number)
	if extras+float64(n) > allowed(requests) {
		return false
	}
	s.extraSends += float64(n)
	return true
}

func (w *window) sum(now int64) (requests, extras float64) {
	for _, s := range w {
		if s.number > now-windowSlots {
			requests += s.requests
			extras += s.extraSends
		}
	}
	return requests, extras
}

// slot returns the slot of this moment. Callers hold w.mu.
func (w *windows) slot(service string) *slot {
	one := w.services[service]
	if one == nil {
		one = &window{}
		w.services[service] = one
	}
	number := w.now().UnixNano() / int64(w.span/windowSlots)
	s := &one[number%windowSlots]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}
