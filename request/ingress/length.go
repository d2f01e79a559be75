package ingress

import (
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/request/dispatch"
)

const (
	// lengthDecay is the part of a length that is given up with each answer
	// that was shorter: half of it after some 35 answers.
	lengthDecay = 0.02
	// lengthMargin is how much longer than predicted a stream may take. Steps of
	// an engine with all places taken are some fifth longer than with half.
	lengthMargin = 1.25
)

// lengths learns how long the answers of each route take. It is safe for
// concurrent use.
//
// The failure it stops: a daemon that is stopped takes a request whose answer
// can't end before the stop, and the caller's stream is cut in the middle. Of
// a day on which all daemons are stopped in turn, two streams of 4 s begun
// 3.2 s after the signal were cut at the end of the 8 s that a stop has.
type lengths struct {
	mu      sync.Mutex
	byRoute map[string]*length
}

// length is the longest that a route's answers took lately.
type length struct {
	first    time.Duration // to the first event; the whole of an answer without events
	perToken time.Duration // from there on, for each output token stated
}

func (l *lengths) note(route string, output int, first, whole time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byRoute == nil {
		l.byRoute = make(map[string]*length)
	}
	one := l.byRoute[route]
	if one == nil {
		one = &length{}
		l.byRoute[route] = one
	}
	if first <= 0 || output <= 0 {
		one.first = slowly(one.first, whole)
		return
	}
	one.first = slowly(one.first, first)
	one.perToken = slowly(one.perToken, (whole-first)/time.Duration(output))
}

// slowly rises at once and falls with each shorter sight.
func slowly(old, seen time.Duration) time.Duration {
	return max(seen, old-time.Duration(lengthDecay*float64(old-seen)))
}

// predict is how long the call will take at most, by what was seen; without a
// sight of its route, as long as it may.
func (l *lengths) predict(c *dispatch.Call) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	one := l.byRoute[c.Route.Name]
	if one == nil {
		return patience(c)
	}
	most := one.first + one.perToken*time.Duration(c.Ask.MaxOutputTokens)
	return min(time.Duration(lengthMargin*float64(most)), patience(c))
}
