package quarantine

import "time"

// maxCrashTimes bounds the targets whose crashes are remembered.
const maxCrashTimes = 4096

// crashTimes holds when a crash of each target was noticed first, by any process
// and for any content. A run at the target may break later, or be found by a
// later search, and still have ended with it. Targets are incarnations, which
// crash once.
type crashTimes struct {
	first map[string]time.Time // by target
	order []string             // keys of first, oldest first
}

// record adds a crash that was noticed at that time.
func (c *crashTimes) record(target string, at time.Time) {
	if known, ok := c.first[target]; ok {
		if at.Before(known) {
			c.first[target] = at
		}
		return
	}
	if len(c.order) >= maxCrashTimes {
		delete(c.first, c.order[0])
		c.order = c.order[1:]
	}
	if c.first == nil {
		c.first = make(map[string]time.Time)
	}
	c.first[target] = at
	c.order = append(c.order, target)
}

// earliest returns when the target of a crash was first noticed to have crashed.
func (c *crashTimes) earliest(cr crash) time.Time {
	if at, ok := c.first[cr.target]; ok && at.Before(cr.at) {
		return at
	}
	return cr.at
}
