package membership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// TestPausedDaemonAwaitsItsPeers guards against a daemon that counts as isolated
// after a pause of its own, though all of its peers are within reach.
func TestPausedDaemonAwaitsItsPeers(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		t.Run(fmt.Sprint("reachable ", reachable), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(3)
				defer f.stop()
				within(30*time.Second, f.all("vm-002", peerpb.Member_LIVE, 2))
				m := f.nodes["vm-002"].m
				began := time.Now()
				m.AwaitContact(t.Context())
				if took := time.Since(began); took > 0 {
					t.Errorf("waits for %v without a pause", took)
				}
				for _, v := range f.vms {
					f.set("vm-002", v.ID, !reachable)
				}
				f.pause("vm-002", 10*time.Second)
				began = time.Now()
				m.AwaitContact(t.Context())
				if took := time.Since(began); took > 2*contactPeriods*period {
					t.Errorf("waited for %v", took)
				}
				if age := m.PeerAge(); (age < period) != reachable {
					t.Errorf("last contact %v ago", age)
				}
			})
		})
	}
}
