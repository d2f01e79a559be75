package front

import (
	"time"

	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/process/roster"
)

// newFactors creates the factors of engines if the setting is on.
func (d *Daemon) newFactors() {
	if d.s.Scheduling.EngineSpeeds {
		d.factors = speed.NewFactors(speed.FactorOptions{Now: time.Now, Service: d.serviceOf})
	}
}

// serviceOf returns the service of the target whose ID has the given hash.
func (d *Daemon) serviceOf(hash uint64) (string, bool) {
	for name, set := range d.registry.Snapshot().Targets {
		if set.All().Lookup(hash) != nil {
			return name, true
		}
	}
	return "", false
}

// summaries returns the tables that daemons exchange.
func (d *Daemon) summaries() map[uint8]roster.Summary {
	tables := make(map[uint8]roster.Summary)
	if d.factors != nil {
		tables[roster.TopicSpeeds] = d.factors.Table()
	}
	return tables
}
