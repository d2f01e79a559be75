package relay

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/port"
)

// confirmTimeout bounds a call of Confirmation.Check. Requests wait for it.
const confirmTimeout = 200 * time.Millisecond

// Confirmation checks at the store that a cached topic is complete, whatever other
// daemons have answered. It is safe for concurrent use.
type Confirmation struct {
	store port.Store
	topic port.Topic
	cache *TopicCache

	calling chan struct{} // holds a value during a call, so that checks share calls
	begun   time.Duration // of the last call
	ok      bool          // its result
}

// NewConfirmation returns a Confirmation of the cache of a topic. Calls go to store,
// which must not read from other daemons.
func NewConfirmation(store port.Store, t port.Topic, cache *TopicCache) *Confirmation {
	return &Confirmation{store: store, topic: t, cache: cache, calling: make(chan struct{}, 1), begun: -1}
}

// Check reports whether the cache had all records at some time after the call of Check.
func (c *Confirmation) Check(ctx context.Context) bool {
	called := c.cache.now()
	select {
	case c.calling <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-c.calling }()
	if c.begun < called {
		c.begun = c.cache.now()
		c.ok = c.read(ctx)
	}
	return c.ok
}

func (c *Confirmation) read(ctx context.Context) bool {
	from, known := c.cache.nextOffset()
	if !known {
		return false
	}
	// Checks of other requests share the call, so it goes on if this one's caller leaves.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), confirmTimeout)
	defer cancel()
	batch, err := c.store.Read(ctx, c.topic, from, 0)
	if err != nil {
		log.WithError(err).WithField("topic", int(c.topic)).Info("relay: can't confirm the cached topic")
		return false
	}
	return len(c.cache.filterChanged(batch.Records)) == 0
}
