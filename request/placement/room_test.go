package placement

import (
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/version/route"
)

// Callers of short urgent requests are refused for seconds while long answers
// hold every place. The places that are kept for them follow what they ask, and
// leave the others half.
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

// A request is taken by an engine whose places are all held, waits there for a
// second and is late, though that could be told from what the streams take.
func TestQueueWait(t *testing.T) {
	r := SlotPolicy{Reserved: 12, StreamTime: 3200 * time.Millisecond}
	for _, tc := range []struct {
		streams int
		room    SlotPolicy
		want    time.Duration
	}{
		{0, r, 0}, {51, r, 0}, {52, r, 50 * time.Millisecond}, {63, r, 600 * time.Millisecond},
		{63, SlotPolicy{StreamTime: r.StreamTime}, 0}, {67, SlotPolicy{StreamTime: r.StreamTime}, 200 * time.Millisecond}, {80, SlotPolicy{}, 0},
	} {
		c := newCandidate("e", "", engines.Load{Streams: tc.streams})
		if got := tc.room.SlotWait(&c); got != tc.want {
			t.Errorf("%d streams, %+v: %v, want %v", tc.streams, tc.room, got, tc.want)
		}
	}
	for streams, full := range map[int]bool{64: false, 76: false, 77: true} {
		c := newCandidate("e", "", engines.Load{Streams: streams})
		if (SlotPolicy{}).Full(&c) != full {
			t.Errorf("%d streams: full %v", streams, !full)
		}
	}
}

// Guards against engines so full that the longest answers end too late, and
// against answers with one try only that are rejected as often as the others.
func TestEngineStreamLimit(t *testing.T) {
	for _, tc := range []struct {
		streams, most  int
		canRetry, full bool
	}{
		{27, 40, true, false}, {28, 40, true, true}, {39, 40, false, false}, {40, 40, false, true},
		{76, 0, true, false}, {76, 200, true, false}, {77, 200, false, true}, {0, 1, true, false}, {1, 1, true, true},
	} {
		c := newCandidate("e", "", engines.Load{Streams: tc.streams})
		c.MaxStreams = tc.most
		if got := (SlotPolicy{CanRetry: tc.canRetry}).Full(&c); got != tc.full {
			t.Errorf("%+v: full %v", tc, got)
		}
	}
}

// Guards against a slow engine that is filled like a quick one.
func TestDecodeWeighsStreamLimits(t *testing.T) {
	p := Prompt{Tokens: 100, Objective: 150 * time.Millisecond}
	quick, slow := newCandidate("quick", "", engines.Load{Streams: 25}), newCandidate("slow", "", engines.Load{Streams: 20})
	quick.MaxStreams, slow.MaxStreams = 50, 25
	if got := Decode(p, []Candidate{slow, quick}, &route.Engine{}, ""); got != 1 {
		t.Errorf("engine %d, want the one that is half empty", got)
	}
}
