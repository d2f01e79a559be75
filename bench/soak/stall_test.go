package soak

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

// The load of a trial with stalls. Callers pause for so long that few of them
// wait for an answer at a time, and requests go on while targets are stopped.
const (
	stallLength  = 26 * time.Second
	stallCallers = 300
	stallThink   = 4 * time.Second
)

var (
	stallSeeds   = flag.Int("soak.stalls", 1, "number of seeds with stalls")
	stallDaemons = flag.Int("soak.stalled", 6, "number of daemons in trials with stalls")
)

// TestRetryBudgetWhileProcessesStall guards against retries that targets receive
// long after they were decided, together with later ones.
func TestRetryBudgetWhileProcessesStall(t *testing.T) {
	t.Parallel()
	reject := Event{At: time.Second, For: 24 * time.Second, Kind: RejectAll}
	rejectEngines := reject
	rejectEngines.How = 1
	cases := []struct {
		name string
		plan []Event
	}{
		{"nothing stalls", []Event{reject}},
		{"all targets are stopped", append(onPlain(StopTarget, 6, 9), reject)},
		{"half of the targets are stopped", append(onPlain(StopTarget, 6, 9)[:2], reject)},
		{"all targets are stopped three times", append(append(append(onPlain(StopTarget, 5, 3), onPlain(StopTarget, 9, 3)...), onPlain(StopTarget, 13, 3)...), reject)},
		{"all targets are starved", append(onPlain(StarveTarget, 5, 9), reject)},
		{"targets are stopped and then reject", append(onPlain(StopTarget, 3, 8), Event{At: 11 * time.Second, For: 14 * time.Second, Kind: RejectAll})},
		{"all engines are stopped", append(onEngines(StopTarget, 6, 9), rejectEngines)},
		{"engines are stopped and then reject", append(onEngines(StopTarget, 3, 8), Event{At: 11 * time.Second, For: 14 * time.Second, Kind: RejectAll, How: 1})},
		{"all daemons are starved", append(onDaemons(StarveDaemon, 5, 9), reject)},
		{"all daemons are stopped", append(onDaemons(PauseDaemon, 6, 6), reject)},
	}
	program := sharedDaemon(t)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			runStallTrial(t, program, 1, tc.plan)
		})
	}
}

func runStallTrial(t *testing.T, program string, seed uint64, plan []Event) {
	faults, totals := runTrial(t, trial{
		seed: seed, program: program, daemons: *stallDaemons, plan: plan, length: stallLength,
		budget: siteBudget, callers: stallCallers, think: stallThink, recoveryLimit: recoveryLimit, grace: callerGrace,
	})
	t.Logf("%+v", totals)
	for _, f := range faults {
		t.Error(f)
	}
}

// onPlain returns events at all plain targets, from and length in seconds.
func onPlain(kind Kind, from, length time.Duration) []Event {
	return onTargets(func(stage string) bool { return stage == "" }, kind, from, length)
}

// onEngines returns events at all engines, from and length in seconds.
func onEngines(kind Kind, from, length time.Duration) []Event {
	return onTargets(func(stage string) bool { return stage != "" }, kind, from, length)
}

func onTargets(selected func(stage string) bool, kind Kind, from, length time.Duration) (plan []Event) {
	for on := range defaultTargets {
		if selected(firstStage(on)) {
			plan = append(plan, Event{At: from * time.Second, For: length * time.Second, Kind: kind, On: on})
		}
	}
	return plan
}

// onDaemons returns events at all daemons, from and length in seconds.
func onDaemons(kind Kind, from, length time.Duration) (plan []Event) {
	for on := range *stallDaemons {
		plan = append(plan, Event{At: from * time.Second, For: length * time.Second, Kind: kind, On: on})
	}
	return plan
}

// TestSoakWithStalls runs random faults while targets reject and processes are
// stopped and starved, some for longer than a window of the retry budget.
func TestSoakWithStalls(t *testing.T) {
	t.Parallel()
	program := sharedDaemon(t)
	for i := range *stallSeeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runStallTrial(t, program, seed, Plan(seed, Size{Daemons: *stallDaemons, Targets: defaultTargets, Length: stallLength, Stalls: true}))
		})
	}
}
