package placement

import (
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/route"
)

// estimates are the estimates for an engine with 70 billion parameters, fitted
// by least squares to 1,300 prompts.
var estimates = speed.Estimates{PerToken: 23e3, PerPair: 257, PromptOverhead: 50 * time.Millisecond, FirstEvent: 40 * time.Millisecond, Prompts: 1300}

func newCandidate(id, zone string, load engines.Load) Candidate {
	return Candidate{Entry: port.TargetEntry{ID: id, Zone: zone, Slots: 64}, Load: load, Slowdown: 1}
}

func waitOf(ms int) engines.Load { return engines.Load{Wait: time.Duration(ms) * time.Millisecond} }

func TestPrefill(t *testing.T) {
	prompt := Prompt{Tokens: 17_000}
	cases := []struct {
		name  string
		p     Prompt
		cands []Candidate
		want  string
	}{
		{"the idle one", prompt, []Candidate{newCandidate("busy", "", waitOf(460)), newCandidate("idle", "", engines.Load{})}, "idle"},
		{"the one that keeps the prompt", prompt, []Candidate{
			newCandidate("keeps", "", engines.Load{Cached: 13_000, Wait: 90 * time.Millisecond}), newCandidate("idle", "", engines.Load{})}, "keeps"},
		{"not at any price", prompt, []Candidate{
			newCandidate("keeps", "", engines.Load{Cached: 13_000, Wait: 1400 * time.Millisecond}), newCandidate("idle", "", engines.Load{})}, "idle"},
		{"not the failing one", prompt, []Candidate{
			{Entry: port.TargetEntry{ID: "grey"}, FailureRate: 0.9, Slowdown: 1}, newCandidate("sound", "", waitOf(200))}, "sound"},
		{"not the slow one", prompt, []Candidate{
			{Entry: port.TargetEntry{ID: "slow"}, Slowdown: 6}, newCandidate("sound", "", waitOf(200))}, "sound"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := Prefill(tc.p, tc.cands, nil, nil, estimates)
			if id := tc.cands[got.Index].Entry.ID; id != tc.want {
				t.Errorf("chose %s", id)
			}
		})
	}
	if got := Prefill(prompt, nil, nil, nil, estimates); got.Index != -1 {
		t.Errorf("chose %d of none", got.Index)
	}
}

// Guards against an idle engine that computes a long prompt again while the
// engine that holds it is busy. A fetch takes a twentieth of the time.
func TestPrefillFetchesCachedTokens(t *testing.T) {
	e := &route.Engine{KVTokenBytes: 163_840, LinkBytesPerSecond: 212e9}
	p := Prompt{Tokens: 17_000}
	keeps := newCandidate("keeps", "a", engines.Load{Cached: 13_000, Ready: 13_000, Wait: 200 * time.Millisecond})
	idle := newCandidate("idle", "b", engines.Load{})
	got := Prefill(p, []Candidate{keeps, idle}, []Candidate{idle, keeps}, e, estimates)
	if got.Index != 1 || got.Source != 1 || got.FetchedTokens != 13_000 || got.MissingTokens != 4000 {
		t.Errorf("choice %+v", got)
	}
	keeps.Load.Wait = 0
	if got := Prefill(p, []Candidate{keeps, idle}, []Candidate{idle, keeps}, e, estimates); got.Index != 0 || got.Source != -1 {
		t.Errorf("fetches from itself: %+v", got)
	}
	keeps.FailureRate = 0.9
	// An engine that is only starting a prefill can't provide it yet: the fetch
	// would return nothing, and the other engine would compute all of it, which
	// the prediction wouldn't include.
	begins := newCandidate("begins", "a", engines.Load{Cached: 13_000, Wait: 200 * time.Millisecond})
	if got := Prefill(p, []Candidate{begins, idle}, []Candidate{idle, begins}, e, estimates); got.Source != -1 {
		t.Errorf("fetches what isn't cached yet: %+v", got)
	}
	if got := Prefill(p, []Candidate{idle}, []Candidate{keeps}, e, estimates); got.Source != -1 {
		t.Errorf("fetches from a failing engine: %+v", got)
	}
}

// Guards against equal prompts that several daemons send to different
// engines at the same time, so that each engine computes what another one
// already holds.
func TestEqualPromptsGoToOneEngine(t *testing.T) {
	cands := []Candidate{newCandidate("a", "", engines.Load{}), newCandidate("b", "", engines.Load{}), newCandidate("c", "", engines.Load{})}
	reversed := []Candidate{cands[2], cands[1], cands[0]}
	used := map[string]bool{}
	for seed := range uint64(50) {
		p := Prompt{Tokens: 5000, Seed: seed * 0x9e3779b97f4a7c15}
		one := cands[Prefill(p, cands, nil, nil, estimates).Index].Entry.ID
		if other := reversed[Prefill(p, reversed, nil, nil, estimates).Index].Entry.ID; other != one {
			t.Fatalf("seed %d: %s and %s", seed, one, other)
		}
		used[one] = true
	}
	if len(used) != 3 {
		t.Errorf("prompts spread over %v only", used)
	}
}

func TestDecode(t *testing.T) {
	e := &route.Engine{KVTokenBytes: 163_840, LinkBytesPerSecond: 212e9}
	p := Prompt{Tokens: 17_000}
	streams := func(n int) engines.Load { return engines.Load{Streams: n} }
	cases := []struct {
		name  string
		cands []Candidate
		want  string
	}{
		{"the same zone", []Candidate{newCandidate("far", "b", streams(0)), newCandidate("near", "a", streams(10))}, "near"},
		{"the one with places", []Candidate{newCandidate("far", "b", streams(5)), newCandidate("near", "a", streams(64))}, "far"},
		{"the one that keeps the prompt", []Candidate{newCandidate("far", "b", engines.Load{Cached: 17_000, Streams: 5}), newCandidate("near", "a", streams(5))}, "far"},
		{"not the failing one", []Candidate{{Entry: port.TargetEntry{ID: "grey", Zone: "a", Slots: 64}, FailureRate: 0.6, Slowdown: 1}, newCandidate("far", "b", streams(20))}, "far"},
		{"not the slow one", []Candidate{{Entry: port.TargetEntry{ID: "slow", Zone: "a", Slots: 64}, Slowdown: 5}, newCandidate("far", "b", streams(20))}, "far"},
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
