// Package claim gives one daemon at a time the right to act on a subject: to
// give orders to a service's engines, or to call the platform for a duty of the
// whole fleet. The failure it guards against is two daemons that act in turn,
// or one that was paused and doesn't know that another took over.
package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/clock"
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

// Claim is this process's right to act on a subject.
type Claim struct {
	Fence int64         // rises from claim to claim
	Until time.Duration // on the clock of Options
}

// Options of Claims. All are needed.
type Options struct {
	Self  string // this VM's name
	Store port.Store
	Lease time.Duration
	Clock clock.Clock
	Ages  *AgeTracker
}

// Claims takes claims, one subject at a time. A claim is one conditional write
// and is never renewed: it ends by itself, and acting again takes another one.
// It is used by one goroutine.
//
// Each claim has a higher offset than the one before, and is written only at
// the offset that the topic was seen to end at, so that of two who race one
// fails. Whoever finds another holder's claim waits until it has stood
// unchanged for the lease, by what any daemon saw. A holder acts only on the
// first part of its lease, counted from before its write.
type Claims struct {
	o    Options
	held map[string]Claim
}

// New returns Claims that hold nothing.
func New(o Options) *Claims { return &Claims{o: o, held: make(map[string]Claim)} }

// ErrHeld means that another holder's lease may still run.
var ErrHeld = errors.New("claim: another daemon may still act")

// Valid reports whether the claim may be acted on now.
func (c *Claims) Valid(one Claim) bool { return c.o.Clock.Now() < one.Until }

// Get returns a claim that may be acted on now. ErrHeld and port.ErrConflict:
// another daemon has one.
func (c *Claims) Get(ctx context.Context, subject string) (Claim, error) {
	if held, ok := c.held[subject]; ok && c.o.Clock.Now() < held.Until {
		return held, nil
	}
	delete(c.held, subject)
	begun := c.o.Clock.Now()
	last, end, err := c.last(ctx, subject)
	if err != nil {
		return Claim{}, err
	}
	if err := c.over(subject, last); err != nil {
		return Claim{}, err
	}
	value, err := json.Marshal(claimRecord{Holder: c.o.Self})
	if err != nil {
		return Claim{}, fmt.Errorf("claim: %w", err)
	}
	fence, err := c.o.Store.PutAt(ctx, port.TopicClaims, subject, value, end)
	if err != nil {
		return Claim{}, err
	}
	c.o.Ages.age(subject, fence)
	taken := Claim{Fence: fence, Until: begun + time.Duration(usableShare*float64(c.o.Lease))}
	c.held[subject] = taken
	log.WithFields(log.Fields{"subject": subject, "fence": fence, "lease_ms": c.o.Lease.Milliseconds()}).Info("claim: taken")
	return taken, nil
}

// lastClaim is the newest claim for a subject.
type lastClaim struct {
	holder string
	offset int64
	exists bool
}

// last reads the newest claim for the subject, and the topic's end before it.
func (c *Claims) last(ctx context.Context, subject string) (lastClaim, int64, error) {
	after := ""
	var end int64
	for first := true; ; first = false {
		page, err := c.o.Store.Newest(ctx, port.TopicClaims, after)
		if err != nil {
			return lastClaim{}, 0, err
		}
		if first {
			end = page.End
		}
		for _, r := range page.Records {
			if r.Key != subject {
				continue
			}
			var rec claimRecord
			if err := json.Unmarshal(r.Value, &rec); err != nil {
				return lastClaim{}, 0, fmt.Errorf("claim: claim at offset %d: %w", r.Offset, err)
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
func (c *Claims) over(subject string, last lastClaim) error {
	if !last.exists {
		return nil
	}
	age := c.o.Ages.age(subject, last.offset)
	if last.holder != c.o.Self && age < c.o.Lease+waitMargin {
		return ErrHeld
	}
	return nil
}

// Observe reads the newest claim, so that its lease is over by the time that a
// claim is needed.
func (c *Claims) Observe(ctx context.Context, subject string) error {
	last, _, err := c.last(ctx, subject)
	if err == nil && last.exists {
		c.o.Ages.age(subject, last.offset)
	}
	return err
}

// Drop gives a claim up for good, because others know of a newer one.
func (c *Claims) Drop(subject string) { delete(c.held, subject) }
