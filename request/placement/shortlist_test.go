package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/port"
)

// queueSim simulates engines that prefill one prompt after the other, and
// daemons that choose among them by outdated reports of their queues.
type queueSim struct {
	busyUntil  []time.Duration // when each engine's queue ends
	knownUntil []time.Duration // busyUntil as of the last report
	ids        []string
	rnd        *rand.Rand
	duration   time.Duration
}

const (
	reportInterval = 500 * time.Millisecond
	utilization    = 0.6 // fraction of the engines' time that prefills take
)

// meanWait returns the mean time that prompts wait at the engines that
// choose returns.
func (sim *queueSim) meanWait(choose func(now time.Duration, p Prompt, cands []Candidate) int) time.Duration {
	p := Prompt{Tokens: 8000, Objective: 800 * time.Millisecond}
	prefill := estimates.PrefillTime(p.Tokens, p.Tokens)
	gap := time.Duration(float64(prefill) / utilization / float64(len(sim.ids)))
	var sum, now, nextReport time.Duration
	n := 0
	for ; now < sim.duration; now += time.Duration(sim.rnd.ExpFloat64() * float64(gap)) {
		if now >= nextReport {
			copy(sim.knownUntil, sim.busyUntil)
			nextReport = now + reportInterval
		}
		p.Seed, p.RandomSeed = sim.rnd.Uint64(), sim.rnd.Uint64()
		cands := make([]Candidate, len(sim.ids))
		for i, id := range sim.ids {
			cands[i] = Candidate{Entry: port.TargetEntry{ID: id}, Slowdown: 1, Load: engines.Load{Wait: max(sim.knownUntil[i]-now, 0)}}
		}
		at := choose(now, p, cands)
		sum += max(sim.busyUntil[at]-now, 0)
		sim.busyUntil[at] = max(sim.busyUntil[at], now) + prefill
		n++
	}
	return sum / time.Duration(n)
}

func newQueueSim(n int) *queueSim {
	sim := &queueSim{busyUntil: make([]time.Duration, n), knownUntil: make([]time.Duration, n), rnd: rand.New(rand.NewPCG(7, uint64(n))), duration: 4 * time.Second}
	for i := range n {
		sim.ids = append(sim.ids, fmt.Sprint("engine", i))
	}
	return sim
}

// Guards against hundreds of daemons that send their prompts to the same
// engines. It happens because reports of queues are half a second old: all
// choose the engines that were idle then. With a few queues queried, a
// prompt waits less than a quarter of its prefill time, whatever the number
// of engines.
func TestQueriedQueuesAvoidHerding(t *testing.T) {
	for _, n := range []int{6, 60, 171, 700} {
		prefill := estimates.PrefillTime(8000, 8000)
		byReports := newQueueSim(n).meanWait(func(_ time.Duration, p Prompt, cands []Candidate) int {
			return Prefill(p, cands, nil, nil, estimates).Index
		})
		sim := newQueueSim(n)
		queried := sim.meanWait(func(now time.Duration, p Prompt, cands []Candidate) int {
			list := Shortlist(p, cands, nil, nil, estimates)
			waits := make([]time.Duration, len(list))
			for i := range list {
				waits[i] = max(sim.busyUntil[list[i].Index]-now, 0)
			}
			return SelectByWait(list, cands, waits).Index
		})
		t.Logf("%d engines: a prompt with a prefill of %v waits %v by reports, %v by queried queues", n, prefill, byReports, queried)
		if queried > prefill/4 {
			t.Errorf("%d engines: a prompt waits %v of %v", n, queried, prefill)
		}
	}
}

// Guards against random engines to which most prompts need a new connection,
// which is billed. If engines with a connection are chosen, few prompts need
// one, and prompts don't wait longer, since daemons have connections to
// different engines.
func TestRandomDrawsPreferConnectedEngines(t *testing.T) {
	const daemons, n, idle = 200, 171, 9 * time.Second
	used := make([][n]time.Duration, daemons) // when each daemon last used each engine
	prompts, opened := 0, 0
	sim := newQueueSim(n)
	sim.duration = 20 * time.Second
	wait := sim.meanWait(func(now time.Duration, p Prompt, cands []Candidate) int {
		lastUse := &used[sim.rnd.IntN(daemons)]
		for i := range cands {
			cands[i].HasIdleConn = lastUse[i] > 0 && now-lastUse[i] < idle
		}
		list := Shortlist(p, cands, nil, nil, estimates)
		waits := make([]time.Duration, len(list))
		for i := range list {
			waits[i] = max(sim.busyUntil[list[i].Index]-now, 0)
		}
		at := SelectByWait(list, cands, waits).Index
		prompts++
		if !cands[at].HasIdleConn {
			opened++
		}
		lastUse[at] = now
		return at
	})
	t.Logf("%d prompts, %d connections opened, a wait of %v", prompts, opened, wait)
	if opened > prompts/3 {
		t.Errorf("%d connections opened for %d prompts", opened, prompts)
	}
	if prefill := estimates.PrefillTime(8000, 8000); wait > prefill/4 {
		t.Errorf("a prompt waits %v of %v", wait, prefill)
	}
}

// Guards against an engine that looks idle or full because its queue wasn't
// reported. The predicted wait is used instead.
func TestSelectByWaitKeepsEstimateWithoutAnAnswer(t *testing.T) {
	cands := []Candidate{newCandidate("a", "", waitOf(300)), newCandidate("b", "", waitOf(100)), newCandidate("c", "", waitOf(0))}
	list := Shortlist(Prompt{Tokens: 8000}, cands, nil, nil, estimates)
	waits := make([]time.Duration, len(list))
	for i := range list {
		waits[i] = -1
		if cands[list[i].Index].Entry.ID == "c" {
			waits[i] = 400 * time.Millisecond
		}
	}
	got := SelectByWait(list, cands, waits)
	if id := cands[got.Index].Entry.ID; id == "c" || got.PredictedWait != cands[got.Index].Load.Wait {
		t.Errorf("chose %s with a wait of %v", id, got.PredictedWait)
	}
	if got := SelectByWait(nil, nil, nil); got.Index != -1 {
		t.Errorf("chose %d of none", got.Index)
	}
}
