package policy

import (
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/planner"
	"github.com/pomelospool/pomelospool/request/routing"
)

// baselineRouter is a routing.Router of a baseline. choose returns the index of
// the engine for the prompt, or for decoding if decode is set, or -1 if there
// is none.
type baselineRouter struct {
	m      *Model
	choose func(ts []routing.Target, decode bool) int
}

// Route estimates the time to the first token in the same way for all
// baselines, so that admission doesn't depend on the choice.
func (b baselineRouter) Route(r routing.Request, ts []routing.Target) (routing.Decision, error) {
	usable := make([]routing.Target, 0, len(ts))
	for i := range ts {
		t := &ts[i]
		if t.Live && !t.Changing && t.InFlight < t.Limit && !contains(r.Exclude, t.Name) {
			usable = append(usable, *t)
		}
	}
	p := b.choose(usable, false)
	if p < 0 {
		return routing.Decision{}, code.New(code.NoTarget, "none")
	}
	d := routing.Decision{Target: usable[p].Name}
	if usable[p].Role == port.RolePrefill {
		i := b.choose(usable, true)
		if i < 0 {
			return routing.Decision{}, code.New(code.NoTarget, "none")
		}
		d.DecodeTarget = usable[i].Name
	}
	t := &usable[p]
	if t.Role == port.RoleMixed && isFull(b.m, t) {
		return routing.Decision{}, code.New(code.Overloaded, "full")
	}
	rate := t.Load.PrefillRate
	if rate == 0 {
		rate = b.m.prefillRate()
	}
	queue := max(float64(t.Load.QueuedPrefill+t.SentPrefill)-rate*t.LoadAge.Seconds(), 0)
	d.TimeToFirstToken = duration((queue + float64(r.PromptTokens)) / rate)
	return d, nil
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

func canServe(t *routing.Target, decode bool) bool {
	if decode {
		return t.Role != port.RolePrefill
	}
	return t.Role != port.RoleDecode
}

// isFull reports whether another stream on the target would exceed the objective
// between tokens. The baselines respect this limit too.
func isFull(m *Model, t *routing.Target) bool {
	return t.Load.Running+t.Load.Waiting+t.SentCount >= m.Streams[t.Role]
}

// leastLoaded returns a router that picks the engine with the shortest prompt
// queue, or for decoding the one with the fewest streams in relation to the
// capacity of its role.
func leastLoaded(m *Model) baselineRouter {
	return baselineRouter{m, func(ts []routing.Target, decode bool) int {
		best, minLoad := -1, 0.0
		for i := range ts {
			t := &ts[i]
			if !canServe(t, decode) || (decode && isFull(m, t)) {
				continue
			}
			var load float64
			if decode {
				load = float64(t.Load.Running+t.Load.Waiting+t.SentCount) / float64(m.Streams[t.Role])
			} else {
				load = float64(t.Load.QueuedPrefill + t.SentPrefill)
			}
			if best < 0 || load < minLoad {
				best, minLoad = i, load
			}
		}
		return best
	}}
}

// roundRobin returns a router that picks the suitable engines in turn.
func roundRobin(m *Model) baselineRouter {
	next := 0
	return baselineRouter{m, func(ts []routing.Target, decode bool) int {
		for range ts {
			next++
			if i := next % len(ts); canServe(&ts[i], decode) && !(decode && isFull(m, &ts[i])) {
				return i
			}
		}
		return -1
	}}
}

// rolePlanner plans the role changes of a run.
type rolePlanner interface {
	plan(now float64, obs planner.Observation) []planner.Change
}

// staticRoles is a rolePlanner that never changes a role.
type staticRoles struct{}

func (staticRoles) plan(float64, planner.Observation) []planner.Change { return nil }

// Parameters of the threshold rule. The prefill thresholds are the queued
// prompts in seconds of work, the decode thresholds are the share of the stream
// capacity in use.
const (
	thresholdInterval    = 5.0
	prefillQueueHigh     = 0.5
	prefillQueueLow      = 0.1
	decodeUseHigh        = 0.85
	decodeUseLow         = 0.7
	maxThresholdChanging = 1
)

// thresholdPlanner is a rolePlanner that changes one engine if one phase is
// overloaded and the other isn't.
type thresholdPlanner struct {
	m    *Model
	last float64
}

func (p *thresholdPlanner) plan(now float64, obs planner.Observation) []planner.Change {
	if now-p.last < thresholdInterval {
		return nil
	}
	p.last = now
	var queued, rate, streams, capacity float64
	n := map[port.Role]int{}
	changing := 0
	for _, e := range obs.Engines {
		if e.Changing {
			changing++
		}
		if !e.Live || e.Changing {
			continue
		}
		n[e.Role]++
		if e.Role != port.RoleDecode {
			queued += float64(e.Load.QueuedPrefill)
			rate += p.m.prefillRate()
		}
		if e.Role != port.RolePrefill {
			streams += float64(e.Load.Running + e.Load.Waiting)
			capacity += float64(p.m.Streams[e.Role])
		}
	}
	if changing >= maxThresholdChanging || rate == 0 || capacity == 0 {
		return nil
	}
	queueTime, use := queued/rate, streams/capacity
	switch {
	case queueTime > prefillQueueHigh && use < decodeUseHigh:
		return firstChange(obs, n, port.RoleDecode, port.RolePrefill)
	case use > decodeUseHigh && queueTime < prefillQueueHigh, use > decodeUseLow && queueTime < prefillQueueLow:
		return firstChange(obs, n, port.RolePrefill, port.RoleDecode)
	}
	return nil
}

// firstChange returns the change of the first available engine of a role. It
// returns none if that is the last engine of the role.
func firstChange(obs planner.Observation, n map[port.Role]int, from, to port.Role) []planner.Change {
	if n[from] <= 1 {
		return nil
	}
	for _, e := range obs.Engines {
		if e.Role == from && e.Live && !e.Changing {
			return []planner.Change{{Engine: e.Name, From: from, To: to}}
		}
	}
	return nil
}

// productPlanner runs the daemons' planner. It keeps a separate state for each
// zone, because in production each zone has its own lease holder that plans.
type productPlanner struct {
	d      *Deployment
	states []planner.State
}

func (p *productPlanner) plan(now float64, obs planner.Observation) []planner.Change {
	var all []planner.Change
	at := time.Duration(now * float64(time.Second))
	for i, zone := range p.d.Zones {
		obs.Group = zone
		s, cs := planner.Plan(at, obs, p.d.Doc, p.states[i])
		p.states[i] = s
		all = append(all, cs...)
	}
	return all
}
