package usage

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/pomelospool/pomelospool/port"
)

var errTopicChanged = errors.New("usage: the topic changed while it was read")

// load reads the state that earlier leaders stored. Records and end offset are
// consistent only if nothing was written during the read.
func (r *Reporter) load(ctx context.Context) error {
	before, err := r.opts.Store.Newest(ctx, port.TopicUsage, "")
	if err != nil {
		return err
	}
	page, err := r.opts.Store.Newest(ctx, port.TopicUsage, "")
	if err != nil {
		return err
	}
	if before.End != page.End {
		return errTopicChanged
	}
	if err := r.opts.Claims.Observe(ctx, subject); err != nil {
		return err
	}
	previous := r.final
	r.end, r.final = page.End, nil
	for _, rec := range page.Records {
		switch rec.Key {
		case keyFinal:
			r.final = r.decodeFinal(rec, previous)
		case keyRows:
			r.mergeRows(rec)
		}
	}
	r.loaded = true
	log.WithFields(log.Fields{"end": r.end, "agreed": r.final != nil}).Info("usage: this daemon leads usage reporting")
	return nil
}

// decodeFinal returns the newest final counts. If another writer has replaced them, it
// returns the previous ones of this daemon, but not the windows whose reports are overdue:
// these have been reported, or can't be in time.
func (r *Reporter) decodeFinal(rec port.KeyedRecord, previous *finalRecord) *finalRecord {
	now := r.opts.Clock.Now()
	var f finalRecord
	err := cbor.Unmarshal(rec.Value, &f)
	if err == nil && f.Window <= r.counter.window(now)+maxBacklog { // clocks differ
		return &f
	}
	log.WithError(err).WithFields(log.Fields{"offset": rec.Offset, "window": f.Window}).Warn("usage: the stored final counts are invalid")
	overdue := r.counter.window(now.Add(-r.opts.ReportDeadline)) - 1
	if previous != nil && previous.Window >= overdue {
		return previous
	}
	r.acked = max(r.acked, overdue)
	return &finalRecord{Window: overdue}
}

// mergeRows adds the stored rows to the ledger, except those of windows that no daemon
// counts in now, which another writer stored.
func (r *Reporter) mergeRows(rec port.KeyedRecord) {
	rows, err := decodeRows(rec.Value)
	if err != nil {
		log.WithError(err).WithField("offset", rec.Offset).Warn("usage: the stored rows are invalid")
		return
	}
	current := r.counter.window(r.opts.Clock.Now())
	for i := range rows {
		if w := rows[i].Window; w >= current-maxBacklog && w <= current+maxBacklog {
			r.ledger.merge(&rows[i])
		}
	}
}

// save writes the counts collected from the given window on, in case all
// collectors are killed.
func (r *Reporter) save(ctx context.Context, from int64) error {
	if time.Since(r.savedAt) < saveInterval {
		return nil
	}
	rows, revision := r.ledger.rows(from)
	if revision == r.savedRevision {
		return nil
	}
	value, err := encodeRows(rows)
	if err != nil {
		return err
	}
	if err := r.put(ctx, keyRows, value); err != nil {
		return err
	}
	r.savedRevision, r.savedAt = revision, time.Now()
	return nil
}

// put writes a record if no other daemon has written to the topic since it was
// read.
func (r *Reporter) put(ctx context.Context, key string, value []byte) error {
	offset, err := r.opts.Store.PutAt(ctx, port.TopicUsage, key, value, r.end)
	if err != nil {
		r.loaded = false
		return err
	}
	r.end = offset + 1
	return nil
}
