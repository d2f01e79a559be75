// Package quarantine finds requests whose content crashes the targets that
// run it, and keeps them from taking down the fleet.
package quarantine

import (
	"context"
	"time"
)

// Standing is what is held against a content fingerprint.
type Standing int

// The standings.
const (
	Clear     Standing = iota
	Suspect            // in flight at a crash: runs alone
	Convicted          // refused for a time
	Watched            // suspect for which no idle target was found: runs beside others
)

// Tracker follows content fingerprints. It is safe for concurrent use.
type Tracker interface {
	// Check returns the standing of a fingerprint and how long it lasts.
	Check(fingerprint uint64) (Standing, time.Duration)
	// Begin notes that the content was sent to a target.
	Begin(fingerprint uint64, target string)
	// End notes that the target is done with it.
	End(fingerprint uint64, target string)
	// Crashed notes that a target died; what was in flight there is suspect.
	Crashed(target string)
}

// Claimer is a Tracker that also gives the right to run suspect content. It is
// asked after Check said Suspect or Watched, before the content is sent to a target.
type Claimer interface {
	Tracker
	// Claim takes the only right in the fleet to run the content now. ok is
	// false while another run of it goes on; then release is nil. release is
	// called once, after End; finished says that a target gave the whole
	// answer, which clears the content. Claim may wait a moment for the peers.
	Claim(ctx context.Context, fingerprint uint64) (release func(finished bool), ok bool)
	// ClaimTarget takes the only right in the fleet to run suspect content at a
	// target. It is asked after Claim, once the target is chosen. ok is false
	// while another suspect runs there; then release is nil. release is called
	// once, after End; finished says that the target gave the whole answer, which
	// frees it at once. ClaimTarget may wait a moment for the peers.
	ClaimTarget(ctx context.Context, fingerprint uint64, target string) (release func(finished bool), ok bool)
}
