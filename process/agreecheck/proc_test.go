package agreecheck

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/fold"
	"github.com/pomelospool/pomelospool/process/follow"
	"github.com/pomelospool/pomelospool/process/lease"
	"github.com/pomelospool/pomelospool/process/reconcile"
	"github.com/pomelospool/pomelospool/process/record"
)

// proc is one process as a machine that makes one step at a time.
type proc struct {
	w           *world
	index       int
	incarnation string
	strict      bool    // its binary refuses documents that others accept
	drift       float64 // of its clock
	lagging     time.Duration
	wakes       time.Duration // paused until then
	cutUntil    time.Duration // from the log
	tracker     *lease.Tracker
	state       *fold.State
	tail        lease.Tail
	read        *reading
	works       []*work
}

// reading is a read of the tail under way.
type reading struct {
	began  time.Duration // on the process's clock
	recs   []port.Record
	newest int64
}

// work is what the process does at one engine.
type work struct {
	group    string
	versions int64
	memory   reconcile.Progress
	until    time.Duration     // end of what the state of the decision allows
	stall    time.Duration     // the engine answers a read of its state only then
	seen     *port.EngineState // read, and not yet decided on
	tail     *fold.State       // of the step that seen belongs to
	order    port.Order        // checked, not yet written
	ready    bool              // order is set
	held     int               // incarnation of the engine that the connection leads to
	sentAt   time.Duration
	write    *write // waits for its answer
	ends     time.Duration
}

func newProc(w *world, index int) *proc {
	p := &proc{w: w, index: index}
	p.strict = w.chance(2)
	p.drift = float64(2*w.draw(0, 1)-1) * maxDrift
	p.start()
	return p
}

// start begins a new incarnation with nothing but its settings.
func (p *proc) start() {
	p.incarnation = p.w.id(fmt.Sprintf("p%d.", p.index))
	r := rule
	if p.w.plant == noDrift {
		r.Guard = 0
	}
	p.tracker = lease.NewTracker(r, p.incarnation)
	p.state, p.read, p.wakes, p.cutUntil = nil, nil, 0, 0
	p.tail = lease.Tail{}
	p.works = nil
	for range p.w.engines {
		p.works = append(p.works, &work{})
	}
}

// clock is the time of the process: CLOCK_BOOTTIME with its drift.
func (p *proc) clock() time.Duration {
	t := p.w.now + time.Duration(float64(p.w.now)*p.drift)
	return t - p.lagging
}

// cut reports whether the process can't reach the log now.
func (p *proc) cut() bool { return p.w.now < p.cutUntil }

// mayOrder reports whether the process would write to the engine if it decided
// and wrote now.
func (p *proc) mayOrder(i int) bool {
	k := p.works[i]
	if p.state == nil || p.tail.State == nil || k.group == "" || k.group != p.groupOf(i) || p.tail.State.Versions > k.versions+1 {
		return false
	}
	r := p.tracker.Rule()
	_, ok := p.authority(k.group)
	return ok && p.clock() >= k.memory.JoinedAt+r.Duration+r.Guard
}

// groupOf returns the engine's group by the document that the process knows.
func (p *proc) groupOf(i int) string {
	if yaml := p.tail.State.Services[service].YAML; yaml != "" {
		return groupOf(yaml, i)
	}
	return ""
}

func (p *proc) authority(group string) (lease.Authority, bool) {
	if p.tail.State == nil {
		return lease.Authority{}, false
	}
	tail := p.tail
	if p.w.plant == peersConfirm && p.confirmed(group) {
		tail.ReadStart = p.clock()
	}
	return p.tracker.Authority(p.clock(), tail, group)
}

// confirmed reports whether most processes know of no later claim. It is the way
// that was weighed and not taken: peers read the log late, as holders do.
func (p *proc) confirmed(group string) bool {
	n := 0
	for _, x := range p.w.procs {
		if x.tail.State != nil && x.tail.State.Leases[group].Claim == p.tail.State.Leases[group].Claim {
			n++
		}
	}
	return 2*n > len(p.w.procs)
}

// Gone and Rank are the membership view: late, and at times wrong.
func (p *proc) Gone(incarnation string) bool {
	alive := slices.ContainsFunc(p.w.procs, func(x *proc) bool { return x.incarnation == incarnation })
	return !alive || p.w.suspected[incarnation]
}

func (p *proc) Rank(group string) (int, bool) {
	return (p.index + 2*slices.Index(groups, group)) % len(p.w.procs), true
}

// step lets the process do some of what its goroutines do.
func (p *proc) step() {
	if p.w.now < p.wakes {
		return
	}
	if p.w.chance(2) {
		p.readStep()
	}
	if p.state == nil || p.tail.State == nil {
		return
	}
	for i, k := range p.works {
		if p.w.chance(2) && p.w.now >= p.wakes {
			p.workStep(i, k)
		}
	}
	switch n := p.w.draw(0, 999); {
	case p.w.now < p.wakes:
	case n < 300:
		p.claimStep()
	case n < 400:
		p.verdictStep()
	case n < 405:
		p.checkpointStep()
	case n < 406:
		p.release()
	}
}

// readStep begins or ends a read of the tail. The log answers with what stood
// at the begin or at the end.
func (p *proc) readStep() {
	if p.cut() {
		p.read = nil
		return
	}
	if p.state == nil {
		p.recover()
		return
	}
	if p.read == nil {
		p.read = &reading{began: p.clock()}
		if p.w.chance(2) {
			p.fetch()
		}
		return
	}
	if p.read.newest == 0 {
		p.fetch()
	}
	p.finish()
}

func (p *proc) fetch() {
	if p.state.Applied+1 < p.w.earliest {
		p.state = nil
		p.read = nil
		return
	}
	p.read.recs, p.read.newest, _ = logView{w: p.w}.Read(context.Background(), "", p.state.Applied+1, 500, 0)
}

// finish folds what was read and checks that nothing went back.
func (p *proc) finish() {
	r := p.read
	p.read = nil
	if r == nil {
		return
	}
	before := p.tail.State
	p.fold(r.recs)
	if p.state.Applied < r.newest || (before != nil && p.state.Applied < before.Applied) {
		return
	}
	if before == nil {
		p.compare()
	}
	began := r.began
	if p.w.plant == ageFromEnd {
		began = p.clock()
	}
	if before == nil || len(r.recs) > 0 {
		before, p.tail.State = p.tail.State, p.state.Clone()
	}
	p.tail.ReadStart, p.tail.Loaded = began, true
	if before != nil && p.tail.State.Services[service].Version < before.Services[service].Version {
		p.w.fail("%s: version went back from %d to %d", p.incarnation, before.Services[service].Version, p.tail.State.Services[service].Version)
	}
	seen := p.clock()
	if p.w.plant == earlyTakeover {
		seen -= rule.Duration + rule.Guard
	}
	p.tracker.Observe(seen, p.tail.State)
}

func (p *proc) fold(recs []port.Record) {
	for _, r := range recs {
		data := r.Data
		if p.w.plant == recomputeVerdict {
			data = p.recomputed(data)
		}
		if err := p.state.Apply(r.Offset, data); err != nil {
			p.w.fail("%s: %v", p.incarnation, err)
		}
	}
}

// compare checks that equal offsets mean equal states.
func (p *proc) compare() {
	if got, want := encode(p.state), encode(p.w.states[p.state.Applied]); got != want {
		p.w.fail("%s differs at offset %d:\n%s\nwant\n%s", p.incarnation, p.state.Applied, got, want)
	}
}

// recover starts from a checkpoint by the real rule.
func (p *proc) recover() {
	p.w.stats.recoveries++
	if p.w.plant == staleCheckpoint {
		p.state = p.anyCheckpoint()
		return
	}
	s, err := follow.Recover(context.Background(), logView{w: p.w})
	if err != nil {
		p.w.fail("%s can't start: %v", p.incarnation, err)
		return
	}
	p.state = s
}

func (p *proc) claimStep() {
	if p.cut() || p.tail.State == nil {
		return
	}
	for _, c := range p.tracker.DueClaims(p.clock(), p.tail, groups, p) {
		p.w.send(p.w.id("claim"), record.KindClaim, c)
	}
}

func (p *proc) verdictStep() {
	pending := p.state.Services[service].Pending
	if p.cut() || len(pending) == 0 {
		return
	}
	v := record.Verdict{Service: service, Version: pending[0].Version, Accept: p.judge(pending[0].YAML), Code: code.DocSyntax}
	p.w.send(p.w.id("verdict"), record.KindVerdict, v)
}

// judge is the rule of the process's binary.
func (p *proc) judge(yaml string) bool { return !p.strict || !strings.HasPrefix(yaml, "lax") }

func (p *proc) checkpointStep() {
	if p.cut() {
		return
	}
	data, _ := p.state.Encode()
	p.w.send(p.w.id("checkpoint"), record.KindCheckpoint, record.Checkpoint{Covers: p.state.Applied, State: data})
}

// release is a planned stop: nothing is under way any more.
func (p *proc) release() {
	if slices.ContainsFunc(p.works, func(k *work) bool { return k.write != nil }) {
		return
	}
	for _, g := range groups {
		if a, ok := p.authority(g); ok {
			p.tracker.MarkReleased(a.Fence)
			p.w.send(p.w.id("release"), record.KindRelease, record.Release{Group: g, Claim: a.Fence})
		}
	}
	p.start()
}

// recomputed is a verdict as the process's own binary would give it.
func (p *proc) recomputed(data []byte) []byte {
	var e record.Envelope
	var v record.Verdict
	pending := p.state.Services[service].Pending
	if json.Unmarshal(data, &e) != nil || e.Kind != record.KindVerdict || json.Unmarshal(e.Body, &v) != nil || len(pending) == 0 {
		return data
	}
	v.Accept = p.judge(pending[0].YAML)
	e.Body, _ = json.Marshal(v)
	data, _ = json.Marshal(e)
	return data
}
