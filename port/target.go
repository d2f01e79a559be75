package port

import (
	"context"
	"net/http"
	"time"
)

// TargetEntry is a target as it announces itself.
type TargetEntry struct {
	ID       string // of this start of the target; a restart has another one
	Born     int64  // Unix milliseconds of the start; 0: not known
	Service  string
	Addr     string // host:port; used again by others after the target's end
	Zone     string // availability zone
	Software string // version of its software
	Slots    int    // requests that it runs at a time
	Leaving  bool   // takes no new work
	Cold     time.Duration
	Role     Role // of an engine, else empty
	Spot     bool // the platform may reclaim it at short notice
}

// PromptPart is a run of prompt tokens that other requests may begin with too.
type PromptPart struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Tokens int
}

// Ask is what a caller states about its request beside method, path and body.
type Ask struct {
	ID        string        // of this attempt of the caller; empty: none
	Left      time.Duration // how long the caller waits; 0: not stated
	Model     string
	Prompt    int          // prompt tokens
	Output    int          // most output tokens
	Hint      int          // the caller's guess of its output tokens; 0: none
	Parts     []PromptPart // of the prompt, in order
	LastEvent string       // id of the last event that the caller has
	Key       string       // the caller's API key; empty: none that can be read
}

// KVSource is KV cache that an engine keeps for its reader.
type KVSource struct {
	Addr   string // of the engine that computed it
	Handle string
}

// Send is what a daemon adds to a request for one target.
type Send struct {
	ID        string        // as the caller stated it
	Target    string        // id that the target must have to run it
	Left      time.Duration // after which the target may stop
	Priority  int           // 0 is the most urgent; below 0: not stated
	Prefill   bool          // compute the KV cache only
	KV        *KVSource     // go on from this cache
	FetchFrom string        // address of an engine that keeps more of the prompt
	LastEvent string        // go on after this event; empty: as the caller stated it
	// Organisation holds the caller's key; empty: not stated.
	Organisation string
}

// Verdict is what a target's answer says beside its status and body.
type Verdict struct {
	ID         string // request that it answers; empty: not said
	NotRun     bool   // it says itself that it ran nothing
	WrongOne   bool   // another target has the address now
	Signed     bool   // it is the target's own answer
	KeepAlive  time.Duration
	RetryAfter time.Duration
}

// RoleOrder asks an engine to change its role.
type RoleOrder struct {
	Target   string // id that the engine must have
	Addr     string
	Role     Role
	Holder   string // who gives it
	Fence    int64  // fencing number
	Accepted int64  // orders that the engine has accepted so far
}

// TargetWire is the form that requests and answers have between callers,
// daemons and targets.
type TargetWire interface {
	// Ask reads what a caller states. The error says which header is wrong.
	Ask(h http.Header) (Ask, error)
	// Forward returns the headers that go on to a target as they came, without
	// the caller's key if callers have keys.
	Forward(h http.Header, keyed bool) http.Header
	// Stamp adds what the daemon states to headers that Forward returned.
	Stamp(h http.Header, s Send)
	// Judge reads a target's answer.
	Judge(status int, h http.Header) Verdict
	// Answer states the request's id, and when to come back (0: not stated),
	// in an answer of the daemon's own.
	Answer(h http.Header, id string, after time.Duration)
	// KVHandle reads the answer to a request that was sent with Prefill.
	KVHandle(body []byte) (string, error)
}

// RoleReport is an engine's own word about its role. It lags by some hundred
// milliseconds.
type RoleReport struct {
	Role     Role
	Changing bool  // an order is being carried out
	Accepted int64 // orders accepted since its start
}

// EngineControl gives orders to engines, and takes back what isn't needed.
type EngineControl interface {
	// Report asks the engine that has this id at this address.
	Report(ctx context.Context, addr, id string) (RoleReport, error)
	// Order sends o. Nil: it is carried out or holds already. ErrFenced and
	// ErrBusy are refusals; any other error says nothing about its effect.
	Order(ctx context.Context, o RoleOrder) error
	// Kept returns the prompt parts that the engine keeps, in no order.
	Kept(ctx context.Context, addr, id string) ([]PromptPart, error)
	// Release frees KV cache that will have no reader.
	Release(ctx context.Context, s KVSource) error
}
