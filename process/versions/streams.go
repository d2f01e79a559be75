package versions

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/pomelospool/pomelospool/connection/origin"
	"github.com/pomelospool/pomelospool/port"
)

const (
	// minSaveInterval is the shortest time between two saves of a daemon.
	minSaveInterval = 200 * time.Millisecond
	// saveShare is the share of the store's write rate that all daemons' saves may take.
	saveShare = 0.05
	// reloadInterval is the interval at which the daemon that leads reads the saved
	// records, to remove expired ones.
	reloadInterval = time.Minute
	// maxSavedBytes bounds the value of one save. The store limits it to 256 KiB.
	maxSavedBytes = 200 << 10
)

// StreamOptions configures a StreamKeeper. All fields are required.
type StreamOptions struct {
	Store   port.Store
	Origins *origin.Tracker
	// Key is that of this daemon's record. It differs for each start of a daemon.
	Key string
	// MayLead reports whether this daemon reads for the fleet.
	MayLead func() bool
	// Daemons returns the number of daemons of the fleet.
	Daemons func() int
	// WritesPerSecond is the rate of writes that the store accepts from the fleet.
	WritesPerSecond float64
}

// StreamKeeper keeps in the store at which software versions the open streams of this
// daemon began. Daemons tell each other; the store answers when all were lost at once
// while targets of several versions served. It is used by one goroutine.
type StreamKeeper struct {
	o        StreamOptions
	failed   bool      // the last save failed
	loadedAt time.Time // zero: the saved records weren't read since this daemon leads
	failing  bool      // the last call failed
}

// NewStreamKeeper returns a StreamKeeper.
func NewStreamKeeper(o StreamOptions) *StreamKeeper { return &StreamKeeper{o: o} }

// savedStreams is the value of a daemon's record.
type savedStreams struct {
	_       struct{} `cbor:",toarray"`
	SavedMs int64    // Unix milliseconds
	Records []origin.Record
}

// withTimeLeft returns the records that are still kept at a time.
func (s *savedStreams) withTimeLeft(now time.Time) (out []origin.Record) {
	passed := max(now.UnixMilli()-s.SavedMs, 0)
	for _, r := range s.Records {
		if left := int64(r.LeftMs) - passed; left > 0 {
			r.LeftMs = uint32(left)
			out = append(out, r)
		}
	}
	return out
}

// Interval returns the time until the next call of Update.
func (k *StreamKeeper) Interval() time.Duration {
	perSecond := saveShare * k.o.WritesPerSecond
	return max(minSaveInterval, time.Duration(float64(k.o.Daemons())/perSecond*float64(time.Second)))
}

// Update saves the records of streams that have opened, with one write. On the daemon
// that leads it reads those of daemons that may be lost.
func (k *StreamKeeper) Update(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := k.save(ctx)
	if loadErr := k.load(ctx, time.Now()); err == nil {
		err = loadErr
	}
	if err != nil && !k.failing {
		log.WithError(err).Warn("versions: can't keep open streams in the store; retrying")
	}
	k.failing = err != nil
}

func (k *StreamKeeper) save(ctx context.Context) error {
	records, changed := k.o.Origins.Unsaved(k.failed)
	if len(records) == 0 || !changed && !k.failed {
		k.failed = false
		return nil
	}
	value, err := encodeStreams(records, time.Now())
	if err == nil {
		_, err = k.o.Store.Put(ctx, port.TopicStreams, k.o.Key, value)
	}
	k.failed = err != nil
	return err
}

// encodeStreams returns the value for the records, or for the first ones that fit.
func encodeStreams(records []origin.Record, now time.Time) ([]byte, error) {
	for {
		value, err := cbor.Marshal(&savedStreams{SavedMs: now.UnixMilli(), Records: records})
		if err != nil {
			return nil, fmt.Errorf("versions: encode streams: %w", err)
		}
		if len(value) <= maxSavedBytes {
			return value, nil
		}
		records = records[:len(records)/2]
	}
}

// load reads the records of all daemons on the one that leads. As it begins to lead, it
// sends them to the others. What has expired is removed.
func (k *StreamKeeper) load(ctx context.Context, now time.Time) error {
	if !k.o.MayLead() {
		k.loadedAt = time.Time{}
		return nil
	}
	if !k.loadedAt.IsZero() && now.Sub(k.loadedAt) < reloadInterval {
		return nil
	}
	var records []origin.Record
	var expired []string
	err := port.Newest(ctx, k.o.Store, port.TopicStreams, func(r port.KeyedRecord) {
		var saved savedStreams
		if err := cbor.Unmarshal(r.Value, &saved); err != nil {
			log.WithError(err).WithField("key", r.Key).Warn("versions: can't decode saved streams")
			return
		}
		current := saved.withTimeLeft(now)
		if len(current) == 0 && r.Key != k.o.Key {
			expired = append(expired, r.Key)
		}
		records = append(records, current...)
	})
	if err != nil {
		return err
	}
	first := k.loadedAt.IsZero()
	k.loadedAt = now
	if first {
		k.o.Origins.Restore(records)
		log.WithFields(log.Fields{"streams": len(records), "expired": len(expired)}).Info("versions: read the saved streams")
	}
	for _, key := range expired {
		if _, err := k.o.Store.Put(ctx, port.TopicStreams, key, nil); err != nil {
			return err
		}
	}
	return nil
}
