// Package versions keeps in the store which software versions the targets of each
// service have had recently. Daemons that start ask each other for them; the store
// answers when all daemons were lost at once. Without it none would know at which
// version the streams of that moment began, although there was only one.
package versions

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/connection/origin"
	"github.com/pomelospool/pomelospool/port"
)

// Options configures a Keeper. All fields are required.
type Options struct {
	Store   port.Store
	History *origin.History
	// Lifetime returns how long streams of a service last, or 0 if they aren't taken
	// up.
	Lifetime func(service string) time.Duration
	// MayLead reports whether this daemon reads and writes for the fleet.
	MayLead func() bool
}

// Keeper reads and writes the versions. It is used by one goroutine.
type Keeper struct {
	o       Options
	read    bool                // stored is as of this daemon's turn to lead
	gaps    int                 // of the history when stored was read
	stored  map[string][]string // versions by service, sorted
	failing bool                // the last call failed
}

// New returns a Keeper.
func New(o Options) *Keeper { return &Keeper{o: o} }

// callTimeout bounds the calls of one update.
const callTimeout = 2 * time.Second

// Update has to be called about once a second. On the daemon that leads it reads the
// stored versions once and writes those that have changed.
func (k *Keeper) Update(ctx context.Context) {
	if !k.o.MayLead() {
		k.read = false
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := k.load(ctx)
	if err == nil {
		err = k.save(ctx)
	}
	if err != nil && !k.failing {
		log.WithError(err).Warn("versions: can't keep software versions in the store; retrying")
	}
	k.failing = err != nil
}

// load reads the stored versions, again if this daemon may have missed changes. A
// version that is in use for longer than a list of targets stays current is stored.
func (k *Keeper) load(ctx context.Context) error {
	gaps := k.o.History.Gaps()
	if k.read && k.gaps == gaps {
		return nil
	}
	stored := make(map[string][]string)
	err := port.Newest(ctx, k.o.Store, port.TopicVersions, func(r port.KeyedRecord) {
		var software []string
		if err := json.Unmarshal(r.Value, &software); err != nil {
			log.WithError(err).WithField("service", r.Key).Warn("versions: can't decode stored software versions")
			return
		}
		stored[r.Key] = software
	})
	if err != nil {
		return err
	}
	k.stored, k.read, k.gaps = stored, true, gaps
	for service, software := range stored {
		if len(software) == 1 {
			k.o.History.Inherit(service, software[0], k.o.Lifetime(service))
		}
	}
	log.WithFields(log.Fields{"services": len(stored)}).Info("versions: read the stored software versions")
	return nil
}

// save writes the versions of the services whose streams may be taken up. A daemon
// that may have missed changes removes none.
func (k *Keeper) save(ctx context.Context) error {
	for _, service := range k.o.History.Services() {
		lifetime := k.o.Lifetime(service)
		software, complete := k.o.History.Seen(service, lifetime)
		old := k.stored[service]
		if !complete {
			software = slices.Concat(software, old)
			slices.Sort(software)
			software = slices.Compact(software)
		}
		if lifetime == 0 || len(software) == 0 || slices.Equal(software, old) {
			continue
		}
		value, err := json.Marshal(software)
		if err != nil {
			return err
		}
		if _, err := k.o.Store.Put(ctx, port.TopicVersions, service, value); err != nil {
			return err
		}
		k.stored[service] = software
		log.WithFields(log.Fields{"service": service, "software": software}).Info("versions: stored software versions")
	}
	return nil
}
