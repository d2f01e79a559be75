// Package inforce holds the configuration that this process goes by. Its
// versions only rise for as long as the process lives.
package inforce

import (
	"sync/atomic"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/route"
)

// Holder is the topic.Sink of the configuration's topic. Any goroutine may
// load the configuration.
type Holder struct {
	decode func(r port.KeyedRecord) (c *route.Config, present bool, err error)
	p      atomic.Pointer[route.Config]
}

// New returns a Holder without a configuration.
func New(decode func(r port.KeyedRecord) (*route.Config, bool, error)) *Holder {
	return &Holder{decode: decode}
}

// Load returns the configuration in force, or nil before the first one.
func (h *Holder) Load() *route.Config { return h.p.Load() }

// Reset takes the topic's newest records.
func (h *Holder) Reset(records []port.KeyedRecord, _ int64) { h.Apply(records) }

// Apply takes records in order.
//
// The guard is against a step back: an answer of the store that is behind, or
// records read twice, must not bring an older version into force after
// requests have seen the effect of a newer one.
func (h *Holder) Apply(records []port.KeyedRecord) {
	for _, r := range records {
		c, present, err := h.decode(r)
		if err != nil {
			// The version in force stays; operators see the line.
			log.WithError(err).WithField("offset", r.Offset).Error("config: record can't be read")
			continue
		}
		old := h.p.Load()
		if !present || old != nil && c.Version <= old.Version {
			continue
		}
		h.p.Store(c)
		log.WithFields(log.Fields{"version": c.Version, "routes": c.Routes(), "services": len(c.Services), "keys": c.KeyCount(), "offset": r.Offset}).Info("config: in force")
	}
}

// StoreLost is told of an outage of the store; the configuration stays in force.
func (h *Holder) StoreLost(error) {}

// StoreRecovered is told of the end of an outage.
func (h *Holder) StoreRecovered() {}
