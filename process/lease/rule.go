// Package lease decides when a process may act for a group of engines. A lease
// is a claim record in the control stream, and the record's offset is the
// fencing number. The holder renews the lease by reading the log's tail, which
// takes no append.
package lease

import (
	"time"

	"github.com/pomelospool/pomelospool/process/fold"
)

// Rule holds the durations that govern leases. Guard covers the drift of two
// clocks over Duration and the time during which data written under the old
// lease can still reach an engine, so it must exceed UserTimeout.
type Rule struct {
	Duration time.Duration // how long a holder may act after the start of a tail read
	Guard    time.Duration // extra wait of a new holder after Duration
	Stagger  time.Duration // delay between the claims of consecutive candidates
}

// Defaults of Rule.
const (
	DefaultDuration = 3 * time.Second
	DefaultGuard    = time.Second
	DefaultStagger  = time.Second
)

// WithDefaults returns a copy of r in which unset fields have their defaults.
func (r Rule) WithDefaults() Rule {
	if r.Duration <= 0 {
		r.Duration = DefaultDuration
	}
	if r.Guard <= 0 {
		r.Guard = DefaultGuard
	}
	if r.Stagger <= 0 {
		r.Stagger = DefaultStagger
	}
	return r
}

// UserTimeout returns the TCP_USER_TIMEOUT of connections that carry orders,
// which is how long the kernel tries to deliver them. The other half of Guard
// covers clock drift and network delay.
func (r Rule) UserTimeout() time.Duration { return r.Guard / 2 }

// Tail is the result of a process's reads of the log. State includes every
// record that was in the log at ReadStart.
type Tail struct {
	State     *fold.State
	ReadStart time.Duration // start of the last completed tail read
	Loaded    bool          // at least one tail read has completed
}

// Authority is the right to act for a group until a given time.
type Authority struct {
	Fence int64         // offset of the claim
	Until time.Duration // on the clock of this process
}

// ValidFrom returns the earliest time at which the holder of l may act, if it
// first observed its claim in the log at observedAt.
//
// The wait prevents two holders at once. The old holder's last read without
// this claim started before the claim was appended, so its authority ends
// within Duration of the append. Guard covers its clock drift and its data in
// flight. If the previous lease was released, only data in flight remains.
func (r Rule) ValidFrom(l fold.Lease, observedAt time.Duration) time.Duration {
	if l.PreviousReleased {
		return observedAt + r.Guard
	}
	return observedAt + r.Duration + r.Guard
}

// ValidUntil returns the end of the authority that a tail read grants.
//
// It stops a holder that was paused, suspended or partitioned from the log and
// doesn't know its successor. The time counts from the start of the read, as
// another claim may have been appended at any moment after that.
func (r Rule) ValidUntil(readStart time.Duration) time.Duration { return readStart + r.Duration }

// ClaimAt returns when the candidate with the given rank claims a group that has
// been vacant since vacantSince. The delay by rank avoids competing claims, so
// one append is enough in most cases.
func (r Rule) ClaimAt(vacantSince time.Duration, rank int) time.Duration {
	return vacantSince + time.Duration(rank)*r.Stagger
}
