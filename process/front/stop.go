package front

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/process/roster"
)

const (
	// stopMargin is reserved before SIGKILL, for slow machines.
	stopMargin = 700 * time.Millisecond
	// broadcastTime is the time in which the other daemons learn that this one
	// is leaving, including the loss of one datagram.
	broadcastTime = 600 * time.Millisecond
	// stopPoll is the interval between two checks of the number of open
	// requests.
	stopPoll = 20 * time.Millisecond
)

// Shutdown stops the daemon as planned. The daemon is removed from address
// answers and keeps serving until the answers that callers have cached expire.
// Meanwhile each answer asks its caller to close the connection. Then Shutdown
// waits for open requests and closes the connections last. Requests that are
// still open at the end of the grace period are cut.
func (d *Daemon) Shutdown() error {
	begun := time.Now()
	limit := d.s.Bounds.Grace - stopMargin
	log.WithField("limit_ms", limit.Milliseconds()).Info("front: leaving")
	d.ingress.StopAt(begun.Add(limit))
	d.roster.SetState(roster.Leaving)
	d.planner.Release()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	_ = pause.For(ctx, min(addressCacheFactor*addressTTL+broadcastTime, limit/2))
	d.ingress.Drain()
	_ = d.callers.drain.Shutdown(ctx, d.callers.l)
	for d.ingress.Open() > 0 && pause.For(ctx, stopPoll) == nil {
	}
	d.drainInternal(ctx)
	if d.usage != nil {
		d.usage.Flush()
	}
	if n := d.ingress.Open(); n > 0 {
		log.WithField("open", n).Warn("front: requests cut at the end of the grace time")
	}
	d.close()
	log.WithField("ms", time.Since(begun).Milliseconds()).Info("front: stopped")
	return d.tomb.Wait()
}

// close ends all parts immediately.
func (d *Daemon) close() {
	d.stopOnce.Do(func() {
		d.tomb.Kill(nil)
		d.endReads()
		d.closeServers()
		_ = d.planner.Stop()
		_ = d.links.Stop()
		d.forwarder.Close()
		d.stopDuties()
		for _, f := range d.followers {
			_ = f.Stop()
		}
		_ = d.roster.Stop()
		d.runner.Stop()
		d.pool.Close()
	})
}
