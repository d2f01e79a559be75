// Package usage counts the requests of each organisation and reports them to
// the platform, once for each window of time. Every daemon counts what its
// targets began to run and sends the counts to a few collectors, the daemons
// that may lead. The one that leads saves what it has collected to the store,
// agrees on a window's counts there, and only then reports them: any
// later report of the window states the same counts.
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
	// pushEvery is the time between two reports to the collectors: what a daemon
	// that is killed has counted since is lost.
	pushEvery = 250 * time.Millisecond
	// collectors is the number of daemons that collect the counts.
	collectors = 3
	// leadEvery is the time between two looks at what is to be reported.
	leadEvery = 250 * time.Millisecond
	// saveEvery is the time between two saves of what was collected.
	saveEvery = time.Second
	// waitShare is the part of the time until a report is due in which the
	// leader waits for the counts of daemons that don't answer.
	waitShare = 0.7
	// retryAfter is the pause after a report that failed.
	retryAfter = 500 * time.Millisecond
	// callTimeout bounds one report.
	callTimeout = time.Second
	// maxBehind is the number of windows that are reported after a time in
	// which nobody led.
	maxBehind = 24
)

// subject is what a claim to report is for.
const subject = "/usage"

var stats = expvar.NewMap("usage")

// Clock gives the estimated time of day.
type Clock interface{ Now() time.Time }

// Roster is what usage needs of the other daemons.
type Roster interface {
	MayLead() bool
	Leaders(n int) []roster.Member
	Members() []roster.Member
	SendUsage(data []byte, to string)
}

// Options of a Reporter. All are needed.
type Options struct {
	Self           Source
	Period         time.Duration // length of a window
	ReportDeadline time.Duration // after a window's end until its report is due
	Clock          Clock
	Roster         Roster
	Store          port.Store
	Claims         *claim.Claims // not shared with other goroutines
	Duties         port.Duties
}

// Reporter counts, collects and reports. Add and Receive are safe for
// concurrent use.
type Reporter struct {
	o       Options
	tomb    tomb.Tomb
	counter *counter
	ledger  *ledger

	mu     sync.Mutex
	pushed map[string]bool // collectors of the last report, by address

	// of the goroutine that leads
	loaded  bool  // what follows is what the store holds
	end     int64 // offset after the topic's newest record
	final   *finalRecord
	acked   int64 // newest window whose report was answered
	saved   int   // ledger's changes at the last save
	savedAt time.Time
	retryAt time.Time
}

// New returns a Reporter that doesn't run yet.
func New(o Options) *Reporter {
	return &Reporter{o: o, counter: newCounter(o.Self, o.Period, o.Clock.Now()), ledger: newLedger(), acked: -1}
}

// Start begins to report.
func (r *Reporter) Start() {
	r.tomb.Go(r.push)
	r.tomb.Go(r.lead)
}

// Stop ends all.
func (r *Reporter) Stop() error {
	r.tomb.Kill(nil)
	return r.tomb.Wait()
}

// Add counts a request of an organisation that a target began to run just now,
// or that long ago.
func (r *Reporter) Add(org string, ago time.Duration) {
	r.counter.add(org, r.o.Clock.Now().Add(-ago))
}

// Receive takes a report of another daemon.
func (r *Reporter) Receive(data []byte) error {
	u, err := decode(data)
	if err != nil {
		return err
	}
	r.ledger.merge(u)
	return nil
}

// Flush sends every count to the collectors now, as the last ones: this daemon
// stops.
func (r *Reporter) Flush() {
	r.counter.close()
	r.send(true)
}

// push sends this daemon's counts to the collectors.
func (r *Reporter) push() error {
	tick := time.NewTicker(pushEvery)
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

func (r *Reporter) send(all bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Clock.Now()
	to := make(map[string]bool)
	fresh := all
	for _, m := range r.o.Roster.Leaders(collectors) {
		to[m.PeerAddr] = m.VM == r.o.Self.VM
		fresh = fresh || !r.pushed[m.PeerAddr]
	}
	reports := r.counter.report(now, fresh)
	r.pushed = make(map[string]bool, len(to))
	for addr, own := range to {
		r.pushed[addr] = true
		for i := range reports {
			r.sendTo(addr, own, &reports[i])
		}
	}
	r.ledger.forget(r.counter.window(now) - maxBehind)
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
		r.o.Roster.SendUsage(data, addr)
	}
}

// lead reports while this daemon leads.
func (r *Reporter) lead() error {
	ctx := r.tomb.Context(context.Background())
	tick := time.NewTicker(leadEvery)
	defer tick.Stop()
	for {
		select {
		case <-r.tomb.Dying():
			return nil
		case <-tick.C:
		}
		if !r.o.Roster.MayLead() {
			r.loaded = false
			continue
		}
		err := r.step(ctx, r.o.Clock.Now())
		if errors.Is(err, claim.ErrHeld) {
			continue // another daemon reports, or did until now
		}
		if err != nil {
			stats.Add("failed", 1)
			r.retryAt = time.Now().Add(retryAfter)
			log.WithError(err).Warn("usage: not reported")
		}
	}
}

// step does what is due.
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
		window := r.next(now)
		if !r.ripe(window, now) {
			return r.save(ctx, window)
		}
		if err := r.agree(ctx, window); err != nil {
			return err
		}
	}
}

var errMoved = errors.New("usage: the topic moved on while it was read")

// load reads what earlier leaders left. Records and end belong together only if
// nothing was written while they were read.
func (r *Reporter) load(ctx context.Context) error {
	before, err := r.o.Store.Newest(ctx, port.TopicUsage, "")
	if err != nil {
		return err
	}
	page, err := r.o.Store.Newest(ctx, port.TopicUsage, "")
	if err != nil {
		return err
	}
	if before.End != page.End {
		return errMoved
	}
	if err := r.o.Claims.Sight(ctx, subject); err != nil {
		return err
	}
	r.end, r.final = page.End, nil
	for _, rec := range page.Records {
		switch rec.Key {
		case keyFinal:
			var f finalRecord
			if err := cbor.Unmarshal(rec.Value, &f); err != nil {
				return fmt.Errorf("usage: agreed counts at offset %d: %w", rec.Offset, err)
			}
			r.final = &f
		case keyRows:
			rows, err := decodeRows(rec.Value)
			if err != nil {
				return fmt.Errorf("at offset %d: %w", rec.Offset, err)
			}
			for i := range rows {
				r.ledger.merge(&rows[i])
			}
		}
	}
	r.loaded = true
	log.WithFields(log.Fields{"end": r.end, "agreed": r.final != nil}).Info("usage: leads")
	return nil
}

// next is the first window that isn't agreed.
func (r *Reporter) next(now time.Time) int64 {
	current := r.counter.window(now)
	if r.final != nil {
		return max(r.final.Window+1, current-maxBehind)
	}
	if oldest, any := r.ledger.oldest(); any {
		return min(oldest, current)
	}
	return current
}

// ripe reports whether a window's counts can be agreed: all daemons have stated
// theirs, or were waited for.
func (r *Reporter) ripe(window int64, now time.Time) bool {
	past := now.Sub(r.counter.end(window))
	if past < closeAfter {
		return false
	}
	members := r.o.Roster.Members()
	living := make([]Source, 0, len(members))
	for _, m := range members {
		living = append(living, Source{VM: m.VM, Incarnation: m.Incarnation})
	}
	missing, any := r.ledger.missing(window, living)
	if !any {
		return true
	}
	if past < time.Duration(waitShare*float64(r.o.ReportDeadline)) {
		return false
	}
	log.WithFields(log.Fields{"window": window, "vm": missing.VM}).Warn("usage: counts of a daemon are missing")
	stats.Add("incomplete", 1)
	return true
}

// agree writes a window's counts, from which on they stand. After an error the
// record may stand all the same, so the store is read again.
func (r *Reporter) agree(ctx context.Context, window int64) error {
	f := &finalRecord{Window: window, Counts: r.ledger.sum(window)}
	value, err := cbor.Marshal(f)
	if err != nil {
		return fmt.Errorf("usage: %w", err)
	}
	if err := r.put(ctx, keyFinal, value); err != nil {
		return err
	}
	r.final = f
	log.WithFields(log.Fields{"window": window, "requests": f.Counts.total(), "organisations": len(f.Counts)}).Info("usage: counts agreed")
	return nil
}

// save writes what was collected from a window on, for the case that all
// collectors are killed.
func (r *Reporter) save(ctx context.Context, from int64) error {
	if time.Since(r.savedAt) < saveEvery {
		return nil
	}
	rows, changes := r.ledger.rows(from)
	if changes == r.saved {
		return nil
	}
	value, err := encodeRows(rows)
	if err != nil {
		return err
	}
	if err := r.put(ctx, keyRows, value); err != nil {
		return err
	}
	r.saved, r.savedAt = changes, time.Now()
	return nil
}

// put writes a record if no other daemon has written since.
func (r *Reporter) put(ctx context.Context, key string, value []byte) error {
	offset, err := r.o.Store.PutAt(ctx, port.TopicUsage, key, value, r.end)
	if err != nil {
		r.loaded = false
		return err
	}
	r.end = offset + 1
	return nil
}

// report sends the agreed counts.
func (r *Reporter) report(ctx context.Context) error {
	held, err := r.o.Claims.Get(ctx, subject)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = r.o.Duties.ReportUsage(ctx, port.DutyCall{Holder: r.o.Self.VM, Fence: held.Fence}, r.final.Window, r.final.Counts)
	switch {
	case errors.Is(err, port.ErrFenced):
		r.o.Claims.Drop(subject)
		return err
	case errors.Is(err, port.ErrInvalid):
		log.WithError(err).WithField("window", r.final.Window).Error("usage: report rejected")
	case err != nil:
		return err
	}
	r.acked = r.final.Window
	stats.Add("reported", 1)
	log.WithFields(log.Fields{"window": r.acked, "fence": held.Fence}).Info("usage: reported")
	return nil
}
