package front

import (
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/port"
)

// newFactors creates the factors of engines if the setting is on.
func (d *Daemon) newFactors() {
	if d.s.Scheduling.EngineSpeeds {
		d.factors = speed.NewFactors(speed.FactorOptions{Now: time.Now, Service: d.serviceOf})
	}
}

// serviceOf returns the service of the target whose ID has the given engines.Hash.
func (d *Daemon) serviceOf(hash uint64) (string, bool) {
	service, e := d.targetByHash(hash)
	return service, e != nil
}

// targetByHash returns the target whose ID has the given engines.Hash, and its service,
// or nil if there is no such target.
func (d *Daemon) targetByHash(hash uint64) (service string, e *port.TargetEntry) {
	for name, set := range d.registry.Snapshot().Targets {
		if e := set.All().Lookup(hash); e != nil {
			return name, e
		}
	}
	return "", nil
}

const (
	// returnMargin is the factor under which a slow engine counts as usual again.
	// Without the distance an engine near speed.Margin would be logged at each sample.
	returnMargin = 1.15
	// maxSpeedLines is the number of lines on changes of engines' speeds per second;
	// further changes are logged in the next seconds.
	maxSpeedLines = 2
)

// speedMeter counts the engines that are slower and faster than their service.
type speedMeter struct {
	classes map[uint64]int // of engines that don't count as usual: 1 slow, -1 fast; as logged
	engines *prometheus.GaugeVec
	largest prometheus.Gauge
}

func newSpeedMeter() *speedMeter {
	return &speedMeter{
		classes: make(map[uint64]int),
		engines: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "pomelospool_engines_by_speed", Help: "Engines whose prefill takes longer (slow) or shorter (fast) than their service's by a quarter.",
		}, []string{"speed"}),
		largest: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "pomelospool_engine_prefill_factor_max", Help: "Largest ratio of an engine's prefill time to that of its service; 0: no estimate yet.",
		}),
	}
}

// update exports the factors, by engines.Hash of the engines' ids, and logs engines that
// have become slow, fast or usual. id returns the id of an engine.
func (m *speedMeter) update(factors map[uint64]float64, id func(hash uint64) string) {
	slow, fast, largest := 0, 0, 0.0
	var changed []uint64
	for hash, f := range factors {
		largest = max(largest, f)
		class := speedClass(f, m.classes[hash])
		switch class {
		case 1:
			slow++
		case -1:
			fast++
		}
		if class != m.classes[hash] {
			changed = append(changed, hash)
		}
	}
	m.engines.WithLabelValues("slow").Set(float64(slow))
	m.engines.WithLabelValues("fast").Set(float64(fast))
	m.largest.Set(largest)
	slices.Sort(changed)
	for _, hash := range changed[:min(len(changed), maxSpeedLines)] {
		m.classes[hash] = speedClass(factors[hash], m.classes[hash])
		log.WithFields(log.Fields{"target": id(hash), "factor": factors[hash], "class": classNames[m.classes[hash]], "slow": slow, "fast": fast}).Info("front: speed of engine changed")
	}
	for hash, class := range m.classes {
		if _, known := factors[hash]; !known || class == 0 {
			delete(m.classes, hash)
		}
	}
}

var classNames = map[int]string{-1: "fast", 0: "usual", 1: "slow"}

// speedClass returns 1 for a slow engine, -1 for a fast one, and 0 for others. An engine
// leaves its previous class only at returnMargin.
func speedClass(factor float64, previous int) int {
	switch {
	case factor >= speed.Margin, previous > 0 && factor >= returnMargin:
		return 1
	case factor <= 1/speed.Margin, previous < 0 && factor <= 1/returnMargin:
		return -1
	}
	return 0
}

// updateSpeeds exports the factors of engines.
func (d *Daemon) updateSpeeds() {
	if d.factors == nil {
		return
	}
	d.metrics.speeds.update(d.factors.All(), func(hash uint64) string {
		if _, e := d.targetByHash(hash); e != nil {
			return e.ID
		}
		return ""
	})
}
