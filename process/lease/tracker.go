package lease

import (
	"time"

	"github.com/pomelospool/pomelospool/process/fold"
	"github.com/pomelospool/pomelospool/process/record"
)

// maxClaimAgeFactor times Rule.Duration is the maximum age of the last tail read
// for a process to claim a group. It is more than Duration because a process
// without leases uses longer polls. The limit only saves appends and is not
// needed for safety, as a claim based on an old state is void.
const maxClaimAgeFactor = 3

// Membership gives the membership information that leases depend on.
type Membership interface {
	// Gone reports whether the incarnation is dead or has left.
	Gone(incarnation string) bool
	// Rank returns this process's rank among the candidates for a group,
	// starting at 0. It returns false if the process should not claim.
	Rank(group string) (int, bool)
}

// Tracker applies a Rule for one process. It has no clock and no goroutine.
// It is not safe for concurrent use.
type Tracker struct {
	rule        Rule
	self        string
	observedAt  map[int64]time.Duration  // first observation of own claims, by offset
	released    map[int64]bool           // own claims that are released, by offset
	vacantSince map[string]time.Duration // start of the time without a live holder, by group
}

// NewTracker returns a Tracker for the incarnation self.
func NewTracker(rule Rule, self string) *Tracker {
	return &Tracker{
		rule:        rule,
		self:        self,
		observedAt:  map[int64]time.Duration{},
		released:    map[int64]bool{},
		vacantSince: map[string]time.Duration{},
	}
}

func (t *Tracker) Rule() Rule { return t.rule }

// Observe records which claims of this process are current in s. now must not
// be earlier than the end of the read that returned s.
func (t *Tracker) Observe(now time.Duration, s *fold.State) {
	current := make(map[int64]bool)
	for _, l := range s.Leases {
		if l.Holder != t.self {
			continue
		}
		current[l.Claim] = true
		if _, ok := t.observedAt[l.Claim]; !ok {
			t.observedAt[l.Claim] = now
		}
	}
	for claim := range t.observedAt {
		if !current[claim] {
			delete(t.observedAt, claim)
			delete(t.released, claim)
		}
	}
}

// Authority reports whether the process may act for the group now. The result
// is valid for a single write before Until; each further write needs another
// call.
func (t *Tracker) Authority(now time.Duration, tail Tail, group string) (Authority, bool) {
	if !tail.Loaded {
		return Authority{}, false
	}
	l, ok := tail.State.Leases[group]
	if !ok || l.Holder != t.self || l.Released || t.released[l.Claim] {
		return Authority{}, false
	}
	observedAt, ok := t.observedAt[l.Claim]
	if !ok || now < t.rule.ValidFrom(l, observedAt) {
		return Authority{}, false
	}
	a := Authority{Fence: l.Claim, Until: t.rule.ValidUntil(tail.ReadStart)}
	return a, now < a.Until
}

// MarkReleased records that the claim is being released. The process never acts
// under it again, even if the release record doesn't reach the log.
func (t *Tracker) MarkReleased(claim int64) { t.released[claim] = true }

// DueClaims returns the claims that the process should append now. They are for
// groups without a live holder whose claim delay has passed. A process whose
// last tail read is too old claims nothing, so no burst of claims follows an
// outage of the log.
func (t *Tracker) DueClaims(now time.Duration, tail Tail, groups []string, members Membership) []record.Claim {
	if !tail.Loaded || now >= tail.ReadStart+maxClaimAgeFactor*t.rule.Duration {
		return nil
	}
	t.pruneVacant(groups)
	var claims []record.Claim
	for _, g := range groups {
		l := tail.State.Leases[g]
		if !t.isVacant(l, members) {
			delete(t.vacantSince, g)
			continue
		}
		if t.isDue(now, g, members) {
			claims = append(claims, record.Claim{Group: g, Previous: l.Claim, Holder: t.self})
		}
	}
	return claims
}

// isVacant reports whether the lease has no live holder.
func (t *Tracker) isVacant(l fold.Lease, members Membership) bool {
	switch {
	case l.Claim == 0 || l.Released:
		return true
	case l.Holder == t.self:
		return false
	}
	return members.Gone(l.Holder)
}

// isDue reports whether the process's claim delay for the vacant group has
// passed.
func (t *Tracker) isDue(now time.Duration, group string, members Membership) bool {
	since, ok := t.vacantSince[group]
	if !ok {
		since = now
		t.vacantSince[group] = now
	}
	rank, ok := members.Rank(group)
	return ok && now >= t.rule.ClaimAt(since, rank)
}

// pruneVacant removes groups that no longer exist.
func (t *Tracker) pruneVacant(groups []string) {
	if len(t.vacantSince) == 0 {
		return
	}
	exists := make(map[string]bool, len(groups))
	for _, g := range groups {
		exists[g] = true
	}
	for g := range t.vacantSince {
		if !exists[g] {
			delete(t.vacantSince, g)
		}
	}
}
