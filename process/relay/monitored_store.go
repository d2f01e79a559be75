package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
)

const (
	// probeTimeout bounds a probe of the store. It is three times the latency
	// of a slow store.
	probeTimeout = readGrace
	// probeInterval is the time between two probes of a store that doesn't
	// answer.
	probeInterval = time.Second
)

// MonitoredStore is a port.Store that tracks whether the store answers this
// daemon's own calls. Reads relayed by other daemons don't show this: a leader
// that alone is cut off from the store would keep its duties without being able
// to perform them.
type MonitoredStore struct {
	port.Store
	probeRequested chan struct{}

	mu          sync.Mutex
	unavailable bool
}

// NewMonitoredStore returns a MonitoredStore for a store that is assumed to be
// available.
func NewMonitoredStore(s port.Store) *MonitoredStore {
	return &MonitoredStore{Store: s, probeRequested: make(chan struct{}, 1)}
}

// Unavailable reports whether the store doesn't answer this daemon.
func (m *MonitoredStore) Unavailable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unavailable
}

// Newest implements port.Store.
func (m *MonitoredStore) Newest(ctx context.Context, t port.Topic, after string) (port.KeyedPage, error) {
	page, err := m.Store.Newest(ctx, t, after)
	m.ReportError(ctx, err)
	return page, err
}

// PutAt implements port.Store.
func (m *MonitoredStore) PutAt(ctx context.Context, t port.Topic, key string, value []byte, at int64) (int64, error) {
	offset, err := m.Store.PutAt(ctx, t, key, value, at)
	m.ReportError(ctx, err)
	return offset, err
}

// ReportError requests a probe of the store if err shows that a call failed
// because the store was unavailable. A failed call alone doesn't mark the store
// as unavailable, since single answers to writes may be lost.
func (m *MonitoredStore) ReportError(ctx context.Context, err error) {
	if ctx.Err() != nil || !errors.Is(err, port.ErrUnavailable) {
		return
	}
	select {
	case m.probeRequested <- struct{}{}:
	default:
	}
}

// Run probes the store whenever a probe is requested, until ctx ends.
func (m *MonitoredStore) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.probeRequested:
		}
		for err := m.probe(ctx); err != nil && ctx.Err() == nil; err = m.probe(ctx) {
			m.setUnavailable(true, err)
			_ = pause.For(ctx, probeInterval)
		}
		m.setUnavailable(false, nil)
	}
}

func (m *MonitoredStore) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := m.Store.Newest(ctx, port.TopicClaims, "")
	return err
}

func (m *MonitoredStore) setUnavailable(unavailable bool, cause error) {
	m.mu.Lock()
	changed := m.unavailable != unavailable
	m.unavailable = unavailable
	m.mu.Unlock()
	switch {
	case changed && unavailable:
		log.WithError(cause).Warn("relay: the store doesn't answer this daemon; giving up its duties")
	case changed:
		log.Info("relay: the store answers this daemon again")
	}
}
