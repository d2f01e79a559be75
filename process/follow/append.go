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
	appendTimeout = 2 * time.Second        // one try
	backoffFirst  = 200 * time.Millisecond // mean wait before the second try is half of it
	backoffMost   = 10 * time.Second
	lookMax       = 256 // records a read while looking for an id
)

// counts are the metrics of the control stream in this process.
var counts = expvar.NewMap("control")

// Appender writes control records that must count once.
type Appender struct {
	log   port.Log
	mark  func() int64 // an offset after which a new record must stand
	limit *rate.Limiter
}

// NewAppender returns an Appender. mark gives the offset up to which this
// process knows the log; perSecond bounds its appends over any longer time.
func NewAppender(log port.Log, mark func() int64, perSecond float64) *Appender {
	burst := max(1, int(perSecond))
	return &Appender{log: log, mark: mark, limit: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// Append writes the record and returns its offset. It tries until ctx ends;
// then the outcome is unknown and the error has code.LogUnavailable.
//
// The guard is against a lost answer: the append took effect, the writer
// doesn't know, and the record stands twice. Before it appends again it reads
// the log from where it stood before the first try and looks for the id. A
// copy that is still on its way at that time is ignored by the fold. Waits are
// random up to a growing bound, so that daemons which all wait for the log to
// return don't append all at once.
func (a *Appender) Append(ctx context.Context, e record.Envelope) (int64, error) {
	data, err := json.Marshal(e)
	if err != nil {
		return 0, fmt.Errorf("append %s: %w", e.Kind, err)
	}
	from := a.mark() + 1
	backoff := backoffFirst
	offset, err := a.try(ctx, e.Kind, data)
	for err != nil {
		if pause(ctx, backoff) != nil {
			return 0, code.Wrap(code.LogUnavailable, err, "append %s", e.Kind)
		}
		backoff = min(2*backoff, backoffMost)
		offset, err = a.again(ctx, from, e, data)
	}
	return offset, nil
}

// again looks for the record and appends it if it doesn't stand.
func (a *Appender) again(ctx context.Context, from int64, e record.Envelope, data []byte) (int64, error) {
	offset, err := a.find(ctx, from, e.ID)
	if err != nil || offset > 0 {
		return offset, err
	}
	counts.Add("append_retries", 1)
	return a.try(ctx, e.Kind, data)
}

// try appends once.
func (a *Appender) try(ctx context.Context, kind record.Kind, data []byte) (int64, error) {
	if err := a.limit.Wait(ctx); err != nil {
		return 0, fmt.Errorf("append budget: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	counts.Add("appends", 1)
	counts.Add("appends_"+string(kind), 1)
	return a.log.Append(ctx, record.Control, data)
}

// find returns the offset of the record with the id, 0 if it doesn't stand.
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
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return a.log.Read(ctx, record.Control, from, lookMax, 0)
}

// idOf returns the id of an envelope, empty for anything else.
func idOf(data []byte) string {
	var e struct {
		ID string `json:"id"`
	}
	if json.Unmarshal(data, &e) != nil {
		return ""
	}
	return e.ID
}

// pause waits for a random part of d, or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(rand.N(d))
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// NewEnvelope makes the envelope of a new decision.
func NewEnvelope(id string, kind record.Kind, writer string, body any) (record.Envelope, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return record.Envelope{}, fmt.Errorf("encode %s: %w", kind, err)
	}
	return record.Envelope{ID: id, Kind: kind, Writer: writer, Body: raw}, nil
}

// Write appends a decision and waits until it is folded here. Without an error
// the record stands, even if ctx ended before it was folded.
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
