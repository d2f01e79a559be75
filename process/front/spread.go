package front

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pomelospool/pomelospool/request/dispatch"
	"github.com/pomelospool/pomelospool/version/route"
)

// reports returns the source of the age of the daemons' reports, or nil if the
// settings don't let choices depend on it.
func (d *Daemon) reports() dispatch.Reports {
	if !d.s.Scheduling.SpreadLoad {
		return nil
	}
	return d.roster
}

func newUnreportedGauge() *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "pomelospool_unreported_work", Help: "Work that other daemons are estimated to have sent since their reports: seconds of prefill, streams, plain calls.",
	}, []string{"service", "kind"})
}

// setUnreported exports the estimated work that other daemons have sent since
// their reports.
func (m *metrics) setUnreported(c *route.Config, r *dispatch.Runner) {
	for name, svc := range c.Services {
		if svc.Engine == nil {
			m.unreported.WithLabelValues(name, "plain").Set(r.UnreportedPlain(name))
			continue
		}
		u := r.Unreported(name)
		m.unreported.WithLabelValues(name, "prefill").Set(u.Prefill.Seconds())
		m.unreported.WithLabelValues(name, "streams").Set(u.Streams)
	}
}
