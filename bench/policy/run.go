package policy

import (
	"math/rand/v2"
	"slices"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/planner"
	"github.com/pomelospool/pomelospool/request/routing"
)

// system is a policy under comparison: a router and a planner of roles.
type system struct {
	name   string
	router func() routing.Router // one for each entry process
	roles  rolePlanner
}

// run is the state of the simulation of one system on one trace.
type run struct {
	m        *Model
	d        *Deployment
	trace    *Trace
	sys      system
	rng      *rand.Rand
	now      float64
	engines  []*engine
	byName   map[string]*engine
	index    map[string]int
	views    []*view
	routers  []routing.Router
	pending  []report
	visible  []report
	orders   []order
	demand   planner.Observation // the demand since the start
	unplaced []*job              // jobs that lost their engine and have no other yet
	res      Result
	window   Point
}

// order is a role change in progress.
type order struct {
	engine       *engine
	role         port.Role
	at           float64
	workedBefore float64
}

// Times of the run, in seconds.
const (
	tick          = 0.010
	planInterval  = 1.0
	retryInterval = 0.1
	drainTime     = 60.0 // after the end of the trace
	pointInterval = 10.0
	speedSpread   = 0.1 // largest deviation of an engine's speed from the mean
	maxTries      = 4
	// maxAdmittedFirst is the longest predicted time to the first token with which
	// a request is admitted, in all systems. It leaves a margin for errors.
	maxAdmittedFirst = FirstToken * 90 / 100
)

func newRun(m *Model, d *Deployment, tr *Trace, sys system) *run {
	r := &run{
		m: m, d: d, trace: tr, sys: sys,
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
	r.visible = slices.Clone(r.pending)
	for range d.RouterCount {
		r.views = append(r.views, newView(r.engines, &r.now))
		r.routers = append(r.routers, sys.router())
	}
	return r
}

// simulate runs the trace, and drainTime beyond its end so that streams can
// finish.
func (r *run) simulate() Result {
	ticks := int((r.trace.Length + drainTime) / tick)
	arrivals, events := r.trace.arrivals, r.trace.events
	for i := range ticks {
		r.now = float64(i) * tick
		for len(events) > 0 && events[0].at <= r.now {
			r.applyEvent(events[0])
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
	r.res.finish(r.trace)
	return r.res
}

// periodStarts reports whether a period starts at tick i. The first one starts at
// the offset.
func periodStarts(i int, period, offset float64) bool {
	n := int(period/tick + 0.5)
	return i%n == int(offset/tick+0.5)
}

// observe runs the periodic tasks that are due at tick i: the engines' reports,
// their delivery, the retries, the planning of roles and the points of the
// result.
func (r *run) observe(i int) {
	if periodStarts(i, reportInterval, 0) {
		for k, e := range r.engines {
			r.pending[k] = report{r.now, e.load(), e.role, e.nextRole != "" || e.inRoleChange(), e.live()}
			if e.nextRole != "" {
				r.pending[k].live = !e.withdrawn
			}
		}
	}
	if periodStarts(i, reportInterval, reportLag) {
		for k := range r.engines {
			r.visible[k] = r.pending[k]
			for _, v := range r.views {
				v.applyReport(k, r.pending[k])
			}
		}
	}
	if periodStarts(i, retryInterval, 0) {
		r.retryUnplaced()
	}
	if periodStarts(i, planInterval, 0) {
		r.plan()
	}
	if periodStarts(i, pointInterval, 0) {
		r.closePoint()
	}
}

// inRoleChange reports whether the engine is down for a role change, not for a
// crash.
func (e *engine) inRoleChange() bool { return e.downUntil > e.now && e.changingRole }

func (r *run) plan() {
	obs := r.demand
	for i, e := range r.engines {
		s := r.visible[i]
		obs.Engines = append(obs.Engines, planner.Engine{
			Name: e.name, Group: e.zone, Incarnation: string(rune('0' + e.crashes)),
			Role: s.role, Live: s.live, Changing: s.changing, Load: s.load,
		})
	}
	for _, c := range r.sys.roles.plan(r.now, obs) {
		e := r.byName[c.Engine]
		if !e.live() || e.nextRole != "" {
			continue
		}
		e.nextRole = c.To
		r.orders = append(r.orders, order{e, c.To, r.now, e.worked})
		r.res.Changes++
		r.window.Changes++
	}
}

// followOrders adds up the work that each role change cost once the engine is
// available again.
func (r *run) followOrders() {
	open := r.orders[:0]
	for _, o := range r.orders {
		if o.engine.nextRole != "" || o.engine.downUntil > o.engine.now {
			open = append(open, o)
			continue
		}
		r.res.lostWork += max(r.now-o.at-(o.engine.worked-o.workedBefore), 0)
	}
	r.orders = open
}

func (r *run) arrive(a arrival) {
	j := &job{arrival: a, router: r.rng.IntN(len(r.views)), prompt: a.prompt, remaining: a.output}
	r.res.offered += r.m.work(float64(a.prompt), float64(a.output))
	r.res.Offered++
	r.window.Offered += r.m.work(float64(a.prompt), float64(a.output))
	r.demand.Requests++
	r.demand.Decode += float64(a.estimate)
	if !r.route(j) {
		r.demand.Prefill += float64(a.prompt)
		r.res.Refused++
	}
}

// route sends the job to an engine. It returns false if the job is rejected.
func (r *run) route(j *job) bool {
	v := r.views[j.router]
	v.setAges(r.now)
	for range maxTries {
		req := routing.Request{
			Service: r.d.Name, Model: modelName, PromptTokens: j.prompt, OutputTokens: j.estimate,
			Deadline: Deadline - duration(r.now-j.at), Zone: r.d.Zones[j.zone], Seed: r.rng.Uint64(), Exclude: j.tried,
		}
		if j.prefillAt != nil {
			req.Priority = 1 // the request has been accepted before
		}
		if j.group != 0 {
			req.Prefix = []uint64{j.group}
		}
		d, err := r.routers[j.router].Route(req, v.targets)
		if err != nil || (j.prefillAt == nil && d.TimeToFirstToken > maxAdmittedFirst) {
			return false
		}
		e := r.byName[d.Target]
		if e.downUntil > e.now {
			j.tried = append(j.tried, d.Target)
			continue
		}
		r.send(j, e, &d, v)
		return true
	}
	return false
}

func (r *run) send(j *job, e *engine, d *routing.Decision, v *view) {
	first := j.firstTokenAt == 0 && j.prefillAt == nil
	j.decodeAt = e
	j.expected, j.sentAt = *d, r.now
	if d.DecodeTarget != "" && d.DecodeTarget != e.name {
		j.decodeAt = r.byName[d.DecodeTarget]
		j.decodeAt.expectedStreams++
		v.recordSend(r.index[d.DecodeTarget], sentWork{r.now, 0, j.estimate})
	}
	if d.KVSource != "" && j.group != 0 {
		e.cache.add(j.group, r.byName[d.KVSource].cache.lookup(j.group, r.now), r.now)
	}
	e.submit(j, r.now)
	v.recordSend(r.index[e.name], sentWork{r.now, j.prompt, j.estimate})
	if first {
		r.demand.Prefill += float64(j.prompt)
	}
}

// handOver moves a stream from the engine that ran the prefill to the one that
// decodes.
func (r *run) handOver(j *job, at float64) {
	r.views[j.router].targets[r.index[j.prefillAt.name]].InFlight--
	to := j.decodeAt
	to.expectedStreams--
	if to.downUntil > to.now {
		r.reroute(j)
		return
	}
	to.incoming = append(to.incoming, transfer{j, at})
}

func (r *run) done(j *job, at float64) {
	v := r.views[j.router]
	if j.prefillAt != j.decodeAt && j.remaining <= 0 && j.output == 1 {
		j.decodeAt.expectedStreams--
	}
	v.targets[r.index[j.decodeAt.name]].InFlight--
	work := r.m.work(float64(j.arrival.prompt), float64(j.output))
	r.res.comparePrediction(j, at)
	between := 0.0
	if j.output > 1 {
		between = (at - j.firstTokenAt) / float64(j.output-1)
	}
	switch {
	case j.firstTokenAt-j.at > FirstToken.Seconds():
		r.res.LateFirstToken++
	case between > BetweenTokens.Seconds():
		r.res.LateBetweenTokens++
	case at-j.at > Deadline.Seconds():
		r.res.LateAnswer++
	default:
		r.res.OnTime++
		r.res.onTimeWork += work
		r.res.tokens += float64(j.output)
		r.window.OnTime += work
	}
}

// closePoint adds the current Point to the result and starts a new one.
func (r *run) closePoint() {
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
	r.window.Offered /= pointInterval
	r.window.OnTime /= pointInterval
	r.res.Points = append(r.res.Points, r.window)
	r.window = Point{}
}
