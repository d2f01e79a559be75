package placement

import (
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/route"
)

// figures are those of an engine with 70 billion parameters, by least squares
// over 1,300 prompts.
var figures = speed.Estimates{PerToken: 23e3, PerPair: 257, PromptOverhead: 50 * time.Millisecond, FirstEvent: 40 * time.Millisecond, Prompts: 1300}

func cand(id, zone string, load engines.Load) Candidate {
	return Candidate{Entry: port.TargetEntry{ID: id, Zone: zone, Slots: 64}, Load: load, Pace: 1}
}

func busy(ms int) engines.Load { return engines.Load{Wait: time.Duration(ms) * time.Millisecond} }

func TestPrefill(t *testing.T) {
	prompt := Prompt{Tokens: 17_000}
	cases := []struct {
		name  string
		p     Prompt
		cands []Candidate
		want  string
	}{
		{"the idle one", prompt, []Candidate{cand("busy", "", busy(460)), cand("idle", "", engines.Load{})}, "idle"},
		{"the one that keeps the prompt", prompt, []Candidate{
			cand("keeps", "", engines.Load{Cached: 13_000, Wait: 90 * time.Millisecond}), cand("idle", "", engines.Load{})}, "keeps"},
		{"not at any price", prompt, []Candidate{
			cand("keeps", "", engines.Load{Cached: 13_000, Wait: 1400 * time.Millisecond}), cand("idle", "", engines.Load{})}, "idle"},
		{"not the failing one", prompt, []Candidate{
			{Entry: port.TargetEntry{ID: "grey"}, Rate: 0.9, Pace: 1}, cand("sound", "", busy(200))}, "sound"},
		{"not the slow one", prompt, []Candidate{
			{Entry: port.TargetEntry{ID: "slow"}, Pace: 6}, cand("sound", "", busy(200))}, "sound"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := Prefill(tc.p, tc.cands, nil, nil, figures)
			if id := tc.cands[got.At].Entry.ID; id != tc.want {
				t.Errorf("chose %s", id)
			}
		})
	}
	if got := Prefill(prompt, nil, nil, nil, figures); got.At != -1 {
		t.Errorf("chose %d of none", got.At)
	}
}

// The engine that keeps a long prompt is busy, and an idle one would read all of
// it again; fetching it takes a twentieth of the time.
func TestPrefillFetchesWhatAnotherKeeps(t *testing.T) {
	e := &route.Engine{KVTokenBytes: 163_840, LinkBytes: 212e9}
	p := Prompt{Tokens: 17_000}
	keeps := cand("keeps", "a", engines.Load{Cached: 13_000, Ready: 13_000, Wait: 200 * time.Millisecond})
	idle := cand("idle", "b", engines.Load{})
	got := Prefill(p, []Candidate{keeps, idle}, []Candidate{idle, keeps}, e, figures)
	if got.At != 1 || got.Fetch != 1 || got.Fetched != 13_000 || got.Missing != 4000 {
		t.Errorf("choice %+v", got)
	}
	keeps.Load.Wait = 0
	if got := Prefill(p, []Candidate{keeps, idle}, []Candidate{idle, keeps}, e, figures); got.At != 0 || got.Fetch != -1 {
		t.Errorf("fetches from itself: %+v", got)
	}
	keeps.Rate = 0.9
	// What it only begins to read it can't give yet: it would give nothing, and
	// the other engine would read it again unpredicted.
	begins := cand("begins", "a", engines.Load{Cached: 13_000, Wait: 200 * time.Millisecond})
	if got := Prefill(p, []Candidate{begins, idle}, []Candidate{idle, begins}, e, figures); got.Fetch != -1 {
		t.Errorf("fetches what isn't there yet: %+v", got)
	}
	if got := Prefill(p, []Candidate{idle}, []Candidate{keeps}, e, figures); got.Fetch != -1 {
		t.Errorf("fetches from a failing engine: %+v", got)
	}
}

// Six daemons begin at once with equal prompts. Each must take the same engine,
// or each engine reads what another keeps already.
func TestEqualPromptsGoToOneEngine(t *testing.T) {
	cands := []Candidate{cand("a", "", engines.Load{}), cand("b", "", engines.Load{}), cand("c", "", engines.Load{})}
	reversed := []Candidate{cands[2], cands[1], cands[0]}
	used := map[string]bool{}
	for seed := range uint64(50) {
		p := Prompt{Tokens: 5000, Seed: seed * 0x9e3779b97f4a7c15}
		one := cands[Prefill(p, cands, nil, nil, figures).At].Entry.ID
		if other := reversed[Prefill(p, reversed, nil, nil, figures).At].Entry.ID; other != one {
			t.Fatalf("seed %d: %s and %s", seed, one, other)
		}
		used[one] = true
	}
	if len(used) != 3 {
		t.Errorf("prompts spread over %v only", used)
	}
}

func TestDecode(t *testing.T) {
	e := &route.Engine{KVTokenBytes: 163_840, LinkBytes: 212e9}
	p := Prompt{Tokens: 17_000}
	streams := func(n int) engines.Load { return engines.Load{Streams: n} }
	cases := []struct {
		name  string
		cands []Candidate
		want  string
	}{
		{"the same zone", []Candidate{cand("far", "b", streams(0)), cand("near", "a", streams(10))}, "near"},
		{"the one with places", []Candidate{cand("far", "b", streams(5)), cand("near", "a", streams(64))}, "far"},
		{"the one that keeps the prompt", []Candidate{cand("far", "b", engines.Load{Cached: 17_000, Streams: 5}), cand("near", "a", streams(5))}, "far"},
		{"not the failing one", []Candidate{{Entry: port.TargetEntry{ID: "grey", Zone: "a", Slots: 64}, Rate: 0.6, Pace: 1}, cand("far", "b", streams(20))}, "far"},
		{"not the slow one", []Candidate{{Entry: port.TargetEntry{ID: "slow", Zone: "a", Slots: 64}, Pace: 5}, cand("far", "b", streams(20))}, "far"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if id := tc.cands[Decode(p, tc.cands, e, "a")].Entry.ID; id != tc.want {
				t.Errorf("chose %s", id)
			}
		})
	}
	if got := Decode(p, nil, e, "a"); got != -1 {
		t.Errorf("chose %d of none", got)
	}
}
