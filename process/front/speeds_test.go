package front

import (
	"fmt"
	"strings"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/process/roster"
)

// gauges returns the values of gauges.
func gauges(t *testing.T, c ...prometheus.Collector) (out []float64) {
	r := prometheus.NewRegistry()
	r.MustRegister(c...)
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		for _, metric := range f.GetMetric() {
			out = append(out, metric.GetGauge().GetValue())
		}
	}
	return out
}

// Guards against a line per engine and second while factors vary around the margin, and
// against a burst of lines when many engines change at once.
func TestSpeedLinesAreBounded(t *testing.T) {
	lines := memory.New()
	previous := log.Log
	log.Log = &log.Logger{Handler: lines, Level: log.InfoLevel}
	defer func() { log.Log = previous }()
	m := newSpeedMeter()
	id := func(hash uint64) string { return fmt.Sprint(hash) }
	for i := range 10 {
		m.update(map[uint64]float64{1: 1.2 + 0.1*float64(i%2), 2: 1}, id)
	}
	if len(lines.Entries) != 1 {
		t.Errorf("%d lines on one engine near the margin", len(lines.Entries))
	}
	all := make(map[uint64]float64)
	for i := range 30 {
		all[uint64(i)] = []float64{2, 0.5, 1}[i%3]
	}
	m.update(all, id)
	if got := len(lines.Entries) - 1; got > maxSpeedLines {
		t.Errorf("%d lines at once", got)
	}
	if got := fmt.Sprint(gauges(t, m.engines, m.largest)); got != "[2 10 10]" {
		t.Errorf("largest, fast and slow %s", got)
	}
	m.update(nil, id)
	if len(m.classes) != 0 {
		t.Errorf("%d classes of engines that don't exist", len(m.classes))
	}
}

// Guards against factors that are used or exchanged while the setting is off.
func TestEngineSpeedsNeedTheirSetting(t *testing.T) {
	for text, on := range map[string]bool{settingsText: false, settingsText + "scheduling: {engine_speeds: true}\n": true} {
		d := newTestPlatform(t).startWith(text)
		if _, exchanged := d.summaries()[roster.TopicSpeeds]; d.factors != nil != on || exchanged != on {
			t.Errorf("%q: factors %v, exchanged %v", text[strings.LastIndex(text, "\n"):], d.factors != nil, exchanged)
		}
	}
}

// Guards against a look-up that doesn't find the service or the id of a target, without
// which no prompt counts and lines name no engine.
func TestTargetByHash(t *testing.T) {
	d := newTestPlatform(t).startWith(settingsText + "scheduling: {engine_speeds: true}\n")
	found := 0
	for name, set := range d.registry.Snapshot().Targets {
		for _, want := range set.All().All() {
			found++
			hash := engines.Hash(want.ID)
			service, known := d.serviceOf(hash)
			if _, e := d.targetByHash(hash); !known || service != name || e == nil || e.ID != want.ID {
				t.Errorf("target %s of %s: service %q, known %v", want.ID, name, service, known)
			}
		}
	}
	if _, known := d.serviceOf(engines.Hash("missing")); known || found == 0 {
		t.Errorf("%d targets, unknown one found: %v", found, known)
	}
}

// Guards against factors that no prompt reaches, because the runner doesn't have them or
// no service is found for the engine.
func TestDaemonLearnsSpeeds(t *testing.T) {
	p := newTestPlatform(t)
	d := p.startWith(settingsText + "scheduling: {engine_speeds: true}\n")
	for n := 0; len(d.factors.All()) == 0; n++ {
		if n == 300 {
			t.Fatal("no factor after 300 prompts")
		}
		p.post(d, "/s/x", fmt.Sprint("call", n), fmt.Sprintf("%x:3000", 1000+n))
	}
}
