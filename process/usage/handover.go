package usage

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/process/roster"
)

const (
	// handOverTimeout bounds the last save of a daemon that stops. It must fit into
	// the time that a stop has after its last request.
	handOverTimeout = 250 * time.Millisecond
	// handOverRetry is the pause after a failed attempt, such as a conflict with
	// another daemon that stops.
	handOverRetry = 15 * time.Millisecond
)

// collectors returns the daemons that collect counts, the leader first. If no daemon
// can lead, those that are stopped as planned collect for their successors.
func (r *Reporter) collectors() []roster.Member {
	if leaders := r.opts.Roster.Leaders(collectors); len(leaders) > 0 {
		return leaders
	}
	leaving := slices.DeleteFunc(r.opts.Roster.Members(), func(m roster.Member) bool { return m.State != roster.Leaving })
	slices.SortFunc(leaving, func(a, b roster.Member) int { return cmp.Compare(a.VM, b.VM) })
	return leaving[:min(len(leaving), collectors)]
}

// collectsLeaving reports whether this daemon is stopped as planned and collects, since
// no daemon can lead, and whether it is the first of those.
func (r *Reporter) collectsLeaving() (collects, first bool) {
	i := slices.IndexFunc(r.collectors(), func(m roster.Member) bool {
		return m.VM == r.opts.Self.VM && m.State == roster.Leaving
	})
	return i >= 0, i == 0
}

// saveForSuccessors saves the collected counts while no daemon can lead.
func (r *Reporter) saveForSuccessors(ctx context.Context, now time.Time) error {
	if time.Now().Before(r.retryAt) {
		return nil
	}
	if !r.loaded {
		if err := r.load(ctx); err != nil {
			return err
		}
	}
	return r.save(ctx, r.nextWindow(now))
}

// handOver saves the collected counts at the end of this daemon. It is run by the
// goroutine of runLeader.
func (r *Reporter) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for {
		r.savedAt, r.retryAt = time.Time{}, time.Time{}
		err := r.saveForSuccessors(ctx, r.opts.Clock.Now())
		if err == nil {
			return
		}
		if pause.For(ctx, handOverRetry) != nil {
			log.WithError(err).Warn("usage: counts not saved at the stop")
			return
		}
	}
}

// requestHandOver makes the goroutine of runLeader save the collected counts if this
// daemon collects them for its successors, and waits for that.
func (r *Reporter) requestHandOver() {
	if collects, _ := r.collectsLeaving(); !collects {
		return
	}
	timeout := time.NewTimer(handOverTimeout)
	defer timeout.Stop()
	saved := make(chan struct{})
	select {
	case r.handOvers <- saved:
	case <-timeout.C:
		log.Warn("usage: counts not saved at the stop: a call to the store is still open")
		return
	case <-r.tomb.Dying():
		return
	}
	select {
	case <-saved:
	case <-timeout.C:
	}
}
