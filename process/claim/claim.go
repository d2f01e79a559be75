// Package claim gives one daemon at a time the right to act on a subject: to
// send orders to a service's engines, or to call the platform on behalf of all
// daemons. It prevents two daemons from acting alternately, and a daemon that was
// paused from acting after another one took over.
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

// claimRecord is the stored value of a claim. The record's offset in the topic is
// the fencing number of the orders that are sent under the claim.
type claimRecord struct {
	Holder string `json:"holder"`
}

// usableFraction is the fraction of the lease during which a holder acts on its
// claim. The rest covers orders in flight and clock drift.
const usableFraction = 0.6

// waitMargin is added to the lease before another holder's claim counts as
// expired.
const waitMargin = 400 * time.Millisecond

// Claim is this process's right to act on a subject.
type Claim struct {
	Fence int64         // fencing number, higher for each new claim
	Until time.Duration // end of validity, on Options.Clock
}

// Options configures Claims. All fields are required.
type Options struct {
	Self  string // name of this VM
	Store port.Store
	Lease time.Duration
	Clock clock.Clock
	Ages  *AgeTracker
}

// Claims takes claims on subjects. A claim is one conditional write and is never
// renewed: it expires, and acting again requires a new one. Claims is not safe
// for concurrent use.
//
// Each claim has a higher offset than the one before it. It is written only at
// the end of the topic as last read, so that one of two concurrent writes fails.
// A daemon that finds another holder's claim waits until that claim has been
// unchanged for the lease, by the observations of any daemon. A holder acts only
// during the first part of its lease, counted from before its write.
type Claims struct {
	o    Options
	held map[string]Claim
	// invalidAt is the offset after the last claim that couldn't be decoded, which is
	// logged once.
	invalidAt int64
}

// New returns Claims without any claim held.
func New(o Options) *Claims { return &Claims{o: o, held: make(map[string]Claim)} }

// ErrHeld means that another holder's lease may not have expired yet.
var ErrHeld = errors.New("claim: another daemon may still act")

// Valid reports whether the holder may act on the claim now.
func (c *Claims) Valid(claim Claim) bool { return c.o.Clock.Now() < claim.Until }

// Get returns a claim on the subject that is valid now, and takes a new one if
// necessary. It returns ErrHeld or port.ErrConflict if another daemon has a
// claim.
func (c *Claims) Get(ctx context.Context, subject string) (Claim, error) {
	if held, ok := c.held[subject]; ok && c.o.Clock.Now() < held.Until {
		return held, nil
	}
	delete(c.held, subject)
	start := c.o.Clock.Now()
	last, end, err := c.newest(ctx, subject)
	if err != nil {
		return Claim{}, err
	}
	if err := c.checkExpired(subject, last); err != nil {
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
	c.o.Ages.observe(subject, fence)
	taken := Claim{Fence: fence, Until: start + time.Duration(usableFraction*float64(c.o.Lease))}
	c.held[subject] = taken
	log.WithFields(log.Fields{"subject": subject, "fence": fence, "lease_ms": c.o.Lease.Milliseconds()}).Info("claim: taken")
	return taken, nil
}

// newestClaim is the newest stored claim on a subject.
type newestClaim struct {
	holder string
	offset int64
	exists bool
}

// newest returns the newest claim on the subject, and the end of the topic before
// the read.
func (c *Claims) newest(ctx context.Context, subject string) (newestClaim, int64, error) {
	after := ""
	var end int64
	for first := true; ; first = false {
		page, err := c.o.Store.Newest(ctx, port.TopicClaims, after)
		if err != nil {
			return newestClaim{}, 0, err
		}
		if first {
			end = page.End
		}
		for _, r := range page.Records {
			if r.Key != subject {
				continue
			}
			return newestClaim{holder: c.holderOf(r), offset: r.Offset, exists: true}, end, nil
		}
		if !page.More || len(page.Records) == 0 {
			return newestClaim{}, end, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
}

// holderOf returns the holder that a claim names. It is unknown, and empty, if another
// writer has replaced the claim by bytes that can't be decoded. That one expires like any
// claim, since its fencing number is higher than those before it.
func (c *Claims) holderOf(r port.KeyedRecord) string {
	var rec claimRecord
	if err := json.Unmarshal(r.Value, &rec); err != nil {
		if c.invalidAt != r.Offset+1 {
			c.invalidAt = r.Offset + 1
			log.WithError(err).WithFields(log.Fields{"subject": r.Key, "offset": r.Offset}).Warn("claim: can't decode a claim; its holder is unknown")
		}
		return ""
	}
	return rec.Holder
}

// checkExpired returns ErrHeld if another holder may still act under last.
func (c *Claims) checkExpired(subject string, last newestClaim) error {
	if !last.exists {
		return nil
	}
	age := c.o.Ages.observe(subject, last.offset)
	if last.holder != c.o.Self && age < c.o.Lease+waitMargin {
		return ErrHeld
	}
	return nil
}

// Observe reads the newest claim on the subject. It starts the wait for that
// claim's lease before this daemon needs a claim.
func (c *Claims) Observe(ctx context.Context, subject string) error {
	last, _, err := c.newest(ctx, subject)
	if err == nil && last.exists {
		c.o.Ages.observe(subject, last.offset)
	}
	return err
}

// Drop discards the held claim on the subject, because a newer one is known to
// other processes.
func (c *Claims) Drop(subject string) { delete(c.held, subject) }
