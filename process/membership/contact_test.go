package membership

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/peer/peerpb"
)

// Guards against a daemon that considers itself isolated after its own pause, although all
// of its peers are reachable.
func TestPausedDaemonAwaitsPeers(t *testing.T) {
	for _, reachable := range []bool{true, false} {
		t.Run(fmt.Sprint("reachable ", reachable), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(3)
				defer f.stop()
				waitUntil(30*time.Second, f.all("vm-002", peerpb.Member_LIVE, 2))
				m := f.daemons["vm-002"].membership
				began := time.Now()
				m.AwaitContact(t.Context())
				if took := time.Since(began); took > 0 {
					t.Errorf("waited for %v without a pause", took)
				}
				for _, v := range f.vms {
					f.setCut("vm-002", v.ID, !reachable)
				}
				f.pause("vm-002", 10*time.Second)
				began = time.Now()
				m.AwaitContact(t.Context())
				if took := time.Since(began); took > 2*maxContactWaitPeriods*period {
					t.Errorf("waited for %v", took)
				}
				if age := m.TimeSinceContact(); (age < period) != reachable {
					t.Errorf("last contact %v ago", age)
				}
			})
		})
	}
}
