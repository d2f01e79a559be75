package claim

import (
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/roster"
)

// Sightings knows for how long the newest claim for each service has stood at
// least. The daemons tell each other in their beats.
//
// The failure it stops: a daemon that takes the duty over waits for the lease
// from its own first sight of the claim, though others saw it long ago. With
// all decoding engines gone nothing was answered for 3.4 s more.
//
// It holds since an age that is told can only be too short: time passes
// between the sight, the beat and its arrival, also while either is paused.
type Sightings struct {
	now func() time.Duration

	mu   sync.Mutex
	seen map[string]sighting // by service
}

// sighting is a claim, and when it was first seen by any daemon, or later.
type sighting struct {
	offset int64
	at     time.Duration
}

// NewSightings returns an empty Sightings over a clock that goes on while the
// machine sleeps.
func NewSightings(c clock.Clock) *Sightings {
	return &Sightings{now: c.Now, seen: make(map[string]sighting)}
}

// age notes that the store holds this claim as the newest one, and returns for
// how long it has stood at least.
func (s *Sightings) age(service string, offset int64) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	old, known := s.seen[service]
	if !known || old.offset != offset {
		s.seen[service] = sighting{offset: offset, at: now}
		return 0
	}
	return now - old.at
}

// Told implements roster.Claims.
func (s *Sightings) Told() []roster.Claim {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	out := make([]roster.Claim, 0, len(s.seen))
	for service, one := range s.seen {
		out = append(out, roster.Claim{Service: service, Offset: one.offset, AgeMs: (now - one.at).Milliseconds()})
	}
	return out
}

// Heard implements roster.Claims.
func (s *Sightings) Heard(claims []roster.Claim) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, c := range claims {
		told := sighting{offset: c.Offset, at: now - time.Duration(c.AgeMs)*time.Millisecond}
		old, known := s.seen[c.Service]
		newer := !known || told.offset > old.offset
		if newer || told.offset == old.offset && told.at < old.at {
			s.seen[c.Service] = told
		}
	}
}
