package soak

import (
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
)

// The usual size of a fleet, and the number of daemons of a large one.
const (
	defaultDaemons = 4
	defaultTargets = 8
	largeDaemons   = 20
)

var (
	firstSeed = flag.Uint64("soak.seed", 1, "first seed")
	seedCount = flag.Int("soak.seeds", 2, "number of seeds")
	length    = flag.Duration("soak.length", 4*time.Second, "length of the load of a seed")
	daemons   = flag.Int("soak.daemons", defaultDaemons, "number of daemons")
	targets   = flag.Int("soak.targets", defaultTargets, "number of targets, plain ones and engines")
	callers   = flag.Int("soak.callers", 24, "number of callers")
)

// regressions are the seeds that ever failed; the cause stands beside each.
var regressions = []uint64{}

// Bounds that only a daemon which has forgotten something reaches, however
// busy the machine is.
const (
	settleLimit = 30 * time.Second // until all is well after the disturbances
	callerGrace = 20 * time.Second // beyond a request's deadline
)

// Callers ask without pause while daemons, targets, the store and the links
// between them fail in series and at once. Nobody may be cut by a planned stop,
// told untruly, run twice or answered with another's answer, and in the end
// all is well again.
func TestSoak(t *testing.T) {
	program := build(t, t.TempDir(), "")
	seeds := append([]uint64(nil), regressions...)
	for i := range *seedCount {
		seeds = append(seeds, *firstSeed+uint64(i))
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			playSeed(t, program, seed, *daemons)
		})
	}
}

// The same with so many daemons that few of them sum up for the others, keep
// engines' queues and read the store, and are killed, paused and cut off in it.
func TestSoakOfALargeFleet(t *testing.T) {
	const seed = 2300
	playSeed(t, build(t, t.TempDir(), ""), seed, largeDaemons)
}

func playSeed(t *testing.T, program string, seed uint64, daemons int) {
	size := Size{Daemons: daemons, Targets: *targets, Length: *length}
	faults, sums := soak(t, trial{
		seed: seed, program: program, daemons: daemons, plan: Plan(seed, size),
		length: *length, settle: settleLimit, grace: callerGrace,
	})
	t.Logf("seed %d: %+v", seed, sums)
	for _, f := range faults {
		t.Error(f)
	}
}

// trial is one play.
type trial struct {
	seed    uint64
	program string
	daemons int
	plan    []Event
	length  time.Duration
	settle  time.Duration // longest wait until all is well again
	grace   time.Duration // of the callers
}

// soak plays a trial and returns the broken promises.
func soak(t *testing.T, tr trial) ([]string, Sums) {
	w := newSite(t, tr.seed, tr.program, Size{Daemons: tr.daemons, Targets: *targets})
	defer w.close()
	for i := range w.procs {
		if !await(settleLimit, func() bool { return w.ready(i) }) {
			t.Fatalf("daemon %d isn't ready", i)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), tr.length)
	defer cancel()
	var all sync.WaitGroup
	load := w.load(tr.seed, *callers)
	load.Grace = tr.grace
	all.Go(func() { load.Run(ctx) })
	w.play(ctx, tr.plan, &all)
	all.Wait()
	w.settle(tr.settle)
	w.reportsUsage()
	w.stopAll()
	w.checkDuties()
	return w.judge.Verdict(w.ran())
}

// play carries the plan out.
func (w *site) play(ctx context.Context, plan []Event, all *sync.WaitGroup) {
	begun := time.Now()
	if text := planText(plan); text != "" {
		if err := os.WriteFile(filepath.Join(w.dir, "plan.txt"), []byte(text), 0o644); err != nil {
			w.t.Log(err)
		}
	}
	for _, e := range plan {
		wait(ctx.Done(), time.Until(begun.Add(e.At)))
		all.Go(func() { w.disturb(ctx, e) })
	}
}

func planText(plan []Event) string {
	text := ""
	for _, e := range plan {
		text += e.String() + "\n"
	}
	return text
}

// disturb carries one disturbance out, to its end.
func (w *site) disturb(ctx context.Context, e Event) {
	over := func() { wait(ctx.Done(), e.For) }
	switch e.Kind {
	case KillDaemon:
		p := w.procs[e.On]
		p.signal(syscall.SIGKILL)
		p.over()
		over()
		w.restart(p)
	case StopDaemon:
		p := w.procs[e.On]
		p.signal(syscall.SIGTERM)
		p.over()
		w.restart(p)
	case PauseDaemon:
		w.procs[e.On].signal(syscall.SIGSTOP)
		over()
		w.procs[e.On].signal(syscall.SIGCONT)
	case ReloadDaemon:
		w.procs[e.On].signal(syscall.SIGHUP)
	case CutStore:
		w.wires[e.On].Set(e.Mode, longDelay)
		over()
		w.wires[e.On].Set(Pass, 0)
	case FailStore:
		w.failStore(e.How, over)
	case CutTarget:
		w.spots[e.On].proxy.Set(e.Mode, longDelay)
		over()
		w.spots[e.On].proxy.Set(Pass, 0)
	case SpoilTarget:
		w.spoil(e, over)
	case KillTarget:
		p := w.spots[e.On]
		w.announce(p, func() { p.gone = true })
		p.proxy.Set(Reset, 0)
		over()
		w.reborn(p)
		p.proxy.Set(Pass, 0)
	case DrainTarget:
		w.drain(e, over)
	case Publish:
		w.publish()
	}
}

func (w *site) restart(p *process) {
	if err := p.start(); err != nil {
		w.judge.Fault("daemon %d: %v", p.index, err)
	}
}

// failReset is the variant of FailStore that breaks connections off.
const failReset = 2

func (w *site) failStore(how int, over func()) {
	modes := [variants]standin.Mode{standin.Unavailable, standin.RateLimited, failReset: standin.Reset, standin.Hang, standin.Slow, standin.LateEffect}
	w.store.SetMode(modes[how])
	w.cloud.SetMode(modes[variants-1-how])
	over()
	w.store.SetMode(standin.Up)
	w.cloud.SetMode(standin.Up)
}

// The variants of SpoilTarget.
const (
	spoilRefuse = iota
	spoilFail
	spoilMute
	spoilGarble
	spoilExtra // answers the request of before too, and no order
	spoilCut
)

// spoil has a target answer badly.
func (w *site) spoil(e Event, over func()) {
	t := w.spots[e.On].now.Load()
	set := func(on bool) {
		t.Set(func(b *standin.Behaviour) {
			switch e.How {
			case spoilRefuse:
				b.Refuse = on
			case spoilFail:
				b.Fail = on
			case spoilMute:
				b.NoAnswer = on
			case spoilGarble:
				b.Unsigned = on
			case spoilExtra:
				b.RepeatPrevious, b.LoseOrderAnswers = on, on
			case spoilCut:
				b.CutAfter = 0
				if on {
					b.CutAfter = events / 2
				}
			}
		})
	}
	set(true)
	over()
	set(false)
}

func (w *site) drain(e Event, over func()) {
	p := w.spots[e.On]
	w.announce(p, func() { p.leaving = true })
	over()
	w.announce(p, func() { p.leaving = false })
}

// settle waits until every daemon answers well again.
func (w *site) settle(limit time.Duration) {
	for i, p := range w.procs {
		p.signal(syscall.SIGCONT)
		w.restart(p)
		try := 0
		well := await(limit, func() bool {
			try++
			return w.ready(i) && w.answers(i, try)
		})
		if !well {
			w.judge.Fault("daemon %d isn't well %v after the last disturbance", i, limit)
		}
	}
}

// stopAll ends the daemons in a planned way, all at once.
func (w *site) stopAll() {
	for _, p := range w.procs {
		p.signal(syscall.SIGTERM)
	}
	for _, p := range w.procs {
		if !await(stopLimit, func() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.cmd == nil }) {
			w.judge.Fault("daemon %d didn't stop in %v", p.index, stopLimit)
		}
	}
}
