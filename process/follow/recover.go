package follow

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/apex/log"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/fold"
	"github.com/pomelospool/pomelospool/process/record"
)

// firstScanRange is the number of records in the first range that Recover scans.
const firstScanRange = 1024

// Recover returns the state from which a new reader continues: that of a
// trusted checkpoint, or the empty state if the log still holds its first
// record. It searches backwards from the tail, so the cost depends on the
// distance to the newest checkpoint and not on the length of the log. The
// error has code.RecordsExpired if there is neither.
func Recover(ctx context.Context, l port.Log) (*fold.State, error) {
	return recoverState(ctx, l)
}

func recoverState(ctx context.Context, l port.Log) (*fold.State, error) {
	earliest, newest, err := offsetRange(ctx, l)
	if err != nil {
		return nil, err
	}
	chunk := int64(firstScanRange)
	for to := newest; to >= earliest; chunk *= 2 {
		from := max(earliest, to-chunk+1)
		s, err := newestCheckpoint(ctx, l, from, to, earliest)
		if err != nil || s != nil {
			return s, err
		}
		to = from - 1
	}
	if earliest > 1 {
		return nil, code.New(code.RecordsExpired, "no checkpoint among records %d to %d", earliest, newest)
	}
	return fold.New(), nil
}

// offsetRange returns the earliest and the newest offset of the control stream.
func offsetRange(ctx context.Context, l port.Log) (earliest, newest int64, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	earliest, err = l.Earliest(ctx, record.Control)
	if err != nil {
		return 0, 0, fmt.Errorf("recover: %w", err)
	}
	_, newest, err = l.Read(ctx, record.Control, earliest, 1, 0)
	if err != nil {
		return 0, 0, fmt.Errorf("recover: %w", err)
	}
	return earliest, newest, nil
}

// newestCheckpoint returns the state of the trusted checkpoint in [from, to]
// with the highest covered offset, or nil.
func newestCheckpoint(ctx context.Context, l port.Log, from, to, earliest int64) (*fold.State, error) {
	var best *fold.State
	for from <= to {
		recs, err := readRange(ctx, l, from, to)
		if err != nil {
			return nil, err
		}
		if len(recs) == 0 {
			return best, nil
		}
		for _, r := range recs {
			best = newerCheckpoint(best, r, earliest)
		}
		from = recs[len(recs)-1].Offset + 1
	}
	return best, nil
}

func readRange(ctx context.Context, l port.Log, from, to int64) ([]port.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	recs, _, err := l.Read(ctx, record.Control, from, int(min(readBatch, to-from+1)), 0)
	if err != nil {
		return nil, fmt.Errorf("recover: %w", err)
	}
	return recs, nil
}

// newerCheckpoint returns the state of r if r is a trusted checkpoint that
// covers more than best, and best otherwise. It skips unreadable checkpoints.
func newerCheckpoint(best *fold.State, r port.Record, earliest int64) *fold.State {
	var e record.Envelope
	if json.Unmarshal(r.Data, &e) != nil || e.Kind != record.KindCheckpoint {
		return best
	}
	var c record.Checkpoint
	if json.Unmarshal(e.Body, &c) != nil || !fold.Trusted(c, r.Offset, earliest) {
		return best
	}
	if best != nil && c.Covers <= best.Applied {
		return best
	}
	s, err := fold.Load(c)
	if err != nil {
		log.WithError(err).WithField("offset", r.Offset).Warn("follow: skipping unreadable checkpoint")
		return best
	}
	return s
}

// fetchFromPeer applies a peer's records while the log can't be read. It never
// renews the lease: a peer may lag, so its response can't rule out a later
// claim.
func (f *Follower) fetchFromPeer(ctx context.Context) {
	if f.o.Peers == nil {
		return
	}
	from := int64(1)
	if f.state != nil {
		from = f.state.Applied + 1
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	b, err := f.o.Peers.Fetch(ctx, from)
	if err != nil {
		log.WithError(err).Debug("follow: cannot fetch records from a peer")
		return
	}
	metrics.Add("peer_fetches", 1)
	if err := f.applyBatch(b, from); err != nil {
		log.WithError(err).Warn("follow: cannot apply a peer's records")
	}
}

// applyBatch folds a peer's batch. It uses the checkpoint only if that covers
// more than this process has folded, so that a lagging peer can't move the
// state back.
func (f *Follower) applyBatch(b Batch, from int64) error {
	if f.state == nil && from == 1 && len(b.Checkpoint) == 0 {
		f.state = fold.New()
	}
	if len(b.Checkpoint) > 0 && b.Covers >= from {
		s, err := fold.Load(record.Checkpoint{Covers: b.Covers, State: b.Checkpoint})
		if err != nil {
			return err
		}
		f.state = s
	}
	if f.state == nil {
		return nil
	}
	if err := f.apply(b.Records); err != nil {
		return err
	}
	if f.state.Applied >= b.Applied && f.state.Applied >= f.Applied() {
		f.publish()
	}
	return nil
}
