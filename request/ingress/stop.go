package ingress

import (
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/request/dispatch"
	"github.com/pomelospool/pomelospool/version/route"
)

const (
	// stoppingRetryAfter is the Retry-After time of requests that are refused
	// because the process stops. It is short since other daemons can serve them.
	stoppingRetryAfter = 20 * time.Millisecond
	// allStoppingRetryAfter is used while all daemons are being stopped. The others
	// would refuse the request, too, and its caller might not try a third time.
	// Daemons start again within about that time.
	allStoppingRetryAfter = time.Second
	// lastAnswerTime is the time before a stop that is kept for error answers to the
	// calls that have no answer yet.
	lastAnswerTime = 150 * time.Millisecond
)

// plannedStop holds the times of a planned stop.
type plannedStop struct {
	end         time.Time // when open connections are closed
	lastArrival time.Time // until when callers can't know of the stop
}

// lastAnswer returns when calls without an answer get an error.
func (s *plannedStop) lastAnswer() time.Time { return s.end.Add(-lastAnswerTime) }

// StopAt announces that the process closes its connections at end. Until then every
// answer asks its caller to close the connection, and calls that may last longer are
// refused, so that another daemon can answer them. Calls that have no answer shortly
// before end are answered with an error.
//
// Callers that send before lastArrival can't know of the stop. While no other daemon
// serves, their requests are accepted even if the answers may be cut: a refused caller
// has nowhere else to go.
func (i *Ingress) StopAt(end, lastArrival time.Time) {
	stop := &plannedStop{end: end, lastArrival: lastArrival}
	i.stop.Store(stop)
	time.AfterFunc(time.Until(stop.lastAnswer()), i.endWaiting)
}

// mustRefuse reports whether a call is refused because of a planned stop.
//
// A call whose deadline passes before the stop ends by then, whatever its target does.
// An estimate from other answers is no such bound: the mix of lengths may change during
// the stop. Any other call is left to daemons that stay. While there are none, it is
// accepted if it can be answered: a plain call gets an error answer at last, but a stream
// can only be cut, which callers that may know of the stop needn't accept.
func (i *Ingress) mustRefuse(c *dispatch.Call) bool {
	stop := i.stop.Load()
	switch {
	case stop == nil || !c.Deadline.After(stop.lastAnswer()):
		return false
	case c.Forwarded || i.othersServe():
		return true
	case c.Route.Kind == route.Stream:
		return c.Arrived.After(stop.lastArrival)
	}
	return time.Until(stop.lastAnswer()) < c.Route.Objective
}

func (i *Ingress) othersServe() bool { return i.o.OthersServe == nil || i.o.OthersServe() }

// refuse returns the error for a call that may outlast the process.
func (i *Ingress) refuse(c *dispatch.Call) error {
	others, after := i.othersServe(), stoppingRetryAfter
	if !others {
		after = allStoppingRetryAfter
	}
	left := time.Until(i.stop.Load().end).Round(time.Millisecond)
	return code.New(code.Draining, "the daemon stops in %v, the call may take %v, others serve: %t", left, time.Until(c.Deadline).Round(time.Millisecond), others).WithRetryAfter(after)
}
