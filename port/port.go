// Package port defines the ports to everything outside pomelospool: the
// log service, the VM list, the weight store and the targets. Each port is a
// narrow interface with one contract test that every adapter and stand-in
// passes, so that a new wire protocol is one new adapter.
package port

import (
	"context"
	"errors"
	"time"
)

// Errors that adapters return, wrapped, so that callers can tell them apart.
var (
	// ErrUnavailable means that the platform can't be reached or timed out.
	// After an append it does not mean that the append had no effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrExpired means that the records before Earliest are gone.
	ErrExpired = errors.New("records expired")
	// ErrFenced means that an engine refused an order for its fencing number.
	ErrFenced = errors.New("fencing number too old")
	// ErrRestarted means that a target started anew since it was asked for.
	ErrRestarted = errors.New("target restarted")
	// ErrBusy means that an engine is still carrying out another order.
	ErrBusy = errors.New("engine busy with another order")
)

// Record is one entry of a log stream. Offsets start at 1 and have no gaps.
type Record struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"` // the log's own clock, informative only
	Data   []byte    `json:"data"`
}

// Log is an append-only log of several streams with limited retention.
// Streams are created by their first append.
type Log interface {
	// Append adds data and returns its offset. On an error the record may
	// stand in the log all the same.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to max records from offset from on, and the offset of
	// the newest record of the stream (0 if none). With none to return it
	// waits up to wait. It gives ErrExpired when from is before Earliest.
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) ([]Record, int64, error)
	// Earliest returns the lowest offset still kept, 1 for an empty stream.
	Earliest(ctx context.Context, stream string) (int64, error)
}

// VM is one entry of the VM list.
type VM struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"` // host without port
	Zone    string `json:"zone"` // availability zone
	Leaving bool   `json:"leaving"`
}

// VMs is the platform's list of VMs. It lags behind the truth.
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

// EngineSpec is what an order asks an engine to become.
type EngineSpec struct {
	Role    Role   `json:"role"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter,omitempty"`
}

// EngineState is an engine's own word about itself.
type EngineState struct {
	Engine      string     `json:"engine"`
	Incarnation string     `json:"incarnation"` // new at every restart
	Spec        EngineSpec `json:"spec"`
	Changing    bool       `json:"changing"`   // an order is being carried out
	Target      EngineSpec `json:"target"`     // what it is changing to
	LastOrder   string     `json:"last_order"` // id of the newest order accepted
	LastFence   int64      `json:"last_fence"` // highest fencing number seen
	ChecksFence bool       `json:"checks_fence"`
	Leaving     bool       `json:"leaving"`
}

// Load is an engine's report of its load. It lags behind the truth.
type Load struct {
	Engine          string    `json:"engine"`
	Incarnation     string    `json:"incarnation"`
	At              time.Time `json:"at"` // when the engine measured it
	Running         int       `json:"running"`
	Waiting         int       `json:"waiting"`
	QueuedPrefill   int       `json:"queued_prefill"`   // prompt tokens waiting
	DecodeRemaining int       `json:"decode_remaining"` // output tokens still to make
	KVUsed          int       `json:"kv_used"`          // tokens
	KVCapacity      int       `json:"kv_capacity"`      // tokens
	PrefillRate     float64   `json:"prefill_rate"`     // tokens/s, measured
	DecodeRate      float64   `json:"decode_rate"`      // tokens/s over all streams, measured
}

// CacheEvent says that prefix blocks entered or left an engine's cache.
// Events come late, and Seq shows gaps.
type CacheEvent struct {
	Engine string   `json:"engine"`
	Seq    int64    `json:"seq"`
	Added  []uint64 `json:"added,omitempty"`
	Gone   []uint64 `json:"gone,omitempty"`
	Reset  bool     `json:"reset,omitempty"` // the cache was emptied
}

// Order asks an engine for a change. ID makes it idempotent.
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
	// Order starts a change and returns once the engine accepted it. The same
	// id again has no second effect. ErrFenced and ErrBusy are refusals.
	Order(ctx context.Context, o Order) error
	// ExportKV and ImportKV move the cache of a prefix between engines.
	ExportKV(ctx context.Context, prefix []uint64) ([]byte, error)
	ImportKV(ctx context.Context, kv []byte) error
}

// WeightStore holds model weights. It is rate-limited over the whole fleet.
type WeightStore interface {
	// Size returns the bytes of a model version.
	Size(ctx context.Context, model, version string) (int64, error)
	// Rate returns the bytes a second that the store gives to all together.
	Rate(ctx context.Context) (float64, error)
}
