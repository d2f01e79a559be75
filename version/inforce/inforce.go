// Package inforce holds the routing configuration in force in this process.
// The version never decreases during the lifetime of the process.
package inforce

import (
	"sync/atomic"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/route"
)

// Holder is the topic.Sink of the configuration topic. Load is safe for
// concurrent use.
type Holder struct {
	decode func(r port.KeyedRecord) (c *route.Config, present bool, err error)
	p      atomic.Pointer[route.Config]
}

// New returns a Holder without a configuration. decode decodes a record and
// reports whether it holds a configuration.
func New(decode func(r port.KeyedRecord) (*route.Config, bool, error)) *Holder {
	return &Holder{decode: decode}
}

// Load returns the configuration in force, or nil before the first.
func (h *Holder) Load() *route.Config { return h.p.Load() }

// Reset applies the topic's newest records.
func (h *Holder) Reset(records []port.KeyedRecord, _ int64) { h.Apply(records) }

// Apply applies records in order. It ignores versions that are not newer than
// the one in force: a lagging response of the store, or records that are read
// twice, must not restore an older version after requests have used a newer
// one.
func (h *Holder) Apply(records []port.KeyedRecord) {
	for _, r := range records {
		c, present, err := h.decode(r)
		if err != nil {
			// The version in force stays; the log line alerts operators.
			log.WithError(err).WithField("offset", r.Offset).Error("config: cannot decode record")
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

// StoreLost implements topic.Sink. The configuration stays in force during an
// outage of the store.
func (h *Holder) StoreLost(error) {}

// StoreRecovered implements topic.Sink.
func (h *Holder) StoreRecovered() {}
