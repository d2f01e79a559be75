// Package burn measures the burn rate of each service's error budget over
// several time windows, and merges the measurements of all daemons.
package burn

import (
	"time"

	"github.com/pomelospool/pomelospool/code"
)

// Sample describes one finished request.
type Sample struct {
	Service          string
	Org              string
	Code             code.Code
	TimeToFirstToken time.Duration // 0 if there was no token
	TimePerToken     time.Duration // mean time between tokens, 0 if there were fewer than two
	Total            time.Duration
	Tokens           int
}

// Observer records samples. Implementations are safe for concurrent use and
// never block.
type Observer interface {
	Observe(s Sample)
}
