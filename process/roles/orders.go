package roles

import (
	"context"
	"errors"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/claim"
	"github.com/pomelospool/pomelospool/version/route"
)

// orderResult is the outcome of one order.
type orderResult struct {
	Move
	err error
}

// sendOrders sends the orders concurrently, since one without an answer would delay
// the others by its timeout. If an engine doesn't obey, the next plan may follow at
// once and move other engines instead.
func (p *Planner) sendOrders(ctx context.Context, svc *route.Service, moves []Move, held claim.Claim) {
	begun := p.o.Clock.Now()
	results := make(chan orderResult, len(moves))
	for _, m := range moves {
		e, ok := p.o.Targets.Lookup(m.Target)
		if !ok {
			results <- orderResult{Move: m, err: errTargetNotFound}
			continue
		}
		go func() { results <- orderResult{Move: m, err: p.sendOrder(ctx, e, m.Role, held)} }()
	}
	all := true
	for range moves {
		all = p.recordResult(svc, <-results, held) && all
	}
	if all {
		p.lastPlanned[svc.Name] = begun
	} else {
		delete(p.lastPlanned, svc.Name)
	}
}

var errTargetNotFound = errors.New("roles: engine is no longer in the list of targets")

// recordResult records the result of one order. It reports whether the engine counts
// as obeying.
//
// It guards against a service without decoding engines. A daemon that has just started
// doesn't know which engines are carrying out earlier orders, and an order without an
// answer may still be carried out. Moving other engines instead could take all of them
// from decoding. An engine that is busy, or that may have left decoding, therefore
// counts as obeying until its change times out. Only an order to decode is replaced at
// once, since one decoding engine too many does no harm.
func (p *Planner) recordResult(svc *route.Service, r orderResult, held claim.Claim) bool {
	fields := log.Fields{"service": svc.Name, "target": r.Target, "role": r.Role, "fence": held.Fence, "why": r.Reason}
	now := p.o.Clock.Now()
	pending := change{role: r.Role, until: now + svc.Engine.RoleChangeTime + switchGrace}
	obeying := false
	switch {
	case r.err == nil:
		log.WithFields(fields).Info("roles: order succeeded")
		if r.Role == port.RolePrefill {
			pending.until += drainGrace
		}
		p.changing[r.Target] = pending
		p.o.Engines.SetRoleChange(r.Target, r.Role)
		return true
	case errors.Is(r.err, port.ErrFenced):
		p.claims.Drop(svc.Name)
		p.refusedUntil[r.Target] = now + refusalBackoff
	case errors.Is(r.err, port.ErrBusy), r.Role == port.RolePrefill:
		p.changing[r.Target] = pending
		obeying = true
	default:
		p.refusedUntil[r.Target] = now + refusalBackoff
	}
	log.WithFields(fields).WithError(r.err).Warn("roles: order failed")
	return obeying
}

// sendOrder reads the number of orders that the engine has accepted, and sends the
// order on the condition that the number is unchanged. An order that arrives late
// then has no effect after a newer one.
func (p *Planner) sendOrder(ctx context.Context, e port.TargetEntry, role port.Role, held claim.Claim) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	report, err := p.o.Control.Report(ctx, e.Addr, e.ID)
	if err != nil {
		return err
	}
	if report.Role == role && !report.Changing {
		return nil
	}
	if report.Changing {
		return port.ErrBusy
	}
	if p.o.Clock.Now() >= held.Until {
		return context.DeadlineExceeded
	}
	return p.o.Control.Order(ctx, port.RoleOrder{
		Target: e.ID, Addr: e.Addr, Role: role,
		Holder: p.o.Self, Fence: held.Fence, AcceptedOrders: report.AcceptedOrders,
	})
}
