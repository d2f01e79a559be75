package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
)

// errStoreCallDue means that no daemon could be read and that this one may call the
// store.
var errStoreCallDue = errors.New("relay: no other daemon has current data")

// readRelayed reads from the first reader and, if that one fails or this daemon's data
// gets too old meanwhile, from any daemon that has newer data. It asks them again
// until this daemon may call the store, which it reports by errStoreCallDue, or until
// the data is so old that the store counts as lost.
//
// What limits each step is the age of the data. If each step had a time limit of its
// own, their sum would exceed the bound: requests reached targets 4.0 s after these
// had announced that they leave, with steps of at most 1.7 s.
func (s *Store) readRelayed(ctx context.Context, readers []string, t port.Topic, from int64, wait time.Duration) (port.KeyedBatch, error) {
	s.setReader(readers[0])
	bound := s.bound(t)
	var readerErr error
	if age, known := s.age(t); !known || age < askAge(bound) {
		batch, err := s.askReader(ctx, readers[0], t, from, wait)
		if err == nil || errors.Is(err, port.ErrExpired) {
			s.recordAnswer()
			return batch, err
		}
		readerErr = fmt.Errorf("reader %s: %w", readers[0], err)
		readers = readers[1:]
	}
	for {
		addr, batch, err := s.askAll(ctx, append(slices.Clone(readers), s.sampleStorePeers()...), t, from)
		if addr != "" && !slices.Contains(readers, addr) {
			metrics.Add("peers_read", 1)
		}
		if err == nil || errors.Is(err, port.ErrExpired) {
			s.recordAnswer()
			return batch, err
		}
		failed := errors.Join(readerErr, err)
		age, known := s.age(t)
		switch {
		case ctx.Err() != nil:
			return port.KeyedBatch{}, failed
		case s.mayCallStore(errors.Is(failed, errNotCurrent)) || s.mustCallStore(t):
			return port.KeyedBatch{}, errors.Join(errStoreCallDue, failed)
		case !known || age >= callAge(bound):
			return port.KeyedBatch{}, failed
		}
		_ = pause.For(ctx, min(transferTimeout(bound), callAge(bound)-age))
		if readers = s.readers(); len(readers) == 0 {
			return port.KeyedBatch{}, failed
		}
		readerErr = nil // the reader is asked again with the others
	}
}

// askReader reads from a daemon and waits there for new records until this daemon's
// data reaches askAge.
func (s *Store) askReader(ctx context.Context, addr string, t port.Topic, from int64, wait time.Duration) (port.KeyedBatch, error) {
	begun, bound := s.now(), s.bound(t)
	hop, settle := hopTimeout, wait/2
	if age, known := s.age(t); known && wait > 0 {
		wait, hop = max(askAge(bound)-age, 0), transferTimeout(bound)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+hop)
	defer cancel()
	r, err := s.readFromDaemon(ctx, addr, t, from, wait, settle, askAge(bound))
	return s.toBatch(t, begun, r, err)
}

// askAll reads from several daemons at once, without waiting for new records. It
// returns the first answer with data that is newer than this daemon's, or
// port.ErrExpired, and the address of the daemon that gave it, "" if none did.
func (s *Store) askAll(ctx context.Context, addrs []string, t port.Topic, from int64) (string, port.KeyedBatch, error) {
	type result struct {
		addr  string
		reply reply
		err   error
	}
	begun, bound := s.now(), s.bound(t)
	maxAge := askAge(bound)
	if age, known := s.age(t); known {
		maxAge = max(maxAge, min(age, callAge(bound)))
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout(bound))
	defer cancel()
	results := make(chan result, len(addrs))
	for _, addr := range addrs {
		go func() {
			r, err := s.readFromDaemon(ctx, addr, t, from, 0, 0, maxAge)
			results <- result{addr: addr, reply: r, err: err}
		}()
	}
	failed := errNoDaemon
	for range addrs {
		r := <-results
		batch, err := s.toBatch(t, begun, r.reply, r.err) // only of the answer that is used, since it advances asOf
		if err == nil || errors.Is(err, port.ErrExpired) {
			return r.addr, batch, err
		}
		failed = errors.Join(failed, fmt.Errorf("daemon %s: %w", r.addr, err))
	}
	return "", port.KeyedBatch{}, failed
}

// errNoDaemon means that none of the daemons asked has current data.
var errNoDaemon = errors.New("relay: no daemon answers with current data")

// bound returns the time within which the records of a topic must take effect.
func (s *Store) bound(t port.Topic) time.Duration {
	if s.Bound == nil {
		return defaultBound
	}
	return s.Bound(t)
}

// age returns the age of the data read of a topic. The result is false before the
// first read.
func (s *Store) age(t port.Topic) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf, known := s.asOf[t]
	return s.now() - asOf, known
}

// mustCallStore reports whether this daemon calls the store since its data gets too
// old, though the rate that the fleet keeps to doesn't allow it yet.
//
// In a large fleet a random sample of daemons calls, somewhat earlier, and the others
// get the data from them. A daemon whose own call failed waits as usual.
func (s *Store) mustCallStore(t port.Topic) bool {
	if s.Daemons == nil {
		return false
	}
	daemons, bound := s.Daemons(), s.bound(t)
	age, known := s.age(t)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !known || s.callFailed || s.callerRank*float64(daemons) >= maxCallersInTime {
		return false
	}
	if daemons > maxCallersInTime {
		return age >= askAge(bound)
	}
	return age >= callAge(bound)
}
