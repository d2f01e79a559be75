package reconcile

import (
	"net"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/document"
	"github.com/pomelospool/pomelospool/version/view"
)

// PlannedRole returns the role that the planner assigns to an engine, and false if
// it assigns none.
type PlannedRole func(service, engine string) (port.Role, bool)

// Desired returns the desired spec of an engine. It returns false if the engine
// gets no orders, because its target is drained or names a model that is missing
// from its document.
func Desired(m Member, planned PlannedRole) (port.EngineSpec, bool) {
	t := m.Target
	version, ok := modelVersion(m.Doc, t.Model)
	if !ok || t.Drain {
		return port.EngineSpec{}, false
	}
	return port.EngineSpec{
		Role:    role(m, planned),
		Model:   t.Model,
		Version: version,
		Adapter: t.Adapter,
	}, true
}

func modelVersion(doc *document.Document, model string) (string, bool) {
	for _, m := range doc.Models {
		if m.Name == model {
			return m.Version, true
		}
	}
	return "", false
}

func role(m Member, planned PlannedRole) port.Role {
	if !m.Target.Pinned && planned != nil {
		if r, ok := planned(m.Doc.Service, m.Engine); ok {
			return r
		}
	}
	if m.Target.Role != "" {
		return m.Target.Role
	}
	return port.RoleMixed
}

// Leaving returns the addresses of targets that get no new work. These are drained
// by their document, run on a VM that is marked as leaving in vms, or are in
// selfReported.
func Leaving(snap *view.Snapshot, vms []port.VM, selfReported map[string]bool) map[string]bool {
	leavingVMs := make(map[string]bool)
	for _, vm := range vms {
		if vm.Leaving {
			leavingVMs[vm.Addr] = true
		}
	}
	leaving := make(map[string]bool)
	for _, svc := range snap.Services {
		for _, t := range svc.Doc.Targets {
			if t.Drain || selfReported[t.Addr] || leavingVMs[hostOf(t.Addr)] {
				leaving[t.Addr] = true
			}
		}
	}
	return leaving
}

// hostOf returns the host of an address host:port.
func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}
