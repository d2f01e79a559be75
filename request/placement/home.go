package placement

import (
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/speed"
)

const (
	// minEnginesForHome is the number of engines from which on the daemons know too
	// little of each other's prompts: reports take some 0.7 s to all of 90 daemons.
	minEnginesForHome = 16
	// awayCostShare is the part of the time to read what nobody is known to keep
	// that an engine other than the home costs on top.
	awayCostShare = 0.5
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
	p            *Prompt
	index        int // index of the candidate, -1: none is needed
	source       int // the same engine's index among the sources
	unreadTokens int // shared prompt tokens that nobody is known to keep
}

func newHome(p Prompt, cands, sources []Candidate, holder int, f speed.Figures) home {
	h := home{p: &p, index: -1, source: -1, unreadTokens: p.SharedTokens}
	if holder >= 0 {
		h.unreadTokens -= sources[holder].Load.Ready
	}
	if len(cands) < minEnginesForHome || f.Read(p.Tokens, h.unreadTokens) < minFetchSaving.duration(&p) {
		return h
	}
	least := 0.0
	for i := range cands {
		c := &cands[i]
		if c.LocalOnly || c.FailureRate >= maxSourceFailureRate || c.Slowdown > slowdownThreshold {
			continue
		}
		if u := hashFraction(p.Seed ^ engines.Hash(c.Entry.ID)); h.index < 0 || u < least {
			h.index, least = i, u
		}
	}
	if h.index >= 0 {
		h.source = indexByID(sources, cands[h.index].Entry.ID)
	}
	return h
}

func indexByID(list []Candidate, id string) int {
	for i := range list {
		if list[i].Entry.ID == id {
			return i
		}
	}
	return -1
}

// cost is what it costs to have candidate i read the prompt away from home.
func (h *home) cost(i int, f speed.Figures) time.Duration {
	if h.index < 0 || i == h.index {
		return 0
	}
	return time.Duration(awayCostShare * float64(f.Read(h.p.Tokens, h.unreadTokens)))
}

// addSpeculativeFetch has an engine away from home fetch from there what others may have had
// read there meanwhile. A fetch of nothing costs nothing.
func (h *home) addSpeculativeFetch(ch *Choice) {
	if h.index >= 0 && ch.Index != h.index && ch.Source < 0 && h.source >= 0 {
		ch.Source, ch.Speculative = h.source, true
	}
}
