package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomelospool/pomelospool/request/balance"
)

// ReportDelay returns the mean time from a change of another daemon's load to
// its receipt here. It is 0 in a small fleet, in which each change is sent to
// all daemons within some milliseconds. In a large fleet a change waits half a
// heartbeatInterval for the aggregator of its availability zone, and in two of
// three zones half a digestInterval for the one of this daemon's zone; on
// average this is a heartbeatInterval.
func (r *Roster) ReportDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.small() {
		return 0
	}
	return heartbeatInterval
}

// RequestShare returns the part of all requests that this daemon handles. The
// daemons that take requests are ordered by availability zone and name, and
// weighted by their processors, as callers are sent to them. This daemon
// counts as one of them.
func (r *Roster) RequestShare() balance.Share {
	now := time.Now()
	r.mu.Lock()
	cached, self := r.share, r.self
	r.mu.Unlock()
	if now.Sub(cached.at) < shareTTL && !cached.at.IsZero() {
		return cached.share
	}
	members := slices.DeleteFunc(r.Members()[1:], func(m Member) bool { return !m.serving() || m.idle() })
	cached = cachedShare{at: now, share: requestShare(append(members, self), self.VM)}
	r.mu.Lock()
	r.share = cached
	r.mu.Unlock()
	return cached.share
}

// shareTTL is how long a daemon's share of the requests is cached, since each
// request needs it.
const shareTTL = heartbeatInterval

// cachedShare is a share and the time it was computed.
type cachedShare struct {
	at    time.Time
	share balance.Share
}

// requestShare returns the part of the daemon named self.
func requestShare(members []Member, self string) balance.Share {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.VM, b.VM))
	})
	var share balance.Share
	total := 0.0
	for i := range members {
		m := &members[i]
		if m.VM == self {
			share = balance.Share{From: total, To: total + m.millicores()}
		}
		total += m.millicores()
	}
	return balance.Share{From: share.From / total, To: share.To / total}
}
