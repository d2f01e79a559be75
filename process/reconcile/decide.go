package reconcile

import (
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/fold"
	"github.com/pomelospool/pomelospool/process/lease"
)

// Action is the next step for one engine.
type Action int

// The actions.
const (
	Wait        Action = iota // do nothing
	AppendOrder               // append a new order to the log
	SendOrder                 // send the open order to the engine
	EndOrder                  // append the end of the open order to the log
	Reclaim                   // claim the group again to get a higher fencing number
)

// ResendDelay is how long to wait for an order to appear in the engine's state
// before it is sent again.
const ResendDelay = 2 * time.Second

// Progress is what a process records about one engine while it holds the lease of
// the engine's group. It is kept in memory only.
type Progress struct {
	JoinedAt      time.Duration // when this process first found the engine in the group
	JoinedVersion int64         // offset of the newest document version at that time
	OrderID       string        // the open order that the next fields refer to
	Sent          bool          // this process has sent it
	SentAt        time.Duration
	InFlightUntil time.Duration // until then a copy of this or the previous order may be in flight
	RefusedReason string        // why the engine rejected it permanently, or empty
	EndAppended   bool          // its end was appended, perhaps without confirmation
	EndReason     string        // the reason in that end

	// Failures of orders. They are kept from order to order.
	FailedSpec port.EngineSpec
	FailedAt   time.Duration
	Failures   int // consecutive failures for the same spec
}

// Delay before an order for a failed spec is appended again. It doubles with each
// consecutive failure.
const (
	retryDelay    = 5 * time.Second
	maxRetryDelay = 2 * time.Minute
)

// Input holds everything that a decision depends on.
type Input struct {
	Now           time.Duration
	Rule          lease.Rule
	Fence         int64           // fencing number of the lease
	Applied       int64           // offset of the log state that the input is based on
	Desired       port.EngineSpec // desired spec of the engine
	HasDesired    bool            // false: the engine gets no new orders
	Open          *fold.OpenOrder // the engine's open order, or nil
	Observed      port.EngineState
	ObservedKnown bool // Observed was read under this lease, after the last action
	Progress      Progress
	Ahead         int // open loads before Open in the log, or all open loads if Open is nil
	Slots         int // maximum of concurrent loads of all daemons
}

// Decision is an action and its reason. Spec and Load describe the new order of
// AppendOrder.
type Decision struct {
	Action Action
	Reason string
	Spec   port.EngineSpec
	Load   bool
}

// Decide returns the next step for one engine. It is a pure function.
//
// An engine that joined the group gets no orders for as long as a new holder of a
// lease waits. Until then a holder of its old group that hasn't read the new
// document may still act on it. The claim must also be newer than that document.
// Otherwise the old holder's fencing number could be higher than this group's,
// and the engine would accept a write of the old holder that was delayed by a
// pause.
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

func wait(reason string) Decision { return Decision{Reason: reason} }

// decideOpen brings the open order to its end, whichever process appended it.
//
// The order ends only when the engine has accepted its id. A copy that a former
// holder writes later then has no effect, because the engine knows either the id
// or a newer fencing number. InFlightUntil covers this process's own copies:
// after a send without a response the order stays open until the kernel has
// dropped the data.
func decideOpen(in Input) Decision {
	accepted := in.Observed.LastOrder == in.Open.ID
	switch {
	case in.Progress.EndAppended:
		return Decision{Action: EndOrder, Reason: in.Progress.EndReason}
	case accepted && in.Observed.Changing:
		return wait("order is being carried out")
	case in.Now < in.Progress.InFlightUntil && (accepted || in.Progress.RefusedReason != ""):
		return wait("a copy of the order may be on its way")
	case accepted && in.Observed.Spec != in.Open.Spec:
		return Decision{Action: EndOrder, Reason: "engine shows something else"}
	case accepted:
		return Decision{Action: EndOrder}
	case in.Progress.RefusedReason != "":
		return Decision{Action: EndOrder, Reason: "refused: " + in.Progress.RefusedReason}
	case in.Observed.Changing:
		return wait("engine is busy with an earlier order")
	case in.Open.Load && in.Ahead >= in.Slots:
		return wait("weight store is taken")
	case in.Progress.Sent && in.Now < in.Progress.SentAt+ResendDelay:
		return wait("order was sent")
	}
	return Decision{Action: SendOrder, Reason: "order is open"}
}

// RecordSend records that the order was sent at sentAt and that the call returned
// at now. refused is the reason if the engine rejected the order permanently. The
// rejection may come from an intermediary instead of the engine, so it also
// counts as no response.
func (p *Progress) RecordSend(order string, sentAt, now time.Duration, responded bool, refused string, guard time.Duration) {
	p.OrderID = order
	p.Sent, p.SentAt = true, sentAt
	p.RefusedReason = refused
	if !responded || refused != "" {
		p.InFlightUntil = now + guard
	}
}

// RecordEnd records that the end of the order is being appended. reason is empty
// if the order succeeded.
//
// Without a delay, an engine that rejects or loses each order immediately would
// receive orders, and the log records, as fast as both respond. Each consecutive
// failure for the same spec doubles the delay.
func (p *Progress) RecordEnd(open *fold.OpenOrder, reason string, now time.Duration) {
	again := p.OrderID == open.ID && p.EndAppended
	p.OrderID, p.EndAppended, p.EndReason = open.ID, true, reason
	switch {
	case again:
	case reason == "":
		p.Failures = 0
	case p.FailedSpec != open.Spec:
		p.Failures = 1
	default:
		p.Failures++
	}
	p.FailedSpec, p.FailedAt = open.Spec, now
}

// retryAt returns when the failed spec may be ordered again.
func (p *Progress) retryAt() time.Duration {
	if p.Failures == 0 {
		return 0
	}
	return p.FailedAt + min(retryDelay<<min(p.Failures-1, 8), maxRetryDelay)
}

// ResetFor clears the fields about an order other than open. It keeps
// InFlightUntil, as copies of the previous order may still arrive, and the
// failures, which span orders.
func (p *Progress) ResetFor(open *fold.OpenOrder) {
	if open != nil && open.ID == p.OrderID {
		return
	}
	*p = Progress{JoinedAt: p.JoinedAt, JoinedVersion: p.JoinedVersion, InFlightUntil: p.InFlightUntil, FailedSpec: p.FailedSpec, FailedAt: p.FailedAt, Failures: p.Failures}
}

// decideNew compares the engine's reported state with the desired spec. An engine
// that restarts with an old spec is therefore brought back to the desired one.
func decideNew(in Input) Decision {
	load := changesWeights(in.Observed.Spec, in.Desired)
	switch {
	case !in.HasDesired:
		return wait("nothing is asked of it")
	case in.Now < in.Progress.InFlightUntil:
		return wait("a copy of the last order may be on its way")
	case in.Observed.Leaving:
		return wait("engine is leaving")
	case in.Observed.Changing:
		return wait("engine is changing")
	case in.Observed.Spec == in.Desired:
		return wait("engine is as it should be")
	case in.Desired == in.Progress.FailedSpec && in.Now < in.Progress.retryAt():
		return wait("the last order for this failed")
	case load && in.Ahead >= in.Slots:
		return wait("weight store is taken")
	}
	return Decision{Action: AppendOrder, Reason: "engine differs", Spec: in.Desired, Load: load}
}

// changesWeights reports whether a change reads from the weight store.
func changesWeights(from, to port.EngineSpec) bool {
	return from.Model != to.Model || from.Version != to.Version || from.Adapter != to.Adapter
}
