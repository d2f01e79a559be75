// Package usage counts the requests of each organisation and reports them to the
// platform, once for each time window. Every daemon counts the requests that its
// targets started to run, and sends the counts to a few collectors, which are the
// daemons that may become leader. The leader saves the collected counts to the
// store. It writes the final counts of a window there before it reports them, so
// that any later report of the window states the same counts.
package usage

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"gopkg.in/tomb.v2"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/claim"
	"github.com/pomelospool/pomelospool/process/roster"
)

const (
	// pushInterval is the time between two reports to the collectors. A daemon that
	// is killed loses what it has counted since the last one.
	pushInterval = 250 * time.Millisecond
	// collectors is the number of daemons that collect counts.
	collectors = 3
	// leaderInterval is the time between two steps of the leader.
	leaderInterval = 250 * time.Millisecond
	// saveInterval is the time between two saves of the collected counts.
	saveInterval = time.Second
	// waitFraction is the fraction of Options.ReportDeadline for which the leader
	// waits for missing counts.
	waitFraction = 0.7
	// retryDelay is the pause after a failed step of the leader.
	retryDelay = 500 * time.Millisecond
	// callTimeout limits one report to the platform.
	callTimeout = time.Second
	// maxBacklog limits the windows that are reported after a time without a
	// leader.
	maxBacklog = 24
)

// subject is the subject of the claim that the reporting daemon holds.
const subject = "/usage"

var stats = expvar.NewMap("usage")

// Clock returns the estimated time of day.
type Clock interface{ Now() time.Time }

// Roster provides the other daemons and sends messages to them.
type Roster interface {
	MayLead() bool
	Leaders(n int) []roster.Member
	Members() []roster.Member
	SendUsage(data []byte, to string)
}

// Options configures a Reporter. All fields are required.
type Options struct {
	Self           Source
	Period         time.Duration // length of a window
	ReportDeadline time.Duration // from a window's end until its report is due
	Clock          Clock
	Roster         Roster
	Store          port.Store
	Claims         *claim.Claims // not shared with other goroutines
	Duties         port.Duties
}

// Reporter counts requests, collects the counts of other daemons and reports
// them. Add and Receive are safe for concurrent use.
type Reporter struct {
	opts    Options
	tomb    tomb.Tomb
	counter *counter
	ledger  *ledger

	handOvers chan chan struct{} // requests to runLeader; each is closed when done

	mu             sync.Mutex
	lastCollectors map[string]bool // collectors that got the last report, by address

	// The fields below are used only by the goroutine of runLeader.
	loaded        bool  // end and final match the store
	end           int64 // offset after the topic's newest record
	final         *finalRecord
	acked         int64 // newest window whose report was accepted or rejected as invalid
	savedRevision int   // revision of the ledger at the last save
	savedAt       time.Time
	retryAt       time.Time
}

// New returns a Reporter. Start starts it.
func New(o Options) *Reporter {
	return &Reporter{opts: o, counter: newCounter(o.Self, o.Period, o.Clock.Now()), ledger: newLedger(), handOvers: make(chan chan struct{}), acked: -1}
}

// Start starts the goroutines that send and report counts.
func (r *Reporter) Start() {
	r.tomb.Go(r.runPush)
	r.tomb.Go(r.runLeader)
}

// Stop stops the Reporter and waits for its goroutines.
func (r *Reporter) Stop() error {
	r.tomb.Kill(nil)
	return r.tomb.Wait()
}

// Add counts a request of an organisation that a target started to run the given
// duration ago.
func (r *Reporter) Add(org string, ago time.Duration) {
	r.counter.add(org, r.opts.Clock.Now().Add(-ago))
}

// Receive merges a report of another daemon.
func (r *Reporter) Receive(data []byte) error {
	u, err := decode(data)
	if err != nil {
		return err
	}
	r.ledger.merge(u)
	return nil
}

// Flush closes all windows and sends every count to the collectors. It is called
// when the daemon stops, and takes no longer than handOverTimeout.
func (r *Reporter) Flush() {
	r.counter.close()
	r.send(true)
	r.requestHandOver()
}

// runPush sends the counts of this daemon to the collectors periodically.
func (r *Reporter) runPush() error {
	tick := time.NewTicker(pushInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.tomb.Dying():
			return nil
		case <-tick.C:
			r.send(false)
		}
	}
}

// send sends the changed counts to the collectors, or every count if all is set
// or a collector is new.
func (r *Reporter) send(all bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Clock.Now()
	to := make(map[string]bool)
	full := all
	for _, m := range r.collectors() {
		to[m.PeerAddr] = m.VM == r.opts.Self.VM
		full = full || !r.lastCollectors[m.PeerAddr]
	}
	reports := r.counter.report(now, full)
	r.lastCollectors = make(map[string]bool, len(to))
	for addr, own := range to {
		r.lastCollectors[addr] = true
		for i := range reports {
			r.sendTo(addr, own, &reports[i])
		}
	}
	r.ledger.prune(r.counter.window(now) - maxBacklog)
}

func (r *Reporter) sendTo(addr string, own bool, u *update) {
	if own {
		r.ledger.merge(u)
		return
	}
	messages, err := encode(u)
	if err != nil {
		log.WithError(err).Error("usage: counts not sent")
		return
	}
	for _, data := range messages {
		r.opts.Roster.SendUsage(data, addr)
	}
}

// runLeader runs the steps of the leader while this daemon may lead.
func (r *Reporter) runLeader() error {
	ctx := r.tomb.Context(context.Background())
	tick := time.NewTicker(leaderInterval)
	defer tick.Stop()
	for {
		select {
		case <-r.tomb.Dying():
			return nil
		case saved := <-r.handOvers:
			r.handOver(ctx)
			close(saved)
			continue
		case <-tick.C:
		}
		var err error
		if r.opts.Roster.MayLead() {
			err = r.step(ctx, r.opts.Clock.Now())
		} else if _, first := r.collectsLeaving(); first {
			err = r.saveForSuccessors(ctx, r.opts.Clock.Now())
		} else {
			r.loaded = false
			continue
		}
		if errors.Is(err, claim.ErrHeld) {
			continue // another daemon holds the claim, or its claim hasn't expired
		}
		if err != nil {
			stats.Add("failed", 1)
			r.retryAt = time.Now().Add(retryDelay)
			log.WithError(err).Warn("usage: reporting failed; retrying")
		}
	}
}

// step loads the stored state if necessary, reports all windows that are ready
// and saves the counts of the others.
func (r *Reporter) step(ctx context.Context, now time.Time) error {
	if time.Now().Before(r.retryAt) {
		return nil
	}
	if !r.loaded {
		if err := r.load(ctx); err != nil {
			return err
		}
	}
	for {
		if r.final != nil && r.final.Window > r.acked {
			if err := r.report(ctx); err != nil {
				return err
			}
		}
		window := r.nextWindow(now)
		if !r.ready(window, now) {
			return r.save(ctx, window)
		}
		if err := r.finalize(ctx, window); err != nil {
			return err
		}
	}
}

// nextWindow returns the first window whose counts aren't final, at most
// maxBacklog windows back after a final one.
func (r *Reporter) nextWindow(now time.Time) int64 {
	current := r.counter.window(now)
	if r.final != nil {
		return max(r.final.Window+1, current-maxBacklog)
	}
	if oldest, found := r.ledger.oldest(); found {
		return min(max(oldest, current-maxBacklog), current)
	}
	return current
}

// ready reports whether a window's counts can become final: all daemons have
// reported theirs, or the wait for them is over.
func (r *Reporter) ready(window int64, now time.Time) bool {
	past := now.Sub(r.counter.end(window))
	if past < closeDelay {
		return false
	}
	members := r.opts.Roster.Members()
	live := make([]Source, 0, len(members))
	for _, m := range members {
		live = append(live, Source{VM: m.VM, Incarnation: m.Incarnation})
	}
	missing, found := r.ledger.incompleteSource(window, live)
	if !found {
		return true
	}
	if past < time.Duration(waitFraction*float64(r.opts.ReportDeadline)) {
		return false
	}
	log.WithFields(log.Fields{"window": window, "vm": missing.VM}).Warn("usage: the counts of a daemon are missing; continuing without them")
	stats.Add("incomplete", 1)
	return true
}

// finalize writes a window's final counts. The record may have been written
// despite an error, so the store is read again after one.
func (r *Reporter) finalize(ctx context.Context, window int64) error {
	f := &finalRecord{Window: window, Counts: r.ledger.sum(window)}
	value, err := cbor.Marshal(f)
	if err != nil {
		return fmt.Errorf("usage: %w", err)
	}
	if err := r.put(ctx, keyFinal, value); err != nil {
		return err
	}
	r.final = f
	log.WithFields(log.Fields{"window": window, "requests": f.Counts.total(), "organisations": len(f.Counts)}).Info("usage: counts are final")
	return nil
}

// report reports the final counts to the platform.
func (r *Reporter) report(ctx context.Context) error {
	held, err := r.opts.Claims.Get(ctx, subject)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = r.opts.Duties.ReportUsage(ctx, port.DutyCall{Holder: r.opts.Self.VM, Fence: held.Fence}, r.final.Window, r.final.Counts)
	switch {
	case errors.Is(err, port.ErrFenced):
		r.opts.Claims.Drop(subject)
		return err
	case errors.Is(err, port.ErrInvalid):
		log.WithError(err).WithField("window", r.final.Window).Error("usage: the platform rejected the report")
	case err != nil:
		return err
	}
	r.acked = r.final.Window
	stats.Add("reported", 1)
	log.WithFields(log.Fields{"window": r.acked, "fence": held.Fence}).Info("usage: reported")
	return nil
}
