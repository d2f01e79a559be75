// Package burn measures how fast each service spends its error budget, over
// several windows, and merges the measure over all daemons.
package burn

import (
	"time"

	"github.com/pomelospool/pomelospool/code"
)

// Sample is one finished request.
type Sample struct {
	Service          string
	Org              string
	Code             code.Code
	TimeToFirstToken time.Duration // until the first token, 0 if none came
	TimePerToken     time.Duration // mean time between tokens, 0 if fewer than two
	Total            time.Duration
	Tokens           int
}

// Observer takes samples. It is safe for concurrent use and never blocks.
type Observer interface {
	Observe(s Sample)
}
