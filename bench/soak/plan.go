package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"
)

// Kind of a disturbance.
type Kind int

// The kinds. A disturbance with a length ends by itself.
const (
	KillDaemon   Kind = iota // SIGKILL; started again at its end
	StopDaemon               // SIGTERM; started again once it has ended
	PauseDaemon              // SIGSTOP; SIGCONT at its end
	ReloadDaemon             // SIGHUP
	CutStore                 // a daemon's connections to the store are disturbed
	FailStore                // the store itself answers badly
	CutTarget                // connections to a target are disturbed
	SpoilTarget              // a target answers badly
	KillTarget               // a target is gone; another one takes its address at its end
	DrainTarget              // a target leaves, and stays again at its end
	Publish                  // a new version of the configuration
	kinds
)

var kindNames = [...]string{
	"kill daemon", "stop daemon", "pause daemon", "reload daemon", "cut store", "fail store",
	"cut target", "spoil target", "kill target", "drain target", "publish",
}

// String names the kind in plans.
func (k Kind) String() string { return kindNames[k] }

// Event is one disturbance.
type Event struct {
	At   time.Duration // from the start of the load
	For  time.Duration // how long, 0: it has no length
	Kind Kind
	On   int  // index of the daemon or target
	Mode Mode // of a proxy, for cuts
	How  int  // variant, for FailStore and SpoilTarget
}

// String gives the event in one line.
func (e Event) String() string {
	return fmt.Sprintf("%5d ms %v on %d for %v, %v, variant %d", e.At.Milliseconds(), e.Kind, e.On, e.For, e.Mode, e.How)
}

// Size is what a plan disturbs.
type Size struct {
	Daemons int
	Targets int
	Length  time.Duration // of the load
}

const (
	// meanGap is the mean time between two disturbances: several overlap.
	meanGap = 700 * time.Millisecond
	// quiet is the time at the end without new disturbances, in which all ends.
	quiet = time.Second
	// leastFor and mostFor bound the length of a disturbance.
	leastFor = 200 * time.Millisecond
	mostFor  = 2500 * time.Millisecond
	// burstShare is the share of disturbances that hit all daemons or targets
	// of their kind at once.
	burstShare = 0.08
	// longDelay is what a piece waits in the mode Delay.
	longDelay = 40 * time.Millisecond
	// variants is the number of ways in which a store or a target answers badly.
	variants = 6
)

// Plan draws the disturbances of a seed. The same seed gives the same plan.
func Plan(seed uint64, s Size) []Event {
	r := rand.New(rand.NewPCG(seed, 1))
	var out []Event
	at := time.Duration(0)
	for {
		at += time.Duration(r.ExpFloat64() * float64(meanGap))
		if at >= s.Length-quiet {
			break
		}
		out = append(out, draw(r, s, at)...)
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}

func draw(r *rand.Rand, s Size, at time.Duration) []Event {
	e := Event{
		At:   at,
		For:  leastFor + rand2(r, mostFor-leastFor),
		Kind: Kind(r.IntN(int(kinds))),
		Mode: Delay + Mode(r.IntN(int(Silence-Delay)+1)),
		How:  r.IntN(variants),
	}
	e.For = min(e.For, s.Length-at)
	count := s.Daemons
	switch e.Kind {
	case CutTarget, SpoilTarget, KillTarget, DrainTarget:
		count = s.Targets
	case FailStore, Publish:
		return []Event{e}
	}
	if r.Float64() >= burstShare {
		e.On = r.IntN(count)
		return []Event{e}
	}
	all := make([]Event, count)
	for i := range all {
		all[i] = e
		all[i].On = i
	}
	return all
}

func rand2(r *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(most)))
}
