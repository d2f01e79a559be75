package front

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/links"
	"github.com/pomelospool/pomelospool/process/roster"
	"github.com/pomelospool/pomelospool/request/dispatch"
	"github.com/pomelospool/pomelospool/request/forward"
)

// wireLinks creates the parts that serve callers while this daemon has lost its
// links to the targets of a service.
func (d *Daemon) wireLinks() {
	d.links = links.New(links.Options{
		Services: d.serviceNames,
		Targets:  d.linkTargets,
		Probe:    d.pool.Probe,
		Changed:  d.linksChanged,
	})
	peers := &forwardPeers{members: func() []roster.Member { return d.roster.Members() }}
	d.forwarder = forward.New(forward.NewHTTP(d.s.VM), peers.list)
}

func (d *Daemon) serviceNames() []string {
	cfg := d.config.Load()
	if cfg == nil {
		return nil
	}
	out := make([]string, 0, len(cfg.Services))
	for name := range cfg.Services {
		out = append(out, name)
	}
	return out
}

// linkTargets returns the targets of a service that take requests.
func (d *Daemon) linkTargets(service string) []links.Target {
	var out []links.Target
	for _, e := range d.registry.Snapshot().Targets[service].All().All() {
		if !e.Leaving {
			out = append(out, links.Target{ID: e.ID, Addr: e.Addr})
		}
	}
	return out
}

// linksChanged withdraws what this daemon has reported of the targets of a
// service, and reports its own state.
func (d *Daemon) linksChanged(service string, _ bool) {
	set := d.registry.Snapshot().Targets[service].All()
	d.health.Forgive(func(id string) bool {
		return set.Lookup(engines.Hash(strings.TrimSuffix(id, dispatch.KVSuffix))) != nil
	})
	d.roster.Notify()
}

// peersHandler serves the requests of other daemons: those that they forward,
// and reads of the store.
func (d *Daemon) peersHandler(reads http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if forward.IsForwarded(req.Header) {
			d.ingress.ServeForwarded(w, req)
			return
		}
		req, done := d.untilDrained(req)
		defer done()
		reads.ServeHTTP(w, req)
	})
}

// forwardPeersTTL is how long the list of daemons that requests may be forwarded
// to is cached.
const forwardPeersTTL = 200 * time.Millisecond

// forwardPeers selects the daemons that requests may be forwarded to.
type forwardPeers struct {
	members func() []roster.Member // this daemon first

	mu        sync.Mutex
	listed    time.Time
	near, far []forward.Peer // in this daemon's availability zone, and in others
	unlinked  []forward.Peer // that have lost their links to some service, maybe another one
	useFar    bool           // the zone has lost so many daemons that the rest can't take all requests
}

// list returns the daemons in a random order, those of this daemon's
// availability zone first if they are enough, and those without links to some
// service last.
func (f *forwardPeers) list() []forward.Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.listed) >= forwardPeersTTL {
		f.refresh()
	}
	if f.useFar {
		return forward.Shuffled(slices.Concat(f.near, f.far), f.unlinked)
	}
	return forward.Shuffled(f.near, f.far, f.unlinked)
}

// refresh reads the members. Callers hold f.mu.
func (f *forwardPeers) refresh() {
	all := f.members()
	self := all[0]
	f.near, f.far, f.unlinked, f.listed = nil, nil, nil, time.Now()
	nearUnlinked := 1
	for _, m := range all[1:] {
		near := m.Zone == self.Zone
		p := forward.Peer{VM: m.VM, Addr: m.PeerAddr}
		switch {
		case m.State == roster.Unlinked:
			f.unlinked = append(f.unlinked, p)
			if near {
				nearUnlinked++
			}
		case m.State != roster.Ready:
		case near:
			f.near = append(f.near, p)
		default:
			f.far = append(f.far, p)
		}
	}
	f.useFar = len(f.near) < nearUnlinked
}
