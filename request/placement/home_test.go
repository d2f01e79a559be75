package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/version/route"
)

// randomEngines returns engines in a random order with little work each, as one of many
// daemons sees them.
func randomEngines(r *rand.Rand, n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = newCandidate(fmt.Sprintf("e%d", i), "a", waitOf(r.IntN(40)))
	}
	r.Shuffle(n, func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// A part that nobody has read before comes to several daemons within the time
// that news takes. Each sees other loads and has another engine read all of it.
func TestEqualNewPromptsGoToOneHome(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	e := &route.Engine{KVTokenBytes: 163_840, LinkBytes: 212e9}
	for seed := range uint64(20) {
		p := Prompt{Tokens: 17_000, SharedTokens: 13_300, Seed: seed * 0x9e3779b97f4a7c15}
		at := make(map[string]int)
		for range 10 {
			cands := randomEngines(r, 50)
			at[cands[Prefill(p, cands, cands, e, figures).Index].Entry.ID]++
		}
		if len(at) != 1 {
			t.Errorf("seed %d: read by %v", seed, at)
		}
	}
}

// The engine that all choose for a new part has a long queue: another one
// reads the prompt, and fetches what the first has read meanwhile.
func TestBusyHomeIsAvoided(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	p := Prompt{Tokens: 17_000, SharedTokens: 13_300, Seed: 7}
	cands := randomEngines(r, 50)
	sources := append([]Candidate{newCandidate("decodes", "a", engines.Load{})}, cands...)
	home := Prefill(p, cands, sources, nil, figures).Index
	cands[home].Load.Wait = 2 * time.Second
	got := Prefill(p, cands, sources, nil, figures)
	if got.Index == home || !got.Speculative || got.Source != home+1 || got.FetchedTokens != 0 || got.MissingTokens != p.Tokens {
		t.Errorf("%+v, home %d", got, home)
	}
	cands[home].Load.Wait, cands[home].FailureRate = 0, 0.9
	if got := Prefill(p, cands, sources, nil, figures); got.Index == home {
		t.Error("went to a failing home")
	}
}

// What is known to be kept is fetched from there, wherever the hash points.
func TestKnownPartsAreFetchedFromTheirHolder(t *testing.T) {
	e := &route.Engine{KVTokenBytes: 163_840, LinkBytes: 212e9}
	p := Prompt{Tokens: 17_000, SharedTokens: 13_300, Seed: 7}
	cands := randomEngines(rand.New(rand.NewPCG(1, 1)), 50)
	for i := range cands {
		cands[i].Load.Wait = time.Second
	}
	cands[3].Load.Cached, cands[3].Load.Ready, cands[4].Load.Wait = 13_300, 13_300, 0
	if got := Prefill(p, cands, cands, e, figures); got.Index != 4 || got.Source != 3 || got.Speculative {
		t.Errorf("%+v", got)
	}
}

// Ninety daemons open a connection for nearly each request, and each is paid
// for. Among engines that are alike the one with an idle connection is taken.
func TestIdleConnectionsArePreferred(t *testing.T) {
	e := &route.Engine{KVTokenBytes: 163_840, LinkBytes: 212e9}
	for seed := range uint64(50) {
		cands := randomEngines(rand.New(rand.NewPCG(seed, 1)), 20)
		for i := range cands {
			cands[i].Load = engines.Load{Streams: 2}
		}
		warm := int(seed) % len(cands)
		cands[warm].HasIdleConn = true
		p := Prompt{Tokens: 1460, Seed: seed}
		if got := Prefill(p, cands, cands, e, figures); got.Index != warm {
			t.Errorf("seed %d: reads at %d, warm is %d", seed, got.Index, warm)
		}
		if got := Decode(p, cands, e, "a"); got != warm {
			t.Errorf("seed %d: decodes at %d, warm is %d", seed, got, warm)
		}
		cands[warm].Load.Streams = 60
		if Decode(p, cands, e, "a") == warm {
			t.Errorf("seed %d: decodes at a full engine for its connection", seed)
		}
	}
}
