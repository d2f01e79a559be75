package quarantine

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

const (
	// claimFor bounds a claim whose process doesn't give it back.
	claimFor = 2 * time.Minute
	// maxWatched bounds the Watched contents that one process runs at a time,
	// so that few meet at one target and are convicted together.
	maxWatched = 1
)

// before tells which of two claims stands: a confirmed one, else that of the
// lower incarnation.
func (k claim) before(other claim) bool {
	if k.confirmed != other.confirmed {
		return k.confirmed
	}
	return k.by < other.by
}

// Claim implements Claimer.
//
// The guard is against a caller that sends suspect content to all daemons at
// once: each would run it alone, and each would lose a target. A claim counts
// once all peers that can be reached know it and none knows a better one. Two
// that claim at once learn of each other before either runs, by the broadcast
// or by its answers, and the higher incarnation gives way.
func (b *Book) Claim(ctx context.Context, fp uint64) (func(finished bool), bool) {
	news, beside, ok := b.propose(fp)
	if !ok {
		counts.Add("claims_refused", 1)
		return nil, false
	}
	if news == nil {
		return func(bool) {}, true
	}
	b.send(news)
	if ctx.Err() != nil || !b.confirm(fp) {
		b.release(fp, beside, false)
		counts.Add("claims_refused", 1)
		return nil, false
	}
	var once sync.Once
	return func(finished bool) { once.Do(func() { b.release(fp, beside, finished) }) }, true
}

// object answers a peer's claim with one of its own when the content is in
// flight here already, from before anybody knew of a crash.
//
// The guard is against a third lost target: the content is at two, one dies,
// and its daemon would run it again alone while the other is still to die.
func (b *Book) object(c *content, k claim, now time.Time) bool {
	if k.by == b.o.Self || !now.Before(k.until) || c.claim.own && now.Before(c.claim.until) || !b.isRunning(c.fp) {
		return false
	}
	b.claims++
	c.claim = claim{by: b.o.Self, seq: b.claims, own: true, running: true, confirmed: true, until: now.Add(claimFor)}
	return true
}

func (b *Book) isRunning(fp uint64) bool {
	for _, m := range b.targets {
		if m[fp] > 0 {
			return true
		}
	}
	return false
}

// ranOut ends the claim of a content that was in flight and no longer is.
func (b *Book) ranOut(fp uint64, now time.Time) {
	c := b.contents[fp]
	if c == nil || !c.claim.running || b.isRunning(fp) {
		return
	}
	until := now.Add(settleTime)
	if !until.Before(c.claim.until) {
		return
	}
	c.claim.until = until
	b.post([]*peerpb.Conviction{claimNews(c, now)})
}

// mark writes a claim as the target of its news; readMark reads it.
func (k claim) mark() string { return claimMark + k.by + "#" + strconv.FormatUint(k.seq, 10) }

func readMark(target string) (claim, bool) {
	name, ok := strings.CutPrefix(target, claimMark)
	i := strings.LastIndexByte(name, '#')
	if !ok || i < 0 {
		return claim{}, false
	}
	seq, err := strconv.ParseUint(name[i+1:], 10, 64)
	return claim{by: name[:i], seq: seq}, err == nil
}

// propose enters a claim, and returns the news of it. No news and true: the
// content needs no claim.
func (b *Book) propose(fp uint64) (news []*peerpb.Conviction, beside, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.tick()
	c := b.contents[fp]
	if c == nil {
		return nil, false, true
	}
	standing, _ := c.standing(now)
	switch {
	case standing == Clear:
		return nil, false, true
	case standing == Convicted || now.Before(c.claim.until):
		return nil, false, false
	case standing == Watched && b.watched >= maxWatched:
		return nil, false, false
	}
	if standing == Watched {
		b.watched++
	}
	b.claims++
	c.claim = claim{
		by:    b.o.Self,
		seq:   b.claims,
		own:   true,
		until: now.Add(claimFor),
	}
	return []*peerpb.Conviction{claimNews(c, now)}, standing == Watched, true
}

func (b *Book) confirm(fp uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.tick()
	c := b.contents[fp]
	if c == nil {
		return true
	}
	if now.Before(c.convicted) || !c.claim.own {
		return false
	}
	c.claim.confirmed = true
	return true
}

// release gives a claim back after the moment in which a crash may still be
// noticed, and tells the peers.
func (b *Book) release(fp uint64, beside, finished bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.tick()
	if beside {
		b.watched--
	}
	c := b.contents[fp]
	if c == nil || !c.claim.own {
		return
	}
	c.claim.until = now.Add(settleTime)
	if finished {
		c.clears = c.claim.until
		b.clearing = append(b.clearing, fp)
	}
	b.post([]*peerpb.Conviction{claimNews(c, now)})
}

// clear lets off the contents that ran alone to their end.
func (b *Book) clear(now time.Time) {
	kept := b.clearing[:0]
	for _, fp := range b.clearing {
		c := b.contents[fp]
		if c == nil || c.clears.IsZero() {
			continue
		}
		if now.Before(c.clears) {
			kept = append(kept, fp)
			continue
		}
		c.clears = time.Time{}
		c.forgive()
		b.post(b.newsOne(c, now))
		counts.Add("cleared", 1)
	}
	b.clearing = kept
}
