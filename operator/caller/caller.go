// Package caller is the client library for calling services through daemons. It
// gets addresses from any daemon and caches them for their TTL, sends requests
// and parses streamed answers. It retries a request only when the request is
// known not to have run, or may run twice.
package caller

import (
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pomelospool/pomelospool/code"
)

// Headers between callers and daemons.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderDeadline  = "X-Deadline-Ms"
	HeaderPriority  = "X-Priority"
	HeaderOrg       = "X-Organisation"
	HeaderKey       = "Idempotency-Key"
	HeaderCode      = "X-Result-Code"
	HeaderNotRun    = "X-Not-Run"
)

// Paths of the model calls.
const (
	PathChat       = "/v1/chat/completions"
	PathCompletion = "/v1/completions"
)

const (
	defaultAttempts = 4
	defaultDeadline = 30 * time.Second
	dialTimeout     = 2 * time.Second
	idleTimeout     = 30 * time.Second
	maxIdlePerHost  = 256
	deadlineGrace   = time.Second // lets the daemon's own refusal arrive before the client gives up
	maxBody         = 64 << 20    // bytes of an answer that is no stream
	maxEvent        = 1 << 20     // bytes of one event of a stream
)

// Options configures a Client.
type Options struct {
	Daemons       []string    // callers' ports (host:port) to query for addresses at first
	Zone          string      // the caller's availability zone, whose daemons are preferred
	TLS           *tls.Config // nil means plain TCP
	SkipDiscovery bool        // use Daemons as they are, without querying addresses
	MaxAttempts   int         // including the first; default 4
	Seed          uint64      // of the random choice among addresses

	// MinHeaderTimeout is the minimum time to wait for an answer's header;
	// default 5s. A third of the request's deadline applies if that is longer.
	MinHeaderTimeout time.Duration
	ReadTimeout      time.Duration // longest wait between two reads of an answer; default 5s
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	opts   Options
	http   *http.Client
	scheme string
	cache  *addressCache
}

// New returns a client.
func New(o Options) *Client {
	if o.MaxAttempts <= 0 {
		o.MaxAttempts = defaultAttempts
	}
	if o.MinHeaderTimeout <= 0 {
		o.MinHeaderTimeout = defaultMinHeaderTimeout
	}
	if o.ReadTimeout <= 0 {
		o.ReadTimeout = defaultReadTimeout
	}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAliveConfig}
	c := &Client{opts: o, scheme: "http"}
	c.http = &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     o.TLS,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdlePerHost,
	}}
	if o.TLS != nil {
		c.scheme = "https"
	}
	c.cache = newAddressCache(o, c.fetchAddresses)
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Request is one call. An optional field with its zero value sends no header.
type Request struct {
	ID         string // X-Request-Id; generated when empty
	Method     string // POST when empty
	Path       string
	Body       []byte
	Type       string // content type; application/json when empty
	Deadline   time.Duration
	Priority   int
	Org        string
	Key        string // Idempotency-Key
	Stream     bool   // the answer is a stream of tokens
	Idempotent bool   // may run twice, so an attempt that was cut off is repeated
	// OnToken receives each token of a stream in order; may be nil. A token of
	// index 0 after other tokens means that a retry restarts the answer.
	OnToken func(t Token)
	// Verify reports whether the text of token i is correct; may be nil.
	Verify func(i int, text string) bool
}

// Token is one token of a streamed answer.
type Token struct {
	Index int
	Text  string
}

// Faults counts the defects of answers that must never reach a caller.
type Faults struct {
	Crossed    int `json:"crossed"` // events or answers that belong to another request
	Duplicated int `json:"doubled"` // tokens received twice
	Lost       int `json:"lost"`    // missing tokens
	Wrong      int `json:"wrong"`   // tokens that Verify rejected
}

// Any reports whether any count is above zero.
func (f Faults) Any() bool { return f != Faults{} }

// Answer describes the outcome of a request.
type Answer struct {
	ID                string        `json:"id"`
	Addr              string        `json:"addr"` // of the daemon of the last attempt
	Attempts          int           `json:"attempts"`
	Status            int           `json:"status"` // HTTP status of the last attempt, 0 without a response
	Code              code.Code     `json:"code"`
	NotRun            bool          `json:"not_run"`
	RetryAfter        time.Duration `json:"retry_after_ns,omitempty"`
	Complete          bool          `json:"whole"`
	CutAttempts       int           `json:"cut"` // attempts whose answer ended without its end marker
	Tokens            int           `json:"tokens"`
	Faults            Faults        `json:"faults"`
	TimeToFirstToken  time.Duration `json:"first_ns"`   // from the start to the first token, or to the end of an unstreamed answer
	TimeBetweenTokens time.Duration `json:"between_ns"` // mean time between tokens
	Total             time.Duration `json:"total_ns"`
	ContentType       string        `json:"content_type,omitempty"`
	Body              []byte        `json:"-"` // of a refusal or an unstreamed answer
}

// chatMessage is one message of a chat request.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completion is the body of a chat or completion request.
type completion struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages,omitempty"`
	Prompt    string        `json:"prompt,omitempty"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream"`
}

// Chat returns a streamed chat request with a single user message.
func Chat(model, prompt string, maxTokens int) Request {
	body, _ := json.Marshal(completion{
		Model:     model,
		Messages:  []chatMessage{{Role: "user", Content: prompt}},
		MaxTokens: maxTokens,
		Stream:    true,
	})
	return Request{Path: PathChat, Body: body, Stream: true, Idempotent: true}
}

// Completion returns a streamed completion request.
func Completion(model, prompt string, maxTokens int) Request {
	body, _ := json.Marshal(completion{Model: model, Prompt: prompt, MaxTokens: maxTokens, Stream: true})
	return Request{Path: PathCompletion, Body: body, Stream: true, Idempotent: true}
}
