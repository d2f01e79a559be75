package front

import (
	"sync/atomic"
	"time"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/relay"
	"github.com/pomelospool/pomelospool/process/topic"
)

const (
	// targetsPace is the least time between two reads of the targets. Each
	// target writes every 1.2 s, so unpaced reads would return for each.
	targetsPace = relay.MaxReadInterval
	// paceShare of the time after which a leaving target may get no new work is
	// the longest pace of a large fleet.
	paceShare = 0.45
	// pacedDaemons is the size of the fleet up to which targetsPace holds. It
	// grows with the fleet beyond, so that all daemons together make some 40
	// reads a second.
	pacedDaemons = 16
	// configPace is the same for the configuration, which seldom changes.
	configPace = 100 * time.Millisecond
	// waitShare of a bound is the longest that a read waits for records. A read
	// that begins as a record is written can miss it, and answers only at the
	// end of its wait: with a wait of 4 s 5 of 42 plays had a version in force
	// 4 s after its write, where 2 s are allowed.
	waitShare = 0.4
	// slowAnswer is what an answer of a slow store takes.
	slowAnswer = 200 * time.Millisecond
	// rootedWait is the least wait at which a fleet has one daemon read the store:
	// with shorter ones daemons ask each other all the time.
	rootedWait = 400 * time.Millisecond
	// leastWait bounds the reads of the store where bounds are short.
	leastWait = 100 * time.Millisecond
)

func (d *Daemon) wireStore() {
	d.tails = map[port.Topic]*relay.TopicCache{
		port.TopicConfig:  relay.NewTopicCache(d.config, nil),
		port.TopicTargets: relay.NewTopicCache(&watched{Sink: d.registry, away: &d.storeAway}, d.registry.Same),
	}
	d.followers = []*topic.Follower{
		d.follow(port.TopicConfig, "config", func() time.Duration { return configPace }, d.s.Bounds.ApplyConfig),
		d.follow(port.TopicTargets, "targets", d.targetsPace, d.s.Bounds.Drain),
	}
}

// follow makes the follower of one topic, whose reads confirm its tail. The
// effect of what is read is due within the bound.
func (d *Daemon) follow(t port.Topic, name string, pace func() time.Duration, bound time.Duration) *topic.Follower {
	tail := d.tails[t]
	return topic.New(topic.Options{
		Store: d.store, Topic: t, Name: name, Sink: tail, ReadInterval: pace,
		Wait: func() time.Duration {
			if depth := d.roster.Upstream().Depth; depth > 0 {
				return relayedWait(bound, depth)
			}
			return readWait(bound)
		},
		OnCurrent: func(next int64) { tail.Confirm(d.store.AsOf(t), next) },
	})
}

// readWait is how long a read waits for records whose effect is due within the
// bound.
func readWait(bound time.Duration) time.Duration {
	return time.Duration(waitShare * float64(bound))
}

// relayedWait is the same where daemons read for others, over that many of them
// one behind the other. A daemon may ask a reader that is about to be given up,
// rest, and then read the store itself: the reader's answer and these two must fit
// into the bound. Where readers read from others, a wait for each must.
func relayedWait(bound time.Duration, depth int) time.Duration {
	wait := bound - relay.MaxAge(0, 1) - targetsPace - slowAnswer
	if depth > 1 {
		wait = (bound-relay.MaxAge(0, 1))/time.Duration(depth+1) - targetsPace
	}
	return max(min(readWait(bound), wait), leastWait)
}

// rooted reports whether a bound leaves time for a daemon between the store and
// those that read for an availability zone.
func rooted(bound time.Duration) bool { return relayedWait(bound, 2) >= rootedWait }

// targetsPace is the least time between two reads of the targets. Daemons of a
// large fleet whose readers fail read the store more seldom.
func (d *Daemon) targetsPace() time.Duration {
	if !d.store.BypassesReaders() {
		return targetsPace
	}
	return d.directPace()
}

// directPace is the least time between two calls to the store of a daemon whose
// reader fails.
func (d *Daemon) directPace() time.Duration {
	shortest := min(d.s.Bounds.Drain, d.s.Bounds.ApplyConfig)
	return min(d.fleetPace(), max(time.Duration(paceShare*float64(shortest)), targetsPace))
}

// callPace is the time between two calls to the store of a daemon whose readers
// fail. Where they answer, and know nothing, they read the store first: all
// daemons together make no more calls than a small fleet.
func (d *Daemon) callPace(readersAnswer bool) time.Duration {
	if readersAnswer {
		return d.fleetPace()
	}
	return d.directPace()
}

// fleetPace is the time between two calls of a daemon at which all daemons together
// make no more of them than pacedDaemons do.
func (d *Daemon) fleetPace() time.Duration {
	return targetsPace * time.Duration(max(d.roster.KnownDaemons(), pacedDaemons)) / pacedDaemons
}

// withoutStore reports whether this daemon doesn't know what the store says now.
func (d *Daemon) withoutStore() bool {
	return d.storeAway.Load() || d.store.UsesFallback() || d.reach.Unavailable()
}

// storeFails reports whether the store fails this daemon's own calls.
func (d *Daemon) storeFails() bool {
	return d.storeAway.Load() && d.store.HasNoReader() || d.store.UsesFallback() || d.reach.Unavailable()
}

// watched notes whether the store can be read.
type watched struct {
	topic.Sink
	away *atomic.Bool
}

// StoreLost implements topic.Sink.
func (w *watched) StoreLost(err error) {
	w.away.Store(true)
	w.Sink.StoreLost(err)
}

// StoreRecovered implements topic.Sink.
func (w *watched) StoreRecovered() {
	w.away.Store(false)
	w.Sink.StoreRecovered()
}
