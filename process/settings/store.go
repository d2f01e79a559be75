package settings

import (
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/internal/yamlcheck"
)

// Bounds of the settings of the retry budget.
const (
	maxRetryRatio  = 10.0
	maxRetrySlack  = 1_000_000.0
	minRetryBudget = 0.0
)

// Bounds of the store's rate, in writes per second.
const (
	minWriteRate = 1.0
	maxWriteRate = 1_000_000.0
)

// HasStore reports whether the platform keeps configuration and targets in a
// store.
func (s *Settings) HasStore() bool { return s.Store.Addr != "" }

func checkStore(f *yamlcheck.File, s *Settings) {
	f.Required("store.addr", "listen.ready", "listen.addresses")
	if f.Has("platform") {
		f.Report("platform", code.DocInconsistent, "stands beside store", "name one of the two")
	}
	for _, field := range []struct{ path, addr string }{
		{"store.addr", s.Store.Addr},
		{"listen.ready", s.Listen.Ready},
		{"listen.addresses", s.Listen.Addresses},
	} {
		if f.Has(field.path) {
			f.Addr(field.path, field.addr, true)
		}
	}
	yamlcheck.Range(f, "store.writes_per_second", s.Store.WritesPerSecond, minWriteRate, maxWriteRate)
	checkDuties(f, s.Duties)
	checkBounds(f, s.Bounds)
}

func checkBounds(f *yamlcheck.File, b Bounds) {
	f.Duration("bounds.grace", b.Grace, minTime, maxTime)
	f.Duration("bounds.lease", b.Lease, minTime, maxTime)
	f.Duration("bounds.address_ttl", b.AddressTTL, minTime, maxTime)
	f.Duration("bounds.retry_window", b.RetryWindow, minTime, maxTime)
	f.Duration("bounds.apply_config", b.ApplyConfig, minTime, maxTime)
	f.Duration("bounds.drain", b.Drain, minTime, maxTime)
	yamlcheck.Range(f, "bounds.retry_ratio", b.RetryRatio, minRetryBudget, maxRetryRatio)
	yamlcheck.Range(f, "bounds.retry_slack", b.RetrySlack, minRetryBudget, maxRetrySlack)
}

func checkDuties(f *yamlcheck.File, d Duties) {
	if !f.Has("duties") {
		return
	}
	f.Required("duties.addr")
	if f.Has("duties.addr") {
		f.Addr("duties.addr", d.Addr, true)
	}
	for _, field := range []struct {
		path string
		d    time.Duration
	}{{"duties.usage_window", d.UsageWindow}, {"duties.usage_late", d.UsageLate}} {
		if f.Has(field.path) {
			f.Duration(field.path, field.d, minTime, maxTime)
		}
	}
	if f.Has("duties.usage_window") {
		f.Required("duties.usage_late")
	}
}
