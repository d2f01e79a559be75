package fold

import "github.com/pomelospool/pomelospool/process/record"

// order opens an order if it was decided under the current claim of its group,
// the engine has no open order, and none has ended since the decision.
//
// These conditions prevent conflicting orders. An order of a process that lost
// the group is void although it is in the log. An engine has at most one open
// order, whichever process decided it, so a successor must end that order
// first. A duplicate that arrives after its order ended names an earlier end
// and is void.
func (s *State) order(offset int64, id string, o record.Order) {
	lease, ok := s.Leases[o.Group]
	if !ok || lease.Claim != o.Claim || lease.Released {
		return
	}
	e := s.Engines[o.Engine]
	if o.Engine == "" || e.Open != nil || o.After != s.LastEndedOrder(o.Engine) {
		return
	}
	e.Open = &OpenOrder{
		ID:     id,
		Group:  o.Group,
		Claim:  o.Claim,
		Offset: offset,
		Addr:   o.Addr,
		Spec:   o.Spec,
		Load:   o.Load,
		Reason: o.Reason,
	}
	s.Engines[o.Engine] = e
}

// orderDone ends the open order that the record names, if the writer still
// holds its group and no version has come into force since the decision.
//
// A process may see an order completed, be paused, and record the end after a
// successor or a new document has taken over. Meanwhile the engine may have
// crashed and lost the order, while a duplicate of it is still in flight. That
// duplicate would take effect after the next order.
func (s *State) orderDone(offset int64, d record.OrderDone) {
	e := s.Engines[d.Engine]
	if e.Open == nil || e.Open.ID != d.Order {
		return
	}
	l := s.Leases[d.Group]
	if l.Claim != d.Claim || l.Released || d.Changed != s.Changed {
		return
	}
	s.Engines[d.Engine] = EngineOrders{Done: &EndedOrder{
		ID:     d.Order,
		Offset: offset,
		Spec:   e.Open.Spec,
		Detail: d.Detail,
	}}
	s.dropOldestEngine()
}

// dropOldestEngine keeps at most MaxEngines engines. It drops the engine whose
// order ended longest ago and that has no open order.
func (s *State) dropOldestEngine() {
	if len(s.Engines) <= MaxEngines {
		return
	}
	oldest := ""
	for id, e := range s.Engines {
		if e.Open == nil && (oldest == "" || e.Done.Offset < s.Engines[oldest].Done.Offset) {
			oldest = id
		}
	}
	delete(s.Engines, oldest)
}
