package claim

import (
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/roster"
)

// AgeTracker knows for how long the newest claim on each subject has stood at
// least. The daemons exchange it in their heartbeats, so that one that takes a
// duty over needn't wait for the whole lease from its own first look. An age
// that another daemon reports can only be too short: time passes on the way.
type AgeTracker struct {
	now func() time.Duration

	mu   sync.Mutex
	seen map[string]sighting // by subject
}

// sighting is a claim, and when it was first seen by any daemon, or later.
type sighting struct {
	offset int64
	at     time.Duration
}

// NewAgeTracker returns an empty AgeTracker over a clock that goes on while the
// machine sleeps.
func NewAgeTracker(c clock.Clock) *AgeTracker {
	return &AgeTracker{now: c.Now, seen: make(map[string]sighting)}
}

// age records that the store holds this claim as the newest one, and returns for
// how long it has stood at least.
func (s *AgeTracker) age(subject string, offset int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	old, known := s.seen[subject]
	if !known || old.offset != offset {
		s.seen[subject] = sighting{offset: offset, at: now}
		return 0
	}
	return now - old.at
}

// Report implements roster.Claims.
func (s *AgeTracker) Report() []roster.Claim {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	out := make([]roster.Claim, 0, len(s.seen))
	for subject, one := range s.seen {
		out = append(out, roster.Claim{Subject: subject, Offset: one.offset, AgeMs: (now - one.at).Milliseconds()})
	}
	return out
}

// Merge implements roster.Claims.
func (s *AgeTracker) Merge(claims []roster.Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, c := range claims {
		reported := sighting{offset: c.Offset, at: now - time.Duration(c.AgeMs)*time.Millisecond}
		old, known := s.seen[c.Subject]
		newer := !known || reported.offset > old.offset
		if newer || reported.offset == old.offset && reported.at < old.at {
			s.seen[c.Subject] = reported
		}
	}
}
