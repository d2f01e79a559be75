// Package saved keeps parts of each daemon's state on the platform, for the loss of all
// daemons at once. As long as one lives, daemons learn such state from each other.
package saved

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
)

const (
	// minInterval is the shortest time between two saves of a daemon.
	minInterval = 200 * time.Millisecond
	// writeShare is the share of the store's write rate that the saves of all daemons may
	// take, for each kind of state.
	writeShare = 0.05
	// cleanInterval is the interval at which the daemon that leads reads what lost daemons
	// have saved.
	cleanInterval = 20 * time.Second
	// maxBytes bounds the state in one record. The store limits a record to 256 KiB.
	maxBytes = 200 << 10
	// maxSkew is the difference up to which the clocks of two VMs may disagree on whether
	// a daemon was running.
	maxSkew = 5 * time.Second
	// callTimeout bounds the calls of one update.
	callTimeout = 2 * time.Second
)

// State is a part of a daemon's state.
type State interface {
	// Unsaved returns the encoded state, at most maxBytes of it, if it has changed since
	// the last call or if retry is set, which means that the last result wasn't saved. It
	// returns nil if there is nothing to save.
	Unsaved(retry bool, maxBytes int) ([]byte, error)
	// Restore applies state that some daemon saved the given time ago. lost reports
	// whether no live daemon was running then, so that none has learned it from its peers.
	// adopted means that this daemon saves what is still of use of it from now on.
	Restore(data []byte, age time.Duration, lost bool) (adopted bool, err error)
	// Expired reports whether state that was saved the given time ago is of no use any
	// more.
	Expired(data []byte, age time.Duration) bool
}

// Options configures a Keeper. All fields but Refresh are required.
type Options struct {
	Records Records
	State   State
	// Key is that of this daemon's record. It differs for each start of a daemon.
	Key string
	// MayLead reports whether this daemon reads for the fleet.
	MayLead func() bool
	// Live returns the keys of the live daemons, including this one, and when they started.
	Live func() map[string]time.Time
	// Refresh is the interval at which unchanged state is saved again, where records are
	// kept for a limited time. 0 means never.
	Refresh time.Duration
}

// Keeper saves one part of a daemon's state, and restores that of lost daemons. It is
// used by one goroutine.
type Keeper struct {
	o         Options
	unsaved   bool      // the last save failed
	savedAt   time.Time // zero: nothing was saved
	cleanedAt time.Time // zero: the records weren't read since this daemon leads
	adopted   []string  // keys of records that aren't needed once the state is saved
	failing   bool      // the last call failed
}

// New returns a Keeper.
func New(o Options) *Keeper { return &Keeper{o: o} }

// Interval returns the time between two calls of Keeper.Update in a fleet, if the store
// accepts the given rate of writes.
func Interval(daemons int, writesPerSecond float64) time.Duration {
	return max(minInterval, time.Duration(float64(daemons)/(writeShare*writesPerSecond)*float64(time.Second)))
}

// snapshot is the value of a daemon's record.
type snapshot struct {
	_       struct{} `cbor:",toarray"`
	SavedMs int64    // Unix milliseconds
	Data    []byte
}

// age returns the time since the record was saved. A clock that was set back doesn't make
// it negative.
func (s *snapshot) age(now time.Time) time.Duration {
	return max(0, time.Duration(now.UnixMilli()-s.SavedMs)*time.Millisecond)
}

// Update saves the state with one write if it has changed. On the daemon that leads it
// restores what lost daemons have saved, and removes what isn't needed any more.
func (k *Keeper) Update(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := k.save(ctx)
	if leadErr := k.lead(ctx, time.Now()); err == nil {
		err = leadErr
	}
	if err != nil && !k.failing {
		log.WithError(err).WithField("key", k.o.Key).Warn("saved: can't keep state on the platform; retrying")
	}
	k.failing = err != nil
}

func (k *Keeper) save(ctx context.Context) error {
	data, err := k.o.State.Unsaved(k.unsaved || k.needsRefresh(), maxBytes)
	if err != nil {
		return err
	}
	if data != nil {
		value, err := cbor.Marshal(&snapshot{SavedMs: time.Now().UnixMilli(), Data: data})
		if err != nil {
			return fmt.Errorf("saved: encode: %w", err)
		}
		err = k.o.Records.Put(ctx, k.o.Key, value)
		if k.unsaved = err != nil; k.unsaved {
			return err
		}
		k.savedAt = time.Now()
	}
	k.unsaved = false
	for len(k.adopted) > 0 {
		if err := k.o.Records.Put(ctx, k.adopted[0], nil); err != nil {
			return err
		}
		k.adopted = k.adopted[1:]
	}
	return nil
}

func (k *Keeper) needsRefresh() bool {
	return k.o.Refresh > 0 && !k.savedAt.IsZero() && time.Since(k.savedAt) >= k.o.Refresh
}

// lead reads the records of all daemons, on the one that leads.
func (k *Keeper) lead(ctx context.Context, now time.Time) error {
	if !k.o.MayLead() {
		k.cleanedAt = time.Time{}
		return nil
	}
	first := k.cleanedAt.IsZero()
	if !first && now.Sub(k.cleanedAt) < cleanInterval || len(k.adopted) > 0 {
		return nil
	}
	records, err := k.read(ctx)
	if err != nil {
		return err
	}
	k.cleanedAt = now
	live := k.o.Live()
	for key, rec := range records {
		if _, alive := live[key]; alive {
			continue
		}
		if k.restore(key, &rec, live, now) {
			k.adopted = append(k.adopted, key)
		}
	}
	if first {
		log.WithFields(log.Fields{"key": k.o.Key, "records": len(records), "adopted": len(k.adopted)}).Info("saved: read the saved state")
	}
	return nil
}

func (k *Keeper) read(ctx context.Context) (map[string]snapshot, error) {
	records := make(map[string]snapshot)
	err := k.o.Records.Newest(ctx, func(key string, value []byte) {
		var rec snapshot
		if err := cbor.Unmarshal(value, &rec); err != nil {
			log.WithError(err).WithField("key", key).Warn("saved: can't decode a record")
			return
		}
		records[key] = rec
	})
	return records, err
}

// restore restores the record of a lost daemon and reports whether it isn't needed any
// more.
func (k *Keeper) restore(key string, rec *snapshot, live map[string]time.Time, now time.Time) bool {
	age := rec.age(now)
	adopted, err := k.o.State.Restore(rec.Data, age, rec.lost(live))
	if err != nil {
		log.WithError(err).WithField("key", key).Warn("saved: can't restore a record")
		return false
	}
	return adopted || k.o.State.Expired(rec.Data, age)
}

// lost reports whether none of the live daemons was running when the record was saved.
func (s *snapshot) lost(live map[string]time.Time) bool {
	for _, started := range live {
		if started.Add(maxSkew).Before(time.UnixMilli(s.SavedMs)) {
			return false
		}
	}
	return true
}
