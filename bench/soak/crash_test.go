package soak

import (
	"context"
	"fmt"
	"net"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
)

// restartTime is the time from a target's crash to its next incarnation.
const restartTime = 2 * time.Second

// crashTarget ends a target. A new one gets its address later.
func (env *environment) crashTarget(slot *targetSlot, t *standin.Target, part bool) {
	if slot.current.Load() != t {
		return
	}
	if mode := Mode(env.crashMode.Load()); mode != Pass {
		env.darkenTarget(slot, mode, part)
		return
	}
	if !slot.proxy.Crash() {
		return
	}
	env.recordCrash(part)
	time.AfterFunc(restartTime, func() {
		env.replaceTarget(slot)
		if err := slot.proxy.Restart(); err != nil {
			env.judge.ReportFault("target %s: can't listen again: %v", t.ID, err)
		}
	})
}

// sendCrashing sends a request that crashes its targets again and again, to one
// daemon after the other.
func (env *environment) sendCrashing(ctx context.Context, e Event) {
	class := Class(e.How % len(classNames))
	for n, end := 0, time.Now().Add(e.For); time.Now().Before(end) && ctx.Err() == nil; n++ {
		env.background.Go(func() { env.judge.Record(env.sendCrash(class, n)) })
		wait(ctx.Done(), crashInterval)
	}
}

func (env *environment) sendCrash(class Class, n int) Outcome {
	o := Outcome{ID: fmt.Sprintf("crash-%d-%d", class, n), Class: class, Daemon: n % len(env.daemons), ConnOpened: time.Now(), Started: time.Now(), Crashing: true}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout+callerGrace)
	defer cancel()
	// Without a connection nothing was cut.
	o.Canceled = true
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { o.Canceled = false }})
	resp, body, err := env.post(ctx, o.Daemon, class, o.ID, crashBody)
	if resp != nil {
		o.Status, o.Body, o.NotRun = resp.StatusCode, body, standin.ReportsNotRun(resp.StatusCode, resp.Header)
	}
	o.Ended, o.Err, o.Complete = time.Now(), err, err == nil
	return o
}

// collectCrashing passes the requests that crash targets to the judge.
func (env *environment) collectCrashing() {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, slot := range env.slots {
		for _, t := range slot.targets {
			for _, a := range t.Arrivals() {
				if a.Crash {
					env.judge.RecordCrashing(a)
				}
				if a.Part {
					env.judge.RecordPart(a)
				}
			}
		}
	}
}

// TestContentThatCrashesTargets guards against a request that crashes each target
// that runs it and is sent to targets again and again.
func TestContentThatCrashesTargets(t *testing.T) {
	t.Parallel()
	const length = 13 * time.Second
	crash := func(c Class) Event {
		return Event{At: 500 * time.Millisecond, For: length - time.Second, Kind: CrashContent, How: int(c)}
	}
	cases := []struct {
		name  string
		class Class
		plan  []Event
	}{
		{"unsafe", Unsafe, nil},
		{"safe", Safe, nil},
		{"stream", Stream, nil},
		{"daemons restart in series", Safe, []Event{{At: 3 * time.Second, For: time.Second, Kind: StopDaemon, On: 0}, {At: 5 * time.Second, Kind: StopDaemon, On: 1}, {At: 7 * time.Second, Kind: StopDaemon, On: 2}, {At: 9 * time.Second, Kind: StopDaemon, On: 3}}},
		{"the store is away", Safe, []Event{{At: 0, For: length, Kind: FailStore, How: storeReset}}},
		{"two daemons are killed", Safe, []Event{{At: 2 * time.Second, For: time.Second, Kind: KillDaemon, On: 0}, {At: 4 * time.Second, For: time.Second, Kind: KillDaemon, On: 1}}},
		{"daemons are cut from targets", Safe, []Event{{At: time.Second, For: 6 * time.Second, Kind: CutLinks, On: 1}, {At: 2 * time.Second, For: 6 * time.Second, Kind: CutLinks, On: 2, How: 2}}},
	}
	program := sharedDaemon(t)
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			faults, totals := runTrial(t, trial{
				seed: 1, program: program, daemons: defaultDaemons, plan: append(tc.plan, crash(tc.class)), budget: siteBudget,
				length: length, recoveryLimit: recoveryLimit, grace: callerGrace,
			})
			t.Logf("%+v", totals)
			for _, f := range faults {
				t.Error(f)
			}
		})
	}
}

// Guards against a trial whose targets get the requests of another one, since they
// listen at the port of a target that has crashed there.
func TestCrashedTargetKeepsItsPort(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	backend := l.Addr().String()
	p, err := NewProxy("127.0.0.1:0", backend)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	local, err := net.ResolveTCPAddr("tcp", p.Addr())
	if err != nil {
		t.Fatal(err)
	}
	other := net.Dialer{LocalAddr: local}
	for range 3 {
		p.Crash()
		if c, err := net.Dial("tcp", p.Addr()); err == nil {
			_ = c.Close()
			t.Fatal("a crashed target accepts connections")
		}
		if c, err := other.Dial("tcp", backend); err == nil {
			_ = c.Close()
			t.Fatal("a connection got the port")
		}
		if err := p.Restart(); err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", p.Addr())
		if err != nil {
			t.Fatal(err)
		}
		_ = c.Close()
	}
}

// Guards against a judge that misses content that is sent too often.
func TestCheckCrashes(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(1000, 0).Add(time.Duration(s * float64(time.Second))) }
	for name, tc := range map[string]struct {
		crashes, sends []float64
		killed         bool
		want           bool
	}{
		"two crashes":           {crashes: []float64{0, 1}, sends: []float64{10, 11, 12, 13}},
		"in the window":         {crashes: []float64{0, 1, 2}, sends: []float64{3, 3.5, 4, 4.5, 4.9}},
		"three later":           {crashes: []float64{0, 1, 2}, sends: []float64{6, 7, 8}},
		"four later":            {crashes: []float64{0, 1, 2}, sends: []float64{6, 7, 8, 9}, want: true},
		"by a daemon that fell": {crashes: []float64{0, 1, 2}, sends: []float64{6, 7, 8, 9}, killed: true},
	} {
		j := NewJudge()
		for _, s := range tc.crashes {
			j.RecordCrash(at(s))
		}
		for i, s := range tc.sends {
			id := fmt.Sprint(i)
			j.RecordCrashing(standin.Arrival{At: at(s), ID: id, Crash: true})
			j.Record(Outcome{ID: id, Class: Safe, Started: at(s), Ended: at(s), Complete: true, Status: 502, Crashing: true})
		}
		if tc.killed {
			j.RecordKill(0, at(5), at(9))
		}
		if got := len(j.checkCrashes()) > 0; got != tc.want {
			t.Errorf("%s: violated: %v, want %v", name, got, tc.want)
		}
	}
}

// Guards against a judge that accepts harmless requests in quarantine.
func TestJudgeFindsHarmlessContentInQuarantine(t *testing.T) {
	for _, crashing := range []bool{false, true} {
		j := NewJudge()
		j.Record(Outcome{ID: "r", Status: 503, Complete: true, NotRun: true, Crashing: crashing, Body: `{"error":{"type":"CONTENT_QUARANTINED"}}`})
		if faults, _ := j.Verdict(nil); (len(faults) > 0) == crashing {
			t.Errorf("crashing %v: %v", crashing, faults)
		}
	}
}
