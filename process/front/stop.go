package front

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/process/roster"
)

const (
	// stopMargin is kept free before SIGKILL, for slow machines.
	stopMargin = 700 * time.Millisecond
	// broadcastTime is how long the other daemons may take to learn that this one
	// leaves, a lost datagram included.
	broadcastTime = 600 * time.Millisecond
	// stopPoll is the time between two looks at the open requests.
	stopPoll = 20 * time.Millisecond
)

// Shutdown is the planned stop. No request is cut: the daemon leaves the
// address answers and serves on until the answers that callers keep have
// expired. Each answer meanwhile asks its caller to leave the connection. Then
// it waits for open requests, and closes the connections last.
func (d *Daemon) Shutdown() error {
	begun := time.Now()
	limit := d.s.Bounds.Grace - stopMargin
	log.WithField("limit_ms", limit.Milliseconds()).Info("front: leaving")
	d.ingress.StopAt(begun.Add(limit))
	d.roster.SetState(roster.Leaving)
	d.planner.Release()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	_ = pause.For(ctx, min(keptFactor*addressTTL+broadcastTime, limit/2))
	_ = d.callers.http.Shutdown(ctx)
	for d.ingress.Open() > 0 && pause.For(ctx, stopPoll) == nil {
	}
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

// close ends every part at once.
func (d *Daemon) close() {
	d.stop.Do(func() {
		d.tomb.Kill(nil)
		d.closeServers()
		_ = d.planner.Stop()
		d.stopDuties()
		for _, f := range d.followers {
			_ = f.Stop()
		}
		_ = d.roster.Stop()
		d.pool.Close()
	})
}
