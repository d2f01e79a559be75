package daemon

import (
	"encoding/json"
	"expvar"
	"net/http"
	"strings"

	"github.com/uptrace/bunrouter"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/process/membership"
	"github.com/pomelospool/pomelospool/process/reconcile"
	"github.com/pomelospool/pomelospool/process/status"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/version/document"
	"github.com/pomelospool/pomelospool/version/view"
)

// operatorRoutes returns the handler of the operators' port.
func (d *Daemon) operatorRoutes() http.Handler {
	r := bunrouter.New()
	r.GET(status.Path, func(w http.ResponseWriter, _ bunrouter.Request) error { return writeJSON(w, d.Status()) })
	r.GET("/burn", func(w http.ResponseWriter, _ bunrouter.Request) error { return writeJSON(w, d.burn.Report()) })
	r.GET("/debug/vars", bunrouter.HTTPHandler(expvar.Handler()))
	r.GET("/healthz", func(w http.ResponseWriter, _ bunrouter.Request) error { return writeText(w, http.StatusOK, "ok") })
	r.GET("/readyz", d.ready)
	return r
}

func writeJSON(w http.ResponseWriter, v any) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(v)
}

func writeText(w http.ResponseWriter, status int, text string) error {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, err := w.Write([]byte(text + "\n"))
	return err
}

// ready answers whether the daemon takes new requests, and if not, why.
func (d *Daemon) ready(w http.ResponseWriter, _ bunrouter.Request) error {
	if err := d.Admit(); err != nil {
		return writeText(w, http.StatusServiceUnavailable, err.Error())
	}
	return writeText(w, http.StatusOK, "ok")
}

// Status returns this daemon's own view, as pomelosctl status shows it.
func (d *Daemon) Status() *status.Status {
	s := &status.Status{
		Daemon:      d.s.VM,
		Zone:        d.s.Zone,
		Incarnation: d.self,
		Callers:     d.s.Listen.Callers,
		State:       d.stateName(),
		Code:        code.Of(d.Admit()),
		Applied:     d.follower.Applied(),
		LogAgeMs:    d.logAge().Milliseconds(),
	}
	for _, m := range d.members.View().Members {
		if m.Member.StartedMs == 0 {
			continue // a listed VM that never sent a heartbeat, perhaps a target's
		}
		s.Members = append(s.Members, memberStatus(m))
	}
	snap := d.view.Load()
	if snap == nil {
		return s
	}
	for _, g := range reconcile.Names(reconcile.Groups(snap)) {
		if fence, until, ok := d.leases.Held(g); ok {
			left := until - d.clock.Now()
			s.Leases = append(s.Leases, status.Lease{Group: g, Fence: fence, LeftMs: left.Milliseconds()})
		}
	}
	for _, name := range sortedServices(snap) {
		svc := snap.Services[name]
		s.Services = append(s.Services, status.Service{Name: name, Kind: string(svc.Doc.Kind), Version: svc.Version})
		s.Targets = append(s.Targets, d.targetStatus(snap, svc)...)
	}
	return s
}

func (d *Daemon) stateName() string {
	switch d.phase() {
	case phaseStarting:
		return "starting"
	case phaseLeaving, phaseDraining:
		return "draining"
	}
	if d.isolated() {
		return "isolated"
	}
	return "serving"
}

func memberStatus(m membership.MemberView) status.Member {
	state := strings.ToLower(m.Member.State.String())
	if m.Leaving && state == status.StateLive {
		state = "leaving"
	}
	return status.Member{
		Daemon:      m.Member.Id,
		Zone:        m.Member.Zone,
		Incarnation: m.Member.Incarnation,
		State:       state,
		Applied:     m.Member.Applied,
	}
}

func (d *Daemon) targetStatus(snap *view.Snapshot, svc *view.Service) []status.Target {
	var out []status.Target
	for _, t := range d.watcher.Targets(svc) {
		age := int64(-1)
		if svc.Doc.Kind == document.KindModel && !t.Load.At.IsZero() {
			age = t.LoadAge.Milliseconds()
		}
		out = append(out, status.Target{
			Service:  svc.Doc.Service,
			Name:     t.Name,
			Addr:     t.Addr,
			Zone:     t.Zone,
			Role:     t.Role,
			State:    targetState(snap, t),
			InFlight: t.InFlight,
			LoadAge:  age,
		})
	}
	return out
}

func targetState(snap *view.Snapshot, t routing.Target) string {
	switch {
	case snap.Leaving[t.Addr]:
		return "leaving"
	case !t.Live:
		return "unreachable"
	case t.Changing:
		return "changing"
	case t.Suspect:
		return "suspect"
	default:
		return status.StateLive
	}
}
