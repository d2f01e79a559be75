package fold

import "github.com/pomelospool/pomelospool/process/record"

// order opens an order, if it was decided under the current claim of its
// group, no other order of the engine is open, and none ended since it was
// decided.
//
// The guard is against conflicting orders: an order of a process that lost the
// group is void although it stands in the log, and an engine has at most one
// open order whoever decided it, so a successor must end that one first. A
// copy that arrives after its order ended names an older end and is void.
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

// orderDone ends the open order that it names, if the writer still holds its
// group and no version came into force since it decided.
//
// The guard is against a process that saw the order carried out, was paused,
// and says so after a successor or a new document. The engine may have crashed
// meanwhile and know nothing of the order, of which a copy may be on its way:
// it would take effect after the next one.
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

// dropOldestEngine keeps at most MaxEngines engines. What goes is only the
// memory of an order that ended longest ago.
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
