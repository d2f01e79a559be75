// Package caller is the library of those who call services: it gets addresses
// from any daemon and keeps them for as long as they may be kept, sends
// requests, parses streamed answers, and sends a request again only when it is
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
	idlePerHost     = 256
	deadlineGrace   = time.Second // for the daemon's own refusal to arrive
	maxBody         = 64 << 20
	maxEvent        = 1 << 20 // bytes of one event of a stream
)

// Options of a Client.
type Options struct {
	Daemons       []string    // callers' ports, host:port, to ask for addresses first
	Zone          string      // the caller's availability zone, whose daemons come first
	TLS           *tls.Config // nil means plain TCP
	SkipDiscovery bool        // use Daemons as they are and ask nobody for addresses
	MaxAttempts   int         // in all; 4
	Seed          uint64      // for the choice among addresses

	MinHeaderTimeout time.Duration // least wait for an answer to begin; 5s, and never under a third of the deadline
	ReadTimeout      time.Duration // longest wait between two reads of an answer; 5s
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	opts   Options
	http   *http.Client
	scheme string
	book   *book
}

// New returns a client.
func New(o Options) *Client {
	if o.MaxAttempts <= 0 {
		o.MaxAttempts = defaultAttempts
	}
	if o.MinHeaderTimeout <= 0 {
		o.MinHeaderTimeout = firstLeast
	}
	if o.ReadTimeout <= 0 {
		o.ReadTimeout = betweenReads
	}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	c := &Client{opts: o, scheme: "http"}
	c.http = &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		TLSClientConfig:     o.TLS,
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: idlePerHost,
	}}
	if o.TLS != nil {
		c.scheme = "https"
	}
	c.book = newBook(o, c.fetch)
	return c
}

// Close ends idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Request is one call. The zero values of the optional fields send no header.
type Request struct {
	ID         string // X-Request-Id; made when empty
	Method     string // POST when empty
	Path       string
	Body       []byte
	Type       string // content type; application/json when empty
	Deadline   time.Duration
	Priority   int
	Org        string
	Key        string // Idempotency-Key
	Stream     bool   // the answer is a stream of tokens
	Idempotent bool   // may run twice, so an attempt that was cut is repeated
	// Token takes each token of a stream in order; may be nil. With a token
	// of index 0 after others, the answer begins anew.
	OnToken func(t Token)
	// Verify reports whether the text of token i is right; may be nil.
	Verify func(i int, text string) bool
}

// Token is one token of a streamed answer.
type Token struct {
	Index int
	Text  string
}

// Faults counts what must never reach a caller.
type Faults struct {
	Crossed    int `json:"crossed"` // events or answers of another request
	Duplicated int `json:"doubled"` // tokens that came twice
	Lost       int `json:"lost"`    // tokens that were left out
	Wrong      int `json:"wrong"`   // tokens that Verify refused
}

// Any reports whether there was any fault.
func (f Faults) Any() bool { return f != Faults{} }

// Answer is what became of a request.
type Answer struct {
	ID                string        `json:"id"`
	Addr              string        `json:"addr"` // of the last attempt
	Attempts          int           `json:"attempts"`
	Status            int           `json:"status"` // HTTP status of the last attempt, 0 if none came
	Code              code.Code     `json:"code"`
	NotRun            bool          `json:"not_run"`
	RetryAfter        time.Duration `json:"retry_after_ns,omitempty"`
	Complete          bool          `json:"whole"`
	CutAttempts       int           `json:"cut"` // attempts that ended without their end marker
	Tokens            int           `json:"tokens"`
	Faults            Faults        `json:"faults"`
	TimeToFirstToken  time.Duration `json:"first_ns"`   // from the start to the first token
	TimeBetweenTokens time.Duration `json:"between_ns"` // mean time between tokens
	Total             time.Duration `json:"total_ns"`
	ContentType       string        `json:"content_type,omitempty"`
	Body              []byte        `json:"-"` // of an answer that is no stream
}

// chatMessage and completion are the bodies of model calls.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completion struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages,omitempty"`
	Prompt    string        `json:"prompt,omitempty"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream"`
}

// Chat returns a streamed chat request with one user's message.
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
