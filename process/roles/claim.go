package roles

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/port"
)

// claimRecord is what a claim says. Its offset in the topic is the fencing
// number of the orders that are given under it.
type claimRecord struct {
	Holder string `json:"holder"`
}

// usableShare is the part of the lease in which a claim is acted on. The rest
// is for orders on their way and for clocks that drift.
const usableShare = 0.6

// waitMargin is added to the lease before another holder's claim counts as
// over.
const waitMargin = 400 * time.Millisecond

// claim is this process's right to give orders to a service's engines.
type claim struct {
	fence int64
	until time.Duration // on the claims' clock
}

// claims takes the right to give orders to a service's engines, one service at
// a time. A claim is one conditional write and is never renewed: it ends by
// itself, and acting again takes another one.
//
// The failure it stops is two holders that give orders in turn. Each claim has
// a higher offset than the one before, and is written only at the offset that
// the topic was seen to end at, so that of two who race one fails. Whoever
// finds another holder's claim waits until it has stood unchanged for the
// lease, by what any daemon saw. A holder acts only on the first part of its lease, counted from
// before its write.
type claims struct {
	self  string
	store port.Store
	lease time.Duration
	now   func() time.Duration

	held map[string]claim
	seen *Sightings
}

// errNotYet means that another holder's lease may still run.
var errNotYet = errors.New("roles: another daemon may still give orders")

// get returns a claim that may be acted on now.
func (c *claims) get(ctx context.Context, service string) (claim, error) {
	if held, ok := c.held[service]; ok && c.now() < held.until {
		return held, nil
	}
	delete(c.held, service)
	begun := c.now()
	last, end, err := c.last(ctx, service)
	if err != nil {
		return claim{}, err
	}
	if err := c.over(service, last); err != nil {
		return claim{}, err
	}
	value, err := json.Marshal(claimRecord{Holder: c.self})
	if err != nil {
		return claim{}, fmt.Errorf("roles: %w", err)
	}
	fence, err := c.store.PutAt(ctx, port.TopicClaims, service, value, end)
	if err != nil {
		return claim{}, err
	}
	c.seen.age(service, fence)
	taken := claim{fence: fence, until: begun + time.Duration(usableShare*float64(c.lease))}
	c.held[service] = taken
	log.WithFields(log.Fields{"service": service, "fence": fence, "lease_ms": c.lease.Milliseconds()}).Info("roles: claimed")
	return taken, nil
}

// lastClaim is the newest claim for a service.
type lastClaim struct {
	holder string
	offset int64
	exists bool
}

// last reads the newest claim for the service, and the topic's end before it.
func (c *claims) last(ctx context.Context, service string) (lastClaim, int64, error) {
	after := ""
	var end int64
	for first := true; ; first = false {
		page, err := c.store.Newest(ctx, port.TopicClaims, after)
		if err != nil {
			return lastClaim{}, 0, err
		}
		if first {
			end = page.End
		}
		for _, r := range page.Records {
			if r.Key != service {
				continue
			}
			var rec claimRecord
			if err := json.Unmarshal(r.Value, &rec); err != nil {
				return lastClaim{}, 0, fmt.Errorf("roles: claim at offset %d: %w", r.Offset, err)
			}
			return lastClaim{holder: rec.Holder, offset: r.Offset, exists: true}, end, nil
		}
		if !page.More || len(page.Records) == 0 {
			return lastClaim{}, end, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
}

// over reports whether no other holder can act any more.
func (c *claims) over(service string, last lastClaim) error {
	if !last.exists {
		return nil
	}
	age := c.seen.age(service, last.offset)
	if last.holder != c.self && age < c.lease+waitMargin {
		return errNotYet
	}
	return nil
}

// sight reads the newest claim, so that its lease is over by the time that
// orders are needed.
func (c *claims) sight(ctx context.Context, service string) error {
	last, _, err := c.last(ctx, service)
	if err == nil && last.exists {
		c.seen.age(service, last.offset)
	}
	return err
}

// drop gives a claim up, because an engine knows of a newer one.
func (c *claims) drop(service string) { delete(c.held, service) }
