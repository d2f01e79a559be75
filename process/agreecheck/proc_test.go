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

// proc simulates one process as a state machine that is advanced step by step.
type proc struct {
	w           *world
	index       int
	incarnation string
	strict      bool    // its binary rejects documents that others accept
	drift       float64 // relative drift of its clock
	clockLag    time.Duration
	pausedUntil time.Duration // end of the current pause
	cutUntil    time.Duration // end of the current partition from the log
	tracker     *lease.Tracker
	state       *fold.State
	tail        lease.Tail
	read        *reading
	engineWork  []*work
}

// reading is a read of the tail in progress.
type reading struct {
	start  time.Duration // on the process's clock
	recs   []port.Record
	newest int64
}

// work is a process's state about one engine.
type work struct {
	group        string
	versions     int64
	progress     reconcile.Progress
	deadline     time.Duration     // end of the writes that the state of the decision allows
	stalledUntil time.Duration     // when the engine responds to the read of its state
	observed     *port.EngineState // state read from the engine, until a decision is made
	tail         *fold.State       // log state on which the decision is based
	order        port.Order        // order to write
	ready        bool              // order is set and not yet written
	connectedTo  int               // incarnation of the connected engine
	sentAt       time.Duration
	write        *write // write that awaits its response
	timeoutAt    time.Duration
}

func newProc(w *world, index int) *proc {
	p := &proc{w: w, index: index}
	p.strict = w.chance(2)
	p.drift = float64(2*w.draw(0, 1)-1) * maxDrift
	p.start()
	return p
}

// start starts a new incarnation, which keeps only the settings of the process.
func (p *proc) start() {
	p.incarnation = p.w.id(fmt.Sprintf("p%d.", p.index))
	r := rule
	if p.w.planted == noDrift {
		r.Guard = 0
	}
	p.tracker = lease.NewTracker(r, p.incarnation)
	p.state, p.read, p.pausedUntil, p.cutUntil = nil, nil, 0, 0
	p.tail = lease.Tail{}
	p.engineWork = nil
	for range p.w.engines {
		p.engineWork = append(p.engineWork, &work{})
	}
}

// clock returns the time of the process: CLOCK_BOOTTIME with drift.
func (p *proc) clock() time.Duration {
	t := p.w.now + time.Duration(float64(p.w.now)*p.drift)
	return t - p.clockLag
}

// cut reports whether the process can't reach the log now.
func (p *proc) cut() bool { return p.w.now < p.cutUntil }

// mayOrder reports whether the process would write an order to the engine if it
// decided and wrote now.
func (p *proc) mayOrder(i int) bool {
	k := p.engineWork[i]
	if p.state == nil || p.tail.State == nil || k.group == "" || k.group != p.groupOf(i) || p.tail.State.Versions > k.versions+1 {
		return false
	}
	r := p.tracker.Rule()
	_, ok := p.authority(k.group)
	return ok && p.clock() >= k.progress.JoinedAt+r.Duration+r.Guard
}

// groupOf returns the engine's group in the document that the process knows.
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
	if p.w.planted == peersConfirm && p.majorityConfirms(group) {
		tail.ReadStart = p.clock()
	}
	return p.tracker.Authority(p.clock(), tail, group)
}

// majorityConfirms reports whether most processes know no later claim. It is the
// alternative design of peersConfirm, which is unsafe because peers read the log
// as late as holders do.
func (p *proc) majorityConfirms(group string) bool {
	n := 0
	for _, x := range p.w.procs {
		if x.tail.State != nil && x.tail.State.Leases[group].Claim == p.tail.State.Leases[group].Claim {
			n++
		}
	}
	return 2*n > len(p.w.procs)
}

// Gone implements lease.Membership. Its result is late, and at times wrong.
func (p *proc) Gone(incarnation string) bool {
	alive := slices.ContainsFunc(p.w.procs, func(x *proc) bool { return x.incarnation == incarnation })
	return !alive || p.w.suspected[incarnation]
}

// Rank implements lease.Membership.
func (p *proc) Rank(group string) (int, bool) {
	return (p.index + 2*slices.Index(groups, group)) % len(p.w.procs), true
}

// step runs some of the actions that the process's goroutines perform.
func (p *proc) step() {
	if p.w.now < p.pausedUntil {
		return
	}
	if p.w.chance(2) {
		p.readStep()
	}
	if p.state == nil || p.tail.State == nil {
		return
	}
	for i, k := range p.engineWork {
		if p.w.chance(2) && p.w.now >= p.pausedUntil {
			p.workStep(i, k)
		}
	}
	switch n := p.w.draw(0, 999); {
	case p.w.now < p.pausedUntil:
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

// readStep starts or completes a read of the tail. The read returns the records
// that were in the log at its start or at its end.
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
		p.read = &reading{start: p.clock()}
		if p.w.chance(2) {
			p.fetch()
		}
		return
	}
	if p.read.newest == 0 {
		p.fetch()
	}
	p.finishRead()
}

func (p *proc) fetch() {
	if p.state.Applied+1 < p.w.earliest {
		p.state = nil
		p.read = nil
		return
	}
	p.read.recs, p.read.newest, _ = logView{w: p.w}.Read(context.Background(), "", p.state.Applied+1, 500, 0)
}

// finishRead folds the records that were read and checks that the version doesn't
// go back.
func (p *proc) finishRead() {
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
		p.checkState()
	}
	readStart := r.start
	if p.w.planted == ageFromEnd {
		readStart = p.clock()
	}
	if before == nil || len(r.recs) > 0 {
		before, p.tail.State = p.tail.State, p.state.Clone()
	}
	p.tail.ReadStart, p.tail.Loaded = readStart, true
	if before != nil && p.tail.State.Services[service].Version < before.Services[service].Version {
		p.w.fail("%s: version went back from %d to %d", p.incarnation, before.Services[service].Version, p.tail.State.Services[service].Version)
	}
	observedAt := p.clock()
	if p.w.planted == earlyTakeover {
		observedAt -= rule.Duration + rule.Guard
	}
	p.tracker.Observe(observedAt, p.tail.State)
}

func (p *proc) fold(recs []port.Record) {
	for _, r := range recs {
		data := r.Data
		if p.w.planted == recomputeVerdict {
			data = p.ownVerdict(data)
		}
		if err := p.state.Apply(r.Offset, data); err != nil {
			p.w.fail("%s: %v", p.incarnation, err)
		}
	}
}

// checkState checks that the state equals the reference state at the same offset.
func (p *proc) checkState() {
	if got, want := encode(p.state), encode(p.w.states[p.state.Applied]); got != want {
		p.w.fail("%s differs at offset %d:\n%s\nwant\n%s", p.incarnation, p.state.Applied, got, want)
	}
}

// recover recovers the state with follow.Recover.
func (p *proc) recover() {
	p.w.stats.recoveries++
	if p.w.planted == staleCheckpoint {
		p.state = p.newestCheckpoint()
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
	v := record.Verdict{Service: service, Version: pending[0].Version, Accept: p.accepts(pending[0].YAML), Code: code.DocSyntax}
	p.w.send(p.w.id("verdict"), record.KindVerdict, v)
}

// accepts reports whether the process's binary accepts the document.
func (p *proc) accepts(yaml string) bool { return !p.strict || !strings.HasPrefix(yaml, "lax") }

func (p *proc) checkpointStep() {
	if p.cut() {
		return
	}
	data, _ := p.state.Encode()
	p.w.send(p.w.id("checkpoint"), record.KindCheckpoint, record.Checkpoint{Covers: p.state.Applied, State: data})
}

// release simulates a planned stop. It does nothing while a write is in progress.
func (p *proc) release() {
	if slices.ContainsFunc(p.engineWork, func(k *work) bool { return k.write != nil }) {
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

// ownVerdict returns the record with the verdict that the process's own binary
// would give.
func (p *proc) ownVerdict(data []byte) []byte {
	var e record.Envelope
	var v record.Verdict
	pending := p.state.Services[service].Pending
	if json.Unmarshal(data, &e) != nil || e.Kind != record.KindVerdict || json.Unmarshal(e.Body, &v) != nil || len(pending) == 0 {
		return data
	}
	v.Accept = p.accepts(pending[0].YAML)
	e.Body, _ = json.Marshal(v)
	data, _ = json.Marshal(e)
	return data
}
