package daemon

import (
	"context"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/request/once"
	"github.com/pomelospool/pomelospool/request/quarantine"
)

// Until the at-most-once keeper and the quarantine are wired, non-idempotent
// calls are refused, truly not run, and no content is under suspicion.

type noOnce struct{}

func (d *Daemon) newOnceKeeper() onceKeeper { return noOnce{} }

func (noOnce) Begin(context.Context, once.Call) (once.Ticket, *once.Answer, error) {
	return nil, nil, code.New(code.OnceUnavailable, "not wired").After(time.Second)
}
func (noOnce) Start()      {}
func (noOnce) Stop() error { return nil }
func (noOnce) HandlePropose(context.Context, *peerpb.ProposeRequest) (*peerpb.ProposeReply, error) {
	return &peerpb.ProposeReply{}, nil
}
func (noOnce) HandleLookup(context.Context, *peerpb.LookupRequest) (*peerpb.LookupReply, error) {
	return &peerpb.LookupReply{}, nil
}

type noCrashes struct{}

func (d *Daemon) newCrashTracker() crashTracker { return noCrashes{} }

func (noCrashes) Check(uint64) (quarantine.Standing, time.Duration) { return quarantine.Clear, 0 }
func (noCrashes) Begin(uint64, string)                              {}
func (noCrashes) End(uint64, string)                                {}
func (noCrashes) Crashed(string)                                    {}
func (noCrashes) Outgoing() []*peerpb.Conviction                    { return nil }
func (noCrashes) Incoming([]*peerpb.Conviction)                     {}
