package placement

import (
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
)

// Callers of short urgent requests are refused for seconds while long answers
// hold every place. The places that are kept for them follow what they ask, and
// leave the others half.
func TestPlacesAreKeptForUrgentRequests(t *testing.T) {
	for _, tc := range []struct {
		urgent         float64
		engines, slots int
		want           int
	}{
		{0, 4, 64, 0}, {40, 0, 64, 0}, {4, 4, 64, 2}, {36, 4, 64, 12}, {1000, 4, 64, 32}, {0.1, 4, 64, 1},
	} {
		if got := Reserve(tc.urgent, tc.engines, tc.slots); got != tc.want {
			t.Errorf("%v over %d engines of %d: %d, want %d", tc.urgent, tc.engines, tc.slots, got, tc.want)
		}
	}
}

// A request is taken by an engine whose places are all held, waits there for a
// second and is late, though that could be told from what the streams take.
func TestQueueForAPlace(t *testing.T) {
	r := Room{Reserved: 12, Stay: 3200 * time.Millisecond}
	for _, tc := range []struct {
		streams int
		room    Room
		want    time.Duration
	}{
		{0, r, 0}, {51, r, 0}, {52, r, 50 * time.Millisecond}, {63, r, 600 * time.Millisecond},
		{63, Room{Stay: r.Stay}, 0}, {67, Room{Stay: r.Stay}, 200 * time.Millisecond}, {80, Room{}, 0},
	} {
		c := cand("e", "", engines.Load{Streams: tc.streams})
		if got := tc.room.Queue(&c); got != tc.want {
			t.Errorf("%d streams, %+v: %v, want %v", tc.streams, tc.room, got, tc.want)
		}
	}
	for streams, full := range map[int]bool{64: false, 76: false, 77: true} {
		c := cand("e", "", engines.Load{Streams: streams})
		if (Room{}).Full(&c) != full {
			t.Errorf("%d streams: full %v", streams, !full)
		}
	}
}
