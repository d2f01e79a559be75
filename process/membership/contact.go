package membership

import (
	"context"
	"time"

	"github.com/pomelospool/pomelospool/internal/pause"
)

const (
	// maxContactWaitPeriods bounds the wait for a peer's answer after a pause, in periods.
	// Probes are sent in the first round after the pause and take one period.
	maxContactWaitPeriods = 2
	// contactChecksPerPeriod is the number of checks for an answer per period.
	contactChecksPerPeriod = 20
)

// TimeSinceContact returns the time since the last answer or request of any peer, pauses
// of this process included.
func (m *Membership) TimeSinceContact() time.Duration { return m.o.Now() - m.view.Load().LastContact }

// AwaitContact returns once a peer answered or sent a request after the last pause of this
// process, or had enough time to do so. Without a recent pause it returns at once.
//
// After a pause TimeSinceContact is large even if all peers are reachable, because messages
// sent during the pause are unread and no probe has been sent yet.
func (m *Membership) AwaitContact(ctx context.Context) {
	for range maxContactWaitPeriods * contactChecksPerPeriod {
		if !m.resuming() || pause.For(ctx, m.o.Period/contactChecksPerPeriod) != nil {
			return
		}
	}
}

// resuming reports whether a pause ends now or ended recently and no peer has been in
// contact since.
func (m *Membership) resuming() bool {
	v, now := m.view.Load(), m.o.Now()
	if m.pausedBetween(v.LastRound, now) {
		return true
	}
	return v.ResumedAt > v.LastContact && now-v.ResumedAt < maxContactWaitPeriods*m.o.Period
}

// pausedBetween reports whether this process was paused between the last round and now.
func (m *Membership) pausedBetween(round, now time.Duration) bool {
	return now-round > 2*m.o.Period+m.o.DeadAfter/2
}
