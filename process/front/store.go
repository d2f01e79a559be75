package front

import (
	"sync/atomic"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/relay"
	"github.com/pomelospool/pomelospool/process/topic"
)

const (
	// minTargetsInterval is the minimum interval between two reads of the
	// targets topic. Each target writes every 1.2 s, so without the interval a
	// read would return for each write.
	minTargetsInterval = relay.MaxReadInterval
	// maxIntervalShare bounds the read interval of a large fleet, as a share of
	// the shortest bound on applying a change.
	maxIntervalShare = 0.45
	// smallFleetSize is the number of daemons up to which minTargetsInterval
	// applies. In larger fleets the interval grows with the number of daemons,
	// so that all together make about 40 reads a second.
	smallFleetSize = 16
	// configInterval is the minimum interval between two reads of the
	// configuration topic, which seldom changes.
	configInterval = 100 * time.Millisecond
	// readWaitShare is the longest wait of a read for new records, as a share of
	// the bound on their effect. A read that begins while a record is written
	// can miss it and then returns only at the end of its wait. With a 4 s wait
	// 5 of 42 test runs applied a version only 4 s after its write; 2 s are
	// allowed.
	readWaitShare = 0.4
	// slowStoreLatency is the assumed response time of a slow store.
	slowStoreLatency = 200 * time.Millisecond
	// minSingleReaderWait is the shortest read wait at which a single daemon
	// reads the store for the whole fleet. With shorter waits daemons would
	// query each other constantly.
	minSingleReaderWait = 400 * time.Millisecond
	// minReadWait limits the rate of reads from the store where bounds are
	// short.
	minReadWait = 100 * time.Millisecond
)

func (d *Daemon) wireStore() {
	d.caches = map[port.Topic]*relay.TopicCache{
		port.TopicConfig:  relay.NewTopicCache(d.config, nil),
		port.TopicTargets: relay.NewTopicCache(&storeLossSink{Sink: d.registry, lost: &d.storeLost}, d.registry.Same),
	}
	d.followers = []*topic.Follower{
		d.follow(port.TopicConfig, "config", func() time.Duration { return configInterval }, d.s.Bounds.ApplyConfig),
		d.follow(port.TopicTargets, "targets", d.targetsInterval, d.s.Bounds.Drain),
	}
}

// follow returns a follower of one topic, whose reads confirm the topic's
// cache. Records must take effect within the bound.
func (d *Daemon) follow(t port.Topic, name string, interval func() time.Duration, bound time.Duration) *topic.Follower {
	cache := d.caches[t]
	o := topic.Options{
		Store: d.store, Topic: t, Name: name, Sink: cache, ReadInterval: interval,
		Wait: func() time.Duration {
			if depth := d.roster.Upstream().Depth; depth > 0 {
				return relayedWait(bound, depth)
			}
			return readWait(bound)
		},
		OnCurrent: func(next int64) { cache.Confirm(d.store.AsOf(t), d.store.AvailableSince(t), next) },
	}
	if t == port.TopicTargets {
		o.StoreWasAvailable = func() bool { return cache.CoveredSince(d.store.AvailableSince(t)) }
		o.OnAvailable = d.registry.StoreAvailable
	}
	return topic.New(o)
}

// readWait returns how long a read waits for records that must take effect
// within the bound.
func readWait(bound time.Duration) time.Duration {
	return time.Duration(readWaitShare * float64(bound))
}

// relayedWait is readWait for a daemon that reads through depth other daemons
// in sequence. A daemon may query a reader that is about to be replaced, pause,
// and then read the store itself: the reader's response, the pause and the read
// must fit into the bound. Where readers read from other readers, one wait for
// each of them must fit.
func relayedWait(bound time.Duration, depth int) time.Duration {
	wait := bound - relay.MaxAge(0, 1) - minTargetsInterval - slowStoreLatency
	if depth > 1 {
		wait = (bound-relay.MaxAge(0, 1))/time.Duration(depth+1) - minTargetsInterval
	}
	return max(min(readWait(bound), wait), minReadWait)
}

// allowsSingleReader reports whether the bound leaves time for an additional
// daemon between the store and the readers of an availability zone.
func allowsSingleReader(bound time.Duration) bool {
	return relayedWait(bound, 2) >= minSingleReaderWait
}

// targetsInterval returns the minimum interval between two reads of the targets
// topic. In a large fleet, daemons whose readers fail read the store less
// often.
func (d *Daemon) targetsInterval() time.Duration {
	if !d.store.BypassesReaders() {
		return minTargetsInterval
	}
	return d.directInterval()
}

// directInterval returns the minimum interval between two calls to the store of
// a daemon whose reader fails.
func (d *Daemon) directInterval() time.Duration {
	shortest := min(d.s.Bounds.Drain, d.s.Bounds.ApplyConfig)
	return min(d.fleetInterval(), max(time.Duration(maxIntervalShare*float64(shortest)), minTargetsInterval))
}

// retryDelay returns the interval between two calls to the store of a daemon
// whose readers fail. If the readers respond but have no data, they are
// expected to read the store first, so this daemon keeps to the interval at
// which the whole fleet makes no more calls than a small one.
func (d *Daemon) retryDelay(readersAnswer bool) time.Duration {
	if readersAnswer {
		return d.fleetInterval()
	}
	return d.directInterval()
}

// fleetInterval returns the interval between two calls of one daemon at which
// the whole fleet makes no more calls than smallFleetSize daemons do.
func (d *Daemon) fleetInterval() time.Duration {
	return minTargetsInterval * time.Duration(max(d.roster.KnownDaemons(), smallFleetSize)) / smallFleetSize
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
