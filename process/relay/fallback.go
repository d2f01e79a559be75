package relay

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/port"
)

// fallback is a peer that is read instead of the store.
type fallback struct {
	addr  string
	until time.Duration // by Store.now; the store is tried again after it
}

// fallbackDuration is how long a peer is read before the store is tried again.
const fallbackDuration = 3 * time.Second

// UsesFallback reports whether this daemon's reads of the store fail and a peer
// is read instead.
func (s *Store) UsesFallback() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.fallbacks) > 0
}

// readWithFallback reads a topic for a daemon that has no reader. It reads from
// the store, or from a peer that can read the store while this daemon can't.
func (s *Store) readWithFallback(ctx context.Context, t port.Topic, from int64, wait time.Duration) (port.KeyedBatch, error) {
	s.setReader(noReader)
	peer, found := s.fallback(t)
	if found && s.now() < peer.until {
		batch, err := s.askReader(ctx, peer.addr, t, from, wait)
		if err == nil || errors.Is(err, port.ErrExpired) {
			return batch, err
		}
	}
	if found {
		wait = 0 // only a probe: it must not delay the records from the peer
	}
	batch, err := s.readStore(ctx, t, from, wait)
	if err == nil || ctx.Err() != nil || errors.Is(err, port.ErrExpired) {
		s.setFallback(t, "")
		return batch, err
	}
	addr, b, peerErr := s.askAll(ctx, s.sampleStorePeers(), t, from)
	s.setFallback(t, addr)
	if addr == "" {
		log.WithError(peerErr).Debug("relay: reading from a peer instead of the store failed")
		return port.KeyedBatch{}, err
	}
	return b, peerErr
}

// sampleStorePeers returns a random sample of the peers that can read the
// store.
func (s *Store) sampleStorePeers() []string {
	if s.PeersWithStore == nil {
		return nil
	}
	return samplePeers(s.PeersWithStore())
}

func (s *Store) fallback(t port.Topic) (fallback, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	peer, ok := s.fallbacks[t]
	return peer, ok
}

// setFallback sets the peer that the topic is read from. An empty address means
// the store.
func (s *Store) setFallback(t port.Topic, addr string) {
	s.mu.Lock()
	before := s.fallbacks[t].addr
	if addr == "" {
		delete(s.fallbacks, t)
	} else {
		s.fallbacks[t] = fallback{addr: addr, until: s.now() + fallbackDuration}
	}
	s.mu.Unlock()
	if before != addr {
		log.WithFields(log.Fields{"topic": int(t), "peer": addr}).Info("relay: fallback peer changed")
	}
}
