package placement

import (
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/version/route"
)

// Guards against short urgent requests being rejected for seconds while long
// answers hold every slot. The reserve follows the urgent demand and leaves
// the others at least half.
func TestSlotsAreReservedForUrgentRequests(t *testing.T) {
	for _, tc := range []struct {
		urgent         float64
		engines, slots int
		want           int
	}{
		{0, 4, 64, 0}, {40, 0, 64, 0}, {4, 4, 64, 2}, {36, 4, 64, 12}, {1000, 4, 64, 32}, {0.1, 4, 64, 1},
	} {
		if got := ReservedSlots(tc.urgent, tc.engines, tc.slots); got != tc.want {
			t.Errorf("%v over %d engines of %d: %d, want %d", tc.urgent, tc.engines, tc.slots, got, tc.want)
		}
	}
}

// Guards against admitting a request to an engine whose slots are all held,
// where it would wait and be late.
func TestQueueWait(t *testing.T) {
	policy := SlotPolicy{Reserved: 12, StreamTime: 3200 * time.Millisecond}
	for _, tc := range []struct {
		streams int
		policy  SlotPolicy
		want    time.Duration
	}{
		{0, policy, 0}, {51, policy, 0}, {52, policy, 50 * time.Millisecond}, {63, policy, 600 * time.Millisecond},
		{63, SlotPolicy{StreamTime: policy.StreamTime}, 0}, {67, SlotPolicy{StreamTime: policy.StreamTime}, 200 * time.Millisecond}, {80, SlotPolicy{}, 0},
	} {
		c := newCandidate("e", "", engines.Load{Streams: tc.streams})
		if got := tc.policy.SlotWait(&c); got != tc.want {
			t.Errorf("%d streams, %+v: %v, want %v", tc.streams, tc.policy, got, tc.want)
		}
	}
	for streams, full := range map[int]bool{64: false, 76: false, 77: true} {
		c := newCandidate("e", "", engines.Load{Streams: streams})
		if (SlotPolicy{}).Full(&c) != full {
			t.Errorf("%d streams: full %v", streams, !full)
		}
	}
}

// Guards against engines that run so many streams that the longest answers
// are late, and against rejecting answers with a single try as often as
// others.
func TestEngineStreamLimit(t *testing.T) {
	for _, tc := range []struct {
		streams, maxStreams int
		canRetry, full      bool
	}{
		{27, 40, true, false}, {28, 40, true, true}, {39, 40, false, false}, {40, 40, false, true},
		{76, 0, true, false}, {76, 200, true, false}, {77, 200, false, true}, {0, 1, true, false}, {1, 1, true, true},
	} {
		c := newCandidate("e", "", engines.Load{Streams: tc.streams})
		c.MaxStreams = tc.maxStreams
		if got := (SlotPolicy{CanRetry: tc.canRetry}).Full(&c); got != tc.full {
			t.Errorf("%+v: full %v", tc, got)
		}
	}
}

// Guards against loading a slow engine like a quick one.
func TestDecodeWeighsStreamLimits(t *testing.T) {
	p := Prompt{Tokens: 100, Objective: 150 * time.Millisecond}
	quick, slow := newCandidate("quick", "", engines.Load{Streams: 25}), newCandidate("slow", "", engines.Load{Streams: 20})
	quick.MaxStreams, slow.MaxStreams = 50, 25
	if got := Decode(p, []Candidate{slow, quick}, &route.Engine{}, ""); got != 1 {
		t.Errorf("engine %d, want the one that is half empty", got)
	}
}
