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
	// probeTimeout bounds a probe of the store: three times what it takes when it
	// is slow.
	probeTimeout = patience
	// probeEvery is the time between two probes of a store that doesn't answer.
	probeEvery = time.Second
)

// Reach is a port.Store that knows whether it answers this daemon's own calls.
// Reads that other daemons relay say nothing of that: a daemon that leads and
// alone is cut off from the store would keep its duties and do none of them.
type Reach struct {
	port.Store
	suspected chan struct{}

	mu   sync.Mutex
	away bool
}

// NewReach returns a Reach over a store that answers.
func NewReach(s port.Store) *Reach {
	return &Reach{Store: s, suspected: make(chan struct{}, 1)}
}

// Away reports whether the store doesn't answer.
func (r *Reach) Away() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.away
}

// Newest implements port.Store.
func (r *Reach) Newest(ctx context.Context, t port.Topic, after string) (port.KeyedPage, error) {
	page, err := r.Store.Newest(ctx, t, after)
	r.Suspect(ctx, err)
	return page, err
}

// PutAt implements port.Store.
func (r *Reach) PutAt(ctx context.Context, t port.Topic, key string, value []byte, at int64) (int64, error) {
	offset, err := r.Store.PutAt(ctx, t, key, value, at)
	r.Suspect(ctx, err)
	return offset, err
}

// Suspect has the store probed after a call that it didn't answer. The call
// alone shows little: answers to writes may be lost.
func (r *Reach) Suspect(ctx context.Context, err error) {
	if ctx.Err() != nil || !errors.Is(err, port.ErrUnavailable) {
		return
	}
	select {
	case r.suspected <- struct{}{}:
	default:
	}
}

// Run probes the store when it is suspected, until ctx ends.
func (r *Reach) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.suspected:
		}
		for err := r.probe(ctx); err != nil && ctx.Err() == nil; err = r.probe(ctx) {
			r.set(true, err)
			_ = pause.For(ctx, probeEvery)
		}
		r.set(false, nil)
	}
}

func (r *Reach) probe(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := r.Store.Newest(ctx, port.TopicClaims, "")
	return err
}

func (r *Reach) set(away bool, cause error) {
	r.mu.Lock()
	changed := r.away != away
	r.away = away
	r.mu.Unlock()
	switch {
	case changed && away:
		log.WithError(cause).Warn("relay: the store doesn't answer this daemon, which gives up its duties")
	case changed:
		log.Info("relay: the store answers this daemon again")
	}
}
