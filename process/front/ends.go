package front

import (
	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/connection/h1"
)

// logEnds logs how the requests have ended that were given up at targets since the last
// line. The share of late ones shows how much work goes on for callers that have left.
func (d *Daemon) logEnds() {
	s, last := d.pool.EndStats(), d.ends
	if s == last {
		return
	}
	d.ends = s
	log.WithFields(log.Fields{
		"given_up":    s.Given - last.Given,
		"confirmed":   s.Confirmed - last.Confirmed,
		"late":        s.Late - last.Late,
		"reset":       s.Reset - last.Reset,
		"unreachable": s.Unreachable - last.Unreachable,
		"untracked":   s.Untracked - last.Untracked,
		"late_ms":     h1.LateEnd.Milliseconds(),
	}).Info("front: requests given up at targets")
}
