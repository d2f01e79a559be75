package membership

import (
	"context"
	"time"

	"github.com/pomelospool/pomelospool/internal/pause"
)

const (
	// contactPeriods bounds the wait for a peer's answer after a pause, in
	// periods. Probes go out in the first round after it, and take one period.
	contactPeriods = 2
	// contactChecks is the number of looks for an answer in one period.
	contactChecks = 20
)

// PeerAge returns how long ago any peer last answered or asked. A pause of this
// process counts.
func (m *Membership) PeerAge() time.Duration { return m.o.Now() - m.view.Load().PeerContact }

// AwaitContact returns once a peer answered or asked after the last pause of
// this process, or had the time to. Without a recent pause it returns at once.
//
// After a pause PeerAge is large although all peers may be within reach: what
// they sent is still to be read, and nobody has been asked.
func (m *Membership) AwaitContact(ctx context.Context) {
	for range contactPeriods * contactChecks {
		if !m.resuming() || pause.For(ctx, m.o.Period/contactChecks) != nil {
			return
		}
	}
}

// resuming reports whether a pause ended a moment ago, or ends now, and no peer
// was in contact since.
func (m *Membership) resuming() bool {
	v, now := m.view.Load(), m.o.Now()
	if m.pausedBetween(v.Round, now) {
		return true
	}
	return v.Resumed > v.PeerContact && now-v.Resumed < contactPeriods*m.o.Period
}

// pausedBetween reports whether this process was paused between a round and a
// later time at which none had followed.
func (m *Membership) pausedBetween(round, now time.Duration) bool {
	return now-round > 2*m.o.Period+m.o.DeadAfter/2
}
