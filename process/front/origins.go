package front

import (
	"context"
	"time"

	"github.com/pomelospool/pomelospool/connection/origin"
	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/clock"
	"github.com/pomelospool/pomelospool/process/relay"
	"github.com/pomelospool/pomelospool/process/versions"
)

// originInterval is the interval between two calls of origin.Tracker.Tick.
const originInterval = time.Second

// wireOrigins creates the tracker of the software versions at which streams began.
func (d *Daemon) wireOrigins() {
	history := origin.NewHistory(origin.HistoryOptions{
		Now:      clock.Boot{}.Now,
		Age:      func() (time.Duration, bool) { return d.caches[port.TopicTargets].Age() },
		MaxAge:   d.s.Bounds.Drain,
		Complete: d.s.Bootstrap,

		ReadDelay: relay.ReadDelay(d.s.Bounds.Drain),
	})
	d.versions = versions.New(versions.Options{Store: d.monitored, History: history, Lifetime: d.streamLifetime, MayLead: func() bool { return d.roster.MayLead() }})
	d.origins = origin.New(origin.Options{History: history, Peers: originPeers{d}, Lifetime: d.streamLifetime, Now: clock.Boot{}.Now,
		Confirm: d.confirmTargets})
}

// confirmTargets reports whether the store has no change of the targets that this
// daemon lacks.
func (d *Daemon) confirmTargets(ctx context.Context) bool { return d.targetsConfirmed.Check(ctx) }

// streamLifetime returns how long streams of a service are assumed to last, or 0 if
// they aren't taken up.
func (d *Daemon) streamLifetime(service string) time.Duration {
	cfg := d.config.Load()
	if cfg == nil {
		return origin.MaxLifetime
	}
	limit := cfg.StreamTimeout(service)
	if limit == 0 {
		return 0
	}
	return origin.Lifetime(limit)
}

// originPeers exchanges records through the roster, which is created later.
type originPeers struct{ d *Daemon }

func (p originPeers) ShareOrigins(records []origin.Record) { p.d.roster.ShareOrigins(records) }

func (p originPeers) AskOrigins(ctx context.Context, q origin.Query, handle func(origin.Reply) bool) {
	p.d.roster.AskOrigins(ctx, q, handle)
}

func (p originPeers) AskVersions(ctx context.Context, q origin.Query, handle func(origin.Reply) bool) {
	p.d.roster.AskVersions(ctx, q, handle)
}

// trackOrigins keeps the tracker up to date.
func (d *Daemon) trackOrigins() error {
	ctx := d.tomb.Context(context.Background())
	for pause.For(ctx, originInterval) == nil {
		d.origins.Tick(ctx)
		d.versions.Update(ctx)
	}
	return nil
}
