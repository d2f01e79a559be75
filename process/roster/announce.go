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
	// listBackoff is the wait after a failed listing of the contacts.
	listBackoff = 500 * time.Millisecond
	// leastContacts is the number of contacts that are enough: with as many a
	// daemon that starts knows that the fleet is large.
	leastContacts = smallFleet + 2
	// zoneContacts is the number of contacts of an availability zone with links at
	// least as wide as its own that are enough for a daemon.
	zoneContacts = 4
	// contactDelay is the longest that a daemon with a link of one Mbit/s leaves
	// others precedence to become contacts, and maxContactDelay that of any.
	contactDelay    = 10 * time.Second
	maxContactDelay = time.Second
	// unheardAfter is the time without a datagram after which a daemon becomes a
	// contact, since those that it found are gone.
	unheardAfter = 3 * time.Second
)

// entry is what a contact writes of itself into the store, under its VM's name.
type entry struct {
	Addr     string `json:"addr"` // for the other daemons
	Zone     string `json:"zone"`
	LinkMbps uint32 `json:"link_mbps,omitempty"`
}

// announce has this daemon find the others, and be found.
//
// The store holds a few contacts of each availability zone, with the widest links,
// and the daemons learn of all others from these. The load that it answers: each
// of a thousand daemons writes itself at its start and lists all, 3,000 calls and
// 136 MB, which are paid for.
//
// Two daemons that start at once find each other: of two contacts, the one
// that lists second sees the first, and its heartbeat reaches the other.
func (r *Roster) announce() error {
	ctx := r.tomb.Context(context.Background())
	for failed := 0; ; failed++ {
		err := r.join(ctx)
		if err == nil || failed > 0 {
			r.listedOne.Do(func() { close(r.listed) })
		}
		if err == nil {
			break
		}
		log.WithError(err).Debug("roster: contacts not listed yet")
		if pause.For(ctx, listBackoff) != nil {
			return nil
		}
	}
	for !r.written {
		if pause.For(ctx, unheardAfter) != nil {
			return nil
		}
		if r.contacted(time.Now()) {
			continue
		}
		if err := r.becomeContact(ctx); err != nil {
			log.WithError(err).Debug("roster: not written as a contact yet")
		}
	}
	return nil
}

// join lists the contacts, and has this daemon become one if more are needed.
func (r *Roster) join(ctx context.Context) error {
	contacts, err := r.list(ctx)
	if err != nil || r.written || r.enoughContacts(contacts) {
		return err
	}
	if err := pause.For(ctx, r.delay()); err != nil {
		return err
	}
	if contacts, err = r.list(ctx); err != nil || r.enoughContacts(contacts) {
		return err
	}
	return r.becomeContact(ctx)
}

// becomeContact writes this daemon into the store, and lists those that others
// have written meanwhile.
func (r *Roster) becomeContact(ctx context.Context) error {
	self := &r.o.Self
	value, err := json.Marshal(entry{Addr: self.PeerAddr, Zone: self.Zone, LinkMbps: self.LinkMbps})
	if err != nil {
		return fmt.Errorf("roster: own entry: %w", err)
	}
	if _, err := r.o.Store.Put(ctx, port.TopicDaemons, self.VM, value); err != nil {
		return err
	}
	r.written = true
	_, err = r.list(ctx)
	return err
}

// delay is how long this daemon leaves others precedence: those with wide links
// are the better contacts.
func (r *Roster) delay() time.Duration {
	return rand.N(min(contactDelay/time.Duration(r.o.Self.link()), maxContactDelay))
}

// enoughContacts reports whether this daemon needn't be one too. It is one already
// if it finds itself.
func (r *Roster) enoughContacts(contacts map[string]entry) bool {
	total, near := 0, 0
	for vm, e := range contacts {
		if vm == r.o.Self.VM && e.Addr == r.o.Self.PeerAddr {
			r.written = true
			return true
		}
		total++
		if e.Zone == r.o.Self.Zone && e.LinkMbps >= r.o.Self.LinkMbps {
			near++
		}
	}
	return total >= leastContacts && near >= zoneContacts
}

// contacted reports whether a datagram of any other daemon came recently.
func (r *Roster) contacted(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.agg.lastContact) < unheardAfter
}

// list reads the contacts, by VM.
func (r *Roster) list(ctx context.Context) (map[string]entry, error) {
	contacts := make(map[string]entry)
	after := ""
	for {
		page, err := r.o.Store.Newest(ctx, port.TopicDaemons, after)
		if err != nil {
			return nil, err
		}
		for _, rec := range page.Records {
			var e entry
			if err := json.Unmarshal(rec.Value, &e); err != nil {
				log.WithError(err).WithField("vm", rec.Key).Warn("roster: entry can't be read")
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
	r.send(false)
	return contacts, nil
}
