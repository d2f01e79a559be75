package roster

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// Guards against daemons that don't find each other, or stand still in the lookup of a
// name, since another writer has left one odd contact among theirs.
func TestOddContactAmongSoundOnes(t *testing.T) {
	contact := func(addr string) string { return fmt.Sprintf(`{"addr":%q,"zone":"z0","link_mbps":100}`, addr) }
	for name, odd := range map[string]string{
		"nonsense":       "\xff",
		"nested":         strings.Repeat("[", 1_000_000),
		"number too big": `{"addr":"10.9.9.9:7000","link_mbps":1e40}`,
		"empty":          `{}`,
		"name":           contact("machine.invalid:7000"),
		"no address":     contact("somewhere"),
		"port 0":         contact("10.9.9.9:0"),
		"port 70000":     contact("10.9.9.9:70000"),
		"any address":    contact("0.0.0.0:7000"),
		"broadcast":      contact("255.255.255.255:7000"),
		"multicast":      contact("224.0.0.1:7000"),
		"IPv6":           contact("[::1]:7000"),
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 0, func(t *testing.T, f *testFleet) {
				f.store.records["odd"] = port.KeyedRecord{Key: "odd", Value: []byte(odd)}
				for vm := range 3 {
					f.add(vm, 1)
				}
				time.Sleep(10 * time.Second)
				for _, r := range f.all {
					if n := len(r.ReadyPeers()); n != 2 {
						t.Errorf("%d ready peers", n)
					}
					r.mu.Lock()
					known := len(r.peers)
					r.mu.Unlock()
					if known != 2 {
						t.Errorf("%d peers", known)
					}
				}
			})
		})
	}
}
