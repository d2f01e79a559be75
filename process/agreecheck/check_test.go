package agreecheck

import (
	"encoding/json"
	"flag"
	"os"
	"runtime/debug"
	"strconv"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelospool/pomelospool/process/fold"
	"github.com/pomelospool/pomelospool/process/record"
)

// plant is a fault that the harness puts into the rules.
type plant string

const (
	none             plant = ""
	earlyTakeover    plant = "a claimer acts as soon as its claim stands"
	noDrift          plant = "no margin for drift and bytes on the way"
	staleCheckpoint  plant = "a checkpoint is trusted although records after it are gone"
	recomputeVerdict plant = "verdicts are given again on replay"
	doubleAppend     plant = "after a lost answer the decision is appended anew"
	checkOnce        plant = "the lease is checked at the decision and not at the write"
	ageFromEnd       plant = "the age of a read counts from its end"
	noWaitInGroup    plant = "an engine new in a group is ordered at once"
	stalledStep      plant = "a stalled step writes by an old document"
	versionsSkipped  plant = "an engine that left a group and came back goes unnoticed"
	peersConfirm     plant = "a majority of peers confirms the holder"
	monotonic        plant = "the clock stands still while the VM is suspended"
)

// kinds are the engines that histories run with, with what each must stand.
var kinds = map[string]kind{
	"fence, all ids":    {fenced: true, allIDs: true, anyDelay: true, anyPause: true},
	"fence, last id":    {fenced: true, anyPause: true},
	"no fence, all ids": {allIDs: true, anyDelay: true, anyPause: true},
	"no fence, last id": {},
}

// residual are the engines that can't be kept from every stale order: they
// ignore the number, and know the last id only.
var residual = kind{anyPause: true}

const (
	steps     = 500  // of one history, 15 to 50 s
	histories = 2500 // of one kind, unless -rapid.checks says more
	seed      = "20260701"
)

// TestMain fixes the seed and the number of histories unless flags give them.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.checks": strconv.Itoa(histories), "rapid.seed": seed, "rapid.nofailfile": "true"} {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	debug.SetGCPercent(800) // histories are small and make much garbage
	os.Exit(m.Run())
}

// fault befalls a process or an engine from outside.
type fault struct {
	At   int // step
	Kind int
	Who  int
	Size int // milliseconds, where it means anything
}

var faults = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
	return fault{
		At:   rapid.IntRange(0, steps-1).Draw(t, "at"),
		Kind: rapid.IntRange(0, 12).Draw(t, "kind"),
		Who:  rapid.IntRange(0, 4).Draw(t, "who"),
		Size: rapid.IntRange(100, 12000).Draw(t, "size"),
	}
}), 8, 32)

// run makes one history and returns it. rapid draws the faults, so that it can
// shrink them; the many small delays come from a generator with a drawn seed.
func run(t *rapid.T, k kind, p plant) *world {
	w := newWorld(rapid.Uint64().Draw(t, "delays"), k, p)
	list := faults.Draw(t, "faults")
	for n := range steps {
		w.tick(w.ms(0, w.pace))
		for _, f := range list {
			if f.At == n {
				w.befall(f)
			}
		}
		w.takeBack()
		if w.chance(40) {
			w.publish(w.id([]string{"lax", "plain"}[w.draw(0, 1)]), w.truth.Services[service].Version)
		}
		for _, p := range w.procs {
			p.step()
			w.oneHolder()
		}
		if w.violation != "" {
			return w
		}
	}
	w.settle()
	return w
}

// befall lets the fault happen.
func (w *world) befall(f fault) {
	p := w.procs[f.Who%len(w.procs)]
	d := time.Duration(f.Size) * time.Millisecond
	switch f.Kind {
	case 0, 1:
		p.suspend(d)
	case 2, 3:
		p.suspend(d)
		w.suspected[p.incarnation] = true
	case 4:
		p.cutUntil = w.now + d
	case 5:
		p.cutUntil = w.now + d
		w.suspected[p.incarnation] = true
	case 6:
		p.start()
	case 7:
		w.engines[f.Who%len(w.engines)].restart()
	case 8:
		w.expire()
		p.start()
	case 9, 10:
		p.suspend(rule.T + rule.Guard + 2*d)
		w.suspected[p.incarnation] = true
	case 11:
		w.publish(w.id("plain")+moved, w.truth.Services[service].Version)
		w.backAt = w.now + rule.T + 2*rule.Guard
		p.suspend(rule.T + 2*rule.Guard + d/4)
	case 12:
		clear(w.suspected)
	}
}

// takeBack publishes the old groups again, while some are cut off.
func (w *world) takeBack() {
	if w.backAt == 0 || w.now < w.backAt {
		return
	}
	w.backAt = 0
	w.publish(w.id("plain")+movedBack, w.truth.Services[service].Version)
	for _, p := range w.procs {
		if w.chance(2) {
			p.cutUntil = w.now + w.ms(0, 5000)
		}
	}
}

// suspend pauses the process with its VM.
func (p *proc) suspend(d time.Duration) {
	p.wakes = max(p.wakes, p.w.now+d)
	if p.w.plant == monotonic {
		p.lagging += d
	}
}

// settle brings every process to the tail and compares.
func (w *world) settle() {
	w.tick(time.Minute)
	for _, p := range w.procs {
		p.cutUntil, p.wakes, p.read = 0, 0, nil
		for range 6 {
			p.readStep()
		}
		if w.violation == "" && (p.state == nil || p.state.Applied != w.truth.Applied) {
			w.fail("%s never came to the tail", p.incarnation)
		}
	}
}

// Operators, processes, engines and the log fail in every order that chance
// gives. No caller may see an engine in conflict or a document that went back.
// At least 10,000 histories run in all; -rapid.checks and -rapid.seed give
// more.
func TestHistories(t *testing.T) {
	for name, k := range kinds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			var total stats
			rapid.Check(t, func(t *rapid.T) {
				w := run(t, k, none)
				mu.Lock()
				total.add(w.stats)
				mu.Unlock()
				if w.violation != "" {
					t.Fatal(w.violation)
				}
			})
			t.Logf("%+v", total)
			if n := total.histories; total.takeovers < n || total.effects < n || total.accepted < n || total.recoveries < n || total.lost < n || (k.anyPause && total.copies < n/500) {
				t.Errorf("the histories exercise too little: %+v", total)
			}
		})
	}
}

// The kind of engine that can't be kept from every stale order runs as well,
// with a pause in every sixth write. It may see an order that is not open, and
// only of a sender that was paused there; how often is printed.
func TestResidualRisk(t *testing.T) {
	t.Parallel()
	var total stats
	gen := rapid.Custom(func(t *rapid.T) *world { return run(t, residual, none) })
	for n := range histories / 5 {
		w := gen.Example(n + 1)
		total.add(w.stats)
		if w.violation != "" {
			t.Fatal(w.violation)
		}
	}
	t.Logf("a stale order got through in %d of %d histories, with %d pauses between check and write", total.excused, total.histories, total.pauses)
}

// A rule is broken on purpose. The checker must see it, or its silence on the
// real rules would mean nothing.
func TestPlantedFaults(t *testing.T) {
	for _, p := range []plant{earlyTakeover, noDrift, staleCheckpoint, recomputeVerdict, doubleAppend, checkOnce, ageFromEnd, monotonic, noWaitInGroup, stalledStep, versionsSkipped, peersConfirm} {
		t.Run(string(p), func(t *testing.T) {
			t.Parallel()
			gen := rapid.Custom(func(t *rapid.T) string { return run(t, kinds["no fence, last id"], p).violation })
			for n := range 4 * histories {
				if v := gen.Example(n + 1); v != "" {
					t.Logf("history %d: %s", n+1, v)
					return
				}
			}
			t.Errorf("not seen in %d histories", 4*histories)
		})
	}
}

// anyCheckpoint is the planted way to start: from the newest checkpoint in the
// log, whatever is gone after it.
func (p *proc) anyCheckpoint() *fold.State {
	for i := len(p.w.recs); i >= int(p.w.earliest); i-- {
		var e record.Envelope
		var c record.Checkpoint
		if json.Unmarshal(p.w.recs[i-1].Data, &e) != nil || e.Kind != record.KindCheckpoint || json.Unmarshal(e.Body, &c) != nil {
			continue
		}
		if s, err := fold.Load(c); err == nil {
			s.Applied = max(s.Applied, p.w.earliest-1)
			return s
		}
	}
	return fold.New()
}

// renewed is the planted second append: the same decision under a new id, on
// what is in force by now.
func renewed(w *world, x *pendingAppend) []byte {
	var e record.Envelope
	if err := json.Unmarshal(x.data, &e); err != nil {
		panic(err)
	}
	switch b := x.body.(type) {
	case record.Document:
		b.Base = w.truth.Services[service].Version
		e.Body, _ = json.Marshal(b)
	case record.Order:
		b.After = w.truth.LastEndedOrder(b.Engine)
		e.Body, _ = json.Marshal(b)
	}
	e.ID = w.id("again")
	data, _ := json.Marshal(e)
	return data
}
