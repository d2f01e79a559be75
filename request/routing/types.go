// Package routing decides which target serves a request. It is a pure
// function of time, observations and the version in force: no clock and no
// I/O, so that tests and simulations drive it with virtual time. The steps are
// filter, score and pick, with one rule a file; scores lie in [0,1].
package routing

import (
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// Request is what routing knows of a request.
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
	Deadline     time.Duration // left until the deadline
	Zone         string        // availability zone of the deciding process
	Seed         uint64        // for ties, so that processes don't choose alike
	Exclude      []string      // targets that an earlier attempt used
	Alone        bool          // must run on a target with nothing else

	// BetweenTokens is the service's objective; 0 takes that of Options.
	BetweenTokens time.Duration
}

// Target is what a process knows of one target, load corrected by what it
// sent itself since the load was measured.
type Target struct {
	Name         string
	Addr         string
	Zone         string
	Model        string
	Adapter      string
	Role         port.Role
	Live         bool // reachable, and neither leaving nor drained
	Changing     bool // carrying out an order
	Suspect      bool // its connections made no progress lately
	Load         port.Load
	LoadAge      time.Duration
	SentPrefill  int                       // prompt tokens sent since Load was measured
	SentDecode   int                       // output tokens asked for since then
	SentCount    int                       // requests sent since then
	InFlight     int                       // requests of this process at the target now
	Limit        int                       // requests that may be in flight at the target
	CachedTokens func(prefix []uint64) int // leading prompt tokens believed cached; may be nil
}

// Decision names where a request goes.
type Decision struct {
	Target  string
	Score   float64
	Finish  time.Duration // expected time until the answer is whole
	First   time.Duration // expected time until the first token
	KVFrom  string        // engine to move the prefix cache from, or empty
	Decode  string        // engine to continue decoding on, or empty for Target
	Spilled bool          // sent to an engine of another role
}

// Router chooses a target. It is safe for concurrent use.
type Router interface {
	// Route returns a *code.Error with code.NoTarget when no target passes
	// the filters, and code.Overloaded when all that do are full.
	Route(r Request, targets []Target) (Decision, error)
}
