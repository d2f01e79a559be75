// Package quarantine finds requests whose content crashes the targets that
// run it, and keeps them from taking down the fleet.
package quarantine

import "time"

// Standing is what is held against a content fingerprint.
type Standing int

// The standings.
const (
	Clear     Standing = iota
	Suspect            // in flight at a crash: runs alone
	Convicted          // refused for a time
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
