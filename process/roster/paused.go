package roster

import (
	"time"

	"github.com/apex/log"
)

const (
	// pausedAfter is the time without a heartbeat of its own after which a daemon was
	// paused: three heartbeats.
	pausedAfter = 3 * heartbeatInterval
	// settleAfterPause is how long after a pause those count as alive that did
	// before it: what they sent meanwhile is read, and they send again.
	settleAfterPause = 2 * digestEvery
)

// pauses knows the last pause of this process, guarded by Roster.mu.
//
// A daemon that was paused for a second has received nothing for that long. It would
// answer the callers that asked in the meantime with its own address alone.
type pauses struct {
	running time.Time // the last sign that this process ran
	began   time.Time // of the last pause: the last sign before it
	ended   time.Time
}

// tick records that this process runs.
func (p *pauses) tick(now time.Time) {
	if p.pausing(now) {
		p.began, p.ended = p.running, now
		log.WithField("ms", now.Sub(p.began).Milliseconds()).Warn("roster: paused")
	}
	p.running = now
}

// pausing reports whether a pause ends at this moment.
func (p *pauses) pausing(now time.Time) bool {
	return !p.running.IsZero() && now.Sub(p.running) > pausedAfter
}

// before returns the begin of a pause that ends now, or has ended a moment ago.
func (p *pauses) before(now time.Time) (time.Time, bool) {
	switch {
	case p.pausing(now):
		return p.running, true
	case !p.ended.IsZero() && now.Sub(p.ended) < settleAfterPause:
		return p.began, true
	}
	return time.Time{}, false
}

// isAlive reports whether a daemon counts as alive here: by what was received
// recently, or before a pause of this process. Callers hold r.mu.
func (r *Roster) isAlive(p *peer, now time.Time) bool {
	if p.alive(now, r.patience()) {
		return true
	}
	before, paused := r.paused.before(now)
	return paused && p.alive(before, r.patience())
}
