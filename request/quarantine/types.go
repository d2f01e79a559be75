// Package quarantine detects requests whose content crashes targets, and keeps
// them from crashing the targets of the whole fleet.
package quarantine

import (
	"context"
	"time"
)

// Verdict says how requests with a content fingerprint are treated.
type Verdict int

// Values of Verdict.
const (
	Clear         Verdict = iota
	Suspect               // was in flight at a crash; runs alone
	Convicted             // refused for a time
	SuspectShared         // suspect without an idle target; runs beside other requests
)

// Evidence says how it is known that a target has ended.
type Evidence int

// Values of Evidence.
const (
	Certain  Evidence = iota // its VM refuses connections, others don't
	Presumed                 // it can't be reached or has a successor, and others answer
	Alone                    // it can't be reached, and it isn't known whether others answer
)

// String returns the name of the evidence in logs.
func (e Evidence) String() string { return [...]string{"certain", "presumed", "alone"}[e] }

// Tracker tracks content fingerprints in flight and crashes of targets. It is
// safe for concurrent use.
type Tracker interface {
	// Check returns the verdict on a fingerprint and how long it lasts.
	Check(fingerprint Fingerprint) (Verdict, time.Duration)
	// Begin records that the content was sent to a target.
	Begin(fingerprint Fingerprint, target string)
	// End records that the content is no longer in flight at the target.
	End(fingerprint Fingerprint, target string)
	// Crashed records that a target crashed. Content in flight there becomes
	// suspect.
	Crashed(target string)
}

// Withdrawer is a Tracker from which a run can be withdrawn that never began.
type Withdrawer interface {
	// NotReceived is called in place of End, and before the target is reported,
	// if the target accepted no connection.
	NotReceived(fingerprint Fingerprint, target string)
}

// Claimer is a Tracker that also grants the right to run suspect content. It is
// used if Check returned Suspect or SuspectShared, before the content is sent to a
// target.
type Claimer interface {
	Tracker
	// Claim acquires the exclusive right in the fleet to run the content. ok is
	// false while another run of it is in progress; release is nil then. release
	// must be called once, after End; finished means that a target returned the
	// complete answer, which clears the content. Claim may wait for the peers
	// for a short time.
	Claim(ctx context.Context, fingerprint Fingerprint) (release func(finished bool), ok bool)
	// ClaimTarget acquires the exclusive right in the fleet to run suspect
	// content on a target. It is called after Claim, once the target is chosen.
	// ok is false while other suspect content runs there; release is nil then.
	// release must be called once, after End; finished means that the target
	// returned the complete answer, which releases the target at once.
	// ClaimTarget may wait for the peers for a short time.
	ClaimTarget(ctx context.Context, fingerprint Fingerprint, target string) (release func(finished bool), ok bool)
}
