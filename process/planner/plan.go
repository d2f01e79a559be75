package planner

import (
	"fmt"
	"slices"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/document"
)

// Defaults of document fields, and bounds of a decision.
const (
	defaultWeight     = 0.5
	defaultChangeTime = 10 * time.Second
	defaultDwell      = 60 * time.Second
	minWeight         = 0.05
	warmUp            = 40 * time.Second // time of observations before the first change
	usualMixHorizon   = 60 * time.Second // time after the trust horizon for which the usual mix counts
	priceFactor       = 2
	minGain           = 8 // engine-seconds, at any goodput weight
)

// Plan processes an observation and returns the changes of role to order now: mostly
// none, and never more than one. Over the trust horizon, a change must gain more work
// on time than is lost while the engine changes its role. The gain must also exceed a
// minimum that the document's goodput weight determines.
//
// Every process plans over all engines of the model and so finds nearly the same best
// change. It orders the change only if the engine is in one of its own groups;
// otherwise all groups would react to the same shift at once.
func Plan(now time.Duration, obs Observation, doc *document.Document, prev State) (State, []Change) {
	s := prev
	if !s.initialized {
		s = State{initialized: true, Started: now, Last: now, ChangeTime: changeTime(doc)}
	}
	step := now - s.Last
	s.Last = now
	s.Rates = s.Rates.observe(&obs, doc.Objectives.BetweenTokens)
	s.Demand = s.Demand.observe(now, step, &obs, &s.Rates)
	s.updateEngines(now, &obs)
	c, ok := s.bestChange(now, &obs, doc)
	if !ok || !mayOrder(&obs, c.Engine) {
		return s, nil
	}
	i, _ := findEngineState(s.Engines, c.Engine)
	s.Engines[i].Pending = c.To
	s.Engines[i].Ordered = now
	s.Changed = now
	return s, []Change{c}
}

func changeTime(doc *document.Document) time.Duration {
	if doc.Roles.ChangeTime > 0 {
		return doc.Roles.ChangeTime
	}
	return defaultChangeTime
}

// mayOrder reports whether the engine is in a group of this process.
func mayOrder(o *Observation, engine string) bool {
	if o.Groups == nil && o.Group == "" {
		return true
	}
	i := slices.IndexFunc(o.Engines, func(e Engine) bool { return e.Name == engine })
	group := o.Engines[i].Group
	if o.Groups != nil {
		return slices.Contains(o.Groups, group)
	}
	return group == o.Group
}

// bestChange returns the change with the highest gain, if that exceeds the required
// gain.
func (s *State) bestChange(now time.Duration, o *Observation, doc *document.Document) (Change, bool) {
	if s.Demand.observedTime < warmUp || s.changing(o) >= max(doc.Roles.MaxChanging, 1) {
		return Change{}, false
	}
	f := s.fleet(o)
	l := newLimits(o, doc)
	var best Change
	for _, from := range roles {
		e := s.candidate(now, o, doc, from)
		if e == nil || !l.canTakeFrom(from) {
			continue
		}
		for _, to := range roles {
			if to == from || !l.canChange(from, to) {
				continue
			}
			if gain := s.gain(now, f, e, to); gain > best.Gain {
				best = Change{Engine: e.Name, From: from, To: to, Gain: gain}
			}
		}
	}
	if best.Gain <= s.requiredGain(doc) {
		return Change{}, false
	}
	best.Reason = fmt.Sprintf("prefill share %.2f, usually %.2f, trusted for %v: %.0f engine-seconds gained",
		s.Demand.Fast.prefillShare(&s.Rates), s.Demand.Slow.prefillShare(&s.Rates), s.Demand.trustHorizon(now).Round(time.Second), best.Gain)
	return best, true
}

var roles = []port.Role{port.RolePrefill, port.RoleMixed, port.RoleDecode}

// changing returns the number of engines in all groups that are changing their role.
func (s *State) changing(o *Observation) int {
	n := 0
	for i := range o.Engines {
		j, _ := findEngineState(s.Engines, o.Engines[i].Name)
		if o.Engines[i].Changing || s.Engines[j].Pending != "" {
			n++
		}
	}
	return n
}

func (s *State) fleet(o *Observation) fleet {
	var f fleet
	for i := range o.Engines {
		e := &o.Engines[i]
		if e.Live && !e.Changing {
			f = f.with(e.Role, 1)
		}
	}
	return f
}

// candidate returns the engine of a role that costs least to move: the one with the
// least unfinished work.
func (s *State) candidate(now time.Duration, o *Observation, doc *document.Document, role port.Role) *Engine {
	dwell := defaultDwell
	if doc.Roles.MinDwell > 0 {
		dwell = doc.Roles.MinDwell
	}
	var best *Engine
	for i := range o.Engines {
		e := &o.Engines[i]
		if e.Role != role || !e.Live || e.Changing || e.Pinned {
			continue
		}
		j, _ := findEngineState(s.Engines, e.Name)
		m := &s.Engines[j]
		settled := m.Since == s.Started || now-m.Since >= dwell
		if !settled || now < m.NotBefore {
			continue
		}
		if best == nil || s.unfinishedSeconds(e) < s.unfinishedSeconds(best) {
			best = e
		}
	}
	return best
}

// unfinishedSeconds returns the time that an engine needs for its unfinished work.
func (s *State) unfinishedSeconds(e *Engine) float64 {
	return float64(e.Load.QueuedPrefill)/s.Rates.Prefill + float64(e.Load.DecodeRemaining)*s.Rates.PerStream
}

// gain returns the work on time, in engine-seconds, that a change adds. It counts the
// current mix over the trust horizon, then the usual mix for usualMixHorizon, since the
// new role stays until another change pays. The work lost during the change is
// subtracted.
func (s *State) gain(now time.Duration, f fleet, e *Engine, to port.Role) float64 {
	without := f.with(e.Role, -1)
	after := without.with(to, 1)
	r, fast, slow := &s.Rates, s.Demand.Fast, s.Demand.Slow
	change := s.ChangeTime.Seconds()
	lost := (r.onTime(f, fast) - r.onTime(without, fast)) * change
	trusted := max(s.Demand.trustHorizon(now).Seconds()-change, 0)
	gained := (r.onTime(after, fast) - r.onTime(f, fast)) * trusted
	usual := (r.onTime(after, slow) - r.onTime(f, slow)) * usualMixHorizon.Seconds()
	return gained + usual - lost
}

// requiredGain returns the gain, in engine-seconds, that a change must exceed.
func (s *State) requiredGain(doc *document.Document) float64 {
	w := doc.Roles.GoodputWeight
	if w == 0 {
		w = defaultWeight
	}
	w = min(max(w, minWeight), 1)
	return minGain + priceFactor*(1-w)/w*s.ChangeTime.Seconds()
}
