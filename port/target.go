package port

import (
	"context"
	"net/http"
	"time"
)

// TargetEntry is a target as it announces itself.
type TargetEntry struct {
	ID         string // of this start of the target; a restart has another one
	StartMs    int64  // Unix milliseconds of the start; 0: not known
	Service    string
	Addr       string // host:port; used again by others after the target's end
	Zone       string // availability zone
	Software   string // version of its software
	Slots      int    // requests that it runs at a time
	Leaving    bool   // takes no new work
	WarmupLeft time.Duration
	Role       Role // of an engine, else empty
	Spot       bool // the platform may reclaim it at short notice
}

// PromptPart is a run of prompt tokens that other requests may begin with too.
type PromptPart struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Tokens int
}

// RequestMeta is what a caller states about its request beside method, path and body.
type RequestMeta struct {
	RequestID       string        // of this attempt of the caller; empty: none
	Timeout         time.Duration // how long the caller waits; 0: not stated
	Model           string
	PromptTokens    int          // prompt tokens
	MaxOutputTokens int          // most output tokens
	OutputHint      int          // the caller's guess of its output tokens; 0: none
	PromptParts     []PromptPart // of the prompt, in order
	LastEventID     string       // id of the last event that the caller has
	APIKey          string       // the caller's API key; empty: none that can be read
}

// KVSource is KV cache that an engine keeps for its reader.
type KVSource struct {
	Addr   string // of the engine that computed it
	Handle string
}

// DispatchMeta is what a daemon adds to a request for one target.
type DispatchMeta struct {
	RequestID   string        // as the caller stated it
	TargetID    string        // id that the target must have to run it
	Timeout     time.Duration // after which the target may stop
	Priority    int           // 0 is the most urgent; below 0: not stated
	Prefill     bool          // compute the KV cache only
	KV          *KVSource     // go on from this cache
	FetchFrom   string        // address of an engine that keeps more of the prompt
	LastEventID string        // go on after this event; empty: as the caller stated it
	// Organisation holds the caller's key; empty: not stated.
	Organisation string
}

// ResponseMeta is what a target's answer says beside its status and body.
type ResponseMeta struct {
	RequestID   string // request that it answers; empty: not said
	NotRun      bool   // it says itself that it ran nothing
	Misdirected bool   // another target has the address now
	Signed      bool   // it is the target's own answer
	KeepAlive   time.Duration
	RetryAfter  time.Duration
}

// RoleOrder asks an engine to change its role.
type RoleOrder struct {
	Target         string // id that the engine must have
	Addr           string
	Role           Role
	Holder         string // who gives it
	Fence          int64  // fencing number
	AcceptedOrders int64  // orders that the engine has accepted so far
}

// TargetProtocol is the form that requests and answers have between callers,
// daemons and targets.
type TargetProtocol interface {
	// RequestMeta reads what a caller states. The error says which header is wrong.
	ParseRequest(h http.Header) (RequestMeta, error)
	// ForwardHeaders returns the headers that go on to a target as they came, without
	// the caller's key if callers have keys.
	ForwardHeaders(h http.Header, keyed bool) http.Header
	// AddDispatchHeaders adds what the daemon states to headers that ForwardHeaders returned.
	AddDispatchHeaders(h http.Header, s DispatchMeta)
	// ParseResponse reads a target's answer.
	ParseResponse(status int, h http.Header) ResponseMeta
	// SetAnswerHeaders states the request's id, and when to come back (0: not stated),
	// in an answer of the daemon's own.
	SetAnswerHeaders(h http.Header, id string, after time.Duration)
	// ParseKVHandle reads the answer to a request that was sent with Prefill.
	ParseKVHandle(body []byte) (string, error)
}

// RoleReport is an engine's own word about its role. It lags by some hundred
// milliseconds.
type RoleReport struct {
	Role           Role
	Changing       bool  // an order is being carried out
	AcceptedOrders int64 // orders accepted since its start
}

// EngineControl gives orders to engines, and takes back what isn't needed.
type EngineControl interface {
	// Report asks the engine that has this id at this address.
	Report(ctx context.Context, addr, id string) (RoleReport, error)
	// Order sends o. Nil: it is carried out or holds already. ErrFenced and
	// ErrBusy are refusals; any other error says nothing about its effect.
	Order(ctx context.Context, o RoleOrder) error
	// CachedParts returns the prompt parts that the engine keeps, in no order.
	CachedParts(ctx context.Context, addr, id string) ([]PromptPart, error)
	// ReleaseKV frees KV cache that will have no reader.
	ReleaseKV(ctx context.Context, s KVSource) error
}
