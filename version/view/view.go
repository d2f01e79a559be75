// Package view is what the request path sees of process-wide state: an
// immutable snapshot behind an atomic pointer. The control goroutine stores a
// new snapshot; requests load it and never wait for control.
package view

import (
	"net"
	"sync/atomic"

	"github.com/pomelospool/pomelospool/version/document"
)

// Service is one service with the version in force.
type Service struct {
	Doc     *document.Document
	Version int64 // offset of the document's record
}

// Snapshot is all that is in force at one control offset. It is read-only.
type Snapshot struct {
	Applied  int64               // control offset that the snapshot covers
	Services map[string]*Service // by service name
	Models   map[string]*Service // by model name, model services only
	Leaving  map[string]bool     // target addresses that get no new work

	TargetHosts map[string]bool // hosts on which targets run
}

// NewSnapshot indexes the services by name and by model.
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

// Holder hands the newest snapshot to many readers. The zero value holds none.
type Holder struct{ p atomic.Pointer[Snapshot] }

// Load returns the newest snapshot, or nil before the first Store.
func (h *Holder) Load() *Snapshot { return h.p.Load() }

// Store replaces the snapshot. Only the control goroutine calls it.
func (h *Holder) Store(s *Snapshot) { h.p.Store(s) }

// Gate reports whether the process may take a new request now. It returns an
// error with code.Isolated, code.Draining or code.NoConfiguration, or nil.
type Gate interface {
	Admit() error
}
