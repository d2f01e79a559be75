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

// ErrNotLoaded means that Save was called before a successful Load.
var ErrNotLoaded = errors.New("burn: the last snapshot has not been loaded")

// Load restores the newest snapshot of this daemon in the log, if any. A
// second call after a successful one does nothing.
func (t *Tracker) Load(ctx context.Context, log port.Log) error {
	if t.loaded.Load() {
		return nil
	}
	data, err := t.newest(ctx, log)
	if err != nil {
		return fmt.Errorf("load burn: %w", err)
	}
	t.loaded.Store(true)
	if data == nil {
		return nil
	}
	return t.Restore(data)
}

// newest returns the body of the newest snapshot, or nil if there is none.
func (t *Tracker) newest(ctx context.Context, log port.Log) ([]byte, error) {
	stream := Stream(t.opts.Daemon)
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

// Save appends a snapshot to the log. It should be called every SnapshotEvery.
// An append that took effect despite an error is harmless, because only the
// newest snapshot is used.
//
// Save returns ErrNotLoaded before a successful Load. Otherwise it would
// replace the snapshot of the previous incarnation, whose counts would be lost,
// and a later Load would add this incarnation's own counts a second time.
func (t *Tracker) Save(ctx context.Context, log port.Log, writer string) error {
	if !t.loaded.Load() {
		return ErrNotLoaded
	}
	body, err := t.Snapshot()
	if err != nil {
		return fmt.Errorf("save burn: %w", err)
	}
	data, err := json.Marshal(record.Envelope{ID: uuid.NewString(), Kind: record.KindBurn, Writer: writer, Body: body})
	if err != nil {
		return fmt.Errorf("save burn: %w", err)
	}
	if _, err := log.Append(ctx, Stream(t.opts.Daemon), data); err != nil {
		return fmt.Errorf("save burn: %w", err)
	}
	return nil
}
