package placement

import (
	"strconv"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/balance"
)

// Guards against an even spread of decodes, and so against transfers between
// availability zones, by unreported streams that wouldn't fill an engine.
func TestFewUnreportedStreamsDoNotSpreadDecodes(t *testing.T) {
	cands := make([]Candidate, 20)
	for i := range cands {
		cands[i].Entry = port.TargetEntry{ID: strconv.Itoa(i), Slots: 10}
		cands[i].Load.Streams = 2
	}
	cands[7].Load.Streams = 0
	for streams, spread := range map[float64]bool{0: false, 19: false, 100: true} {
		others := 0
		for i := range 200 {
			p := Prompt{Tokens: 1000, Objective: time.Second, Seed: uint64(i) << 40, RandomSeed: uint64(i) << 40, Unreported: Unreported{Streams: streams}}
			if at, _ := ChooseDecode(p, cands, nil, ""); at != 7 {
				others++
			}
		}
		if others > 100 != spread {
			t.Errorf("%v unreported streams: %d of 200 decodes at engines other than the cheapest", streams, others)
		}
	}
}

// Guards against engines that are preferred by their place in a sample, which differs
// from daemon to daemon.
func TestSamplesHaveNoPreferredEngines(t *testing.T) {
	cands := make([]Candidate, 10)
	for i := range cands {
		cands[i].Entry.ID = strconv.Itoa(i)
	}
	share := balance.Share{From: 0, To: 0.1}
	if got := preferred(share, cands); len(got) != 2 {
		t.Errorf("prefers %v of all engines", got)
	}
	cands[3].LocalOnly = true
	if got := preferred(share, cands); got != nil {
		t.Errorf("prefers %v of a sample", got)
	}
}
