package front

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/internal/shutdown"
	"github.com/pomelospool/pomelospool/process/roster"
)

const (
	// stopMargin is reserved before SIGKILL, for slow machines.
	stopMargin = 700 * time.Millisecond
	// broadcastTime is the time in which the other daemons learn that this one
	// is leaving, including the loss of one datagram.
	broadcastTime = 600 * time.Millisecond
	// signalDelay is how much earlier than the stop begins its signal may have been sent.
	signalDelay = 200 * time.Millisecond
	// stopPoll is the interval between two checks of the number of open
	// requests.
	stopPoll = 20 * time.Millisecond
)

// lastArrival returns until when requests may come from callers that can't know of a stop.
func lastArrival(begun time.Time, limit time.Duration) time.Time {
	return begun.Add(min(addressCacheFactor*addressTTL, limit/2) - signalDelay)
}

// shutdown runs the steps of a planned stop. The daemon is removed from address
// answers and keeps serving until the answers that callers have cached expire.
// Meanwhile each answer asks its caller to close the connection. Then it
// waits for open requests and closes the connections last. Requests that are
// still open at the end of the grace period are cut.
func (d *Daemon) shutdown(steps *shutdown.Sequence) error {
	begun := time.Now()
	limit := d.s.Bounds.Grace - stopMargin
	log.WithField("limit_ms", limit.Milliseconds()).Info("front: leaving")
	d.ingress.StopAt(begun.Add(limit), lastArrival(begun, limit))
	steps.Step("leaving", func() {
		d.roster.SetState(roster.Leaving)
		d.planner.Release()
	})
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	steps.Step("addresses", func() { _ = pause.For(ctx, min(addressCacheFactor*addressTTL+broadcastTime, limit/2)) })
	steps.Step("drain", func() {
		_ = d.callers.drain.Shutdown(ctx, d.callers.l)
		for d.ingress.Open() > 0 && pause.For(ctx, stopPoll) == nil {
		}
		d.drainInternal(ctx)
	})
	steps.Step("usage", d.flushUsage)
	steps.Step("origins", d.origins.HandOver)
	if n := d.ingress.Open(); n > 0 {
		log.WithField("open", n).Warn("front: requests cut at the end of the grace time")
	}
	d.closeParts(steps)
	var err error
	steps.Step("goroutines", func() { err = d.tomb.Wait() })
	log.WithFields(steps.Durations()).WithField("ms", time.Since(begun).Milliseconds()).Info("front: stopped")
	return err
}
