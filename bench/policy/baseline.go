package policy

import (
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/planner"
	"github.com/pomelospool/pomelospool/request/routing"
)

// chooser is a baseline router: it names the engine for the prompt and the one for the streams.
type chooser struct {
	m      *Model
	choose func(ts []routing.Target, decode bool) int
}

// Route makes the same estimate for admission whatever the choice.
func (c chooser) Route(r routing.Request, ts []routing.Target) (routing.Decision, error) {
	usable := make([]routing.Target, 0, len(ts))
	for i := range ts {
		t := &ts[i]
		if t.Live && !t.Changing && t.InFlight < t.Limit && !contains(r.Exclude, t.Name) {
			usable = append(usable, *t)
		}
	}
	p := c.choose(usable, false)
	if p < 0 {
		return routing.Decision{}, code.New(code.NoTarget, "none")
	}
	d := routing.Decision{Target: usable[p].Name}
	if usable[p].Role == port.RolePrefill {
		i := c.choose(usable, true)
		if i < 0 {
			return routing.Decision{}, code.New(code.NoTarget, "none")
		}
		d.DecodeTarget = usable[i].Name
	}
	t := &usable[p]
	if t.Role == port.RoleMixed && full(c.m, t) {
		return routing.Decision{}, code.New(code.Overloaded, "full")
	}
	rate := t.Load.PrefillRate
	if rate == 0 {
		rate = c.m.prefillRate()
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

func able(t *routing.Target, decode bool) bool {
	if decode {
		return t.Role != port.RolePrefill
	}
	return t.Role != port.RoleDecode
}

// full keeps the baselines, too, from starting streams beyond the objective.
func full(m *Model, t *routing.Target) bool {
	return t.Load.Running+t.Load.Waiting+t.SentCount >= m.Streams[t.Role]
}

// leastLoaded takes the shortest prompt queue, or the fewest streams for the
// room that the role has for them.
func leastLoaded(m *Model) chooser {
	return chooser{m, func(ts []routing.Target, decode bool) int {
		best, least := -1, 0.0
		for i := range ts {
			t := &ts[i]
			if !able(t, decode) || (decode && full(m, t)) {
				continue
			}
			var load float64
			if decode {
				load = float64(t.Load.Running+t.Load.Waiting+t.SentCount) / float64(m.Streams[t.Role])
			} else {
				load = float64(t.Load.QueuedPrefill + t.SentPrefill)
			}
			if best < 0 || load < least {
				best, least = i, load
			}
		}
		return best
	}}
}

// roundRobin takes the engines that are able in turn.
func roundRobin(m *Model) chooser {
	next := 0
	return chooser{m, func(ts []routing.Target, decode bool) int {
		for range ts {
			next++
			if i := next % len(ts); able(&ts[i], decode) && !(decode && full(m, &ts[i])) {
				return i
			}
		}
		return -1
	}}
}

// rolePlanner changes roles in a run.
type rolePlanner interface {
	plan(now float64, obs planner.Observation) []planner.Change
}

// never changes no role.
type never struct{}

func (never) plan(float64, planner.Observation) []planner.Change { return nil }

// The threshold rule's bounds: seconds of prompts waiting for an engine, and
// streams of those that fit.
const (
	thresholdEvery   = 5.0
	prefillHigh      = 0.5
	prefillLow       = 0.1
	decodeHigh       = 0.85
	decodeLow        = 0.7
	maxThresholdAway = 1
)

// threshold changes one engine when one phase is pressed and the other not.
type threshold struct {
	m    *Model
	last float64
}

func (p *threshold) plan(now float64, obs planner.Observation) []planner.Change {
	if now-p.last < thresholdEvery {
		return nil
	}
	p.last = now
	var queued, rate, streams, room float64
	n := map[port.Role]int{}
	away := 0
	for _, e := range obs.Engines {
		if e.Changing {
			away++
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
			room += float64(p.m.Streams[e.Role])
		}
	}
	if away >= maxThresholdAway || rate == 0 || room == 0 {
		return nil
	}
	waits, use := queued/rate, streams/room
	switch {
	case waits > prefillHigh && use < decodeHigh:
		return change(obs, n, port.RoleDecode, port.RolePrefill)
	case use > decodeHigh && waits < prefillHigh, use > decodeLow && waits < prefillLow:
		return change(obs, n, port.RolePrefill, port.RoleDecode)
	}
	return nil
}

// change asks for the first engine of a role, if it isn't the last one.
func change(obs planner.Observation, n map[port.Role]int, from, to port.Role) []planner.Change {
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

// real runs the product's planner, one for each zone as leases give it.
type real struct {
	d      *Deployment
	states []planner.State
}

func (p *real) plan(now float64, obs planner.Observation) []planner.Change {
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
