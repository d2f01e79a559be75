// Package storetest holds a store in memory for tests.
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

// Store is a port.Store of keyed topics. Its zero value is empty.
type Store struct {
	mu     sync.Mutex
	topics map[port.Topic][]port.KeyedRecord
	away   bool
	lose   bool
}

var _ port.Store = (*Store)(nil)

// SetAway has calls fail, with no effect.
func (s *Store) SetAway(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = on
}

// LoseAnswers has writes done and not answered.
func (s *Store) LoseAnswers(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = on
}

// Newest implements port.Store.
func (s *Store) Newest(_ context.Context, t port.Topic, _ string) (port.KeyedPage, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
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
	if s.away {
		return 0, port.ErrUnavailable
	}
	if at != int64(len(s.topics[t])) {
		return 0, port.ErrConflict
	}
	if s.topics == nil {
		s.topics = make(map[port.Topic][]port.KeyedRecord)
	}
	s.topics[t] = append(s.topics[t], port.KeyedRecord{Key: key, Value: value, Offset: at})
	if s.lose {
		return 0, port.ErrUnavailable
	}
	return at, nil
}

var errNotUsed = errors.New("storetest: not used")

// Put implements port.Store. It isn't used.
func (s *Store) Put(context.Context, port.Topic, string, []byte) (int64, error) {
	return 0, errNotUsed
}

// Read implements port.Store. It isn't used.
func (s *Store) Read(context.Context, port.Topic, int64, time.Duration) (port.KeyedBatch, error) {
	return port.KeyedBatch{}, errNotUsed
}
