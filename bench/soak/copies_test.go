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

// TestRepeatedAnswers guards against requests that run although they were refused, or
// that run twice, because targets send answers once more.
func TestRepeatedAnswers(t *testing.T) {
	t.Parallel()
	const length = 10 * time.Second
	repeat := func(variant int) Event { return Event{For: length, Kind: RepeatAnswers, How: variant} }
	cases := []struct {
		name string
		plan []Event
	}{
		{"rejections", []Event{repeat(repeatRejections)}},
		{"rejections without id", []Event{repeat(repeatUnnamed)}},
		{"all answers", []Event{repeat(repeatAll)}},
		{"restarts in series", []Event{repeat(repeatRejections), {At: 2 * time.Second, For: 6 * time.Second, Kind: RestartSeries}}},
	}
	program := sharedDaemon(t)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			faults, totals := runTrial(t, trial{
				seed: *firstSeed, program: program, daemons: defaultDaemons, plan: tc.plan, length: length, targets: copyTargets,
				budget: Budget{Ratio: 1, Slack: 10_000, Window: 10 * time.Second}, recoveryLimit: recoveryLimit, grace: callerGrace,
			})
			t.Logf("%+v", totals)
			for _, f := range faults {
				t.Error(f)
			}
		})
	}
}

// copyTargets is the number of targets of such a trial: two plain ones and two engines,
// so that many rejected requests come back to the target that rejected them.
const copyTargets = 4
