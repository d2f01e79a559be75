package soak

import (
	"flag"
	"strings"
	"testing"
	"time"
)

var planted = flag.Bool("soak.planted", false, "build daemons with planted faults and look whether each is found")

// TestPlantedFaults checks that the soak detects faults. Each case builds
// daemons with a known fault and expects the soak to report it.
func TestPlantedFaults(t *testing.T) {
	if !*planted {
		t.Log("not run without -soak.planted")
		return
	}
	cases := []struct {
		name  string
		edits []edit
		plan  []Event
		want  string

		versions int // of the targets' software, and callers that take streams up; 0: one and none
		targets  int // 0: the default
	}{
		{"calls that may run once are repeated", []edit{
			{"request/dispatch/send.go", "case f.MayHaveRun() && !x.call.Route.Idempotent():", "case false:"},
			{"request/dispatch/send.go", "|| x.possibleRuns >= x.call.Route.Attempts", ""},
		}, onAll(DegradeTarget, degradeFail), "ran twice", 0, 0},
		{"streams that may not be resumed are", []edit{
			{"version/route/route.go", "r.Kind == Stream && r.Resumable", "r.Kind == Stream"},
			{"request/dispatch/send.go", "|| x.possibleRuns >= x.call.Route.Attempts", ""},
		}, onAll(DegradeTarget, degradeCut), "ran twice", 0, 0},
		{"sends of a request share connections", []edit{
			{"request/dispatch/send.go", "Name:             x.call.Meta.RequestID,", ""},
		}, []Event{repeatAll(repeatRejections)}, "reported as not run", 0, copyTargets},
		{"a copy without id is an answer", []edit{
			{"connection/h1/relation.go", "r == Unnamed && !seen", "r == Unnamed"},
		}, []Event{repeatAll(repeatUnnamed)}, "reported as not run", 0, copyTargets},
		{"a forwarded request that ran is refused", []edit{
			{"request/ingress/answer.go", "x.envelope.SetServed(h)", "x.envelope.SetResult(h, code.New(code.NoTarget, \"\"))"},
		}, cutsOn(0, 1, 2), "reported as not run", 0, 0},
		{"what ran is called not run", []edit{
			{"request/dispatch/failure.go", "case x.possibleRuns > 0:", "case false:"},
		}, onAll(DegradeTarget, degradeFail), "reported as not run", 0, 0},
		{"a cut stream ends as if whole", []edit{
			{"request/ingress/ingress.go", "if x.headerSent.Load() && err != nil {", "if false {"},
		}, onAll(DegradeTarget, degradeCut), "is incomplete", 0, 0},
		{"an answer is taken for whoever asks next", []edit{
			{"request/dispatch/send.go", "Relate:           x.relate,", ""},
		}, onAll(DegradeTarget, degradeRepeat), "another request's", 0, 0},
		{"a planned stop cuts", []edit{
			{"process/front/stop.go", "_ = d.callers.drain.Shutdown(ctx, d.callers.l)", "_ = d.callers.http.Close()"},
			{"process/front/stop.go", "_ = pause.For(ctx, min(addressCacheFactor*addressTTL+broadcastTime, limit/2))", ""},
		}, onAll(StopDaemon, 0), "cut, though", 0, 0},
		{"requests outlive their deadline", []edit{
			{"request/dispatch/call.go", "ctx, cancel := context.WithDeadline(ctx, c.Deadline)", "ctx, cancel := context.WithCancel(ctx)"},
		}, onAll(DegradeTarget, degradeNoAnswer), "still open", 0, 0},
		{"targets learn the callers' keys", []edit{
			{"platform/headers.go", "if dropAPIKey {", "if false {"},
		}, nil, "with key", 0, 0},
		{"a new process spends the slack again", []edit{
			{"request/budget/fleet.go", "if s.Serving < f.warmup {", "if false {"},
		}, []Event{rejectPlain, {At: time.Second, For: 4 * time.Second, Kind: RestartSeries}}, "retry budget", 0, 0},
		{"the budget follows the time of day", []edit{
			{"process/front/front.go", "clock.Boot{}.Now,", "func() time.Duration { return time.Duration(time.Now().UnixNano()) },"},
		}, append([]Event{rejectPlain}, stepsOnAll(4, 5, 4, 5)...), "retry budget", 0, 0},
		{"nothing goes through peers", []edit{
			{"request/dispatch/peers.go", "return x.opts.Peers != nil &&", "return false &&"},
		}, cutsOn(0, 1, 2), "without links", 0, 0},
		{"content that crashes targets is sent on", []edit{
			{"request/dispatch/crash.go", "if ruling.Verdict != quarantine.Convicted {", "if ruling.Verdict >= 0 {"},
		}, []Event{{For: plantedLength, Kind: CrashContent, How: int(Safe)}}, "a request that crashes its targets", 0, 0},
		{"what runs beside a crash is blamed", []edit{
			{"request/dispatch/crash.go", "r.End()", "r.Broken()"},
			{"request/quarantine/tolerant.go", "if explained {", "if explained = false; explained {"},
			{"request/quarantine/tolerant.go", "	defer t.clearExplained(c, now)\n", ""},
		}, []Event{{At: 2 * time.Second, For: plantedLength, Kind: CrashContent, How: int(Safe)}}, "harmless content", 0, 0},
		{"a part that crashes targets is sent on", []edit{
			{"request/quarantine/causes.go", "return controlled || left >= uncontrolledCrashes", "return false"},
		}, []Event{{At: time.Second, For: plantedLength, Kind: CrashPart}}, "requests with a part that crashes its targets", 0, 24},
		{"the first part is blamed for another one", []edit{
			{"request/quarantine/causes.go", "return c.part > 0 && (other.part == 0 || c.part < other.part)", "return other.part > 0 && (c.part == 0 || other.part < c.part)"},
			{"request/quarantine/causes.go", "return other.answered && !c.answered", "return false"},
			{"request/quarantine/run.go", "r.t.ended.markCompleted(fp, r.began)\n\t\tr.t.clearCompleted(fp, r.began)", ""},
		}, []Event{{At: time.Second, For: plantedLength, Kind: CrashPart}}, "harmless content", 0, 0},
		{"the store is given up after a failure", []edit{
			{"process/topic/follower.go", "f.o.Sink.StoreLost(err)", "f.o.Sink.StoreLost(err); <-f.tomb.Dying()"},
		}, append([]Event{{At: 0, For: 3 * time.Second, Kind: FailStore, How: storeReset}}, onAll(KillTarget, 0)...), "hasn't recovered", 0, 0},
		{"streams go on at any version", []edit{
			{"request/dispatch/sample.go", "if x.origin != nil && role != port.RolePrefill {", "if false {"},
		}, nil, "hold events of two software versions", 2, 0},
		{"the only version in the list is trusted", []edit{
			{"connection/origin/origin.go", "return \"\", Unknown\n\tcase sole", "return \"v0\", FromOnlyVersion\n\tcase sole"},
			{"connection/origin/origin.go", "t.o.Peers.ShareOrigins([]Record{r.withTimeLeft(lifetime)})", ""},
			{"connection/origin/table.go", "return e.record.Software, !e.conflict && t.now() < e.expires", "return e.record.Software, e == nil"},
		}, nil, "hold events of two software versions", 2, 0},
		{"a daemon that starts trusts its first list", []edit{
			{"connection/origin/history.go", "h.listed, h.since, h.lastTick = true, now, now", "h.listed, h.complete, h.since, h.lastTick = true, true, now, now"},
		}, goneVersion(2 * time.Second), "hold events of two software versions", 2, 0},
		{"streams that are taken up are rejected", []edit{
			{"request/dispatch/origin.go", "if from == origin.Unknown {", "if from != \"\" {"},
		}, nil, "that were taken up went on", 2, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			program := buildDaemon(t, t.TempDir(), tc.edits)
			faults, totals := runTrial(t, trial{seed: 1, program: program, daemons: *daemons, plan: tc.plan, versions: tc.versions, targets: max(8*tc.versions, tc.targets), resumers: tc.versions * manyResumers / 2, warmup: warmup, length: plantedLength, recoveryLimit: plantedRecovery, grace: plantedGrace})
			if !strings.Contains(strings.Join(faults, "\n"), tc.want) {
				t.Errorf("not found, %+v: %v", totals, faults)
			}
		})
	}
}

// TestPlantedFaultsAtTheCallersCost checks that the soak notices safety that callers or
// targets pay for.
func TestPlantedFaultsAtTheCallersCost(t *testing.T) {
	if !*planted {
		t.Log("not run without -soak.planted")
		return
	}
	cases := []struct {
		name  string
		edits []edit
		want  string
	}{
		{"each send opens a connection", []edit{
			{"request/dispatch/send.go", "	return h1.ReuseRecent\n", "	return h1.ReuseNever\n"},
			{"request/dispatch/send.go", "		return h1.ReuseIdle\n", "		return h1.ReuseNever\n"},
		}, "connections to targets"},
		{"a rejection is final for a request that may run once", []edit{
			{"request/dispatch/send.go", "case f.MayHaveRun() && !x.call.Route.Idempotent():", "case !x.call.Route.Idempotent():"},
		}, "of the requests served"},
	}
	_, without := runCopyTrial(t, sharedDaemon(t), []Event{repeatAll(repeatNothing)})
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			_, with := runCopyTrial(t, buildDaemon(t, t.TempDir(), tc.edits), []Event{repeatAll(repeatRejections)})
			if faults := compareServed(without, with); !strings.Contains(strings.Join(faults, "\n"), tc.want) {
				t.Errorf("not found, %+v and %+v: %v", without, with, faults)
			}
		})
	}
}

// rejectPlain makes all plain targets reject for six seconds.
var rejectPlain = Event{At: 500 * time.Millisecond, For: 6 * time.Second, Kind: RejectAll}

// stepsOnAll returns steps of the time of day of all daemons, one a second from
// 2 s on, with the given variants.
func stepsOnAll(variants ...int) (plan []Event) {
	for n, variant := range variants {
		for on := range defaultDaemons {
			plan = append(plan, Event{At: time.Duration(2+n) * time.Second, For: 500 * time.Millisecond, Kind: StepClock, On: on, How: variant})
		}
	}
	return plan
}

// cutsOn returns silent cuts of daemons from all targets.
func cutsOn(daemons ...int) (plan []Event) {
	for _, on := range daemons {
		plan = append(plan, Event{At: 500 * time.Millisecond, For: 8 * time.Second, Kind: CutLinks, On: on})
	}
	return plan
}

const (
	// plantedLength is the length of the load of a trial. A request that never
	// ends is detected after requestTimeout and plantedGrace.
	plantedLength   = 9 * time.Second
	plantedRecovery = 5 * time.Second
	plantedGrace    = 3 * time.Second
)

// onAll returns a plan that affects all daemons or all targets for two
// seconds, starting after one second.
func onAll(kind Kind, variant int) (plan []Event) {
	count := defaultTargets
	if kind == StopDaemon {
		count = defaultDaemons
	}
	for i := range count {
		plan = append(plan, Event{At: time.Second, For: 2 * time.Second, Kind: kind, On: i, How: variant})
	}
	return plan
}
