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
	// hopTimeout is added to a read's wait for the way between daemons.
	hopTimeout = 500 * time.Millisecond
	// distrustFor is how long a daemon reads the store itself after its reader
	// failed.
	distrustFor = 3 * time.Second
	// soonFailed is the time within which a reader must have failed for another
	// one to be asked, and within which that must answer. Together they leave a
	// read of the store its time, which comes after.
	soonFailed = 150 * time.Millisecond
	// namedWithin is the longest that a daemon that starts waits for the store to
	// name the others before it reads: a thousand that write themselves at the
	// same moment, at 2 ms each, and a slow answer.
	namedWithin = 4 * time.Second
	// patience is how long beyond a read's wait the store may be silent before
	// it counts as lost: three times what it takes when it is slow (200 ms).
	// With 1.5 s, daemons that read for others passed "nothing new" on for 2.7 s,
	// and requests reached targets 3.0 to 3.3 s after they had said that they
	// leave.
	patience = 600 * time.Millisecond
	// maxAnswer bounds a reader's answer, in bytes.
	maxAnswer = 8 << 20
)

// ReaderPause is the longest that a reader rests between two reads. Whoever
// paces the reads keeps to it: what a reader knows counts for that much longer.
const ReaderPause = 400 * time.Millisecond

// Store is a port.Store whose reads of some topics go to a reader while there
// is one.
type Store struct {
	port.Store
	topics  map[port.Topic]bool
	readers func() []string // addresses of this daemon's readers, none: itself
	peers   func() []string // addresses of the other daemons that take requests
	client  *http.Client
	now     func() time.Duration // CLOCK_BOOTTIME
	// Listed is closed once the readers can be named. It is set before the first
	// call; nil: they can.
	Listed <-chan struct{}
	// Sources returns the addresses of the peers that can read the store: one of
	// them is read where this daemon can't and has no reader. It is set before
	// the first call; nil: there are none.
	Sources func() []string
	// Retry is how long a daemon that has a reader leaves the store alone after
	// that failed it too, or, where readers answer that they know nothing, before
	// it calls the store at all. It is set before the first call.
	Retry func(readersAnswer bool) time.Duration
	// Depth is the most daemons between the store and a daemon. It is set before
	// the first call; nil: one.
	Depth func() int
	// Suspect is called after a read of the store failed. It is set before the
	// first call; nil: nothing is.
	Suspect func(ctx context.Context, err error)

	mu    sync.Mutex
	until time.Duration                // the store is read directly until then
	spare time.Duration                // the store is left alone until then
	mute  bool                         // readers answered last that they know nothing
	asOf  map[port.Topic]time.Duration // up to when the last read of a topic is whole
	last  string                       // the reader that was asked last, ownReads: none
	slow  map[port.Topic]bool          // the store takes longer than patience

	fallbacks map[port.Topic]fallback // peers that are read instead of the store
}

// ReadsItself reports whether this daemon reads the store, since it has no reader.
func (s *Store) ReadsItself() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last == ownReads
}

// Direct reports whether reads go to the store although there is a reader.
func (s *Store) Direct() bool { return len(s.readers()) > 0 && s.distrusted() }

// NewStore returns a Store over s. readers names the daemons to ask for the
// topics, the first one first; peers those that may be asked while the store is
// away.
func NewStore(s port.Store, readers func() []string, peers func() []string, topics ...port.Topic) *Store {
	out := &Store{
		Store:   s,
		topics:  make(map[port.Topic]bool),
		readers: readers,
		peers:   peers,
		client:  &http.Client{},
		Retry:   func(bool) time.Duration { return 0 },
		now:     clock.Boot{}.Now,
		asOf:    make(map[port.Topic]time.Duration),
		slow:    make(map[port.Topic]bool),

		fallbacks: make(map[port.Topic]fallback),
	}
	for _, t := range topics {
		out.topics[t] = true
	}
	return out
}

// AsOf is up to when what the last read of a topic gave is whole: nothing
// written before, by CLOCK_BOOTTIME, is missing.
func (s *Store) AsOf(t port.Topic) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asOf[t]
}

// Read returns records from a reader, or from the store.
func (s *Store) Read(ctx context.Context, t port.Topic, from int64, wait time.Duration) (port.KeyedBatch, error) {
	if !s.topics[t] {
		return s.direct(ctx, t, from, wait)
	}
	s.awaitReaders(ctx)
	readers := s.readers()
	if len(readers) == 0 {
		return s.readOwn(ctx, t, from, wait)
	}
	s.setFallback(t, "")
	if s.distrusted() {
		return s.direct(ctx, t, from, wait)
	}
	batch, err := s.readFrom(ctx, readers, t, from, wait)
	if err == nil || errors.Is(err, port.ErrExpired) {
		return batch, err
	}
	answered := errors.Is(err, errKnowsNothing)
	if ctx.Err() != nil || !s.mayCall(answered) {
		return port.KeyedBatch{}, err
	}
	counts.Add("readers_failed", 1)
	s.distrust(readers[0], t, err)
	batch, err = s.direct(ctx, t, from, 0)
	if err != nil {
		s.leaveAlone(answered)
	}
	return batch, err
}

// readFrom reads from the first reader that can answer. One that took long to fail
// leaves no time for others where the bounds are short.
func (s *Store) readFrom(ctx context.Context, readers []string, t port.Topic, from int64, wait time.Duration) (port.KeyedBatch, error) {
	s.noteReader(readers[0])
	var failures []error
	for i, addr := range readers {
		begun := s.now()
		var r reply
		var err error
		if i == 0 {
			r, err = s.ask(ctx, addr, t, from, wait, s.maxAge(wait))
		} else {
			r, err = s.askAnother(ctx, addr, t, from, s.maxAge(0))
		}
		batch, err := s.take(t, begun, r, err)
		if err == nil || errors.Is(err, port.ErrExpired) {
			s.noteAnswer()
			return batch, err
		}
		failures = append(failures, fmt.Errorf("reader %s: %w", addr, err))
		if s.now()-begun >= soonFailed && s.depth() < 2 {
			break
		}
	}
	return port.KeyedBatch{}, errors.Join(failures...)
}

// noteAnswer notes that a reader answered with what it knows.
func (s *Store) noteAnswer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mute = false
}

// mayCall reports whether the store may be called where readers failed.
//
// The load that it answers: the store is away, readers can't say, and all of
// hundreds of daemons ask the store several times a second for each topic. Calls
// are paid for, and refused ones count against the rate of all. Readers that
// answer know of the store's return first.
func (s *Store) mayCall(readersAnswer bool) bool {
	pace := s.Retry(true) // outside of the lock: the membership reads this store under its own
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if readersAnswer && !s.mute {
		// Half of the time at least, so that not all call at once.
		s.spare = max(s.spare, now+pace/2+rand.N(pace/2+1))
	}
	s.mute = readersAnswer
	return now >= s.spare
}

// awaitReaders waits until the readers can be named, for namedWithin at most.
func (s *Store) awaitReaders(ctx context.Context) {
	if s.Listed == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, namedWithin)
	defer cancel()
	select {
	case <-s.Listed:
	case <-ctx.Done():
	}
}

// take takes what another daemon answered to a question of that moment: its
// records, or that it doesn't hold them any more.
func (s *Store) take(t port.Topic, asked time.Duration, r reply, err error) (port.KeyedBatch, error) {
	if errors.Is(err, errGap) {
		return port.KeyedBatch{}, fmt.Errorf("relay: %w", port.ErrExpired)
	}
	if err != nil {
		return port.KeyedBatch{}, err
	}
	s.noteFresh(t, asked+r.readAt)
	return r.KeyedBatch, nil
}

// reply is what another daemon answered to a read.
type reply struct {
	port.KeyedBatch
	readAt time.Duration // when the store was read, from the moment of the question on
}

// askAnother asks another daemon, which answers with what it knows.
//
// The load that it answers: the store is silent for one of a zone's readers, or
// that has just died, and half of the zone's daemons go on to read the store
// themselves for seconds, though the other one reaches it.
func (s *Store) askAnother(ctx context.Context, addr string, t port.Topic, from int64, maxAge time.Duration) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, soonFailed)
	defer cancel()
	return s.ask(ctx, addr, t, from, 0, maxAge)
}

// leaveAlone has the readers asked again, and not the store for a while.
func (s *Store) leaveAlone(readersAnswer bool) {
	pace := s.Retry(readersAnswer)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = 0
	s.spare = s.now() + pace
}

// MaxAge is how old what a reader knows may be for a read that waits so long, over
// that many readers one behind the other: each read the store, or the one before,
// within its rest and its own read's wait.
func MaxAge(wait time.Duration, depth int) time.Duration {
	return time.Duration(depth)*(ReaderPause+wait) + patience
}

func (s *Store) maxAge(wait time.Duration) time.Duration { return MaxAge(wait, s.depth()) }

func (s *Store) depth() int {
	if s.Depth == nil {
		return 1
	}
	return max(s.Depth(), 1)
}

// direct reads the store itself.
//
// A store that was silent for the patience counts as lost, so that others
// learn of it in time. From then on reads get all the time that the store's
// client gives them, until one is answered soon: a store that is that slow, and
// not silent, is still read.
func (s *Store) direct(ctx context.Context, t port.Topic, from int64, wait time.Duration) (port.KeyedBatch, error) {
	begun, outer := s.now(), ctx
	ctx, cancel := s.limit(ctx, t, wait+patience)
	defer cancel()
	counts.Add("store_reads", 1)
	batch, err := s.Store.Read(ctx, t, from, wait)
	now := s.now()
	s.mu.Lock()
	s.slow[t] = now-begun >= wait+patience
	s.mu.Unlock()
	if err == nil {
		s.noteFresh(t, now)
	} else if s.Suspect != nil {
		s.Suspect(outer, err)
	}
	return batch, err
}

// limit bounds a read of a topic, unless the store is slow.
func (s *Store) limit(ctx context.Context, t port.Topic, d time.Duration) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slow[t] {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, d)
}

// noteFresh notes up to when a topic is known.
func (s *Store) noteFresh(t port.Topic, asOf time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asOf[t] = max(s.asOf[t], asOf)
}

// distrust has the store read directly for a while.
func (s *Store) distrust(addr string, t port.Topic, cause error) {
	s.mu.Lock()
	now := s.now()
	s.until = now + distrustFor
	fields := log.Fields{"topic": int(t), "reader": addr}
	if asOf, known := s.asOf[t]; known {
		fields["age_ms"] = (now - asOf).Milliseconds()
	}
	s.mu.Unlock()
	log.WithFields(fields).WithError(cause).Info("relay: reader failed, the store is read")
}

// ownReads stands for a reader's address where a daemon reads the store itself.
const ownReads = "none"

// noteReader logs which daemon the records come from.
func (s *Store) noteReader(addr string) {
	s.mu.Lock()
	changed := s.last != addr
	s.last = addr
	s.mu.Unlock()
	if changed {
		log.WithField("reader", addr).Info("relay: reader chosen")
	}
}

func (s *Store) distrusted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now() < s.until
}

// ask reads records from another daemon if it read the store within maxAge.
func (s *Store) ask(ctx context.Context, addr string, t port.Topic, from int64, wait, maxAge time.Duration) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+hopTimeout)
	defer cancel()
	return s.get(ctx, fmt.Sprintf("http://%s/records?topic=%d&from=%d&wait_ms=%d&max_age_ms=%d", addr, t, from, wait.Milliseconds(), maxAge.Milliseconds()))
}

var (
	// errGap means that a reader doesn't hold the records any more.
	errGap = errors.New("relay: the reader doesn't hold these records any more")
	// errKnowsNothing means that a reader lost the store, or has yet to read it.
	errKnowsNothing = errors.New("relay: the reader doesn't know what the store says")
)

// get reads another daemon's answer.
func (s *Store) get(ctx context.Context, url string) (reply, error) {
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
		return reply{}, errKnowsNothing
	default:
		return reply{}, fmt.Errorf("relay: status %d", resp.StatusCode)
	}
	var a answer
	if err := cbor.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(&a); err != nil {
		return reply{}, fmt.Errorf("relay: %w", err)
	}
	records, err := a.Pack.records()
	return reply{KeyedBatch: port.KeyedBatch{Records: records, Next: a.End}, readAt: a.ReadAt}, err
}
