package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/connection/engines"
	"github.com/pomelospool/pomelospool/connection/health"
	"github.com/pomelospool/pomelospool/connection/speed"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/request/overload"
	"github.com/pomelospool/pomelospool/request/placement"
	"github.com/pomelospool/pomelospool/version/route"
)

const (
	replayDaemons, replayEngines  = 70, 140
	burstFrom, burstTo, replayEnd = 3 * time.Second, 8 * time.Second, 10 * time.Second
	usualLoad                     = 0.7 // of the engines, without a burst
	reportDelay                   = 200 * time.Millisecond
)

// kind is a kind of prompts. Each has four contents that its prompts share.
type kind struct {
	shared, own         int
	objective, deadline time.Duration
}

var kinds = [3]kind{
	{13_300, 3_720, 800 * time.Millisecond, 8 * time.Second},
	{6_300, 2_890, 600 * time.Millisecond, 5 * time.Second},
	{350, 1_110, 500 * time.Millisecond, 3 * time.Second},
}

var engine = route.Engine{KVTokenBytes: 80_000, LinkBytesPerSecond: 60e9, KVTokens: 469_537}

// replay runs the decisions of 70 daemons on 140 engines in virtual time.
type replay struct {
	seed                 uint64
	burst, frozen        bool
	shed, reserve, retry bool // retry: overload.RetryAfter
	rnd                  *rand.Rand
	est                  speed.Estimates
	now                  time.Time
	events               eventHeap
	engines              [replayEngines]replayEngine
	cands, usable        []placement.Candidate
	daemons              [replayDaemons]replayDaemon

	rejected, cancelled, retries, sends int
	goodTotal, sent                     [3]int // answers within their objective, and first sends, in the time of the burst
	tokens, wasted                      float64
}

type replayEngine struct {
	work     time.Duration // of all daemons
	reported time.Duration // the same, by the reports
	cached   [3][4]bool
	queue    []*job
	busy     bool
}

type replayDaemon struct {
	health        *health.Tracker
	stats         placement.PromptStats
	mix           overload.Mix
	own, reported [replayEngines]time.Duration // its own work at each engine, and the reported part
}

type job struct {
	kind, content  int
	first, arrived time.Time // of the first send, and of this one
	retried        bool
	work           time.Duration
	sentAt         time.Time
	predicted      time.Duration
	daemon         int
	left, done     bool
	sends          int
}

type event struct {
	at time.Time
	do func()
}
type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}

func (r *replay) in(d time.Duration, do func()) { heap.Push(&r.events, event{r.now.Add(d), do}) }

func (r *replay) since(t time.Duration) bool { return !r.now.Before(time.Unix(0, 0).Add(t)) }

func (r *replay) run() *replay {
	r.rnd, r.now = rand.New(rand.NewPCG(r.seed, 2)), time.Unix(0, 0)
	r.est = speed.Estimates{PerToken: 1e6 / 61.4, PromptOverhead: 5 * time.Millisecond, FirstEvent: 40 * time.Millisecond, Prompts: 1000}
	work := time.Duration(0)
	for i := range kinds {
		work += r.est.PrefillTime(kinds[i].own, kinds[i].own)
	}
	for i := range r.engines {
		r.cands = append(r.cands, placement.Candidate{Entry: port.TargetEntry{ID: fmt.Sprintf("engine-%d", i), Zone: "a", Slots: i}, HasIdleConn: true})
	}
	for i := range r.daemons {
		r.daemons[i].health = health.New(func() time.Time { return r.now }, nil)
	}
	for k := range kinds {
		r.arrive(k, time.Duration(float64(work)/replayEngines/usualLoad))
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.do()
	}
	return r
}

// arrive sends prompts of a kind with that mean interval.
func (r *replay) arrive(k int, mean time.Duration) {
	rate := 1.0
	if r.burst && k == 0 && r.since(burstFrom) && !r.since(burstTo) {
		rate = 2.5
	}
	r.in(time.Duration(r.rnd.ExpFloat64()*float64(mean)/rate), func() {
		if r.since(replayEnd) {
			return
		}
		if r.inBurst(r.now) {
			r.sent[k]++
		}
		r.send(&job{kind: k, content: r.rnd.IntN(4), first: r.now})
		r.arrive(k, mean)
	})
}

func (r *replay) inBurst(t time.Time) bool {
	d := t.Sub(time.Unix(0, 0))
	return d >= burstFrom && d < burstTo
}

// isFrozen reports whether the owner of a queue is frozen, or a daemon itself.
func (r *replay) isFrozen(n int) bool { return r.frozen && n%4 == 0 && r.since(burstFrom) }

// candidates returns the engines as a daemon sees them.
func (r *replay) candidates(d *replayDaemon, j *job) []placement.Candidate {
	r.usable = r.usable[:0]
	for i := range r.cands {
		e, c := &r.engines[i], r.cands[i]
		if d.health.Ejected(c.Entry.ID) {
			continue
		}
		c.Load = engines.Load{Wait: max(d.own[i]+e.reported-d.reported[i], 0)}
		c.FailureRate, c.Slowdown = d.health.FailureRate(c.Entry.ID), d.health.Pace(c.Entry.ID)
		if e.cached[j.kind][j.content] {
			c.Load.Cached, c.Load.Ready = kinds[j.kind].shared, kinds[j.kind].shared
		}
		r.usable = append(r.usable, c)
	}
	return r.usable
}

// choose chooses by the queues that the owners report.
func (r *replay) choose(p placement.Prompt, cands []placement.Candidate) placement.Choice {
	list := placement.Shortlist(p, cands, cands, &engine, r.est)
	waits := make([]time.Duration, len(list))
	for n, ch := range list {
		i := cands[ch.Index].Entry.Slots // the number of the engine
		if waits[n] = r.engines[i].work; r.isFrozen(i) {
			waits[n] = -1
		}
	}
	if !placement.AssumeWaits(list, cands, waits) {
		return placement.Prefill(p, cands, cands, &engine, r.est)
	}
	return placement.SelectByWait(list, cands, waits)
}

// send decides on a prompt at a random daemon, as admit and prefill do.
func (r *replay) send(j *job) {
	for j.daemon = r.rnd.IntN(replayDaemons); r.isFrozen(j.daemon); {
		j.daemon = r.rnd.IntN(replayDaemons)
	}
	if j.sends == 0 {
		j.arrived = r.now
	}
	d, k := &r.daemons[j.daemon], kinds[j.kind]
	p := placement.Prompt{Tokens: k.shared + k.own, SharedTokens: k.shared, Zone: "a", Seed: engines.Hash(fmt.Sprint(j.kind, j.content)), Objective: k.objective, RandomSeed: r.rnd.Uint64()}
	cands := r.candidates(d, j)
	if r.reserve {
		reserveEngines(&d.mix, r.now, true, p, cands, r.est)
	}
	ch := r.choose(p, cands)
	unqueued := r.est.PromptOverhead + ch.PrefillTime + r.est.FirstEvent
	d.stats.Record(p.Tokens, ch.PrefillTime)
	f := overload.FirstEvent{Wait: ch.PredictedWait, Unqueued: unqueued, Objective: k.objective,
		EffectiveWait: d.stats.EffectiveWait(ch.PredictedWait, p.Tokens, ch.PrefillTime, 50*time.Millisecond)}
	useful := overload.UsefulUntil(overload.Caller{Arrived: j.arrived, Deadline: j.first.Add(k.deadline), Objective: k.objective, LongestPause: 400 * time.Millisecond})
	if r.shed {
		f.Left = useful.Sub(r.now)
	}
	switch v := f.Decide(); {
	case j.sends > 0 && r.shed && v == overload.TooLate:
		return // no retry is made
	case j.sends == 0 && v >= overload.MissesObjective:
		r.reject(j, cands, f)
		return
	}
	j.sends++
	r.queue(j, cands[ch.Index].Entry.Slots, ch, useful)
}

// reject makes the caller return once, if it has the time.
func (r *replay) reject(j *job, cands []placement.Candidate, f overload.FirstEvent) {
	r.rejected++
	left := j.first.Add(kinds[j.kind].deadline).Sub(r.now)
	u := r.rnd.Float64()
	after := min(max(f.Wait+f.Unqueued-f.Objective, time.Duration((minRetryShare+(maxRetryShare-minRetryShare)*u)*float64(left)), minRetryDelay), maxJitteredDelay)
	if r.retry {
		after = max(overload.RetryAfter(backlog(cands), left, f.Unqueued, u), minRetryDelay)
	}
	if !j.retried && after < left {
		j.retried = true
		r.in(after, func() { r.send(j) })
	}
}

// queue adds a prompt to the queue of an engine, until the daemon cancels it or the
// caller leaves.
func (r *replay) queue(j *job, i int, ch placement.Choice, useful time.Time) {
	e := &r.engines[i]
	j.work, j.sentAt, j.predicted = ch.PrefillTime, r.now, r.est.PromptOverhead+ch.PredictedWait+ch.PrefillTime
	e.cached[j.kind][j.content] = true
	r.sends++
	r.track(j, i, j.work)
	e.queue = append(e.queue, j)
	timeout := prefillTimeoutFactor*j.predicted + prefillTimeoutExtra
	left := useful.Sub(r.now)
	if r.shed {
		left -= r.est.FirstEvent
	}
	r.in(min(timeout, left), func() { r.cancel(j, i, left < timeout) })
	r.next(i)
}

// cancel ends the wait for a prefill that isn't done. If that isn't due to its
// caller, it is sent again, once and within the budget.
func (r *replay) cancel(j *job, i int, useless bool) {
	if j.done {
		return
	}
	j.left = true
	r.cancelled++
	h, id := r.daemons[j.daemon].health, r.cands[i].Entry.ID
	switch {
	case !useless:
		h.Observe(id, health.Unreachable)
	case r.shed:
		h.Observe(id, health.Failed)
	}
	if !useless && j.sends < 2 && r.retries < r.sends/10 {
		r.retries++
		again := *j
		again.left = false
		r.send(&again)
	}
}

// track adds work of a daemon at an engine, and reports it to the others.
func (r *replay) track(j *job, i int, work time.Duration) {
	d := &r.daemons[j.daemon]
	d.own[i] += work
	r.engines[i].work += work
	r.in(reportDelay, func() {
		if r.isFrozen(i) {
			return // the report of the owner stays as it was
		}
		d.reported[i] += work
		r.engines[i].reported += work
	})
}

// next makes an idle engine prefill the next prompt whose caller still waits.
func (r *replay) next(i int) {
	e := &r.engines[i]
	for !e.busy && len(e.queue) > 0 {
		j := e.queue[0]
		e.queue = e.queue[1:]
		if j.left {
			r.track(j, i, -j.work)
			continue
		}
		e.busy = true
		took := time.Duration((0.8 + 0.4*r.rnd.Float64()) * float64(j.work))
		r.in(took, func() {
			e.busy = false
			r.track(j, i, -j.work)
			r.finish(j, i)
			r.next(i)
		})
	}
}

func (r *replay) finish(j *job, i int) {
	j.done = true
	r.tokens += float64(j.work)
	if j.left {
		r.wasted += float64(j.work)
		return
	}
	r.daemons[j.daemon].health.ObservePace(r.cands[i].Entry.ID, slowdown(kinds[j.kind].objective, j.predicted, r.now.Sub(j.sentAt)))
	if r.now.Add(r.est.PromptOverhead+r.est.FirstEvent).Sub(j.arrived) <= kinds[j.kind].objective && r.inBurst(j.first) {
		r.goodTotal[j.kind]++
	}
}

func (r *replay) good() (n int) {
	for _, k := range r.goodTotal {
		n += k
	}
	return n
}

// minGoodput is the fraction of the answers in time without a burst that must be in
// time during one, and maxWaste the fraction of the prefilled tokens that may be lost.
const (
	minGoodput = 0.85
	maxWaste   = 0.02
)

// variant is one way to run the replay. The zero value is a burst with everything on.
type variant struct{ off, noBurst, frozen, noReserve, noRetry bool }

// replays holds the finished replays.
var replays = map[variant]*replay{}

// replayed returns the finished replay of a variant.
func replayed(t *testing.T, v variant) *replay {
	r := replays[v]
	if r == nil {
		r = (&replay{seed: 1, burst: !v.noBurst, frozen: v.frozen, shed: !v.off, reserve: !v.off && !v.noReserve, retry: !v.off && !v.noRetry}).run()
		replays[v] = r
	}
	t.Logf("%+v: in time %v of %v, wasted %.4f, rejected %d, cancelled %d, retries %d", v, r.goodTotal, r.sent, r.wasted/r.tokens, r.rejected, r.cancelled, r.retries)
	return r
}

// Guards against queues during a burst in which most answers are late, and against
// prefills for callers that have left.
func TestBurst(t *testing.T) {
	base := replayed(t, variant{noBurst: true})
	for name, frozen := range map[string]bool{"answering": false, "frozen": true} {
		t.Run(name, func(t *testing.T) {
			r := replayed(t, variant{frozen: frozen})
			off := replayed(t, variant{off: true, frozen: frozen})
			t.Run("goodput", func(t *testing.T) {
				if got := float64(r.good()) / float64(base.good()); got < minGoodput || r.good() <= off.good() {
					t.Errorf("%.3f of the answers in time without the burst: %d, %d with the setting off", got, r.good(), off.good())
				}
			})
			t.Run("waste", func(t *testing.T) {
				if got := r.wasted / r.tokens; got > maxWaste {
					t.Errorf("%.4f of the tokens were prefilled in vain", got)
				}
			})
		})
	}
}

// Guards against short prompts that are crowded out by long ones, whose objectives
// allow for longer queues.
func TestBurstOfLongPromptsLeavesRoomForShortOnes(t *testing.T) {
	base := replayed(t, variant{noBurst: true})
	got := replayed(t, variant{})
	without := replayed(t, variant{noReserve: true})
	if float64(got.goodTotal[2]) < minGoodput*float64(base.goodTotal[2]) || got.good() < without.good() {
		t.Errorf("%d short prompts in time, %d without the burst; of all %d, %d without reserved engines", got.goodTotal[2], base.goodTotal[2], got.good(), without.good())
	}
}

// Guards against rejected callers that return to the same queues.
func TestReturnsFindCapacity(t *testing.T) {
	got, before := replayed(t, variant{}), replayed(t, variant{noRetry: true})
	if got.good() <= before.good() {
		t.Errorf("%d in time, %d with returns after a part of the time left", got.good(), before.good())
	}
}
