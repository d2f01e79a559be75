package roster

import (
	"time"

	"github.com/apex/log"
)

const (
	// pausedAfter is the time without an own heartbeat after which this process counts as
	// having been paused. It spans three heartbeats.
	pausedAfter = 3 * heartbeatInterval
	// settleAfterPause is how long after a pause daemons still count as alive that were
	// alive before it. In that time this process reads what was sent during the pause, and
	// the others send again.
	settleAfterPause = 2 * digestInterval
)

// pauses records the last pause of this process, guarded by Roster.mu.
//
// A daemon that was paused for a second has received nothing for that long. Without this
// record it would answer callers with its own address alone.
type pauses struct {
	lastActivity time.Time // last time that this process was known to run
	start        time.Time // start of the last pause: the last activity before it
	end          time.Time // end of the last pause
}

// recordActivity records that this process runs, and logs a pause that has just ended.
func (p *pauses) recordActivity(now time.Time) {
	if p.resuming(now) {
		p.start, p.end = p.lastActivity, now
		log.WithField("ms", now.Sub(p.start).Milliseconds()).Warn("roster: process was paused")
	}
	p.lastActivity = now
}

// resuming reports whether this process resumes from a pause now.
func (p *pauses) resuming(now time.Time) bool {
	return !p.lastActivity.IsZero() && now.Sub(p.lastActivity) > pausedAfter
}

// recentStart returns the start of a pause that ends now or has ended within
// settleAfterPause.
func (p *pauses) recentStart(now time.Time) (time.Time, bool) {
	switch {
	case p.resuming(now):
		return p.lastActivity, true
	case !p.end.IsZero() && now.Sub(p.end) < settleAfterPause:
		return p.start, true
	}
	return time.Time{}, false
}

// isAlive reports whether a daemon counts as alive, by what was received recently or
// before a recent pause of this process. Callers hold r.mu.
func (r *Roster) isAlive(p *peer, now time.Time) bool {
	if p.alive(now, r.deadTimeout()) {
		return true
	}
	before, paused := r.paused.recentStart(now)
	return paused && p.alive(before, r.deadTimeout())
}
