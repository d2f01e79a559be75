package front

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// metricsText returns the daemon's metrics.
func (p *testPlatform) metricsText(d *Daemon) string {
	resp, err := http.Get("http://" + d.addr("operators") + "/metrics")
	if err != nil {
		p.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		p.t.Fatal(err)
	}
	return string(text)
}

// Guards against daemons that decide by their own calls alone because the tables
// aren't exchanged, and against shares where the settings don't enable them.
func TestFairSharesSetting(t *testing.T) {
	p := newTestPlatform(t)
	enabled := settingsText + "scheduling: {fair_shares: true}\n"
	a, b, off := p.startWith(enabled), p.startWith(replaceVM(enabled, "vm-2")), p.startWith(replaceVM(settingsText, "vm-3"))
	a.shares.Record("llm", "flood", 100*time.Second, true)
	a.shares.Record("llm", "other", 10*time.Second, true)
	p.waitFor(func() bool { return len(b.shares.Summary().Sum()) == 2 })
	if !b.shares.Rejects("llm", "flood", 1) || b.shares.Rejects("llm", "other", 1) {
		t.Error("the second daemon doesn't decide by the first one's usage")
	}
	for _, name := range []string{"share_rejections_total", "share_organisations_over"} {
		if text := p.metricsText(b); !strings.Contains(text, "\npomelospool_"+name+`{service="llm"} 1`) {
			t.Errorf("metrics lack %s", name)
		}
	}
	if off.shares != nil || strings.Contains(p.metricsText(off), "pomelospool_share_") {
		t.Error("shares without the setting")
	}
}
