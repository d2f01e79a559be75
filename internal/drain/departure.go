package drain

import (
	"time"

	"github.com/pomelospool/pomelospool/internal/presence"
)

// lateNotice is the age of a close from which on its departure is counted as late.
const lateNotice = 500 * time.Millisecond

// Departure implements presence.Caller.
func (c *conn) Departure() (presence.Departure, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.departure, !c.departure.At.IsZero()
}

// recordDeparture records that the caller closed the connection while a request was open.
// Callers hold c.mu.
func (c *conn) recordDeparture(by presence.Source) {
	if c.phase != active || c.multiplexed || !c.departure.At.IsZero() {
		return
	}
	c.departure = presence.Departure{At: time.Now(), By: by, Age: sinceLastSegment(c.Conn)}
	counts.Add("departures", 1)
	if c.departure.Age >= lateNotice {
		counts.Add("departures_late", 1)
	}
}
