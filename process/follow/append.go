package follow

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/record"
)

// Bounds of the Appender.
const (
	appendAttemptTimeout = 2 * time.Second        // timeout of one attempt
	initialBackoff       = 200 * time.Millisecond // bound of the first random delay; the mean is half of it
	maxBackoff           = 10 * time.Second
	findBatch            = 256 // records per read when searching for an id
)

// metrics holds the metrics of the control stream in this process.
var metrics = expvar.NewMap("control")

// Appender appends control records, each of which must take effect once.
type Appender struct {
	log     port.Log
	applied func() int64 // offset up to which this process has read; new records come after it
	limit   *rate.Limiter
}

// NewAppender returns an Appender. applied returns the offset up to which this
// process has read the log. perSecond limits the average rate of appends.
func NewAppender(log port.Log, applied func() int64, perSecond float64) *Appender {
	burst := max(1, int(perSecond))
	return &Appender{log: log, applied: applied, limit: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Append writes the record and returns its offset. It retries until ctx ends;
// then the outcome is unknown and the error has code.LogUnavailable.
//
// An append can take effect although its response is lost, and a plain retry
// would write the record twice. Before each retry, Append therefore searches
// the log for the id, from the offset known before the first attempt. The fold
// ignores a duplicate that is still in flight during the search. Delays are
// random up to a growing bound, so that daemons don't all append at once when
// the log recovers.
func (a *Appender) Append(ctx context.Context, e record.Envelope) (int64, error) {
	data, err := json.Marshal(e)
	if err != nil {
		return 0, fmt.Errorf("append %s: %w", e.Kind, err)
	}
	from := a.applied() + 1
	backoff := initialBackoff
	offset, err := a.appendOnce(ctx, e.Kind, data)
	for err != nil {
		if sleepRandom(ctx, backoff) != nil {
			return 0, code.Wrap(code.LogUnavailable, err, "append %s", e.Kind)
		}
		backoff = min(2*backoff, maxBackoff)
		offset, err = a.retry(ctx, from, e, data)
	}
	return offset, nil
}

// retry appends the record unless the log already holds it.
func (a *Appender) retry(ctx context.Context, from int64, e record.Envelope, data []byte) (int64, error) {
	offset, err := a.find(ctx, from, e.ID)
	if err != nil || offset > 0 {
		return offset, err
	}
	metrics.Add("append_retries", 1)
	return a.appendOnce(ctx, e.Kind, data)
}

// appendOnce makes one attempt to append, within the rate limit.
func (a *Appender) appendOnce(ctx context.Context, kind record.Kind, data []byte) (int64, error) {
	if err := a.limit.Wait(ctx); err != nil {
		return 0, fmt.Errorf("append rate limit: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, appendAttemptTimeout)
	defer cancel()
	metrics.Add("appends", 1)
	metrics.Add("appends_"+string(kind), 1)
	return a.log.Append(ctx, record.Control, data)
}

// find returns the offset of the record with the id, or 0 if the log doesn't
// hold it.
func (a *Appender) find(ctx context.Context, from int64, id string) (int64, error) {
	for {
		recs, newest, err := a.read(ctx, from)
		if errors.Is(err, port.ErrExpired) {
			from, err = a.log.Earliest(ctx, record.Control)
			if err == nil {
				continue
			}
		}
		if err != nil {
			return 0, err
		}
		for _, r := range recs {
			if idOf(r.Data) == id {
				return r.Offset, nil
			}
			from = r.Offset + 1
		}
		if from > newest || len(recs) == 0 {
			return 0, nil
		}
	}
}

func (a *Appender) read(ctx context.Context, from int64) ([]port.Record, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, appendAttemptTimeout)
	defer cancel()
	return a.log.Read(ctx, record.Control, from, findBatch, 0)
}

// idOf returns the id of an encoded envelope, or "" for any other data.
func idOf(data []byte) string {
	var e struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(data, &e) != nil {
		return ""
	}
	return e.ID
}

// sleepRandom waits for a random time below d, or until ctx ends.
func sleepRandom(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// NewEnvelope returns a control record's envelope with an encoded body.
func NewEnvelope(id string, kind record.Kind, writer string, body any) (record.Envelope, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return record.Envelope{}, fmt.Errorf("encode %s: %w", kind, err)
	}
	return record.Envelope{ID: id, Kind: kind, Writer: writer, Body: raw}, nil
}

// Write appends a record and waits until this process has folded it. A nil
// error means that the log holds the record, even if ctx ended before the
// record was folded.
func (f *Follower) Write(ctx context.Context, id string, kind record.Kind, body any) (int64, error) {
	e, err := NewEnvelope(id, kind, f.o.Self, body)
	if err != nil {
		return 0, err
	}
	offset, err := f.appender.Append(ctx, e)
	if err == nil {
		_ = f.Await(ctx, offset)
	}
	return offset, err
}
