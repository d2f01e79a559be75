package front

import (
	"testing"
	"time"
)

// Guards against requests that count as early although they were sent later than three
// lifetimes of an address after the signal, which the process received late.
func TestLastArrivalAllowsForALateSignal(t *testing.T) {
	sent := time.Now()
	received := sent.Add(signalDelay)
	if last := lastArrival(received, 7*time.Second); last.After(sent.Add(addressCacheFactor * addressTTL)) {
		t.Errorf("%v after the signal", last.Sub(sent))
	}
}
