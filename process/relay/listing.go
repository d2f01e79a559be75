package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/port"
)

const (
	// maxAsked is the number of daemons that are asked for one listing.
	maxAsked = 2
	// askAfter is how long the store may take before others are asked too. It
	// answers in 4 ms; a silent one is given up after 1.5 s.
	askAfter = 250 * time.Millisecond
	// startWait is how long a reader may take to read a topic for the first
	// time. Daemons that start together list the daemons first, in 10 ms.
	startWait = 250 * time.Millisecond
	// listHop is added to it for the way between daemons.
	listHop = 100 * time.Millisecond
)

// storeListing is the result of a listing.
type storeListing struct {
	page port.KeyedPage
	err  error
}

// Newest returns newest records from the store, or from another daemon while
// the store is away.
//
// The failure it stops: daemons are started again one after the other while
// the store is away, and none of them serves until it is back. Those that run
// know all that is needed.
func (s *Store) Newest(ctx context.Context, t port.Topic, after string) (port.KeyedPage, error) {
	if !s.topics[t] || after != "" {
		return s.Store.Newest(ctx, t, after)
	}
	s.awaitReaders(ctx, namedWithin)
	if page, ok := s.fromReader(ctx, t); ok {
		return page, nil
	}
	begun := s.now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan storeListing, 1)
	go func() {
		page, err := s.Store.Newest(ctx, t, after)
		answered <- storeListing{page: page, err: err}
	}()
	first, soon := within(askAfter, answered)
	if soon && first.err == nil {
		return s.noteListing(t, begun, first)
	}
	if page, ok := s.askOthers(ctx, t); ok {
		return page, nil
	}
	if !soon {
		first = <-answered
	}
	return s.noteListing(t, begun, first)
}

// fromReader returns the listing of this daemon's reader, if it has one whose
// word counts.
//
// The load that it answers: the store forgets its history, and each of hundreds
// of daemons lists both topics, each time anew. On a day of that 8,672 calls with
// it and 9,318 without, one play each.
func (s *Store) fromReader(ctx context.Context, t port.Topic) (port.KeyedPage, bool) {
	readers := s.readers()
	if len(readers) == 0 || s.distrusted() {
		return port.KeyedPage{}, false
	}
	addr := readers[0]
	begun := s.now()
	ctx, cancel := context.WithTimeout(ctx, startWait+listHop)
	defer cancel()
	var a answer
	url := fmt.Sprintf("http://%s/current?topic=%d&max_age_ms=%d&wait_ms=%d", addr, t, MaxAge(0).Milliseconds(), startWait.Milliseconds())
	err := s.get(ctx, url, &a)
	page := port.KeyedPage{End: a.End}
	if err == nil {
		page.Records, err = a.Pack.records()
	}
	if err != nil {
		log.WithFields(log.Fields{"topic": int(t), "reader": addr}).WithError(err).Debug("relay: no listing from the reader")
		return port.KeyedPage{}, false
	}
	s.heard(t, begun+a.Heard)
	return page, true
}

// noteListing notes a listing of the store: it lacks nothing written before its begin.
func (s *Store) noteListing(t port.Topic, begun time.Duration, l storeListing) (port.KeyedPage, error) {
	if l.err == nil {
		s.heard(t, begun)
	}
	return l.page, l.err
}

// within waits for a listing for so long at most.
func within(d time.Duration, answered <-chan storeListing) (l storeListing, soon bool) {
	limit := time.NewTimer(d)
	defer limit.Stop()
	select {
	case l = <-answered:
		return l, true
	case <-limit.C:
		return l, false
	}
}

// askOthers asks some daemons for a topic's listing, one after the other.
func (s *Store) askOthers(ctx context.Context, t port.Topic) (port.KeyedPage, bool) {
	peers := s.peers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, addr := range peers[:min(len(peers), maxAsked)] {
		page, err := s.listing(ctx, addr, t)
		if err == nil {
			log.WithFields(log.Fields{"topic": int(t), "from": addr, "next": page.End}).Info("relay: listed by another daemon")
			return page, true
		}
		log.WithError(err).WithField("from", addr).Debug("relay: no listing")
	}
	return port.KeyedPage{}, false
}

func (s *Store) listing(ctx context.Context, addr string, t port.Topic) (port.KeyedPage, error) {
	ctx, cancel := context.WithTimeout(ctx, hopTimeout)
	defer cancel()
	var a answer
	if err := s.get(ctx, fmt.Sprintf("http://%s/listing?topic=%d", addr, t), &a); err != nil {
		return port.KeyedPage{}, err
	}
	records, err := a.Pack.records()
	return port.KeyedPage{Records: records, End: a.End, Relayed: true}, err
}
