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
	// maxListingPeers is the number of daemons that are asked for one listing.
	maxListingPeers = 2
	// peerListingDelay is how long the store may take before other daemons are
	// asked as well. The store usually answers in 4 ms; a call without an
	// answer fails after 1.5 s.
	peerListingDelay = 250 * time.Millisecond
	// firstReadWait is how long a request waits at a reader that hasn't yet
	// read the topic for the first time.
	firstReadWait = 250 * time.Millisecond
	// listHopTimeout is added to firstReadWait for the transfer between
	// daemons. Sending the listing to all daemons that read from one reader can
	// saturate its link for a second.
	listHopTimeout = 2 * time.Second
)

// storeListing is the result of a listing from the store.
type storeListing struct {
	page port.KeyedPage
	err  error
}

// Newest returns the newest record of each key from a reader or the store, or
// from another daemon while the store is unavailable.
//
// Without the other daemons, a rolling restart during an outage of the store
// would leave no daemon able to serve until the store returns, although the
// running daemons hold all the records that are needed.
func (s *Store) Newest(ctx context.Context, t port.Topic, after string) (port.KeyedPage, error) {
	if !s.topics[t] || after != "" {
		return s.Store.Newest(ctx, t, after)
	}
	s.awaitReaders(ctx)
	if readers := s.readers(); len(readers) > 0 && !s.bypassingReaders() {
		page, err := s.listFrom(ctx, readers, t)
		if err == nil {
			return page, nil
		}
		if answered := errors.Is(err, errNotCurrent); ctx.Err() != nil || !s.mayCallStore(answered) {
			if page, known := s.listFromPeers(ctx, t); known {
				return page, nil
			}
			return port.KeyedPage{}, err
		}
	}
	begun := s.now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	metrics.Add("store_listings", 1)
	answered := make(chan storeListing, 1)
	go func() {
		page, err := s.Store.Newest(ctx, t, after)
		answered <- storeListing{page: page, err: err}
	}()
	first, soon := awaitListing(peerListingDelay, answered)
	if soon && first.err == nil {
		return s.recordListing(t, begun, first)
	}
	if page, ok := s.listFromPeers(ctx, t); ok {
		return page, nil
	}
	if !soon {
		first = <-answered
	}
	return s.recordListing(t, begun, first)
}

// listFrom returns the listing of the first reader that has a sufficiently
// fresh one.
//
// It avoids load on the store when the store drops its history or hundreds of
// daemons start together: each of them would otherwise list both topics from
// the store.
func (s *Store) listFrom(ctx context.Context, readers []string, t port.Topic) (port.KeyedPage, error) {
	var failures []error
	for _, addr := range readers {
		page, err := s.listFromOne(ctx, addr, t)
		if err == nil {
			s.recordAnswer()
			return page, nil
		}
		failures = append(failures, fmt.Errorf("reader %s: %w", addr, err))
	}
	return port.KeyedPage{}, errors.Join(failures...)
}

func (s *Store) listFromOne(ctx context.Context, addr string, t port.Topic) (port.KeyedPage, error) {
	begun := s.now()
	ctx, cancel := context.WithTimeout(ctx, firstReadWait+listHopTimeout)
	defer cancel()
	r, err := s.fetch(ctx, fmt.Sprintf("http://%s/current?topic=%d&max_age_ms=%d&wait_ms=%d", addr, t, s.maxAge(0).Milliseconds(), firstReadWait.Milliseconds()))
	if err != nil {
		return port.KeyedPage{}, err
	}
	s.advanceAsOf(t, begun+r.readAt, r.availableFor)
	return port.KeyedPage{Records: r.Records, End: r.Next}, nil
}

// recordListing records the freshness of a listing from the store: it contains
// everything that was written before the call began.
func (s *Store) recordListing(t port.Topic, begun time.Duration, l storeListing) (port.KeyedPage, error) {
	if l.err == nil {
		s.advanceAsOf(t, begun, 0)
	}
	return l.page, l.err
}

// awaitListing waits for a listing for at most d.
func awaitListing(d time.Duration, answered <-chan storeListing) (l storeListing, soon bool) {
	limit := time.NewTimer(d)
	defer limit.Stop()
	select {
	case l = <-answered:
		return l, true
	case <-limit.C:
		return l, false
	}
}

// listFromPeers asks a few random daemons for the listing of a topic, one after
// the other.
func (s *Store) listFromPeers(ctx context.Context, t port.Topic) (port.KeyedPage, bool) {
	for _, addr := range samplePeers(s.peers()) {
		page, err := s.listFromPeer(ctx, addr, t)
		if err == nil {
			log.WithFields(log.Fields{"topic": int(t), "from": addr, "next": page.End}).Info("relay: topic listed from another daemon")
			return page, true
		}
		log.WithError(err).WithField("from", addr).Debug("relay: listing from another daemon failed")
	}
	return port.KeyedPage{}, false
}

// samplePeers returns up to maxListingPeers random peers. It reorders peers.
func samplePeers(peers []string) []string {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(len(peers), maxListingPeers)]
}

func (s *Store) listFromPeer(ctx context.Context, addr string, t port.Topic) (port.KeyedPage, error) {
	ctx, cancel := context.WithTimeout(ctx, hopTimeout)
	defer cancel()
	r, err := s.fetch(ctx, fmt.Sprintf("http://%s/listing?topic=%d", addr, t))
	return port.KeyedPage{Records: r.Records, End: r.Next, Relayed: true}, err
}
