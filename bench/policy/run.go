package policy

import (
	"math/rand/v2"
	"slices"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/planner"
	"github.com/pomelospool/pomelospool/request/routing"
)

// system is one policy under test.
type system struct {
	name   string
	router func() routing.Router // one for each entry process
	roles  rolePlanner
}

// run is one system on one trace.
type run struct {
	m        *Model
	d        *Deployment
	tr       *Trace
	sys      system
	rng      *rand.Rand
	now      float64
	engines  []*engine
	byName   map[string]*engine
	index    map[string]int
	views    []*view
	routers  []routing.Router
	pending  []report
	seen     []report
	orders   []order
	asked    planner.Observation // the demand so far
	homeless []*job              // lost their engine and found no other yet
	res      Result
	window   Point
}

// order is a role change under way.
type order struct {
	e      *engine
	to     port.Role
	at     float64
	worked float64
}

// Times of the run, in seconds.
const (
	tick        = 0.010
	planEvery   = 1.0
	rehomeEvery = 0.1
	runOut      = 60.0 // after the last arrival
	pointEvery  = 10.0
	speedSpread = 0.1 // engines differ from the mean by up to this
	maxTries    = 4
	admitFirst  = FirstToken * 90 / 100 // admission's margin for its estimate, for all systems
)

func newRun(m *Model, d *Deployment, tr *Trace, sys system) *run {
	r := &run{
		m: m, d: d, tr: tr, sys: sys,
		rng:    rand.New(rand.NewPCG(tr.Seed, 7)),
		byName: map[string]*engine{},
		index:  map[string]int{},
	}
	for i, role := range d.Roles {
		zone := d.Zones[i%len(d.Zones)]
		speed := 1 + speedSpread*(2*r.rng.Float64()-1)
		e := &engine{m: m, name: string(rune('a'+i)) + "-" + zone, zone: zone, role: role, speed: speed}
		e.cache.limit = m.CacheTokens
		r.engines = append(r.engines, e)
		r.byName[e.name], r.index[e.name] = e, i
		r.pending = append(r.pending, report{role: role, live: true})
	}
	r.seen = slices.Clone(r.pending)
	for range d.Deciders {
		r.views = append(r.views, newView(r.engines, &r.now))
		r.routers = append(r.routers, sys.router())
	}
	return r
}

// do runs the trace to its end and a while beyond, so that streams can finish.
func (r *run) do() Result {
	ticks := int((r.tr.Length + runOut) / tick)
	arrivals, events := r.tr.arrivals, r.tr.events
	for i := range ticks {
		r.now = float64(i) * tick
		for len(events) > 0 && events[0].at <= r.now {
			r.happen(events[0])
			events = events[1:]
		}
		r.observe(i)
		for len(arrivals) > 0 && arrivals[0].at <= r.now {
			r.arrive(arrivals[0])
			arrivals = arrivals[1:]
		}
		for _, e := range r.engines {
			e.advance(r.now+tick, r.done, r.handOver)
		}
		r.followOrders()
	}
	r.res.finish(r.tr)
	return r.res
}

// every reports whether a period begins with tick i.
func every(i int, period, offset float64) bool {
	n := int(period/tick + 0.5)
	return i%n == int(offset/tick+0.5)
}

// observe lets reports be made and seen, and the roles be planned.
func (r *run) observe(i int) {
	if every(i, reportEvery, 0) {
		for k, e := range r.engines {
			r.pending[k] = report{r.now, e.load(), e.role, e.to != "" || e.coming(), e.live()}
			if e.to != "" {
				r.pending[k].live = !e.leaving
			}
		}
	}
	if every(i, reportEvery, reportLag) {
		for k := range r.engines {
			r.seen[k] = r.pending[k]
			for _, v := range r.views {
				v.take(k, r.pending[k])
			}
		}
	}
	if every(i, rehomeEvery, 0) {
		r.rehome()
	}
	if every(i, planEvery, 0) {
		r.plan()
	}
	if every(i, pointEvery, 0) {
		r.point()
	}
}

// coming reports whether the engine is away for a role change, not for a crash.
func (e *engine) coming() bool { return e.awayTill > e.now && e.inChange }

func (r *run) plan() {
	obs := r.asked
	for i, e := range r.engines {
		s := r.seen[i]
		obs.Engines = append(obs.Engines, planner.Engine{
			Name: e.name, Group: e.zone, Incarnation: string(rune('0' + e.crashes)),
			Role: s.role, Live: s.live, Changing: s.changing, Load: s.load,
		})
	}
	for _, c := range r.sys.roles.plan(r.now, obs) {
		e := r.byName[c.Engine]
		if !e.live() || e.to != "" {
			continue
		}
		e.to = c.To
		r.orders = append(r.orders, order{e, c.To, r.now, e.worked})
		r.res.Changes++
		r.window.Changes++
	}
}

// followOrders counts what each role change cost, once the engine is back.
func (r *run) followOrders() {
	open := r.orders[:0]
	for _, o := range r.orders {
		if o.e.to != "" || o.e.awayTill > o.e.now {
			open = append(open, o)
			continue
		}
		r.res.lost += max(r.now-o.at-(o.e.worked-o.worked), 0)
	}
	r.orders = open
}

func (r *run) arrive(a arrival) {
	j := &job{arrival: a, decider: r.rng.IntN(len(r.views)), prompt: a.prompt, left: a.out}
	r.res.offered += r.m.work(float64(a.prompt), float64(a.out))
	r.res.Offered++
	r.window.Offered += r.m.work(float64(a.prompt), float64(a.out))
	r.asked.Requests++
	r.asked.Decode += float64(a.estimate)
	if !r.route(j) {
		r.asked.Prefill += float64(a.prompt)
		r.res.Refused++
	}
}

// route sends the job to an engine, or returns false for a refusal.
func (r *run) route(j *job) bool {
	v := r.views[j.decider]
	v.at(r.now)
	for range maxTries {
		req := routing.Request{
			Service: r.d.Name, Model: modelName, PromptTokens: j.prompt, OutputTokens: j.estimate,
			Deadline: Deadline - duration(r.now-j.at), Zone: r.d.Zones[j.zone], Seed: r.rng.Uint64(), Exclude: j.tried,
		}
		if j.prefillAt != nil {
			req.Priority = 1 // accepted already
		}
		if j.group != 0 {
			req.Prefix = []uint64{j.group}
		}
		d, err := r.routers[j.decider].Route(req, v.targets)
		if err != nil || (j.prefillAt == nil && d.TimeToFirstToken > admitFirst) {
			return false
		}
		p := r.byName[d.Target]
		if p.awayTill > p.now {
			j.tried = append(j.tried, d.Target)
			continue
		}
		r.send(j, p, &d, v)
		return true
	}
	return false
}

func (r *run) send(j *job, p *engine, d *routing.Decision, v *view) {
	first := j.first == 0 && j.prefillAt == nil
	j.decodeAt = p
	j.expected, j.sentAt = *d, r.now
	if d.DecodeTarget != "" && d.DecodeTarget != p.name {
		j.decodeAt = r.byName[d.DecodeTarget]
		j.decodeAt.expected++
		v.send(r.index[d.DecodeTarget], sent{r.now, 0, j.estimate})
	}
	if d.KVSource != "" && j.group != 0 {
		p.cache.add(j.group, r.byName[d.KVSource].cache.lookup(j.group, r.now), r.now)
	}
	p.submit(j, r.now)
	v.send(r.index[p.name], sent{r.now, j.prompt, j.estimate})
	if first {
		r.asked.Prefill += float64(j.prompt)
	}
}

// handOver moves a stream from the engine of its prompt to that of its output.
func (r *run) handOver(j *job, at float64) {
	r.views[j.decider].targets[r.index[j.prefillAt.name]].InFlight--
	to := j.decodeAt
	to.expected--
	if to.awayTill > to.now {
		r.again(j)
		return
	}
	to.incoming = append(to.incoming, transfer{j, at})
}

func (r *run) done(j *job, at float64) {
	v := r.views[j.decider]
	if j.prefillAt != j.decodeAt && j.left <= 0 && j.out == 1 {
		j.decodeAt.expected--
	}
	v.targets[r.index[j.decodeAt.name]].InFlight--
	work := r.m.work(float64(j.arrival.prompt), float64(j.out))
	r.res.compare(j, at)
	between := 0.0
	if j.out > 1 {
		between = (at - j.first) / float64(j.out-1)
	}
	switch {
	case j.first-j.at > FirstToken.Seconds():
		r.res.LateFirst++
	case between > BetweenTokens.Seconds():
		r.res.LateBetween++
	case at-j.at > Deadline.Seconds():
		r.res.LateAnswer++
	default:
		r.res.OnTime++
		r.res.onTime += work
		r.res.tokens += float64(j.out)
		r.window.OnTime += work
	}
}

// point closes ten seconds of the run's record.
func (r *run) point() {
	r.window.At = r.now
	for _, e := range r.engines {
		switch e.role {
		case port.RolePrefill:
			r.window.Roles[0]++
		case port.RoleDecode:
			r.window.Roles[2]++
		default:
			r.window.Roles[1]++
		}
	}
	r.window.Offered /= pointEvery
	r.window.OnTime /= pointEvery
	r.res.Points = append(r.res.Points, r.window)
	r.window = Point{}
}
