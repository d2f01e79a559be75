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

// demands counts what callers ask of this process, by model. It is safe for
// concurrent use.
type demands struct {
	mu     sync.Mutex
	models map[string]*demand
}

// demand is what callers of one model asked of this process since its start.
type demand struct {
	requests, prefill, decode atomic.Int64
}

// asked notes a request, refused ones included.
func (c *demands) asked(model string, prefill, decode int) {
	d := c.of(model)
	d.requests.Add(1)
	d.prefill.Add(int64(prefill))
	d.decode.Add(int64(decode))
}

func (c *demands) of(model string) *demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.models[model]
	if d == nil {
		d = &demand{}
		c.models[model] = d
	}
	return d
}

// rolePlanner runs the planner for each model on the control goroutine and
// holds the roles that it wishes for.
type rolePlanner struct {
	d      *Daemon
	states map[planKey]planner.State

	mu     sync.Mutex
	wishes map[string]port.Role // by engine address
}

// planKey names one plan: the engines of one model in one service.
type planKey struct {
	service, model string
}

func newRolePlanner(d *Daemon) *rolePlanner {
	return &rolePlanner{
		d:      d,
		states: make(map[planKey]planner.State),
		wishes: make(map[string]port.Role),
	}
}

// wish implements reconcile.PlannedRole.
func (p *rolePlanner) wish(_, engine string) (port.Role, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.wishes[engine]
	return r, ok
}

// step plans once for every model service. Only for groups that it holds does
// a process wish anything; the others plan too, so that a successor knows the
// mix at once.
func (p *rolePlanner) step() {
	snap := p.d.view.Load()
	if snap == nil {
		return
	}
	groups := groupOf(snap)
	for _, svc := range snap.Services {
		if svc.Doc.Kind != document.KindModel {
			continue
		}
		for _, m := range svc.Doc.Models {
			p.plan(svc, m.Name, groups)
		}
	}
}

// groupOf gives the lease group of each engine's address.
func groupOf(snap *view.Snapshot) map[string]string {
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
		p.wishes[c.Engine] = c.To
		p.mu.Unlock()
	}
}

// observe gathers what this process knows of a model's engines, and the
// groups that it may order.
func (p *rolePlanner) observe(svc *view.Service, model string, groups map[string]string) (planner.Observation, map[string]bool) {
	_, of := p.d.members.View().Rank()
	dem := p.d.demands.of(model)
	obs := planner.Observation{
		Groups:    []string{},
		Processes: of,
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
