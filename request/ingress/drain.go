package ingress

import "github.com/pomelospool/pomelospool/request/dispatch"

// Drain announces that callers have had the time to learn of the planned stop. From
// then on only requests are accepted that can't last until the stop: a prediction may be
// wrong, and callers that still come know other daemons.
func (i *Ingress) Drain() { i.draining.Store(true) }

// mayBeCut reports whether the call may still be open when the process stops.
func (i *Ingress) mayBeCut(c *dispatch.Call) bool {
	end := i.stopAt.Load()
	return i.draining.Load() && end != nil && c.Deadline.After(*end)
}
