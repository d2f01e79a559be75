package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/version/route"
)

// randomEngines returns engines with small random queues in a random order,
// as one of many daemons sees them.
func randomEngines(r *rand.Rand, n int) []Candidate {
	out := make([]Candidate, n)
	for i := range out {
		out[i] = newCandidate(fmt.Sprintf("e%d", i), "a", waitOf(r.IntN(40)))
	}
	r.Shuffle(n, func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// Guards against a new prompt part that several engines compute. It happens
// when the part reaches several daemons before reports do and each daemon
// sees other loads.
func TestEqualNewPromptsGoToOneHome(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	e := &route.Engine{KVTokenBytes: 163_840, LinkBytesPerSecond: 212e9}
	for seed := range uint64(20) {
		p := Prompt{Tokens: 17_000, SharedTokens: 13_300, Seed: seed * 0x9e3779b97f4a7c15}
		engineCounts := make(map[string]int)
		for range 10 {
			cands := randomEngines(r, 50)
			engineCounts[cands[Prefill(p, cands, cands, e, estimates).Index].Entry.ID]++
		}
		if len(engineCounts) != 1 {
			t.Errorf("seed %d: prefilled by %v", seed, engineCounts)
		}
	}
}

// If the home of a new part has a long queue, another engine does the
// prefill and fetches what the home has computed meanwhile.
func TestBusyHomeIsAvoided(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	p := Prompt{Tokens: 17_000, SharedTokens: 13_300, Seed: 7}
	cands := randomEngines(r, 50)
	sources := append([]Candidate{newCandidate("decodes", "a", engines.Load{})}, cands...)
	home := Prefill(p, cands, sources, nil, estimates).Index
	cands[home].Load.Wait = 2 * time.Second
	got := Prefill(p, cands, sources, nil, estimates)
	if got.Index == home || !got.Speculative || got.Source != home+1 || got.FetchedTokens != 0 || got.MissingTokens != p.Tokens {
		t.Errorf("%+v, home %d", got, home)
	}
	cands[home].Load.Wait, cands[home].FailureRate = 0, 0.9
	if got := Prefill(p, cands, sources, nil, estimates); got.Index == home {
		t.Error("went to a failing home")
	}
}

// Cached parts are fetched from the engine that holds them, whatever the
// home is.
func TestKnownPartsAreFetchedFromTheirHolder(t *testing.T) {
	e := &route.Engine{KVTokenBytes: 163_840, LinkBytesPerSecond: 212e9}
	p := Prompt{Tokens: 17_000, SharedTokens: 13_300, Seed: 7}
	cands := randomEngines(rand.New(rand.NewPCG(1, 1)), 50)
	for i := range cands {
		cands[i].Load.Wait = time.Second
	}
	cands[3].Load.Cached, cands[3].Load.Ready, cands[4].Load.Wait = 13_300, 13_300, 0
	if got := Prefill(p, cands, cands, e, estimates); got.Index != 4 || got.Source != 3 || got.Speculative {
		t.Errorf("%+v", got)
	}
}

// Guards against a new connection for nearly each request, which is billed.
// Among equally good engines the one with an idle connection is chosen.
func TestIdleConnectionsArePreferred(t *testing.T) {
	e := &route.Engine{KVTokenBytes: 163_840, LinkBytesPerSecond: 212e9}
	for seed := range uint64(50) {
		cands := randomEngines(rand.New(rand.NewPCG(seed, 1)), 20)
		for i := range cands {
			cands[i].Load = engines.Load{Streams: 2}
		}
		connected := int(seed) % len(cands)
		cands[connected].HasIdleConn = true
		p := Prompt{Tokens: 1460, Seed: seed}
		if got := Prefill(p, cands, cands, e, estimates); got.Index != connected {
			t.Errorf("seed %d: prefill at %d, connected to %d", seed, got.Index, connected)
		}
		if got := Decode(p, cands, e, "a"); got != connected {
			t.Errorf("seed %d: decode at %d, connected to %d", seed, got, connected)
		}
		cands[connected].Load.Streams = 60
		if Decode(p, cands, e, "a") == connected {
			t.Errorf("seed %d: decode at a full engine because of its connection", seed)
		}
	}
}
