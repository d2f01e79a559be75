package front

import (
	"sync/atomic"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/relay"
	"github.com/pomelospool/pomelospool/process/topic"
)

const (
	// configInterval is the minimum interval between two reads of the
	// configuration topic, which seldom changes.
	configInterval = 100 * time.Millisecond
	// minSingleReaderWait is the shortest read wait at which a single daemon
	// reads the store for the whole fleet. With shorter waits daemons would
	// query each other constantly.
	minSingleReaderWait = 400 * time.Millisecond
)

func (d *Daemon) wireStore() {
	bounds := map[port.Topic]time.Duration{port.TopicConfig: d.s.Bounds.ApplyConfig, port.TopicTargets: d.s.Bounds.Drain}
	d.store.Bound = func(t port.Topic) time.Duration { return bounds[t] }
	d.store.Daemons = d.roster.KnownDaemons
	d.caches = map[port.Topic]*relay.TopicCache{
		port.TopicConfig:  relay.NewTopicCache(d.config, nil),
		port.TopicTargets: relay.NewTopicCache(&storeLossSink{Sink: d.registry, lost: &d.storeLost}, d.registry.Same),
	}
	d.targetsConfirmed = relay.NewConfirmation(d.store.Store, port.TopicTargets, d.caches[port.TopicTargets])
	d.followers = []*topic.Follower{
		d.follow(port.TopicConfig, "config", func() time.Duration { return configInterval }, bounds[port.TopicConfig]),
		d.follow(port.TopicTargets, "targets", d.targetsInterval, bounds[port.TopicTargets]),
	}
}

// follow returns a follower of one topic, whose reads confirm the topic's
// cache. Records must take effect within the bound.
func (d *Daemon) follow(t port.Topic, name string, interval func() time.Duration, bound time.Duration) *topic.Follower {
	cache := d.caches[t]
	o := topic.Options{
		Store: d.store, Topic: t, Name: name, Sink: cache, ReadInterval: interval,
		Wait:      func() time.Duration { return relay.ReadWait(bound, d.roster.Upstream().Depth) },
		OnCurrent: func(next int64) { cache.Confirm(d.store.AsOf(t), d.store.AvailableSince(t), next) },
	}
	if t == port.TopicTargets {
		o.StoreWasAvailable = func() bool { return cache.CoveredSince(d.store.AvailableSince(t)) }
		o.OnAvailable = d.registry.StoreAvailable
	}
	return topic.New(o)
}

// allowsSingleReader reports whether the bound leaves time for an additional
// daemon between the store and the readers of an availability zone.
func allowsSingleReader(bound time.Duration) bool {
	return relay.ReadWait(bound, 2) >= minSingleReaderWait
}

// targetsInterval returns the minimum interval between two reads of the targets
// topic. Each target writes every 1.2 s, so without it a read would return for each
// write. In a large fleet, daemons whose readers fail read the store less often.
func (d *Daemon) targetsInterval() time.Duration {
	if !d.store.BypassesReaders() {
		return relay.ReadInterval(d.s.Bounds.Drain)
	}
	return d.directInterval()
}

// directInterval returns the minimum interval between two calls to the store of
// a daemon whose reader fails.
func (d *Daemon) directInterval() time.Duration {
	return relay.DirectInterval(min(d.s.Bounds.Drain, d.s.Bounds.ApplyConfig), d.roster.KnownDaemons())
}

// retryDelay returns the interval between two calls to the store of a daemon
// whose readers fail. If the readers respond but have no data, they are
// expected to read the store first, so this daemon keeps to the interval at
// which the whole fleet makes no more calls than a small one.
func (d *Daemon) retryDelay(readersAnswer bool) time.Duration {
	if readersAnswer {
		return relay.FleetInterval(d.roster.KnownDaemons())
	}
	return d.directInterval()
}

// storeUnavailable reports whether this daemon lacks the current contents of
// the store.
func (d *Daemon) storeUnavailable() bool {
	return d.storeLost.Load() || d.store.UsesFallback() || d.monitored.Unavailable()
}

// storeFails reports whether this daemon's own calls to the store fail.
func (d *Daemon) storeFails() bool {
	return d.storeLost.Load() && d.store.HasNoReader() || d.store.UsesFallback() || d.monitored.Unavailable()
}

// storeLossSink records whether the store can be read.
type storeLossSink struct {
	topic.Sink
	lost *atomic.Bool
}

// StoreLost implements topic.Sink.
func (s *storeLossSink) StoreLost(err error) {
	s.lost.Store(true)
	s.Sink.StoreLost(err)
}

// StoreRecovered implements topic.Sink.
func (s *storeLossSink) StoreRecovered() {
	s.lost.Store(false)
	s.Sink.StoreRecovered()
}
