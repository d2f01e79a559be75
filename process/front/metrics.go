package front

import (
	"expvar"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/relay"
	"github.com/pomelospool/pomelospool/request/budget"
	"github.com/pomelospool/pomelospool/request/ingress"
	"github.com/pomelospool/pomelospool/version/route"
)

// secondsBuckets are the bounds of the latency histograms, from the fastest
// plain answer to the longest deadline. They are finer in the range of the
// usual objectives.
var secondsBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.6, 0.8, 1, 1.5, 2, 4, 8}

// metrics are the daemon's counters and histograms.
type metrics struct {
	registry        *prometheus.Registry
	requests        *prometheus.CounterVec
	duration        *prometheus.HistogramVec
	firstEvent      prometheus.Histogram
	perToken        *prometheus.GaugeVec // by service
	predictionError *prometheus.GaugeVec // by service
	retriesSpent    *prometheus.GaugeVec // by service
	retriesLimit    *prometheus.GaugeVec // by service
	unreported      *prometheus.GaugeVec // by service and kind of work
	speeds          *speedMeter
}

func newMetrics(d *Daemon) *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pomelospool_requests_total", Help: "Requests that ended, by kind of route, result code and status.",
		}, []string{"kind", "code", "status"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "pomelospool_request_seconds", Help: "From a request's arrival to the end of its answer.", Buckets: secondsBuckets,
		}, []string{"kind"}),
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "pomelospool_first_event_seconds", Help: "From a request's arrival to the first event of its answer.", Buckets: secondsBuckets,
		}),
		perToken: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "pomelospool_engine_read_seconds_per_token", Help: "Time that a service's engines take to read a prompt token, as estimated; 0: no estimate yet.",
		}, []string{"service"}),
		predictionError: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "pomelospool_read_prediction_error_ratio", Help: "Relative error of the estimated time of a prompt, smoothed.",
		}, []string{"service"}),
	}
	m.retriesSpent = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "pomelospool_retry_sends_spent", Help: "Sends charged to a service's retry budget in its window, at this daemon.",
	}, []string{"service"})
	m.retriesLimit = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "pomelospool_retry_sends_limit", Help: "Sends that this daemon may charge to a service's retry budget in its window.",
	}, []string{"service"})
	m.unreported = newUnreportedGauge()
	m.speeds = newSpeedMeter()
	gauge := func(name, help string, f func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "pomelospool_" + name, Help: help}, f)
	}
	m.registry.MustRegister(
		m.requests, m.duration, m.firstEvent, m.perToken, m.predictionError, m.retriesSpent, m.retriesLimit, m.unreported, m.speeds.engines, m.speeds.largest, expvarCollector{},
		gauge("open_requests", "Requests that run now.", func() float64 { return float64(d.ingress.Open()) }),
		gauge("config_version", "Version of the configuration in force, 0: none.", d.configVersion),
		gauge("daemons_alive", "Daemons that are alive, this one included.", func() float64 { return float64(len(d.roster.Members())) }),
		gauge("store_away", "1 while the store can't be read.", func() float64 { return boolGauge(d.storeUnavailable()) }),
		gauge("config_age_seconds", "Age of the newest answer of the store on the configuration, -1: none yet.", func() float64 { return ageGauge(d.caches[port.TopicConfig]) }),
		gauge("targets_age_seconds", "Age of the newest answer of the store on the targets, -1: none yet.", func() float64 { return ageGauge(d.caches[port.TopicTargets]) }),
		gauge("relay_depth", "Daemons between the store and the daemon farthest from it, 0 in a small fleet.", func() float64 { return float64(d.roster.Upstream().Depth) }),
		gauge("daemons_known", "Daemons that share the retry budgets, unresponsive ones and this one included.", func() float64 { return float64(d.roster.FleetSize()) }),
		gauge("request_rate", "Callers' requests in the busiest of the last seconds.", d.rate.perSecond),
		gauge("report_age_seconds", "How long ago the known loads of other daemons were true, 0: they count as fresh.", func() float64 { return d.runner.ReportAge().Seconds() }),
		gauge("callers_memory_bytes", "Memory that callers' connections and requests hold, as accounted for.", func() float64 { return float64(d.memory.Used()) }),
		gauge("callers_memory_limit_bytes", "Limit of the memory of callers.", func() float64 { return float64(d.memory.Limit()) }),
		gauge("ready", "1 while the daemon takes requests.", func() float64 { return boolGauge(d.roster.Ready()) }),
	)
	if d.shares != nil {
		m.registry.MustRegister(shareCollector{d.shares})
	}
	return m
}

func (d *Daemon) configVersion() float64 {
	if c := d.config.Load(); c != nil {
		return float64(c.Version)
	}
	return 0
}

func ageGauge(t *relay.TopicCache) float64 {
	age, known := t.Age()
	if !known {
		return -1
	}
	return age.Seconds()
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// setEstimates exports the estimated prefill time per token of each service's
// engines and the estimate's error.
func (m *metrics) setEstimates(c *route.Config, t *speed.Tracker) {
	for name, svc := range c.Services {
		if svc.Engine == nil {
			continue
		}
		m.perToken.WithLabelValues(name).Set(t.Estimates(name).PerToken / float64(time.Second))
		m.predictionError.WithLabelValues(name).Set(t.PredictionError(name))
	}
}

// setRetryBudgets exports the state of each service's retry budget.
func (m *metrics) setRetryBudgets(c *route.Config, b *budget.Fleet) {
	for name := range c.Services {
		s := b.State(name)
		m.retriesSpent.WithLabelValues(name).Set(s.Spent)
		m.retriesLimit.WithLabelValues(name).Set(s.Limit)
	}
}

// observe records a finished request.
func (m *metrics) observe(o ingress.Observation) {
	kind := o.Kind.String()
	m.requests.WithLabelValues(kind, strconv.Itoa(int(o.Code)), strconv.Itoa(o.Status)).Inc()
	m.duration.WithLabelValues(kind).Observe(o.Duration.Seconds())
	if o.TimeToFirst > 0 {
		m.firstEvent.Observe(o.TimeToFirst.Seconds())
	}
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// expvarCollector exports the integers of all expvar maps. A map's name becomes
// the name of the metric.
type expvarCollector struct{}

// Describe implements prometheus.Collector. It sends nothing because the names
// are known only at run time.
func (expvarCollector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (expvarCollector) Collect(out chan<- prometheus.Metric) {
	expvar.Do(func(kv expvar.KeyValue) {
		group, ok := kv.Value.(*expvar.Map)
		if !ok {
			return
		}
		desc := prometheus.NewDesc("pomelospool_"+kv.Key+"_total", "Counts of part "+kv.Key+", see docs/METRICS.md.", []string{"what"}, nil)
		group.Do(func(entry expvar.KeyValue) {
			n, ok := entry.Value.(*expvar.Int)
			if !ok {
				return
			}
			out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(n.Value()), entry.Key)
		})
	})
}
