// Package view provides the process-wide state to the request path as an
// immutable snapshot behind an atomic pointer. The control goroutine stores new
// snapshots; requests load them without blocking.
package view

import (
	"net"
	"sync/atomic"

	"github.com/pomelospool/pomelospool/version/document"
)

// Service is a service with its document in force.
type Service struct {
	Doc     *document.Document
	Version int64 // offset of the document's record
}

// Snapshot is the state in force at one offset of the control stream. It is
// read-only.
type Snapshot struct {
	Applied  int64               // offset of the control stream up to which the snapshot holds
	Services map[string]*Service // by service name
	Models   map[string]*Service // by model name, model services only
	Leaving  map[string]bool     // addresses of targets that get no new work

	TargetHosts map[string]bool // hosts on which targets run
}

// NewSnapshot returns a snapshot that indexes the services by name and model.
func NewSnapshot(applied int64, services []*Service, leaving map[string]bool) *Snapshot {
	s := &Snapshot{
		Applied:  applied,
		Services: make(map[string]*Service, len(services)),
		Models:   make(map[string]*Service),
		Leaving:  leaving,

		TargetHosts: make(map[string]bool),
	}
	for _, svc := range services {
		s.Services[svc.Doc.Service] = svc
		for _, m := range svc.Doc.Models {
			s.Models[m.Name] = svc
		}
		for _, t := range svc.Doc.Targets {
			if host, _, err := net.SplitHostPort(t.Addr); err == nil {
				s.TargetHosts[host] = true
			}
		}
	}
	return s
}

// Holder provides the newest snapshot to concurrent readers. The zero value is
// empty.
type Holder struct{ p atomic.Pointer[Snapshot] }

// Load returns the newest snapshot, or nil before the first Store.
func (h *Holder) Load() *Snapshot { return h.p.Load() }

// Store replaces the snapshot. Only the control goroutine calls it.
func (h *Holder) Store(s *Snapshot) { h.p.Store(s) }

// Gate decides whether the process accepts new requests.
type Gate interface {
	// Admit returns nil if the process accepts a new request now, and otherwise
	// an error with code.Isolated, code.Draining or code.NoConfiguration.
	Admit() error
}
