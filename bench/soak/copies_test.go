package soak

import (
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
)

// repeatAnswers makes all targets reject some requests and repeat answers while the
// event lasts, also those that begin meanwhile.
func (env *environment) repeatAnswers(e Event, waitEnd func()) {
	set := func(b *standin.Behaviour) {
		b.Shed, b.Copies = shedder(uint64(e.On), shedShare), copiesOf(e.How)
	}
	env.changeTargets(set)
	waitEnd()
	env.changeTargets(func(b *standin.Behaviour) { b.Shed, b.Copies = nil, nil })
}

// changeTargets changes the behaviour of all targets and of those that replace them.
func (env *environment) changeTargets(change func(*standin.Behaviour)) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.changed = change
	for _, slot := range env.slots {
		slot.current.Load().Set(change)
	}
}

// sentCopies returns the number of answers that targets have sent once more.
func (env *environment) sentCopies() (n int) {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, slot := range env.slots {
		for _, t := range slot.targets {
			n += t.SentCopies()
		}
	}
	return n
}

const (
	// copyLength is the length of the load of a trial with copies.
	copyLength = 10 * time.Second
	// copyTargets is the number of targets of such a trial: two plain ones and two
	// engines, so that many rejected requests come back to the target that rejected them.
	copyTargets = 4
)

// copyBudget allows each rejected request to be sent again.
var copyBudget = Budget{Ratio: 4, Slack: 10_000, Window: 10 * time.Second}

func runCopyTrial(t *testing.T, program string, plan []Event) (faults []string, totals Totals) {
	return runTrial(t, trial{
		seed: *firstSeed, program: program, daemons: defaultDaemons, plan: plan, length: copyLength, targets: copyTargets,
		budget: copyBudget, recoveryLimit: recoveryLimit, grace: callerGrace,
	})
}

func repeatAll(variant int) Event { return Event{For: copyLength, Kind: RepeatAnswers, How: variant} }

// TestRepeatedAnswers guards against requests that run although they were refused, or
// that run twice, because targets send answers once more, and against safety at the cost
// of callers or in new connections.
func TestRepeatedAnswers(t *testing.T) {
	t.Parallel()
	cases := []struct {
		name  string
		plan  []Event
		alike bool // served like without copies
	}{
		{"no copies", []Event{repeatAll(repeatNothing)}, true},
		{"rejections", []Event{repeatAll(repeatRejections)}, true},
		{"rejections without id", []Event{repeatAll(repeatUnnamed)}, true},
		{"all answers", []Event{repeatAll(repeatEverything)}, true},
		{"restarts in series", []Event{repeatAll(repeatRejections), {At: 2 * time.Second, For: 6 * time.Second, Kind: RestartSeries}}, false},
		{"daemons without links", append(cutsOn(0, 1), repeatAll(repeatRejections)), false},
		{"targets and daemons stop", append(append(onDaemons(PauseDaemon, 5, 2)[:defaultDaemons], onAll(StopTarget, 0)[:copyTargets]...), repeatAll(repeatRejections)), false},
	}
	program := sharedDaemon(t)
	all := make([]Totals, len(cases))
	t.Run("trials", func(t *testing.T) {
		for i, tc := range cases {
			t.Run(tc.name, func(t *testing.T) {
				t.Parallel()
				var faults []string
				faults, all[i] = runCopyTrial(t, program, tc.plan)
				t.Logf("%+v", all[i])
				for _, f := range faults {
					t.Error(f)
				}
			})
		}
	})
	for i, tc := range cases {
		if !tc.alike {
			continue
		}
		for _, f := range compareServed(all[0], all[i]) {
			t.Errorf("%s: %s", tc.name, f)
		}
	}
}
