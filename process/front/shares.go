package front

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pomelospool/pomelospool/connection/shares"
)

// updateShares ends the periods of contention that are over.
func (d *Daemon) updateShares() {
	if d.shares != nil {
		d.shares.Update()
	}
}

var (
	shareRejections = prometheus.NewDesc("pomelospool_share_rejections_total", "Calls rejected because their organisation was over its fair share.", []string{"service"}, nil)
	shareLevel      = prometheus.NewDesc("pomelospool_share_level", "Fair share of an organisation as a number of targets; 0 without contention.", []string{"service"}, nil)
	sharesOver      = prometheus.NewDesc("pomelospool_share_organisations_over", "Organisations over their fair share; 0 without contention.", []string{"service"}, nil)
)

// shareCollector exports the state of fair shares.
type shareCollector struct{ t *shares.Tracker }

// Describe implements prometheus.Collector.
func (shareCollector) Describe(out chan<- *prometheus.Desc) {
	out <- shareRejections
	out <- shareLevel
	out <- sharesOver
}

// Collect implements prometheus.Collector.
func (c shareCollector) Collect(out chan<- prometheus.Metric) {
	for _, s := range c.t.Update() {
		out <- prometheus.MustNewConstMetric(shareRejections, prometheus.CounterValue, float64(s.Rejected), s.Service)
		out <- prometheus.MustNewConstMetric(shareLevel, prometheus.GaugeValue, s.Level, s.Service)
		out <- prometheus.MustNewConstMetric(sharesOver, prometheus.GaugeValue, float64(s.Over), s.Service)
	}
}
