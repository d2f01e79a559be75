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
	until time.Duration // by Store.now; then the store is tried again
}

// fallbackFor is how long a peer is read before the store is tried again.
const fallbackFor = 3 * time.Second

// Cut reports whether the store fails this daemon and a peer is read instead.
func (s *Store) Cut() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.fallbacks) > 0
}

// readOwn reads a topic for a daemon that has no reader: from the store, or
// while that fails from a peer that can read it.
func (s *Store) readOwn(ctx context.Context, t port.Topic, from int64, wait time.Duration) (port.KeyedBatch, error) {
	s.noteReader(ownReads)
	maxAge := s.maxAge(wait)
	peer, cut := s.fallback(t)
	if cut && s.now() < peer.until {
		begun := s.now()
		b, err := s.ask(ctx, peer.addr, t, from, wait, maxAge)
		batch, err := s.take(t, begun, b, err)
		if err == nil || errors.Is(err, port.ErrExpired) {
			return batch, err
		}
	}
	if cut {
		wait = 0 // a probe, which must not hold up the peer's records
	}
	batch, err := s.direct(ctx, t, from, wait)
	if err == nil || ctx.Err() != nil || errors.Is(err, port.ErrExpired) {
		s.setFallback(t, "")
		return batch, err
	}
	for _, addr := range s.somePeers() {
		begun := s.now()
		b, peerErr := s.askAnother(ctx, addr, t, from, maxAge)
		batch, peerErr := s.take(t, begun, b, peerErr)
		if peerErr == nil || errors.Is(peerErr, port.ErrExpired) {
			s.setFallback(t, addr)
			return batch, peerErr
		}
		log.WithError(peerErr).WithField("peer", addr).Debug("relay: peer can't be read instead of the store")
	}
	s.setFallback(t, "")
	return port.KeyedBatch{}, err
}

// somePeers picks peers that can read the store.
func (s *Store) somePeers() []string {
	if s.Sources == nil {
		return nil
	}
	return someOf(s.Sources())
}

func (s *Store) fallback(t port.Topic) (fallback, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	peer, ok := s.fallbacks[t]
	return peer, ok
}

// setFallback notes the peer to read a topic from; empty: the store.
func (s *Store) setFallback(t port.Topic, addr string) {
	s.mu.Lock()
	before := s.fallbacks[t].addr
	if addr == "" {
		delete(s.fallbacks, t)
	} else {
		s.fallbacks[t] = fallback{addr: addr, until: s.now() + fallbackFor}
	}
	s.mu.Unlock()
	if before != addr {
		log.WithFields(log.Fields{"topic": int(t), "peer": addr}).Info("relay: peer read instead of the store")
	}
}
