package front

import (
	"context"
	"fmt"
	"time"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/saved"
)

// keep has a part of the daemon's state kept in the store.
func (d *Daemon) keep(topic port.Topic, state saved.State) {
	d.saved = append(d.saved, saved.New(saved.Options{
		Records: saved.InTopic(d.monitored, topic),
		State:   state,
		Key:     savedKey(d.s.VM, d.incarnation),
		MayLead: func() bool { return d.roster.MayLead() },
		Live:    d.liveDaemons,
	}))
}

func savedKey(vm string, incarnation uint64) string { return fmt.Sprintf("%s/%x", vm, incarnation) }

// liveDaemons returns the keys of the live daemons' records and when the daemons started.
func (d *Daemon) liveDaemons() map[string]time.Time {
	out := make(map[string]time.Time)
	for _, m := range d.roster.Members() {
		out[savedKey(m.VM, m.Incarnation)] = time.Unix(0, int64(m.Incarnation))
	}
	return out
}

// saveState keeps in the store what must outlive the loss of all daemons.
func (d *Daemon) saveState() error {
	ctx := d.tomb.Context(context.Background())
	for pause.For(ctx, saved.Interval(d.roster.FleetSize(), d.s.Store.WritesPerSecond)) == nil {
		for _, k := range d.saved {
			k.Update(ctx)
		}
	}
	return nil
}
