package daemon

import (
	"sync"
	"sync/atomic"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/planner"
	"github.com/pomelospool/pomelospool/process/reconcile"
	"github.com/pomelospool/pomelospool/version/document"
	"github.com/pomelospool/pomelospool/version/view"
)

// demandCounters counts the requests of callers to this process, by model. It
// is safe for concurrent use.
type demandCounters struct {
	mu     sync.Mutex
	models map[string]*demandCounter
}

// demandCounter counts the requests for one model since the start of the
// process, and their prefill and decode tokens.
type demandCounter struct {
	requests, prefill, decode atomic.Int64
}

// record counts a request, including refused ones.
func (c *demandCounters) record(model string, prefill, decode int) {
	d := c.forModel(model)
	d.requests.Add(1)
	d.prefill.Add(int64(prefill))
	d.decode.Add(int64(decode))
}

func (c *demandCounters) forModel(model string) *demandCounter {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.models[model]
	if d == nil {
		d = &demandCounter{}
		c.models[model] = d
	}
	return d
}

// rolePlanner runs the planner for each model on the control goroutine and
// keeps the resulting desired roles.
type rolePlanner struct {
	d      *Daemon
	states map[planKey]planner.State

	mu      sync.Mutex
	desired map[string]port.Role // by engine address
}

// planKey identifies a plan: the engines of one model in one service.
type planKey struct {
	service, model string
}

func newRolePlanner(d *Daemon) *rolePlanner {
	return &rolePlanner{
		d:       d,
		states:  make(map[planKey]planner.State),
		desired: make(map[string]port.Role),
	}
}

// desiredRole implements reconcile.PlannedRole.
func (p *rolePlanner) desiredRole(_, engine string) (port.Role, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.desired[engine]
	return r, ok
}

// step runs the planner once for every model service. A process sets desired
// roles only for groups whose lease it holds. The others plan too, so that a
// successor knows the mix of roles immediately.
func (p *rolePlanner) step() {
	snap := p.d.view.Load()
	if snap == nil {
		return
	}
	groups := groupsByEngine(snap)
	for _, svc := range snap.Services {
		if svc.Doc.Kind != document.KindModel {
			continue
		}
		for _, m := range svc.Doc.Models {
			p.plan(svc, m.Name, groups)
		}
	}
}

// groupsByEngine returns the lease group of each engine, by address.
func groupsByEngine(snap *view.Snapshot) map[string]string {
	out := make(map[string]string)
	for _, g := range reconcile.Groups(snap) {
		for _, e := range g.Engines {
			out[e.Engine] = g.Name
		}
	}
	return out
}

func (p *rolePlanner) plan(svc *view.Service, model string, groups map[string]string) {
	key := planKey{svc.Doc.Service, model}
	obs, held := p.observe(svc, model, groups)
	now := p.d.clock.Now()
	state, changes := planner.Plan(now, obs, svc.Doc, p.states[key])
	p.states[key] = state
	for _, c := range changes {
		if !held[groups[c.Engine]] {
			continue
		}
		log.WithFields(log.Fields{"engine": c.Engine, "from": c.From, "to": c.To, "reason": c.Reason}).Info("planner: role change")
		p.mu.Lock()
		p.desired[c.Engine] = c.To
		p.mu.Unlock()
	}
}

// observe collects the process's data on a model's engines, and the groups
// whose lease it holds.
func (p *rolePlanner) observe(svc *view.Service, model string, groups map[string]string) (planner.Observation, map[string]bool) {
	_, daemons := p.d.members.View().Rank()
	dem := p.d.demands.forModel(model)
	obs := planner.Observation{
		Groups:    []string{},
		Processes: daemons,
		Requests:  float64(dem.requests.Load()),
		Prefill:   float64(dem.prefill.Load()),
		Decode:    float64(dem.decode.Load()),
	}
	held := make(map[string]bool)
	for _, t := range p.d.watcher.Targets(svc) {
		if t.Model != model {
			continue
		}
		group := groups[t.Addr]
		if _, _, ok := p.d.leases.Held(group); ok && !held[group] {
			held[group] = true
			obs.Groups = append(obs.Groups, group)
		}
		obs.Engines = append(obs.Engines, planner.Engine{
			Name:        t.Addr,
			Group:       group,
			Incarnation: t.Load.Incarnation,
			Role:        t.Role,
			Live:        t.Live,
			Changing:    t.Changing,
			Pinned:      pinned(svc.Doc, t.Name),
			Load:        t.Load,
		})
	}
	return obs, held
}

func pinned(doc *document.Document, target string) bool {
	for _, t := range doc.Targets {
		if t.Name == target {
			return t.Pinned
		}
	}
	return false
}
