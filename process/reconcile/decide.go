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
	Wait    Action = iota // nothing now
	Log                   // append a new order to the log
	Send                  // send the open order to the engine
	Done                  // append the end of the open order
	Reclaim               // claim the group anew for a higher fencing number
)

// ResendAfter is how long an order that was sent may stay without a sign of
// it in the engine's state before it is sent again.
const ResendAfter = 2 * time.Second

// Memory is what a process remembers of one engine while it holds its group.
type Memory struct {
	Since   time.Duration // when this process first saw the engine in the group
	Moved   int64         // offset of the newest version at that time
	Order   string        // the open order that the fields below are about
	Sent    bool          // sent by this process
	SentAt  time.Duration
	Quiet   time.Duration // until then a copy of this or the last order may be on its way
	Refused string        // why the engine refused it for good, or empty
	Ending  bool          // its end was appended, perhaps without an answer

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
	Now     time.Duration
	Rule    lease.Rule
	Fence   int64           // of the lease
	Applied int64           // offset of the state that the rest was taken from
	Want    port.EngineSpec // what the engine should be
	Wanted  bool            // false: leave it alone
	Open    *fold.OpenOrder // its open order, or nil
	Seen    port.EngineState
	Known   bool // Seen was read under this lease, after the last action
	Memory  Memory
	Ahead   int // open loads before its open order, or all of them without one
	Slots   int // loads that may run at once in the whole fleet
}

// Decision is an action with its reason, and for Log the new order.
type Decision struct {
	Action Action
	Why    string
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
	case in.Fence < in.Memory.Moved:
		return Decision{Action: Reclaim, Why: "the engine came after the claim"}
	case in.Now < in.Memory.Since+in.Rule.T+in.Rule.Guard:
		return wait("new in the group")
	case !in.Known:
		return wait("state not known")
	case in.Seen.LastFence > in.Fence && in.Seen.LastFence <= in.Applied:
		return Decision{Action: Reclaim, Why: "the engine has seen a higher fencing number"}
	case in.Open != nil:
		return decideOpen(in)
	}
	return decideNew(in)
}

func wait(why string) Decision { return Decision{Why: why} }

// decideOpen brings the open order to its end, whoever logged it.
//
// The order ends only when the engine has accepted its id. So every copy that
// a former holder may still write, however late, meets an engine that knows
// the id, or one that knows a newer fencing number, and has no effect.
// Quiet is the guard against this process's own copies: after a send without
// an answer the order stays open until the kernel has given the bytes up.
func decideOpen(in Input) Decision {
	accepted := in.Seen.LastOrder == in.Open.ID
	switch {
	case in.Memory.Ending:
		return Decision{Action: Done, Why: in.Memory.Refused}
	case accepted && in.Seen.Changing:
		return wait("order is being carried out")
	case in.Now < in.Memory.Quiet && (accepted || in.Memory.Refused != ""):
		return wait("a copy of the order may be on its way")
	case accepted && in.Seen.Spec != in.Open.Spec:
		return Decision{Action: Done, Why: "engine shows something else"}
	case accepted:
		return Decision{Action: Done}
	case in.Memory.Refused != "":
		return Decision{Action: Done, Why: "refused: " + in.Memory.Refused}
	case in.Seen.Changing:
		return wait("engine is busy with an earlier order")
	case in.Open.Load && in.Ahead >= in.Slots:
		return wait("weight store is taken")
	case in.Memory.Sent && in.Now < in.Memory.SentAt+ResendAfter:
		return wait("order was sent")
	}
	return Decision{Action: Send, Why: "order is open"}
}

// Note notes that the order was sent at the time at and answered, or not, at
// the time now. An answer that refuses it for good is given as refused; as it
// may be an error of the way and not the engine's, it counts as no answer too.
func (m *Memory) Note(order string, at, now time.Duration, answered bool, refused string, guard time.Duration) {
	m.Order = order
	m.Sent, m.SentAt = true, at
	m.Refused = refused
	if !answered || refused != "" {
		m.Quiet = now + guard
	}
}

// End notes that the end of the order is being appended. why is empty if it
// was carried out.
//
// The guard is against an engine that refuses or loses each order at once: it
// would get orders, and the log records, as fast as both answer. Each failure
// in a row for the same spec doubles the wait.
func (m *Memory) End(open *fold.OpenOrder, why string, now time.Duration) {
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
func (m *Memory) retryAt() time.Duration {
	if m.Fails == 0 {
		return 0
	}
	return m.FailedAt + min(failWait<<min(m.Fails-1, 8), failWaitMost)
}

// ForOrder drops what was remembered of another order, but for Quiet.
func (m *Memory) ForOrder(open *fold.OpenOrder) {
	if open != nil && open.ID == m.Order {
		return
	}
	*m = Memory{Since: m.Since, Moved: m.Moved, Quiet: m.Quiet, Failed: m.Failed, FailedAt: m.FailedAt, Fails: m.Fails}
}

// decideNew compares the engine with what it should be. Because it looks at
// the engine's own word, one that restarts with something old is brought back.
func decideNew(in Input) Decision {
	load := loads(in.Seen.Spec, in.Want)
	switch {
	case !in.Wanted:
		return wait("nothing is asked of it")
	case in.Now < in.Memory.Quiet:
		return wait("a copy of the last order may be on its way")
	case in.Seen.Leaving:
		return wait("engine is leaving")
	case in.Seen.Changing:
		return wait("engine is changing")
	case in.Seen.Spec == in.Want:
		return wait("engine is as it should be")
	case in.Want == in.Memory.Failed && in.Now < in.Memory.retryAt():
		return wait("the last order for this failed")
	case load && in.Ahead >= in.Slots:
		return wait("weight store is taken")
	}
	return Decision{Action: Log, Why: "engine differs", Spec: in.Want, Load: load}
}

// loads reports whether a change reads from the weight store.
func loads(from, to port.EngineSpec) bool {
	return from.Model != to.Model || from.Version != to.Version || from.Adapter != to.Adapter
}
