// Package port defines the interfaces to the systems outside pomelospool: the
// log service, the metadata store, the VM list, the weight store, the targets
// and the platform's calls for the whole fleet. Each interface is narrow, so
// that a new wire protocol needs only one new adapter. Package contract tests
// the adapters and stand-ins of Log, VMs, Engine and WeightStore.
package port

import (
	"context"
	"errors"
	"time"
)

// Errors that adapters wrap, for use with errors.Is.
var (
	// ErrUnavailable means that the platform can't be reached or timed out.
	// An append that returns it may still have taken effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrExpired means that the requested records are no longer kept.
	ErrExpired = errors.New("records expired")
	// ErrFenced means that a call was refused because its fencing number is
	// lower than one already seen.
	ErrFenced = errors.New("fencing number too old")
	// ErrRestarted means that the target has restarted since the start that
	// the caller named.
	ErrRestarted = errors.New("target restarted")
	// ErrBusy means that an engine is still carrying out another order.
	ErrBusy = errors.New("engine busy with another order")
)

// Record is one entry of a log stream. Offsets start at 1 and are consecutive.
type Record struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"` // by the log's clock; informative only
	Data   []byte    `json:"data"`
}

// Log is an append-only log of several streams with limited retention.
// Streams are created by their first append.
type Log interface {
	// Append adds data and returns its offset. When it returns an error, the
	// record may have been appended nevertheless.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to max records starting at offset from, and the offset
	// of the newest record of the stream (0 if there is none). If there is no
	// record to return, it waits up to wait for one. It returns ErrExpired if
	// from is lower than Earliest.
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) ([]Record, int64, error)
	// Earliest returns the lowest offset that is still kept, or 1 for an empty
	// stream.
	Earliest(ctx context.Context, stream string) (int64, error)
}

// VM is one entry of the VM list.
type VM struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"` // host without port
	Zone    string `json:"zone"` // availability zone
	Leaving bool   `json:"leaving"`
}

// VMs is the platform's list of VMs. The list lags behind the actual state.
type VMs interface {
	List(ctx context.Context) ([]VM, error)
}

// Role says which phase of a request an engine serves.
type Role string

// The roles of an engine.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RoleMixed   Role = "mixed"
)

// EngineSpec is the role and the model version that an engine runs or is
// ordered to run.
type EngineSpec struct {
	Role    Role   `json:"role"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
}

// EngineState is the state that an engine reports of itself.
type EngineState struct {
	Engine      string     `json:"engine"`
	Incarnation string     `json:"incarnation"` // new at every restart
	Spec        EngineSpec `json:"spec"`
	Changing    bool       `json:"changing"`   // an order is being carried out
	NextSpec    EngineSpec `json:"target"`     // spec that it is changing to
	LastOrder   string     `json:"last_order"` // id of the newest order accepted
	LastFence   int64      `json:"last_fence"` // highest fencing number seen
	ChecksFence bool       `json:"checks_fence"`
	Leaving     bool       `json:"leaving"`
}

// Load is an engine's report of its load. It lags behind the actual load.
type Load struct {
	Engine          string    `json:"engine"`
	Incarnation     string    `json:"incarnation"`
	At              time.Time `json:"at"` // when the engine measured it
	Running         int       `json:"running"`
	Waiting         int       `json:"waiting"`
	QueuedPrefill   int       `json:"queued_prefill"`   // prompt tokens waiting
	DecodeRemaining int       `json:"decode_remaining"` // output tokens still to be generated
	KVUsed          int       `json:"kv_used"`          // tokens
	KVCapacity      int       `json:"kv_capacity"`      // tokens
	PrefillRate     float64   `json:"prefill_rate"`     // tokens/s, measured
	DecodeRate      float64   `json:"decode_rate"`      // tokens/s over all streams, measured
}

// CacheEvent reports prefix blocks that entered or left an engine's cache.
// Events arrive with a delay, and some are lost: a gap in Seq shows this.
type CacheEvent struct {
	Engine  string   `json:"engine"`
	Seq     int64    `json:"seq"`
	Added   []uint64 `json:"added,omitempty"`
	Removed []uint64 `json:"gone,omitempty"`
	Reset   bool     `json:"reset,omitempty"` // the cache was emptied
}

// Order asks an engine to change its spec. An order is idempotent by its ID.
type Order struct {
	ID    string     `json:"id"`
	Fence int64      `json:"fence"`
	Spec  EngineSpec `json:"spec"`
}

// Engine is the control side of a model engine. Requests to it travel over
// HTTP in the form that package request/attempt describes.
type Engine interface {
	State(ctx context.Context) (EngineState, error)
	Load(ctx context.Context) (Load, error)
	CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error)
	// Order starts a change and returns once the engine has accepted it.
	// Repeating an order with the same ID has no further effect. ErrFenced and
	// ErrBusy are refusals.
	Order(ctx context.Context, o Order) error
	// ExportKV and ImportKV transfer the KV cache of a prefix between engines.
	ExportKV(ctx context.Context, prefix []uint64) ([]byte, error)
	ImportKV(ctx context.Context, kv []byte) error
}

// WeightStore holds model weights. Its rate limit applies to the whole fleet.
type WeightStore interface {
	// Size returns the size of a model version in bytes.
	Size(ctx context.Context, model, version string) (int64, error)
	// Rate returns the store's total rate for all readers, in bytes per second.
	Rate(ctx context.Context) (float64, error)
}
