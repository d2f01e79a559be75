package lease

import (
	"time"

	"github.com/pomelospool/pomelospool/process/fold"
	"github.com/pomelospool/pomelospool/process/record"
)

// claimAge times Duration is the age of the last read up to which a process claims.
// It is longer than Duration because one that holds nothing reads with longer polls.
// A claim that was decided on an old state is void, so this is no guard but
// only spares appends.
const claimAge = 3

// Membership is what membership knows, as far as leases need it.
type Membership interface {
	// Gone reports whether the incarnation is dead or has left.
	Gone(incarnation string) bool
	// Rank gives this process's place among the candidates for a group, 0
	// first, and false when it should not claim.
	Rank(group string) (int, bool)
}

// Tracker applies the rule for one process. It has no clock and no goroutine,
// and it is not safe for concurrent use.
type Tracker struct {
	rule   Rule
	self   string
	stood  map[int64]time.Duration  // own claims, by offset: when they were seen to stand
	given  map[int64]bool           // own claims that were given back
	vacant map[string]time.Duration // groups: since when nobody lives who holds them
}

// NewTracker returns a Tracker for the incarnation self.
func NewTracker(rule Rule, self string) *Tracker {
	return &Tracker{
		rule:   rule,
		self:   self,
		stood:  map[int64]time.Duration{},
		given:  map[int64]bool{},
		vacant: map[string]time.Duration{},
	}
}

// Rule returns the times that the tracker applies.
func (t *Tracker) Rule() Rule { return t.rule }

// Observe notes which claims of this process stand. now must not be earlier
// than the end of the read that gave s.
func (t *Tracker) Observe(now time.Duration, s *fold.State) {
	current := make(map[int64]bool)
	for _, l := range s.Leases {
		if l.Holder != t.self {
			continue
		}
		current[l.Claim] = true
		if _, ok := t.stood[l.Claim]; !ok {
			t.stood[l.Claim] = now
		}
	}
	for claim := range t.stood {
		if !current[claim] {
			delete(t.stood, claim)
			delete(t.given, claim)
		}
	}
}

// Authority reports whether the process may act for the group now. The answer
// holds for one write, and only until Until; it must be asked again before the
// next.
func (t *Tracker) Authority(now time.Duration, tail Tail, group string) (Authority, bool) {
	if !tail.Loaded {
		return Authority{}, false
	}
	l, ok := tail.State.Leases[group]
	if !ok || l.Holder != t.self || l.Released || t.given[l.Claim] {
		return Authority{}, false
	}
	stood, ok := t.stood[l.Claim]
	if !ok || now < t.rule.ValidFrom(l, stood) {
		return Authority{}, false
	}
	a := Authority{Fence: l.Claim, Until: t.rule.ValidUntil(tail.ReadStart)}
	return a, now < a.Until
}

// MarkReleased notes that the claim is being given back. The process never acts under
// it again, even if the release doesn't reach the log.
func (t *Tracker) MarkReleased(claim int64) { t.given[claim] = true }

// DueClaims returns the claims that the process should append now: for groups
// without a living holder, when its turn has come. A process whose reads are
// old wants none, so an outage of the log ends without a burst of claims.
func (t *Tracker) DueClaims(now time.Duration, tail Tail, groups []string, view Membership) []record.Claim {
	if !tail.Loaded || now >= tail.ReadStart+claimAge*t.rule.Duration {
		return nil
	}
	t.dropVacant(groups)
	var claims []record.Claim
	for _, g := range groups {
		l := tail.State.Leases[g]
		if !t.open(l, view) {
			delete(t.vacant, g)
			continue
		}
		if t.turn(now, g, view) {
			claims = append(claims, record.Claim{Group: g, Previous: l.Claim, Holder: t.self})
		}
	}
	return claims
}

// open reports whether nobody who lives holds the lease.
func (t *Tracker) open(l fold.Lease, view Membership) bool {
	switch {
	case l.Claim == 0 || l.Released:
		return true
	case l.Holder == t.self:
		return false
	}
	return view.Gone(l.Holder)
}

// turn reports whether the process's time to claim the vacant group has come.
func (t *Tracker) turn(now time.Duration, group string, view Membership) bool {
	since, ok := t.vacant[group]
	if !ok {
		since = now
		t.vacant[group] = now
	}
	rank, ok := view.Rank(group)
	return ok && now >= t.rule.ClaimAt(since, rank)
}

// dropVacant forgets groups that don't exist any more.
func (t *Tracker) dropVacant(groups []string) {
	if len(t.vacant) == 0 {
		return
	}
	exists := make(map[string]bool, len(groups))
	for _, g := range groups {
		exists[g] = true
	}
	for g := range t.vacant {
		if !exists[g] {
			delete(t.vacant, g)
		}
	}
}
