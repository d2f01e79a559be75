package claim

import (
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/roster"
)

// AgeTracker tracks a lower bound of the age of the newest claim on each subject.
// Daemons exchange these ages in heartbeats, so that a daemon that takes over
// needn't wait a whole lease from its own first read. An age reported by another
// daemon can only be too low, because of the transmission delay.
type AgeTracker struct {
	now func() time.Duration

	mu           sync.Mutex
	observations map[string]observation // by subject
}

// observation is the newest known claim on a subject, with the earliest known
// time at which any daemon observed it. The actual first observation may be
// earlier.
type observation struct {
	offset int64
	since  time.Duration
}

// NewAgeTracker returns an empty AgeTracker. The clock must include the time for
// which the VM is suspended.
func NewAgeTracker(c clock.Clock) *AgeTracker {
	return &AgeTracker{now: c.Now, observations: make(map[string]observation)}
}

// observe records that the claim at offset is the newest one in the store, and
// returns a lower bound of its age.
func (t *AgeTracker) observe(subject string, offset int64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	old, known := t.observations[subject]
	if !known || old.offset != offset {
		t.observations[subject] = observation{offset: offset, since: now}
		return 0
	}
	return now - old.since
}

// Report implements roster.Claims.
func (t *AgeTracker) Report() []roster.Claim {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	out := make([]roster.Claim, 0, len(t.observations))
	for subject, o := range t.observations {
		out = append(out, roster.Claim{Subject: subject, Offset: o.offset, AgeMs: (now - o.since).Milliseconds()})
	}
	return out
}

// Merge implements roster.Claims.
func (t *AgeTracker) Merge(claims []roster.Claim) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, c := range claims {
		reported := observation{offset: c.Offset, since: now - time.Duration(c.AgeMs)*time.Millisecond}
		old, known := t.observations[c.Subject]
		newer := !known || reported.offset > old.offset
		if newer || reported.offset == old.offset && reported.since < old.since {
			t.observations[c.Subject] = reported
		}
	}
}
