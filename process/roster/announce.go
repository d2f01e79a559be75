package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
)

const (
	// listBackoff is the delay after a failed listing of the contacts.
	listBackoff = 500 * time.Millisecond
	// minContacts is the number of contacts that suffices. With that many a starting
	// daemon knows that the fleet is large.
	minContacts = maxFullMeshPeers + 2
	// minZoneContacts is the number of contacts in a daemon's availability zone, with
	// links at least as wide as its own, that suffices.
	minZoneContacts = 4
	// contactDelay is the maximum delay before a daemon with a link of 1 Mbit/s becomes a
	// contact; it shrinks in proportion to the bandwidth. maxContactDelay bounds it for
	// all daemons. The delay lets daemons with wider links become contacts first.
	contactDelay    = 10 * time.Second
	maxContactDelay = time.Second
	// noContactTimeout is the time without a datagram after which a daemon becomes a
	// contact, because the contacts that it found are gone.
	noContactTimeout = 3 * time.Second
)

// contactRecord is what a contact stores about itself, under its VM's name.
type contactRecord struct {
	Addr     string `json:"addr"` // peer address
	Zone     string `json:"zone"`
	LinkMbps uint32 `json:"link_mbps,omitempty"`
}

// announce discovers the other daemons and makes this one discoverable.
//
// The store holds a few contacts of each availability zone, those with the widest links.
// Daemons learn of all others from these contacts. If each of a thousand daemons wrote its
// own record at its start and listed all, that would be 3,000 calls and 136 MB, which are
// billed.
//
// Two daemons that start at the same time find each other: of two contacts, the one that
// lists second sees the first, and its heartbeat reaches the first one.
func (r *Roster) announce() error {
	ctx := r.tomb.Context(context.Background())
	for failed := 0; ; failed++ {
		err := r.join(ctx)
		if err == nil || failed > 0 {
			r.listedOnce.Do(func() { close(r.listed) })
		}
		if err == nil {
			break
		}
		log.WithError(err).Debug("roster: listing or writing contacts failed; retrying")
		if pause.For(ctx, listBackoff) != nil {
			return nil
		}
	}
	for !r.isContact {
		if pause.For(ctx, noContactTimeout) != nil {
			return nil
		}
		if r.hasRecentContact(time.Now()) {
			continue
		}
		if err := r.becomeContact(ctx); err != nil {
			log.WithError(err).Debug("roster: writing the contact record failed; retrying")
		}
	}
	return nil
}

// join lists the contacts, and makes this daemon a contact if more are needed.
func (r *Roster) join(ctx context.Context) error {
	contacts, err := r.listContacts(ctx)
	if err != nil || r.isContact || r.enoughContacts(contacts) {
		return err
	}
	if err := pause.For(ctx, r.delay()); err != nil {
		return err
	}
	if contacts, err = r.listContacts(ctx); err != nil || r.enoughContacts(contacts) {
		return err
	}
	return r.becomeContact(ctx)
}

// becomeContact writes this daemon's record to the store and lists the contacts that were
// written meanwhile.
func (r *Roster) becomeContact(ctx context.Context) error {
	self := &r.o.Self
	value, err := json.Marshal(contactRecord{Addr: self.PeerAddr, Zone: self.Zone, LinkMbps: self.LinkMbps})
	if err != nil {
		return fmt.Errorf("roster: encode contact record: %w", err)
	}
	if _, err := r.o.Store.Put(ctx, port.TopicDaemons, self.VM, value); err != nil {
		return err
	}
	r.isContact = true
	_, err = r.listContacts(ctx)
	return err
}

// delay returns a random time to wait before this daemon becomes a contact. It is shorter
// for wide links, because daemons with wide links are better contacts.
func (r *Roster) delay() time.Duration {
	return rand.N(min(contactDelay/time.Duration(r.o.Self.link()), maxContactDelay))
}

// enoughContacts reports whether the listed contacts suffice, so that this daemon needn't
// become one. They also suffice if this daemon is among them.
func (r *Roster) enoughContacts(contacts map[string]contactRecord) bool {
	total, near := 0, 0
	for vm, e := range contacts {
		if vm == r.o.Self.VM && e.Addr == r.o.Self.PeerAddr {
			r.isContact = true
			return true
		}
		total++
		if e.Zone == r.o.Self.Zone && e.LinkMbps >= r.o.Self.LinkMbps {
			near++
		}
	}
	return total >= minContacts && near >= minZoneContacts
}

// hasRecentContact reports whether a datagram of any other daemon arrived recently.
func (r *Roster) hasRecentContact(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.agg.lastContact) < noContactTimeout
}

// listContacts reads the contacts from the store, by VM name, and adds them as peers.
func (r *Roster) listContacts(ctx context.Context) (map[string]contactRecord, error) {
	contacts := make(map[string]contactRecord)
	after := ""
	for {
		page, err := r.o.Store.Newest(ctx, port.TopicDaemons, after)
		if err != nil {
			return nil, err
		}
		for _, rec := range page.Records {
			var e contactRecord
			if err := json.Unmarshal(rec.Value, &e); err != nil {
				log.WithError(err).WithField("vm", rec.Key).Warn("roster: can't decode contact record")
				continue
			}
			contacts[rec.Key] = e
		}
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	r.mu.Lock()
	for vm, e := range contacts {
		r.addPeer(Member{VM: vm, PeerAddr: e.Addr, Zone: e.Zone, LinkMbps: e.LinkMbps})
	}
	if r.listedAt.IsZero() {
		r.listedAt = time.Now()
	}
	r.upstreamAt = time.Time{}
	r.mu.Unlock()
	r.sendHeartbeat(false)
	return contacts, nil
}
