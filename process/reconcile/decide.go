package reconcile

import (
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/fold"
	"github.com/pomelospool/pomelospool/process/lease"
)

// Action is what to do next for one engine.
type Action int

// The actions.
const (
	Wait        Action = iota // nothing now
	AppendOrder               // append a new order to the log
	SendOrder                 // send the open order to the engine
	EndOrder                  // append the end of the open order
	Reclaim                   // claim the group anew for a higher fencing number
)

// ResendAfter is how long an order that was sent may stay without a sign of
// it in the engine's state before it is sent again.
const ResendAfter = 2 * time.Second

// Progress is what a process remembers of one engine while it holds its group.
type Progress struct {
	JoinedAt      time.Duration // when this process first saw the engine in the group
	JoinedVersion int64         // offset of the newest version at that time
	Order         string        // the open order that the fields below are about
	Sent          bool          // sent by this process
	SentAt        time.Duration
	Quiet         time.Duration // until then a copy of this or the last order may be on its way
	Refused       string        // why the engine refused it for good, or empty
	Ending        bool          // its end was appended, perhaps without an answer

	// orders that ended otherwise than asked, over several orders
	Failed   port.EngineSpec
	FailedAt time.Duration
	Fails    int // in a row for the same spec
}

// Waits before an order for a spec that failed is logged again. They double.
const (
	failWait     = 5 * time.Second
	failWaitMost = 2 * time.Minute
)

// Input is all that a decision depends on.
type Input struct {
	Now           time.Duration
	Rule          lease.Rule
	Fence         int64           // of the lease
	Applied       int64           // offset of the state that the rest was taken from
	Desired       port.EngineSpec // what the engine should be
	HasDesired    bool            // false: leave it alone
	Open          *fold.Open      // its open order, or nil
	Observed      port.EngineState
	ObservedKnown bool // Seen was read under this lease, after the last action
	Progress      Progress
	Ahead         int // open loads before its open order, or all of them without one
	Slots         int // loads that may run at once in the whole fleet
}

// Decision is an action with its reason, and for AppendOrder the new order.
type Decision struct {
	Action Action
	Reason string
	Spec   port.EngineSpec
	Load   bool
}

// Decide returns the next step for one engine. It is a pure function.
//
// An engine that came into the group is left alone for as long as a claimer
// waits. The guard is against a holder of its old group that hasn't read the
// new document yet and still acts for the engine. The claim must be younger
// than that document too: the old holder's number may be higher than an older
// claim of this group, and the engine would take a write of the old holder that
// a pause made late.
func Decide(in Input) Decision {
	switch {
	case in.Fence < in.Progress.JoinedVersion:
		return Decision{Action: Reclaim, Reason: "the engine came after the claim"}
	case in.Now < in.Progress.JoinedAt+in.Rule.Duration+in.Rule.Guard:
		return wait("new in the group")
	case !in.ObservedKnown:
		return wait("state not known")
	case in.Observed.LastFence > in.Fence && in.Observed.LastFence <= in.Applied:
		return Decision{Action: Reclaim, Reason: "the engine has seen a higher fencing number"}
	case in.Open != nil:
		return decideOpen(in)
	}
	return decideNew(in)
}

func wait(why string) Decision { return Decision{Reason: why} }

// decideOpen brings the open order to its end, whoever logged it.
//
// The order ends only when the engine has accepted its id. So every copy that
// a former holder may still write, however late, meets an engine that knows
// the id, or one that knows a newer fencing number, and has no effect.
// Quiet is the guard against this process's own copies: after a send without
// an answer the order stays open until the kernel has given the bytes up.
func decideOpen(in Input) Decision {
	accepted := in.Observed.LastOrder == in.Open.ID
	switch {
	case in.Progress.Ending:
		return Decision{Action: EndOrder, Reason: in.Progress.Refused}
	case accepted && in.Observed.Changing:
		return wait("order is being carried out")
	case in.Now < in.Progress.Quiet && (accepted || in.Progress.Refused != ""):
		return wait("a copy of the order may be on its way")
	case accepted && in.Observed.Spec != in.Open.Spec:
		return Decision{Action: EndOrder, Reason: "engine shows something else"}
	case accepted:
		return Decision{Action: EndOrder}
	case in.Progress.Refused != "":
		return Decision{Action: EndOrder, Reason: "refused: " + in.Progress.Refused}
	case in.Observed.Changing:
		return wait("engine is busy with an earlier order")
	case in.Open.Load && in.Ahead >= in.Slots:
		return wait("weight store is taken")
	case in.Progress.Sent && in.Now < in.Progress.SentAt+ResendAfter:
		return wait("order was sent")
	}
	return Decision{Action: SendOrder, Reason: "order is open"}
}

// RecordSend notes that the order was sent at the time at and answered, or not, at
// the time now. An answer that refuses it for good is given as refused; as it
// may be an error of the way and not the engine's, it counts as no answer too.
func (m *Progress) RecordSend(order string, at, now time.Duration, answered bool, refused string, guard time.Duration) {
	m.Order = order
	m.Sent, m.SentAt = true, at
	m.Refused = refused
	if !answered || refused != "" {
		m.Quiet = now + guard
	}
}

// RecordEnd notes that the end of the order is being appended. why is empty if it
// was carried out.
//
// The guard is against an engine that refuses or loses each order at once: it
// would get orders, and the log records, as fast as both answer. Each failure
// in a row for the same spec doubles the wait.
func (m *Progress) RecordEnd(open *fold.Open, why string, now time.Duration) {
	again := m.Order == open.ID && m.Ending
	m.Order, m.Ending = open.ID, true
	switch {
	case again:
	case why == "":
		m.Fails = 0
	case m.Failed != open.Spec:
		m.Fails = 1
	default:
		m.Fails++
	}
	m.Failed, m.FailedAt = open.Spec, now
}

// retryAt returns when the spec that failed may be ordered again.
func (m *Progress) retryAt() time.Duration {
	if m.Fails == 0 {
		return 0
	}
	return m.FailedAt + min(failWait<<min(m.Fails-1, 8), failWaitMost)
}

// ResetFor drops what was remembered of another order, but for Quiet.
func (m *Progress) ResetFor(open *fold.Open) {
	if open != nil && open.ID == m.Order {
		return
	}
	*m = Progress{JoinedAt: m.JoinedAt, JoinedVersion: m.JoinedVersion, Quiet: m.Quiet, Failed: m.Failed, FailedAt: m.FailedAt, Fails: m.Fails}
}

// decideNew compares the engine with what it should be. Because it looks at
// the engine's own word, one that restarts with something old is brought back.
func decideNew(in Input) Decision {
	load := loads(in.Observed.Spec, in.Desired)
	switch {
	case !in.HasDesired:
		return wait("nothing is asked of it")
	case in.Now < in.Progress.Quiet:
		return wait("a copy of the last order may be on its way")
	case in.Observed.Leaving:
		return wait("engine is leaving")
	case in.Observed.Changing:
		return wait("engine is changing")
	case in.Observed.Spec == in.Desired:
		return wait("engine is as it should be")
	case in.Desired == in.Progress.Failed && in.Now < in.Progress.retryAt():
		return wait("the last order for this failed")
	case load && in.Ahead >= in.Slots:
		return wait("weight store is taken")
	}
	return Decision{Action: AppendOrder, Reason: "engine differs", Spec: in.Desired, Load: load}
}

// loads reports whether a change reads from the weight store.
func loads(from, to port.EngineSpec) bool {
	return from.Model != to.Model || from.Version != to.Version || from.Adapter != to.Adapter
}
