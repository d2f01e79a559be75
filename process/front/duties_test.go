package front

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
)

const dutiesText = settingsText + `
duties: {addr: "CLOUD", usage_window: 500ms, usage_late: 2s}
`

// Two daemons must report the usage of both exactly once, and only one of them
// may order engines.
func TestDutiesOfTheFleet(t *testing.T) {
	s := newTestPlatform(t)
	s.store.ConfigureKeyed(2, "/p/", "o1", "k1")
	cloud := standin.NewCloud()
	text := s.withCloud(cloud)
	first := s.startWith(text)
	second := s.startWith(replaceVM(text, "vm-2"))
	s.waitFor(func() bool { return len(first.roster.Members()) == 2 && len(second.roster.Members()) == 2 })
	const n = 20
	for i := range n {
		for _, d := range []*Daemon{first, second} {
			h := standin.CallerHeaders(fmt.Sprint("r", i, d.s.VM), 5*time.Second, "")
			standin.SetKey(h, "k1")
			if status, body := s.postWithHeaders(d, "/p/x", h); status != 200 {
				t.Fatal(status, body)
			}
		}
	}
	if status, _ := s.post(first, "/p/x", "r0", ""); status != 401 {
		t.Errorf("without a key: %d", status)
	}
	s.waitFor(func() bool {
		total := 0
		for _, counts := range cloud.Usage() {
			total += counts["o1"]
		}
		return total == 2*n && len(cloud.ScaleOrders()) > 0
	})
	for _, order := range cloud.ScaleOrders() {
		if order.Service != "llm" {
			t.Errorf("ordered %+v", order)
		}
	}
	if broken := cloud.Violations(); len(broken) > 0 {
		t.Error(broken)
	}
}
