package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/internal/pause"
	"github.com/pomelospool/pomelospool/port"
)

// listBackoff is the wait after a failed listing of the daemons.
const listBackoff = 500 * time.Millisecond

// entry is what a daemon writes of itself into the store, under its VM's name.
type entry struct {
	Addr     string `json:"addr"` // for the other daemons
	Zone     string `json:"zone"`
	LinkMbps uint32 `json:"link_mbps,omitempty"`
}

// announce writes this daemon into the store and learns the others from it.
// Two daemons that start at once find each other: whoever lists second sees
// the first, and its heartbeat reaches the other.
func (r *Roster) announce() error {
	ctx := r.tomb.Context(context.Background())
	value, err := json.Marshal(entry{Addr: r.o.Self.PeerAddr, Zone: r.o.Self.Zone, LinkMbps: r.o.Self.LinkMbps})
	if err != nil {
		return fmt.Errorf("roster: own entry: %w", err)
	}
	written, failed := false, 0
	for r.tomb.Alive() {
		if !written {
			_, err = r.o.Store.Put(ctx, port.TopicDaemons, r.o.Self.VM, value)
			written = err == nil
		}
		if written {
			err = r.list(ctx)
		}
		if failed > 0 || err == nil {
			r.listedOne.Do(func() { close(r.listed) })
		}
		if err == nil {
			return nil
		}
		failed++
		log.WithError(err).Debug("roster: daemons not listed yet")
		if pause.For(ctx, listBackoff) != nil {
			return nil
		}
	}
	return nil
}

func (r *Roster) list(ctx context.Context) error {
	after := ""
	for {
		page, err := r.o.Store.Newest(ctx, port.TopicDaemons, after)
		if err != nil {
			return err
		}
		r.mu.Lock()
		for _, rec := range page.Records {
			var e entry
			if err := json.Unmarshal(rec.Value, &e); err != nil {
				log.WithError(err).WithField("vm", rec.Key).Warn("roster: entry can't be read")
				continue
			}
			r.addPeer(Member{VM: rec.Key, PeerAddr: e.Addr, Zone: e.Zone, LinkMbps: e.LinkMbps})
		}
		r.mu.Unlock()
		if !page.More || len(page.Records) == 0 {
			r.mu.Lock()
			r.listedAt = time.Now()
			r.mu.Unlock()
			r.send(false)
			return nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
}
