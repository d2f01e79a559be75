package port

import (
	"context"
	"net/http"
	"time"
)

// TargetEntry is the entry that a target publishes about itself.
type TargetEntry struct {
	ID         string // of this start of the target; each restart gets a new one
	StartMs    int64  // start time in Unix milliseconds; 0: unknown
	Service    string
	Addr       string        // host:port; another target may reuse it after this one has ended
	Zone       string        // availability zone
	Software   string        // software version
	Slots      int           // concurrent requests that it runs
	Leaving    bool          // accepts no new requests
	WarmupLeft time.Duration // time for which it is still slow after its start
	Role       Role          // of an engine; empty for other targets
	Spot       bool          // the platform may reclaim it at short notice
}

// PromptPart is a sequence of prompt tokens that other requests may share as
// part of their prefix.
type PromptPart struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Tokens int
}

// RequestMeta is the metadata that a caller sends in the headers of a request.
type RequestMeta struct {
	RequestID       string        // of this attempt of the caller; empty: not stated
	Timeout         time.Duration // how long the caller waits for the answer; 0: not stated
	Model           string
	PromptTokens    int
	MaxOutputTokens int          // upper limit
	OutputHint      int          // the caller's estimate of the output tokens; 0: none
	PromptParts     []PromptPart // parts of the prompt, in order
	LastEventID     string       // of the last event that the caller has received
	Resumes         string       // id of the caller's earlier request that brought the stream's first event; empty: none
	APIKey          string       // empty: missing or unreadable
}

// KVSource identifies KV cache that an engine keeps for one reader.
type KVSource struct {
	Addr   string // address of the engine that computed it
	Handle string
}

// DispatchMeta is the metadata that a daemon adds to a request to one target.
type DispatchMeta struct {
	RequestID   string        // as stated by the caller
	TargetID    string        // a target with another id must not run the request
	Timeout     time.Duration // the target may stop after this time
	Priority    int           // 0 is the most urgent; negative: not stated
	Prefill     bool          // compute the KV cache only
	KV          *KVSource     // KV cache to continue from
	FetchFrom   string        // address of an engine that has more of the prompt cached
	LastEventID string        // resume after this event; empty: as stated by the caller
	// Organisation is the owner of the caller's API key; empty: not stated.
	Organisation string
}

// ResponseMeta is the metadata of a target's answer.
type ResponseMeta struct {
	RequestID   string // of the answered request; empty: not stated
	NotRun      bool   // the target states that it didn't run the request
	Misdirected bool   // the address now belongs to another target
	Signed      bool   // the target itself produced the answer
	KeepAlive   time.Duration
	RetryAfter  time.Duration
}

// RoleOrder asks an engine to change its role.
type RoleOrder struct {
	Target         string // id that the engine must have
	Addr           string
	Role           Role
	Holder         string // VM that holds the claim to give orders
	Fence          int64  // fencing number
	AcceptedOrders int64  // number of orders that the engine has accepted so far
}

// TargetProtocol encodes and decodes the metadata of requests and answers
// between callers, daemons and targets.
type TargetProtocol interface {
	// ParseRequest reads the metadata of a caller's request. The error names
	// the invalid header.
	ParseRequest(h http.Header) (RequestMeta, error)
	// ForwardHeaders returns the headers that are forwarded to a target
	// unchanged. If dropAPIKey is set, they don't include the caller's API key.
	ForwardHeaders(h http.Header, dropAPIKey bool) http.Header
	// AddDispatchHeaders adds the daemon's metadata to headers that
	// ForwardHeaders returned.
	AddDispatchHeaders(h http.Header, m DispatchMeta)
	// ParseResponse reads the metadata of a target's answer.
	ParseResponse(status int, h http.Header) ResponseMeta
	// ProbePath returns the path of a request that a target answers without running
	// anything; empty if there is none. healthPath is that of its service.
	ProbePath(engine bool, healthPath string) string
	// SetAnswerHeaders sets the headers of an answer that the daemon itself
	// produces: the request's id, and the time after which to retry (0: not
	// stated).
	SetAnswerHeaders(h http.Header, id string, retryAfter time.Duration)
	// ParseKVHandle reads the KV cache handle from the answer to a request that
	// was sent with Prefill.
	ParseKVHandle(body []byte) (string, error)
}

// RoleReport is an engine's report of its role. It lags by a few hundred
// milliseconds.
type RoleReport struct {
	Role           Role
	Changing       bool  // an order is being carried out
	AcceptedOrders int64 // number of orders accepted since its start
}

// EngineControl sends control calls to engines.
type EngineControl interface {
	// Report returns the report of the engine with this id at this address.
	Report(ctx context.Context, addr, id string) (RoleReport, error)
	// Order sends o. It returns nil if the engine accepted the order or already
	// has the role. ErrFenced and ErrBusy are refusals. After any other error
	// the order may have taken effect or not.
	Order(ctx context.Context, o RoleOrder) error
	// CachedParts returns the prompt parts in the engine's cache, in no
	// particular order.
	CachedParts(ctx context.Context, addr, id string) ([]PromptPart, error)
	// ReleaseKV frees KV cache that no engine will read.
	ReleaseKV(ctx context.Context, s KVSource) error
}
