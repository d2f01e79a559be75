package front

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/version/route"
)

const (
	// askAtStart is the most engines that a daemon asks at its start what they
	// keep. The question delays an engine's work a little, and takes a connection;
	// with more engines each daemon asks some, and learns of the others from the
	// daemons' reports.
	askAtStart = 16
	// askShare is the least share of the engines that is worth asking: prompts meet
	// at engines that their parts name, whether this daemon has asked those or not.
	askShare = 0.05
	// askSpread is the time over which the questions are spread.
	askSpread = 300 * time.Millisecond
)

// warm asks the engines what they keep.
//
// Without it a daemon that was started again takes every prompt for new to
// all engines. After a kill of all daemons half of the long prompts were
// refused or late for four seconds, though the engines kept their prefixes.
func (d *Daemon) warm() error {
	ctx := d.tomb.Context(context.Background())
	cfg := d.config.Load()
	for _, svc := range cfg.Services {
		if svc.Engine == nil {
			continue
		}
		all := d.registry.Snapshot().Targets[svc.Name].All()
		if float64(askAtStart) < askShare*float64(all.Len()) {
			continue
		}
		entries := slices.Clone(all.All())
		rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
		for _, e := range entries[:min(len(entries), askAtStart)] {
			d.tomb.Go(func() error {
				d.ask(ctx, svc, e)
				return nil
			})
		}
	}
	return nil
}

func (d *Daemon) ask(ctx context.Context, svc *route.Service, e *port.TargetEntry) {
	if pause.For(ctx, rand.N(askSpread)) != nil {
		return
	}
	parts, err := d.control.Kept(ctx, e.Addr, e.ID)
	if err != nil {
		log.WithError(err).WithField("target", e.ID).Info("front: prefix cache of an engine not listed")
		return
	}
	d.engines.AddCached(e.ID, svc.Engine.KVTokens, parts)
	log.WithFields(log.Fields{"target": e.ID, "parts": len(parts)}).Info("front: prefix cache of an engine listed")
}
