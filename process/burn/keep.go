package burn

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"github.com/pomelospool/pomelospool/port"
	"github.com/pomelospool/pomelospool/process/record"
)

// ErrNotLoaded means that Save came before Load.
var ErrNotLoaded = errors.New("burn: the last snapshot has not been loaded")

// Load restores the newest snapshot of this daemon in the log, if any. A
// second call after a successful one does nothing.
func (b *Tracker) Load(ctx context.Context, log port.Log) error {
	if b.loaded.Load() {
		return nil
	}
	data, err := b.newest(ctx, log)
	if err != nil {
		return fmt.Errorf("load burn: %w", err)
	}
	b.loaded.Store(true)
	if data == nil {
		return nil
	}
	return b.Restore(data)
}

// newest returns the body of the newest snapshot, nil for none.
func (b *Tracker) newest(ctx context.Context, log port.Log) ([]byte, error) {
	stream := Stream(b.opts.Daemon)
	earliest, err := log.Earliest(ctx, stream)
	if err != nil {
		return nil, err
	}
	_, last, err := log.Read(ctx, stream, earliest, 1, 0)
	if err != nil || last < earliest {
		return nil, err
	}
	records, _, err := log.Read(ctx, stream, last, 1, 0)
	if err != nil || len(records) == 0 {
		return nil, err
	}
	var env record.Envelope
	if err := json.Unmarshal(records[0].Data, &env); err != nil {
		return nil, err
	}
	return env.Body, nil
}

// Save appends a snapshot to the log; call it every SnapshotEvery. An append
// that took effect though it failed does no harm: only the newest one counts.
//
// Before Load it refuses. The newest snapshot would be this incarnation's own
// then, a later Load would add its counts a second time, and those of the
// incarnation before would be gone.
func (b *Tracker) Save(ctx context.Context, log port.Log, writer string) error {
	if !b.loaded.Load() {
		return ErrNotLoaded
	}
	body, err := b.Snapshot()
	if err != nil {
		return fmt.Errorf("save burn: %w", err)
	}
	data, err := json.Marshal(record.Envelope{ID: uuid.NewString(), Kind: record.KindBurn, Writer: writer, Body: body})
	if err != nil {
		return fmt.Errorf("save burn: %w", err)
	}
	if _, err := log.Append(ctx, Stream(b.opts.Daemon), data); err != nil {
		return fmt.Errorf("save burn: %w", err)
	}
	return nil
}
