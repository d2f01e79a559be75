package reconcile

import (
	"net"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/document"
	"github.com/pomelospool/pomelospool/version/view"
)

// PlannedRole gives the role that the planner wants for an engine, and false when it
// has no wish.
type PlannedRole func(service, engine string) (port.Role, bool)

// Desired returns what an engine should be, and false when it should be left
// alone: its target is drained, or names a model that its document lacks.
func Desired(m Member, wish PlannedRole) (port.EngineSpec, bool) {
	t := m.Target
	version, ok := modelVersion(m.Doc, t.Model)
	if !ok || t.Drain {
		return port.EngineSpec{}, false
	}
	return port.EngineSpec{
		Role:    role(m, wish),
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

func role(m Member, wish PlannedRole) port.Role {
	if !m.Target.Pinned && wish != nil {
		if r, ok := wish(m.Doc.Service, m.Engine); ok {
			return r
		}
	}
	if m.Target.Role != "" {
		return m.Target.Role
	}
	return port.RoleMixed
}

// Leaving returns the addresses of targets that get no new work: drained by
// their document, on a VM that the list shows as leaving, or leaving by their
// own word.
func Leaving(snap *view.Snapshot, vms []port.VM, own map[string]bool) map[string]bool {
	hosts := make(map[string]bool)
	for _, vm := range vms {
		if vm.Leaving {
			hosts[vm.Addr] = true
		}
	}
	leaving := make(map[string]bool)
	for _, svc := range snap.Services {
		for _, t := range svc.Doc.Targets {
			if t.Drain || own[t.Addr] || hosts[hostOf(t.Addr)] {
				leaving[t.Addr] = true
			}
		}
	}
	return leaving
}

// hostOf returns the host of host:port.
func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}
