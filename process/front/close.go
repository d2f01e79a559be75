package front

import (
	"time"

	"github.com/pomelospool/pomelospool/internal/shutdown"
)

// exitMargin is what is left of the grace time when a stop that doesn't end is left
// behind. The last log lines are written in it.
const exitMargin = 300 * time.Millisecond

// Shutdown stops the daemon as planned. It returns before the end of the grace time,
// whatever the store, the platform and the targets do. After an error that wraps
// shutdown.ErrDeadline parts of the daemon still run, and the process must exit.
func (d *Daemon) Shutdown() error {
	var steps shutdown.Sequence
	grace := d.s.Bounds.Grace
	return steps.Within(grace-min(exitMargin, grace/4), func() error { return d.shutdown(&steps) })
}

// close ends all parts immediately.
func (d *Daemon) close() { d.closeParts(&shutdown.Sequence{}) }

func (d *Daemon) closeParts(steps *shutdown.Sequence) {
	d.stopOnce.Do(func() {
		d.tomb.Kill(nil)
		d.endReads()
		steps.Step("servers", d.closeServers)
		steps.Step("planner", func() { _ = d.planner.Stop() })
		steps.Step("links", func() { _ = d.links.Stop() })
		steps.Step("forwarder", d.forwarder.Close)
		steps.Step("duties", d.stopDuties)
		steps.Step("followers", d.stopFollowers)
		steps.Step("roster", func() { _ = d.roster.Stop() })
		steps.Step("runner", d.runner.Stop)
		steps.Step("pool", d.pool.Close)
	})
}

func (d *Daemon) stopFollowers() {
	for _, f := range d.followers {
		_ = f.Stop()
	}
}

// flushUsage sends what this daemon has counted to those that report it.
func (d *Daemon) flushUsage() {
	if d.usage != nil {
		d.usage.Flush()
	}
}
