// Package routing decides which target serves a request. The decision depends
// only on its inputs: the package reads no clock and does no I/O, so tests and
// simulations can run it in virtual time. A decision filters, scores and picks
// targets. Each file holds one rule. Scores lie in [0,1].
package routing

import (
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// Request holds the properties of a request that routing uses.
type Request struct {
	ID           string
	Service      string
	Org          string
	Model        string
	Adapter      string
	Priority     int           // higher is more urgent; 0 is normal
	PromptTokens int           // estimate
	OutputTokens int           // estimate
	Prefix       []uint64      // hashes of the prompt's blocks, in order
	Deadline     time.Duration // time left until the deadline
	Zone         string        // availability zone of the routing process
	Seed         uint64        // random seed, so that processes choose differently; 0 uses a hash of ID
	Exclude      []string      // targets used by earlier attempts
	Exclusive    bool          // needs a target without other requests

	// BetweenTokens is the service's objective for the time between tokens; 0
	// means that of Options.
	BetweenTokens time.Duration
}

// Target is a process's view of one target: its last reported load and the
// work that the process itself sent since that report.
type Target struct {
	Name         string
	Addr         string
	Zone         string
	Model        string
	Adapter      string
	Version      string // of the model; empty: unknown
	Role         port.Role
	Live         bool // reachable, and neither leaving nor drained
	Changing     bool // reconfiguring, for example to another role
	Suspect      bool // its connections recently made no progress
	Load         port.Load
	LoadAge      time.Duration
	SentPrefill  int                       // prompt tokens sent since Load was measured
	SentDecode   int                       // output tokens requested since then
	SentCount    int                       // requests sent since then
	InFlight     int                       // this process's requests in flight
	Limit        int                       // maximum number of requests in flight; 0 means no limit
	CachedTokens func(prefix []uint64) int // estimated number of leading prompt tokens in its cache; may be nil
}

// Decision is the result of routing a request.
type Decision struct {
	Target           string
	Score            float64
	TimeToCompletion time.Duration // expected time until the answer is complete
	TimeToFirstToken time.Duration // expected time until the first token
	KVSource         string        // engine to copy the KV cache of the prefix from, or empty
	DecodeTarget     string        // engine that decodes, or empty for Target
	Spilled          bool          // the engine's role doesn't match the work
}

// Router chooses a target. It is safe for concurrent use.
type Router interface {
	// Route returns a *code.Error: code.NoTarget if no target can serve the
	// request, code.Overloaded if all that can are at capacity.
	Route(r Request, targets []Target) (Decision, error)
}
