package relay

import (
	"context"
	"errors"
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
	// startWait is how long a question waits at a reader that has yet to read a
	// topic for the first time.
	startWait = 250 * time.Millisecond
	// listHop is added to it for the way between daemons: a reader's link is filled
	// for a second by the listings of all that read from it.
	listHop = 2 * time.Second
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
	s.awaitReaders(ctx)
	if readers := s.readers(); len(readers) > 0 && !s.distrusted() {
		page, err := s.listFrom(ctx, readers, t)
		if err == nil {
			return page, nil
		}
		if answered := errors.Is(err, errKnowsNothing); ctx.Err() != nil || !s.mayCall(answered) {
			if page, known := s.askOthers(ctx, t); known {
				return page, nil
			}
			return port.KeyedPage{}, err
		}
	}
	begun := s.now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	counts.Add("store_listings", 1)
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

// listFrom returns the listing of the first of this daemon's readers that has one
// that is fresh enough.
//
// The load that it answers: the store forgets its history, or hundreds of daemons
// start together, and each lists both topics from the store.
func (s *Store) listFrom(ctx context.Context, readers []string, t port.Topic) (port.KeyedPage, error) {
	var failures []error
	for _, addr := range readers {
		page, err := s.listFromOne(ctx, addr, t)
		if err == nil {
			s.noteAnswer()
			return page, nil
		}
		failures = append(failures, fmt.Errorf("reader %s: %w", addr, err))
	}
	return port.KeyedPage{}, errors.Join(failures...)
}

func (s *Store) listFromOne(ctx context.Context, addr string, t port.Topic) (port.KeyedPage, error) {
	begun := s.now()
	ctx, cancel := context.WithTimeout(ctx, startWait+listHop)
	defer cancel()
	r, err := s.get(ctx, fmt.Sprintf("http://%s/current?topic=%d&max_age_ms=%d&wait_ms=%d", addr, t, s.maxAge(0).Milliseconds(), startWait.Milliseconds()))
	if err != nil {
		return port.KeyedPage{}, err
	}
	s.noteFresh(t, begun+r.readAt)
	return port.KeyedPage{Records: r.Records, End: r.Next}, nil
}

// noteListing notes a listing of the store: it lacks nothing written before its begin.
func (s *Store) noteListing(t port.Topic, begun time.Duration, l storeListing) (port.KeyedPage, error) {
	if l.err == nil {
		s.noteFresh(t, begun)
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
	for _, addr := range someOf(s.peers()) {
		page, err := s.listing(ctx, addr, t)
		if err == nil {
			log.WithFields(log.Fields{"topic": int(t), "from": addr, "next": page.End}).Info("relay: listed by another daemon")
			return page, true
		}
		log.WithError(err).WithField("from", addr).Debug("relay: no listing")
	}
	return port.KeyedPage{}, false
}

// someOf draws the daemons that are asked.
func someOf(peers []string) []string {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), maxAsked)]
}

func (s *Store) listing(ctx context.Context, addr string, t port.Topic) (port.KeyedPage, error) {
	ctx, cancel := context.WithTimeout(ctx, hopTimeout)
	defer cancel()
	r, err := s.get(ctx, fmt.Sprintf("http://%s/listing?topic=%d", addr, t))
	return port.KeyedPage{Records: r.Records, End: r.Next, Relayed: true}, err
}
