package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/clock"
)

const (
	// hopTimeout is added to the wait of a read for the transfer between
	// daemons.
	hopTimeout = 500 * time.Millisecond
	// readerBypassDuration is how long a daemon reads the store itself after
	// its reader failed.
	readerBypassDuration = 3 * time.Second
	// failoverTimeout is the longest time within which another daemon must
	// answer when the reader has failed.
	failoverTimeout = 150 * time.Millisecond
	// readersTimeout is the longest that a starting daemon waits until the
	// readers are known from the store. It covers a thousand daemons that
	// register at the same moment, at 2 ms each, and a slow answer.
	readersTimeout = 4 * time.Second
	// readGrace is how long beyond the wait of a read the store may be silent
	// before it counts as unavailable. It is three times the latency of a slow
	// store (200 ms). With 1.5 s, readers reported "no changes" for 2.7 s, and
	// requests reached targets 3.0 to 3.3 s after these had announced that they
	// leave.
	readGrace = 600 * time.Millisecond
	// maxAnswerBytes bounds the answer of another daemon, before and after
	// decompression.
	maxAnswerBytes = 8 << 20
)

// MaxReadInterval is the longest time that a reader may wait between two reads.
// The configured read interval must not exceed it, since MaxAge allows for it.
const MaxReadInterval = 400 * time.Millisecond

// Store is a port.Store that reads some topics from a reader if there is one. A
// reader is another daemon that reads the store on behalf of this one.
type Store struct {
	port.Store
	topics  map[port.Topic]bool
	readers func() []string // addresses of this daemon's readers; none if it reads the store itself
	peers   func() []string // addresses of the other daemons that accept requests
	client  *http.Client
	now     func() time.Duration // CLOCK_BOOTTIME
	// ReadersKnown is closed once the readers are known. It is set before the
	// first call; nil means that they are known from the start.
	ReadersKnown <-chan struct{}
	// PeersWithStore returns the addresses of the peers that can read the
	// store. One of them is read if this daemon can't read the store and has no
	// reader. It is set before the first call; nil means no peers.
	PeersWithStore func() []string
	// RetryDelay returns how long a daemon that has a reader makes no calls to
	// the store after the store failed as well. If the readers answer that
	// their data isn't current, the delay also applies before the first call to
	// the store. It is set before the first call.
	RetryDelay func(readersAnswer bool) time.Duration
	// Depth returns the largest number of daemons between the store and a
	// daemon. It is set before the first call; nil means one.
	Depth func() int
	// Bound returns the time within which the records of a topic must take effect.
	// It is set before the first call; nil means defaultBound.
	Bound func(t port.Topic) time.Duration
	// Daemons returns the size of the fleet, of which at most maxCallersInTime call
	// the store before their data gets too old even if RetryDelay isn't over. It is
	// set before the first call; nil means that none does.
	Daemons func() int
	// OnReadError is called after a failed read of the store. It is set before
	// the first call and may be nil.
	OnReadError func(ctx context.Context, err error)

	mu                sync.Mutex
	bypassUntil       time.Duration                // readers are bypassed until then
	nextStoreCall     time.Duration                // no calls to the store until then
	callFailed        bool                         // the last call to the store instead of a reader failed
	readersNotCurrent bool                         // the readers answered last that their data isn't current
	asOf              map[port.Topic]time.Duration // the data of a topic is complete up to then
	available         map[port.Topic]period        // when the store is known to have been available
	lastReader        string                       // the reader that was asked last, or noReader
	slowTopics        map[port.Topic]bool          // topics whose last read took longer than its wait plus readGrace

	fallbacks map[port.Topic]fallback // peers that are read instead of the store
	// callerRank is random in [0, 1): the daemons with the lowest ranks call the
	// store in time.
	callerRank float64
}

// defaultBound is the bound of topics without a configured one.
const defaultBound = 3 * time.Second

// HasNoReader reports whether this daemon reads the store because it has no
// reader.
func (s *Store) HasNoReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastReader == noReader
}

// BypassesReaders reports whether this daemon has a reader but reads the store
// because the reader failed.
func (s *Store) BypassesReaders() bool { return len(s.readers()) > 0 && s.bypassingReaders() }

// NewStore returns a Store on top of s. readers returns the daemons to read the
// topics from, in order of preference. peers returns the daemons that may be
// asked for a listing while the store is unavailable.
func NewStore(s port.Store, readers func() []string, peers func() []string, topics ...port.Topic) *Store {
	out := &Store{
		Store:      s,
		topics:     make(map[port.Topic]bool),
		readers:    readers,
		peers:      peers,
		client:     &http.Client{},
		RetryDelay: func(bool) time.Duration { return 0 },
		now:        clock.Boot{}.Now,
		asOf:       make(map[port.Topic]time.Duration),
		available:  make(map[port.Topic]period),
		slowTopics: make(map[port.Topic]bool),

		fallbacks:  make(map[port.Topic]fallback),
		callerRank: rand.Float64(),
	}
	for _, t := range topics {
		out.topics[t] = true
	}
	return out
}

// AsOf returns the time, by CLOCK_BOOTTIME, up to which the data read of a
// topic is complete: no record written before it is missing.
func (s *Store) AsOf(t port.Topic) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asOf[t]
}

// Read returns records from a reader or from the store.
func (s *Store) Read(ctx context.Context, t port.Topic, from int64, wait time.Duration) (port.KeyedBatch, error) {
	if !s.topics[t] {
		return s.readStore(ctx, t, from, wait)
	}
	s.awaitReaders(ctx)
	readers := s.readers()
	if len(readers) == 0 {
		return s.readWithFallback(ctx, t, from, wait)
	}
	s.setFallback(t, "")
	if s.bypassingReaders() {
		return s.readStore(ctx, t, from, wait)
	}
	batch, err := s.readRelayed(ctx, readers, t, from, wait)
	if err == nil || errors.Is(err, port.ErrExpired) || !errors.Is(err, errStoreCallDue) {
		return batch, err
	}
	metrics.Add("readers_failed", 1)
	s.bypassReaders(readers[0], t, err)
	answered := errors.Is(err, errNotCurrent)
	batch, err = s.readStore(ctx, t, from, 0)
	if err != nil {
		s.deferStoreCalls(answered)
		return batch, err
	}
	s.mu.Lock()
	s.callFailed = false
	s.mu.Unlock()
	return batch, nil
}

// recordAnswer records that a reader answered with current data.
func (s *Store) recordAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readersNotCurrent, s.callFailed = false, false
}

// mayCallStore reports whether the store may be called after the readers
// failed.
//
// It limits the load of an outage, in which no reader has current data and
// hundreds of daemons would each call the store several times a second for each
// topic. Calls are paid for, and rejected calls count against the common rate
// limit. Readers that answer notice the return of the store first.
func (s *Store) mayCallStore(readersAnswer bool) bool {
	delay := s.RetryDelay(true) // without s.mu: the membership calls this Store while it holds its own lock
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if readersAnswer && !s.readersNotCurrent {
		// The delay is random, but at least half of delay, so that the daemons
		// don't all call at once.
		s.nextStoreCall = max(s.nextStoreCall, now+delay/2+rand.N(delay/2+1))
	}
	s.readersNotCurrent = readersAnswer
	return now >= s.nextStoreCall
}

// awaitReaders waits until the readers are known, for readersTimeout at most.
func (s *Store) awaitReaders(ctx context.Context) {
	if s.ReadersKnown == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readersTimeout)
	defer cancel()
	select {
	case <-s.ReadersKnown:
	case <-ctx.Done():
	}
}

// toBatch converts the reply of another daemon to a request that was sent at
// start. It returns port.ErrExpired if the daemon no longer holds the records.
func (s *Store) toBatch(t port.Topic, start time.Duration, r reply, err error) (port.KeyedBatch, error) {
	if errors.Is(err, errGap) {
		return port.KeyedBatch{}, fmt.Errorf("relay: %w", port.ErrExpired)
	}
	if err != nil {
		return port.KeyedBatch{}, err
	}
	s.advanceAsOf(t, start+r.readAt, r.availableFor)
	return r.KeyedBatch, nil
}

// reply is the decoded answer of another daemon.
type reply struct {
	port.KeyedBatch
	readAt time.Duration // when the store was read, relative to the request
	// availableFor is how long the store is known to have been available up to
	// readAt.
	availableFor time.Duration
}

// deferStoreCalls makes reads go to the readers again and delays the next call
// to the store. A call that was made in time, before its turn, counts as that of its
// turn, so that the fleet makes no more calls to a store that is away.
func (s *Store) deferStoreCalls(readersAnswer bool) {
	delay := s.RetryDelay(readersAnswer)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bypassUntil, s.callFailed = 0, true
	s.nextStoreCall = max(s.now(), s.nextStoreCall) + delay
}

// MaxAge returns the largest acceptable age of a reader's data for a read with
// the given wait, over a chain of depth readers. Each of them reads the store,
// or the reader before it, after at most MaxReadInterval plus the wait of its
// own read.
func MaxAge(wait time.Duration, depth int) time.Duration {
	return time.Duration(depth)*(MaxReadInterval+wait) + readGrace
}

func (s *Store) maxAge(wait time.Duration) time.Duration { return MaxAge(wait, s.depth()) }

func (s *Store) depth() int {
	if s.Depth == nil {
		return 1
	}
	return max(s.Depth(), 1)
}

// readStore reads from the store.
//
// A store that doesn't answer within readGrace beyond the wait counts as
// unavailable, so that other daemons find out in time. After that, reads get
// the full timeout of the store's client until one of them is answered quickly.
// This way a store that is slow, but not silent, is still read.
func (s *Store) readStore(ctx context.Context, t port.Topic, from int64, wait time.Duration) (port.KeyedBatch, error) {
	begun, outer := s.now(), ctx
	ctx, wait, timeout, cancel := s.withReadTimeout(ctx, t, wait)
	defer cancel()
	metrics.Add("store_reads", 1)
	batch, err := s.Store.Read(ctx, t, from, wait)
	now := s.now()
	s.mu.Lock()
	s.slowTopics[t] = now-begun >= wait+readGrace
	s.mu.Unlock()
	if err == nil {
		s.advanceAsOf(t, answerTime(begun, now, timeout), 0)
	} else if s.OnReadError != nil {
		s.OnReadError(outer, err)
	}
	return batch, err
}

// answerTime returns the time at which the store answered a read: that of the answer's
// arrival. An answer that arrives after the read's timeout has waited in the socket
// while this process stood still, and may be as old as the call.
func answerTime(begun, now, timeout time.Duration) time.Duration {
	if now-begun > timeout {
		return begun
	}
	return now
}

// withReadTimeout applies the timeout to a read of a topic and returns the wait that
// is left for it, and the timeout. A read of a slow topic may take longer, so it doesn't wait: if the
// store is silent, a read must not hang for a wait beyond its return.
func (s *Store) withReadTimeout(ctx context.Context, t port.Topic, wait time.Duration) (_ context.Context, _, timeout time.Duration, _ context.CancelFunc) {
	d := wait + readGrace
	s.mu.Lock()
	if s.slowTopics[t] {
		wait, d = 0, slowReadTimeout(s.bound(t))
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, d)
	return ctx, wait, d, cancel
}

// advanceAsOf records the time up to which the data of a topic is complete, and how
// long the store is known to have been available up to then.
func (s *Store) advanceAsOf(t port.Topic, asOf, availableFor time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asOf[t] = max(s.asOf[t], asOf)
	s.available[t] = s.available[t].join(period{since: asOf - availableFor, until: asOf})
}

// bypassReaders makes reads go to the store for readerBypassDuration.
func (s *Store) bypassReaders(addr string, t port.Topic, cause error) {
	s.mu.Lock()
	now := s.now()
	s.bypassUntil = now + readerBypassDuration
	fields := log.Fields{"topic": int(t), "reader": addr}
	if asOf, known := s.asOf[t]; known {
		fields["age_ms"] = (now - asOf).Milliseconds()
	}
	s.mu.Unlock()
	log.WithFields(fields).WithError(cause).Info("relay: reader failed; reading from the store")
}

// noReader takes the place of a reader's address if the daemon reads the store
// itself.
const noReader = "none"

// setReader records the reader in use and logs a change.
func (s *Store) setReader(addr string) {
	s.mu.Lock()
	changed := s.lastReader != addr
	s.lastReader = addr
	s.mu.Unlock()
	if changed {
		log.WithField("reader", addr).Info("relay: reader chosen")
	}
}

func (s *Store) bypassingReaders() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now() < s.bypassUntil
}

// readFromDaemon reads records from another daemon, provided that it read the
// store within maxAge.
func (s *Store) readFromDaemon(ctx context.Context, addr string, t port.Topic, from int64, wait, settle, maxAge time.Duration) (reply, error) {
	return s.fetch(ctx, fmt.Sprintf("http://%s/records?topic=%d&from=%d&wait_ms=%d&settle_ms=%d&max_age_ms=%d",
		addr, t, from, wait.Milliseconds(), settle.Milliseconds(), maxAge.Milliseconds()))
}

var (
	// errGap means that the reader no longer holds the requested records.
	errGap = errors.New("relay: the reader no longer holds the requested records")
	// errNotCurrent means that the reader lost the store or hasn't read it yet.
	errNotCurrent = errors.New("relay: the reader's data isn't current")
)

// fetch requests url from another daemon and decodes the answer.
func (s *Store) fetch(ctx context.Context, url string) (reply, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return reply{}, fmt.Errorf("relay: %w", err)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return reply{}, fmt.Errorf("relay: %w", err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusGone:
		return reply{}, errGap
	case http.StatusServiceUnavailable:
		return reply{}, errNotCurrent
	default:
		return reply{}, fmt.Errorf("relay: status %d", resp.StatusCode)
	}
	var a answer
	if err := cbor.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&a); err != nil {
		return reply{}, fmt.Errorf("relay: %w", err)
	}
	records, err := a.Pack.records()
	return reply{KeyedBatch: port.KeyedBatch{Records: records, Next: a.End}, readAt: a.ReadAt, availableFor: a.AvailableFor}, err
}
