// Package storetest provides an in-memory store with fault injection for tests.
package storetest

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// Store implements port.Store for keyed topics. Its zero value is an empty
// store.
type Store struct {
	mu          sync.Mutex
	topics      map[port.Topic][]port.KeyedRecord
	unavailable bool
	loseAnswers bool
}

var _ port.Store = (*Store)(nil)

// SetUnavailable makes calls fail without effect, or work again.
func (s *Store) SetUnavailable(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = on
}

// LoseAnswers makes writes take effect but return an error.
func (s *Store) LoseAnswers(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers = on
}

// Newest implements port.Store.
func (s *Store) Newest(_ context.Context, t port.Topic, _ string) (port.KeyedPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return port.KeyedPage{}, port.ErrUnavailable
	}
	newest := make(map[string]port.KeyedRecord)
	for _, r := range s.topics[t] {
		newest[r.Key] = r
	}
	return port.KeyedPage{End: int64(len(s.topics[t])), Records: slices.Collect(maps.Values(newest))}, nil
}

// PutAt implements port.Store.
func (s *Store) PutAt(_ context.Context, t port.Topic, key string, value []byte, at int64) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable {
		return 0, port.ErrUnavailable
	}
	if at != int64(len(s.topics[t])) {
		return 0, port.ErrConflict
	}
	if s.topics == nil {
		s.topics = make(map[port.Topic][]port.KeyedRecord)
	}
	s.topics[t] = append(s.topics[t], port.KeyedRecord{Key: key, Value: value, Offset: at})
	if s.loseAnswers {
		return 0, port.ErrUnavailable
	}
	return at, nil
}

var errNotImplemented = errors.New("storetest: not implemented")

// Put implements port.Store. It always returns an error.
func (s *Store) Put(context.Context, port.Topic, string, []byte) (int64, error) {
	return 0, errNotImplemented
}

// Read implements port.Store. It always returns an error.
func (s *Store) Read(context.Context, port.Topic, int64, time.Duration) (port.KeyedBatch, error) {
	return port.KeyedBatch{}, errNotImplemented
}
