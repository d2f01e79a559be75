package budget

import "time"

// Call is the part of a budget that one request uses. It is used by a single
// goroutine, but for what a Fleet does with its sends.
//
// An extra send counts from the decision to make it until a window after it is
// known that targets have received all of the request's sends. A target that
// stands still may receive a send long after it was made, and the first one
// after the one that repeats it.
type Call struct {
	fleet   *Fleet
	service string
	ratio   float64

	// The fields below are guarded by Fleet.mu.
	charges int     // extra sends that the call may make, or has made
	written int     // sends that targets may have received
	counted int     // extra sends that have been settled
	pending int     // sends of which that isn't known
	sending bool    // the call may make further sends that are paid for
	lost    []*Send // sends that were given up before the call had a charge
}

// Send is one send of a call to a target.
type Send struct {
	call   *Call
	addr   string
	began  time.Duration
	lostAt time.Duration
	known  bool // what became of the send; guarded by Fleet.mu
}

// NewCall counts a request of the service.
func (f *Fleet) NewCall(service string) *Call {
	f.request(service)
	return f.NewForwardedCall(service)
}

// NewForwardedCall is like NewCall for a request that the daemon that forwarded
// it has counted.
func (f *Fleet) NewForwardedCall(service string) *Call {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &Call{fleet: f, service: service, ratio: f.ratio}
}

// SetRatio replaces the Fleet's ratio for this call's decisions. All calls of a
// service should have the same one.
func (c *Call) SetRatio(ratio float64) { c.ratio = ratio }

// Take reports whether the call may make n extra sends, and charges them if so.
// It returns the state that decided this, without the n sends.
func (c *Call) Take(n int) (bool, State) { return c.takeShare(n, SpendableShare) }

// TakeDeferrable is like Take for sends that leave a part of the limit to others.
func (c *Call) TakeDeferrable(n int) (bool, State) { return c.takeShare(n, deferrableShare) }

func (c *Call) takeShare(n int, share float64) (bool, State) {
	f := c.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	f.expireLost(now)
	s, ok := f.take(c.service, c.ratio, share, n, now)
	if !ok {
		return false, s
	}
	c.charges += n
	c.sending = true
	for _, l := range c.lost {
		f.addLost(l)
	}
	c.lost = nil
	return true, s
}

// Begin returns a Send of the call to the target at addr. The caller must report
// the outcome of the send by exactly one of its methods.
func (c *Call) Begin(addr string) *Send {
	f := c.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	c.pending++
	return &Send{call: c, addr: addr, began: f.clock()}
}

// MayHaveSent reports whether a target may have received the call.
func (c *Call) MayHaveSent() bool {
	c.fleet.mu.Lock()
	defer c.fleet.mu.Unlock()
	return c.written > 0
}

// SentAll states that all sends that the call was charged for have been made, or
// won't be. Further ones have to be taken again.
func (c *Call) SentAll() {
	f := c.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	c.sending = false
	f.settle(c)
}

// Received reports that the target has received the send, or will never do so
// because it has closed the connection.
func (s *Send) Received() {
	f := s.call.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	s.call.written++
	f.resolve(s)
}

// Answered reports that the target has answered the send. It has then also
// received what was sent to it before.
func (s *Send) Answered() {
	s.Received()
	f := s.call.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resolveBefore(s.addr, s.began)
}

// Failed reports that the send got no answer. settled states that the target won't
// receive it any more.
func (s *Send) Failed(unwritten, settled bool) {
	switch {
	case unwritten:
		s.NotWritten()
	case settled:
		s.Received()
	default:
		s.Lost()
	}
}

// NotWritten reports that nothing was sent.
func (s *Send) NotWritten() {
	f := s.call.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resolve(s)
}

// Lost reports that the send was given up without an answer. The target may
// receive it at any time.
func (s *Send) Lost() {
	c, f := s.call, s.call.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	c.written++
	s.lostAt = f.clock()
	if c.charges == 0 {
		c.lost = append(c.lost, s)
		return
	}
	f.addLost(s)
}

// maxLostWindows is the number of windows for which a send that was given up
// counts at most. It may never be received, if the target has lost power.
const maxLostWindows = 6

// addLost awaits what becomes of a send that was given up.
func (f *Fleet) addLost(s *Send) {
	f.lost[s.addr] = append(f.lost[s.addr], s)
	f.lostInOrder = append(f.lostInOrder, s)
}

// resolveBefore resolves the sends to addr that had been given up by then.
func (f *Fleet) resolveBefore(addr string, began time.Duration) {
	list := f.lost[addr]
	if len(list) == 0 {
		return
	}
	kept := list[:0]
	for _, s := range list {
		switch {
		case s.known:
		case s.lostAt <= began:
			f.resolve(s)
		default:
			kept = append(kept, s)
		}
	}
	if f.lost[addr] = kept; len(kept) == 0 {
		delete(f.lost, addr)
	}
}

// expireLost resolves the sends that were given up too long ago.
func (f *Fleet) expireLost(now time.Duration) {
	for len(f.lostInOrder) > 0 {
		s := f.lostInOrder[0]
		if !s.known && now-s.lostAt < maxLostWindows*f.w.span {
			return
		}
		f.lostInOrder = f.lostInOrder[1:]
		f.resolveBefore(s.addr, s.lostAt)
	}
}

// resolve records that it is known what became of a send.
func (f *Fleet) resolve(s *Send) {
	if s.known {
		return
	}
	s.known = true
	s.call.pending--
	f.settle(s.call)
}

// settle lets the charges of a call expire once all of its sends are known. Of
// the sends that targets received, the first isn't extra.
func (f *Fleet) settle(c *Call) {
	if c.sending || c.pending > 0 || c.charges == 0 {
		return
	}
	extra := min(c.charges, max(c.written-1-c.counted, 0))
	f.w.settle(c.service, c.charges, extra)
	c.charges, c.counted = 0, c.counted+extra
}
