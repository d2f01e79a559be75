package relay

import (
	"context"
	"fmt"
	"io"
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
	// distrust is how long a daemon reads the store itself after its reader
	// failed.
	distrust = 3 * time.Second
	// maxAnswer bounds a reader's answer, in bytes.
	maxAnswer = 8 << 20
)

// Store is a port.Store whose reads of some topics go to a reader while there
// is one.
type Store struct {
	port.Store
	topics map[port.Topic]bool
	reader func() string   // address of this daemon's reader, empty: itself
	peers  func() []string // addresses of the other daemons that take requests
	client *http.Client
	now    func() time.Duration // CLOCK_BOOTTIME

	mu    sync.Mutex
	until time.Duration                // the store is read directly until then
	asOf  map[port.Topic]time.Duration // what the last read of a topic told was so until then
	last  string                       // the reader that was asked last
}

// Direct tells whether reads go to the store although there is a reader.
func (s *Store) Direct() bool { return s.reader() != "" && s.distrusted() }

// NewStore returns a Store over s. reader names the daemon to ask for the
// topics, empty for none; peers those that may be asked while the store is away.
func NewStore(s port.Store, reader func() string, peers func() []string, topics ...port.Topic) *Store {
	out := &Store{
		Store:  s,
		topics: make(map[port.Topic]bool),
		reader: reader,
		peers:  peers,
		client: &http.Client{},
		now:    clock.Boot{}.Now,
		asOf:   make(map[port.Topic]time.Duration),
	}
	for _, t := range topics {
		out.topics[t] = true
	}
	return out
}

// AsOf tells up to when what the last read of a topic gave is whole: nothing
// written before, by CLOCK_BOOTTIME, is missing.
func (s *Store) AsOf(t port.Topic) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asOf[t]
}

// Read returns records from the reader, or from the store.
func (s *Store) Read(ctx context.Context, t port.Topic, from int64, wait time.Duration) ([]port.KeyedRecord, error) {
	addr := s.reader()
	if addr == "" || !s.topics[t] || s.distrusted() {
		return s.direct(ctx, t, from, wait)
	}
	s.noteReader(addr)
	begun := s.now()
	b, err := s.ask(ctx, addr, t, from, wait)
	if err == nil {
		s.heard(t, begun+b.Heard)
		return b.Records, nil
	}
	s.distrust(addr, t, err)
	return s.direct(ctx, t, from, 0)
}

// direct reads the store itself.
func (s *Store) direct(ctx context.Context, t port.Topic, from int64, wait time.Duration) ([]port.KeyedRecord, error) {
	records, err := s.Store.Read(ctx, t, from, wait)
	if err == nil {
		s.heard(t, s.now())
	}
	return records, err
}

// heard notes up to when a topic is known.
func (s *Store) heard(t port.Topic, asOf time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asOf[t] = max(s.asOf[t], asOf)
}

// distrust has the store read directly for a while.
func (s *Store) distrust(addr string, t port.Topic, cause error) {
	s.mu.Lock()
	now := s.now()
	s.until = now + distrust
	age := now - s.asOf[t]
	s.mu.Unlock()
	log.WithFields(log.Fields{"topic": int(t), "reader": addr, "age_ms": age.Milliseconds()}).WithError(cause).Info("relay: reader failed, the store is read")
}

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

func (s *Store) ask(ctx context.Context, addr string, t port.Topic, from int64, wait time.Duration) (batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+hopTimeout)
	defer cancel()
	var out batch
	err := s.get(ctx, fmt.Sprintf("http://%s/records?topic=%d&from=%d&wait_ms=%d", addr, t, from, wait.Milliseconds()), &out)
	return out, err
}

// get reads another daemon's answer into out.
func (s *Store) get(ctx context.Context, url string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("relay: status %d", resp.StatusCode)
	}
	if err := cbor.NewDecoder(io.LimitReader(resp.Body, maxAnswer)).Decode(out); err != nil {
		return fmt.Errorf("relay: %w", err)
	}
	return nil
}
