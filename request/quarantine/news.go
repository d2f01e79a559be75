package quarantine

import (
	"sort"
	"strings"
	"time"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

const (
	maxNews = 32              // contents on one heartbeat
	newsLag = 5 * time.Second // news on its way makes a time seem longer by less
	// claimMark begins the target of news about a claim; the claimant follows.
	claimMark = "@"
)

// newsOf says what is held against contents: one message for each crash, or
// one for a conviction. A forgiven content travels with 0 crashes.
func (b *Book) newsOf(cs []*content, now time.Time) []*peerpb.Conviction {
	var out []*peerpb.Conviction
	for _, c := range cs {
		out = append(out, b.newsOne(c, now)...)
	}
	return out
}

func (b *Book) newsOne(c *content, now time.Time) []*peerpb.Conviction {
	last := ""
	if n := len(c.crashes); n > 0 {
		last = c.crashes[n-1].target
	}
	if now.Before(c.convicted) {
		return []*peerpb.Conviction{{
			Fingerprint: c.fp,
			Crashes:     uint32(c.convictions + 1),
			TtlMs:       c.convicted.Sub(now).Milliseconds(),
			Target:      last,
		}}
	}
	var out []*peerpb.Conviction
	for _, k := range c.crashes {
		n := &peerpb.Conviction{Fingerprint: c.fp, Suspect: true, Crashes: 1, Target: k.target}
		n.TtlMs = k.at.Add(suspectFor).Sub(now).Milliseconds()
		if k.forgiven {
			n.Crashes = 0
		}
		out = append(out, n)
	}
	if c.claim.by != "" {
		out = append(out, claimNews(c, now))
	}
	return out
}

// claimNews tells of a claim; the crashes of it are 1 once it is confirmed,
// and its time is 0 when it was given back.
func claimNews(c *content, now time.Time) *peerpb.Conviction {
	n := &peerpb.Conviction{Fingerprint: c.fp, Suspect: true, Target: c.claim.mark()}
	n.TtlMs = max(0, c.claim.until.Sub(now).Milliseconds())
	if c.claim.confirmed {
		n.Crashes = 1
	}
	return n
}

// Outgoing implements membership.Convictions: the newest contents first.
func (b *Book) Outgoing() []*peerpb.Conviction {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.tick()
	var cs []*content
	for fp, c := range b.contents {
		if c.ends().Before(now) {
			delete(b.contents, fp)
			continue
		}
		cs = append(cs, c)
	}
	sort.Slice(cs, func(i, j int) bool { return cs[i].ends().After(cs[j].ends()) })
	return append(b.targetNews(now), b.newsOf(cs[:min(len(cs), maxNews)], now)...)
}

// Incoming implements membership.Convictions.
func (b *Book) Incoming(news []*peerpb.Conviction) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.tick()
	for _, n := range news {
		if strings.HasPrefix(n.Target, targetMark) {
			b.mergeTarget(n, now)
			continue
		}
		c := b.content(n.Fingerprint, now)
		if c == nil {
			continue
		}
		b.merge(c, n, now)
	}
}

func (b *Book) merge(c *content, n *peerpb.Conviction, now time.Time) {
	ttl := time.Duration(n.TtlMs) * time.Millisecond
	switch {
	case !n.Suspect:
		c.mergeConviction(n, now, min(ttl, convictMax))
	case strings.HasPrefix(n.Target, claimMark):
		k, ok := readMark(n.Target)
		k.until = now.Add(min(ttl, claimFor))
		k.confirmed = n.Crashes > 0
		if ok && !b.object(c, k, now) {
			c.mergeClaim(k, now)
		}
	case n.Crashes == 0:
		c.mergeForgiven(n.Target, now.Add(ttl-suspectFor))
	default:
		b.mergeCrash(c, crash{target: n.Target, at: now.Add(min(ttl, suspectFor) - suspectFor)}, now)
	}
}

// mergeConviction takes a peer's conviction. The number of convictions comes
// along, so that the next one doubles wherever it is made.
func (c *content) mergeConviction(n *peerpb.Conviction, now time.Time, ttl time.Duration) {
	c.convictions = max(c.convictions, int(n.Crashes)-1)
	if now.Add(ttl).After(c.convicted.Add(newsLag)) {
		c.refuse(now, ttl)
	}
	c.add(crash{target: n.Target, at: now})
}

// mergeClaim takes a peer's word about a claim. A claim that was given back
// stays known with its end: older news of it can't bring it back.
func (c *content) mergeClaim(k claim, now time.Time) {
	if c.claim.by == k.by {
		c.claim.refresh(k)
		return
	}
	if c.claim.yields(k, now) {
		c.claim = k
	}
}

// yields reports whether word of another process's claim replaces this one.
//
// Word of a claim that has ended replaces no claim of this process's own, not
// even an ended one. The failure: two processes claim at once, the loser's word
// that it gave way arrives just after the winner gave its claim back, and takes
// its place. The winner then tells nobody of the end any more; a peer that
// missed the broadcast refuses the content, or the target, for two minutes.
func (k claim) yields(other claim, now time.Time) bool {
	over := !now.Before(k.until)
	if !now.Before(other.until) {
		return over && !k.own
	}
	return over || other.before(k)
}

// refresh takes word of a claim of the same process: a newer one replaces it,
// and the same one can only end sooner.
func (k *claim) refresh(other claim) {
	switch {
	case k.own || other.seq < k.seq:
	case other.seq > k.seq:
		*k = other
	default:
		if other.until.Before(k.until) {
			k.until = other.until
		}
		k.confirmed = k.confirmed || other.confirmed
	}
}

// mergeForgiven takes the news that a crash is not held against the content.
func (c *content) mergeForgiven(target string, at time.Time) {
	c.add(crash{target: target, at: at, forgiven: true})
	for i, k := range c.crashes {
		if k.target == target && k.at.Sub(at).Abs() < sameCrash {
			c.crashes[i].forgiven = true
		}
	}
}

// mergeCrash takes a crash that a peer saw. It convicts only together with one
// that this process saw itself: only then does it know whether the content
// ended well meanwhile.
func (b *Book) mergeCrash(c *content, k crash, now time.Time) {
	if !c.add(k) || now.Before(c.convicted) {
		return
	}
	if c.counted() >= 2 && c.seenHere() && b.proven(c, now) {
		b.convict([]*content{c}, now)
	}
}
