package quarantine

import (
	"slices"
	"time"
)

const (
	sameCrash  = 10 * time.Second // two reports of one target's death lie closer
	maxCrashes = 4                // remembered of one content
	suspectFor = 30 * time.Minute // after a crash, without a run to the end
	aloneFor   = 5 * time.Second  // from the first try of suspect content, while it waits for an idle target
	convictMax = 4 * time.Hour
	// convictShort is for contents that can't be told apart: some are innocent.
	convictShort = 2 * time.Minute
)

// crash is the death of a target with the content in flight.
type crash struct {
	target   string
	at       time.Time
	local    bool // seen by this process
	forgiven bool // something else is known to be the cause
}

// claim is the right to run suspect content.
type claim struct {
	by        string // incarnation, empty for none
	seq       uint64 // number of the claim there
	own       bool   // of this process
	running   bool   // own, and only because the content was already in flight
	until     time.Time
	confirmed bool // every peer that could be reached knows it
}

// content is what is held against one fingerprint.
type content struct {
	fp          uint64
	crashes     []crash
	claim       claim
	convicted   time.Time // until
	suspect     time.Time // until
	convictions int
	tried       time.Time // first try as a suspect, zero for none
	clears      time.Time // when it is let off, zero for never
}

// standing of the content, and until when.
func (c *content) standing(now time.Time) (Standing, time.Time) {
	if now.Before(c.convicted) {
		return Convicted, c.convicted
	}
	if now.Before(c.suspect) && c.counted() > 0 {
		if c.tried.IsZero() || now.Sub(c.tried) < aloneFor {
			return Suspect, c.suspect
		}
		return Watched, c.suspect
	}
	return Clear, now
}

// counted is the number of crashes held against the content.
func (c *content) counted() int {
	n := 0
	for _, k := range c.crashes {
		if !k.forgiven {
			n++
		}
	}
	return n
}

func (c *content) seenHere() bool {
	return slices.ContainsFunc(c.crashes, func(k crash) bool { return k.local && !k.forgiven })
}

// add notes a crash and reports whether it is a new one. Several daemons report
// the same death; counting it twice would convict innocents at one crash.
func (c *content) add(k crash) bool {
	for i, old := range c.crashes {
		if old.target == k.target && k.at.Sub(old.at).Abs() < sameCrash {
			c.crashes[i].local = old.local || k.local
			return false
		}
	}
	c.push(k)
	return true
}

func (c *content) push(k crash) {
	if len(c.crashes) >= maxCrashes {
		c.crashes = slices.Delete(c.crashes, 0, 1)
	}
	c.crashes = append(c.crashes, k)
	c.tried = time.Time{}
	if until := k.at.Add(suspectFor); until.After(c.suspect) {
		c.suspect = until
	}
}

// alone reports whether this process has the right to run the content alone.
func (c *content) alone(now time.Time) bool {
	return c.claim.own && !c.claim.running && now.Before(c.claim.until)
}

// blame notes a death that this process saw and reports whether it is new. One
// of the content's run alone always is, even at a target that died with it a
// moment ago and was restarted.
func (c *content) blame(d death) bool {
	c.clears = time.Time{}
	k := crash{target: d.target, at: d.at, local: true}
	if !c.alone(d.at) {
		return c.add(k)
	}
	c.push(k)
	return true
}

// forgive drops what is held against the content. The crashes stay known, so
// that late news of them doesn't count.
func (c *content) forgive() {
	for i := range c.crashes {
		c.crashes[i].forgiven = true
	}
	c.claim = claim{}
}

// convict refuses the content for a time that doubles with each conviction.
// After it the content is suspect again, and runs alone.
func (c *content) convict(now time.Time, base time.Duration) {
	d := min(base<<min(c.convictions, 10), convictMax)
	c.convictions++
	c.refuse(now, d)
}

func (c *content) refuse(now time.Time, d time.Duration) {
	c.convicted = now.Add(d)
	c.suspect = c.convicted.Add(suspectFor)
	c.tried = time.Time{}
	c.claim = claim{}
}

// ends is when nothing is known of the content any more.
func (c *content) ends() time.Time {
	if c.suspect.After(c.convicted) {
		return c.suspect
	}
	return c.convicted
}
