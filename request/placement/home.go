package placement

import (
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/speed"
)

const (
	// manyEngines is the number of engines from which on the daemons know too
	// little of each other's prompts: reports take some 0.7 s to all of 90 daemons.
	manyEngines = 16
	// awayShare is the part of the time to read what nobody is known to keep
	// that an engine other than the home costs on top.
	awayShare = 0.5
)

// home is where prompts with equal leading parts meet while nobody is known to
// keep those parts: the engine that their hash names. Each daemon names the
// same one without a message.
//
// The failure it stops: the first prompts with a new part come to several
// daemons within the time that reports take, and each has another engine read
// it. Of 85 million prompt tokens read on a day of 90 daemons and 140 engines
// 24 million were read so again.
type home struct {
	p       *Prompt
	at      int // index of the candidate, -1: none is needed
	source  int // the same engine's index among the sources
	unknown int // shared prompt tokens that nobody is known to keep
}

func newHome(p Prompt, cands, sources []Candidate, holder int, f speed.Estimates) home {
	h := home{p: &p, at: -1, source: -1, unknown: p.Shared}
	if holder >= 0 {
		h.unknown -= sources[holder].Load.Ready
	}
	if len(cands) < manyEngines || f.PrefillTime(p.Tokens, h.unknown) < leastFetch.of(&p) {
		return h
	}
	least := 0.0
	for i := range cands {
		c := &cands[i]
		if c.Private || c.Rate >= soundRate || c.Pace > slowFrom {
			continue
		}
		if u := unit(p.Seed ^ engines.Hash(c.Entry.ID)); h.at < 0 || u < least {
			h.at, least = i, u
		}
	}
	if h.at >= 0 {
		h.source = find(sources, cands[h.at].Entry.ID)
	}
	return h
}

func find(list []Candidate, id string) int {
	for i := range list {
		if list[i].Entry.ID == id {
			return i
		}
	}
	return -1
}

// cost is what it costs to have candidate i read the prompt away from home.
func (h *home) cost(i int, f speed.Estimates) time.Duration {
	if h.at < 0 || i == h.at {
		return 0
	}
	return time.Duration(awayShare * float64(f.PrefillTime(h.p.Tokens, h.unknown)))
}

// guess has an engine away from home fetch from there what others may have had
// read there meanwhile. A fetch of nothing costs nothing.
func (h *home) guess(ch *Choice) {
	if h.at >= 0 && ch.At != h.at && ch.Fetch < 0 && h.source >= 0 {
		ch.Fetch, ch.Guessed = h.source, true
	}
}
