package ingress

import (
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/request/dispatch"
)

const (
	// durationDecay is the fraction by which an estimate moves towards each
	// shorter answer. The difference halves after about 35 answers.
	durationDecay = 0.02
	// durationMargin is the factor by which a stream may take longer than
	// predicted. The steps of an engine with all slots in use take about a
	// fifth longer than with half of them in use.
	durationMargin = 1.25
)

// durationPredictor predicts how long the answers of each route take. It is
// safe for concurrent use.
//
// It prevents this failure: a daemon that is being stopped accepts a request
// whose answer can't end before the stop, and the caller's stream is cut. This
// was observed with streams of 4 s that began 3.2 s after the signal, with 8 s
// from the signal to the stop.
type durationPredictor struct {
	mu      sync.Mutex
	byRoute map[string]*routeDuration
}

// routeDuration holds decaying maxima from the recent answers of a route.
type routeDuration struct {
	first    time.Duration // until the first event, or of the whole answer if it has no events
	perToken time.Duration // after the first event, for each output token requested
}

// observe updates the estimates of a route with the durations of an answer.
func (p *durationPredictor) observe(route string, output int, first, total time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byRoute == nil {
		p.byRoute = make(map[string]*routeDuration)
	}
	d := p.byRoute[route]
	if d == nil {
		d = &routeDuration{}
		p.byRoute[route] = d
	}
	if first <= 0 || output <= 0 {
		d.first = decayingMax(d.first, total)
		return
	}
	d.first = decayingMax(d.first, first)
	d.perToken = decayingMax(d.perToken, (total-first)/time.Duration(output))
}

// decayingMax returns the new value if it is larger than the old one. Otherwise
// it moves the old value towards the new one by durationDecay.
func decayingMax(old, latest time.Duration) time.Duration {
	return max(latest, old-time.Duration(durationDecay*float64(old-latest)))
}

// predict returns an upper estimate of the call's duration. For a route without
// earlier answers it returns the call's timeout.
func (p *durationPredictor) predict(c *dispatch.Call) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.byRoute[c.Route.Name]
	if d == nil {
		return callTimeout(c)
	}
	longest := d.first + d.perToken*time.Duration(c.Meta.MaxOutputTokens)
	return min(time.Duration(durationMargin*float64(longest)), callTimeout(c))
}
