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
	// maxQueriedEngines is the maximum number of engines whose prefix caches a
	// daemon lists at its start. The call delays an engine's work slightly and
	// takes a connection. With more engines each daemon lists some and receives
	// the others in its peers' reports.
	maxQueriedEngines = 16
	// minQueriedShare is the minimum share of engines worth listing. Below it
	// the lists add little: prompts with common parts are routed to the same
	// engines by those parts, whether or not this daemon listed these engines.
	minQueriedShare = 0.05
	// queryJitter is the time over which the calls are spread.
	queryJitter = 300 * time.Millisecond
)

// loadPrefixCaches lists the prefix caches of the engines.
//
// Without it a restarted daemon takes every prompt to be uncached on all
// engines. After a restart of all daemons, half of the long prompts were
// refused or late for four seconds although the engines still had their
// prefixes cached.
func (d *Daemon) loadPrefixCaches() error {
	ctx := d.tomb.Context(context.Background())
	cfg := d.config.Load()
	for _, svc := range cfg.Services {
		if svc.Engine == nil {
			continue
		}
		all := d.registry.Snapshot().Targets[svc.Name].All()
		if float64(maxQueriedEngines) < minQueriedShare*float64(all.Len()) {
			continue
		}
		entries := slices.Clone(all.All())
		rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
		for _, e := range entries[:min(len(entries), maxQueriedEngines)] {
			d.tomb.Go(func() error {
				d.loadPrefixCache(ctx, svc, e)
				return nil
			})
		}
	}
	return nil
}

func (d *Daemon) loadPrefixCache(ctx context.Context, svc *route.Service, e *port.TargetEntry) {
	if pause.For(ctx, rand.N(queryJitter)) != nil {
		return
	}
	parts, err := d.control.CachedParts(ctx, e.Addr, e.ID)
	if err != nil {
		log.WithError(err).WithField("target", e.ID).Info("front: failed to list the prefix cache of an engine")
		return
	}
	d.engines.AddCached(e.ID, svc.Engine.KVTokens, parts)
	log.WithFields(log.Fields{"target": e.ID, "parts": len(parts)}).Info("front: listed the prefix cache of an engine")
}
