package daemon

import (
	"context"
	"time"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/peer/peerpb"
	"github.com/pomelospool/pomelospool/process/record"
	"github.com/pomelospool/pomelospool/process/saved"
)

// savedRefresh is the interval at which saved crashes are appended again. A log keeps its
// records for longer.
const savedRefresh = time.Hour

// wireSaved has crashes and convictions kept in the log, for the loss of all daemons.
func (d *Daemon) wireSaved() {
	keep := func(stream string, state saved.State) {
		d.saved = append(d.saved, saved.New(saved.Options{
			Records: saved.InStream(d.platform.log, stream, d.self),
			State:   state,
			Key:     d.self,
			MayLead: d.mayRestore,
			Live:    d.liveDaemons,
			Refresh: savedRefresh,
		}))
	}
	keep(record.RequestCrashes, d.crashes.CrashTracker)
	keep(record.PartCrashes, d.crashes.Parts())
}

// mayRestore reports whether this daemon reads what lost daemons have saved. It does once
// it has run for long enough to receive heartbeats from all live daemons.
func (d *Daemon) mayRestore() bool {
	rank, _ := d.members.View().Rank()
	return rank == 0 && d.members.Uptime() > unknownHolderFactor*d.s.Control.DeadAfter
}

// liveDaemons returns when the live daemons started, by their incarnations.
func (d *Daemon) liveDaemons() map[string]time.Time {
	view := d.members.View()
	out := map[string]time.Time{d.self: time.UnixMilli(int64(view.Self.StartedMs))}
	for _, m := range view.Members {
		if m.Member.StartedMs > 0 && m.Member.State != peerpb.Member_DEAD {
			out[m.Member.Incarnation] = time.UnixMilli(int64(m.Member.StartedMs))
		}
	}
	return out
}

// saveCrashes keeps in the log what must outlive the loss of all daemons.
func (d *Daemon) saveCrashes() error {
	ctx := d.tomb.Context(context.Background())
	for pause.For(ctx, saved.Interval(1, d.s.Control.OnceAppendRate)) == nil {
		for _, k := range d.saved {
			k.Update(ctx)
		}
	}
	return nil
}
