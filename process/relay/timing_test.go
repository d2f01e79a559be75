package relay

import (
	"testing"
	"time"
)

// deepest is the largest number of daemons through which a bound is kept.
var deepest = map[time.Duration]int{time.Second: 1, 2 * time.Second: 1, 3 * time.Second: 2, 4 * time.Second: 4, 5 * time.Second: 5}

// Guards against requests that reach a target after its bound in a large fleet, when
// readers get no answer of the store: a daemon must ask others and, after that, call a
// slow store while a fifth of the bound is left.
func TestUnresponsiveReaderIsReplacedWithinBounds(t *testing.T) {
	for bound := range deepest {
		if got := callAge(bound) + slowStoreLatency; got > bound*4/5 {
			t.Errorf("bound %v: data may be %v old", bound, got)
		}
		if got := askAge(bound) + 2*transferTimeout(bound); got > callAge(bound) {
			t.Errorf("bound %v: others have answered at an age of %v, the store is called at %v", bound, got, callAge(bound))
		}
	}
}

// Guards against daemons that ask others, or call the store, though their readers are
// sound: what a reader knows must be younger through all daemons in between.
func TestSoundReadersAreNotReplaced(t *testing.T) {
	for bound, most := range deepest {
		for depth := 1; depth <= most; depth++ {
			if got := ReadWait(bound, depth) + time.Duration(depth)*transferTimeout(bound); got > askAge(bound) {
				t.Errorf("bound %v: through %d sound daemons data is up to %v old, others are asked at %v", bound, depth, got, askAge(bound))
			}
		}
	}
}

// Guards against a record that takes longer than its bound because a read began while
// it was written: the reader's wait, the interval of the daemon that asks it, a slow
// answer, and a transfer for each daemon must leave a fifth of the bound.
func TestMissedRecordIsRelayedWithinBounds(t *testing.T) {
	for bound, most := range deepest {
		for depth := 1; depth <= most; depth++ {
			hops := time.Duration(depth) * (ReadInterval(bound) + transferTimeout(bound))
			if got := ReadWait(bound, depth) + slowStoreLatency + hops; got > bound*4/5 {
				t.Errorf("bound %v: through %d daemons a record may take %v", bound, depth, got)
			}
		}
	}
}
