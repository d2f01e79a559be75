// Package lease decides when a process may act for a group of engines. A lease
// is a claim record in the control stream, and its offset is the fencing
// number. Reads of the log's tail renew it; no append is spent on that.
package lease

import (
	"time"

	"github.com/pomelospool/pomelospool/process/fold"
)

// Rule holds the times by which leases are judged. Guard covers the drift of
// two clocks over T and the time for which bytes written under the old lease
// can still reach an engine, so it must exceed UserTimeout.
type Rule struct {
	T       time.Duration // how long a tail read lets a holder act, from its begin
	Guard   time.Duration // on top of T before a claimer acts
	Stagger time.Duration // between the claims of two candidates
}

// Defaults of the times.
const (
	DefaultT       = 3 * time.Second
	DefaultGuard   = time.Second
	DefaultStagger = time.Second
)

// WithDefaults fills the times that are not set.
func (r Rule) WithDefaults() Rule {
	if r.T <= 0 {
		r.T = DefaultT
	}
	if r.Guard <= 0 {
		r.Guard = DefaultGuard
	}
	if r.Stagger <= 0 {
		r.Stagger = DefaultStagger
	}
	return r
}

// UserTimeout is the TCP_USER_TIMEOUT for connections that carry orders: the
// longest time for which the kernel goes on trying to deliver them. The other
// half of the guard is left for drift and for the network itself.
func (r Rule) UserTimeout() time.Duration { return r.Guard / 2 }

// Tail is what a process knows from its reads of the log. Began and State
// belong together: State holds every record that stood in the log at Began.
type Tail struct {
	State *fold.State
	Began time.Duration // when the last finished read of the tail began
	Fresh bool          // a tail read has finished
}

// Authority is the right to act for a group until a time.
type Authority struct {
	Fence int64         // offset of the claim
	Until time.Duration // on the clock of this process
}

// From returns when the holder of l may act at the earliest, if it saw its
// claim stand at stood.
//
// The guard is against two holders at once. The old holder's last read that
// showed no later claim began before this claim stood, so its time ends T
// after that; Guard covers its drift and its bytes on the way. After a release
// nothing is left but the bytes on the way.
func (r Rule) From(l fold.Lease, stood time.Duration) time.Duration {
	if l.PreviousReleased {
		return stood + r.Guard
	}
	return stood + r.T + r.Guard
}

// Until returns when the authority ends that a tail read gave.
//
// The guard is against a holder that was paused, suspended or cut off from the
// log and doesn't know of its successor: without a young read it may not act.
// The time counts from the begin of the read, as a claim may have been
// appended at any moment after that.
func (r Rule) Until(began time.Duration) time.Duration { return began + r.T }

// ClaimAt returns when the candidate of the given rank claims a group that was
// seen vacant since the given time. Ranks spread the claims so that one append
// is enough in most cases.
func (r Rule) ClaimAt(vacant time.Duration, rank int) time.Duration {
	return vacant + time.Duration(rank)*r.Stagger
}
