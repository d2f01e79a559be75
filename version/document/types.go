// Package document holds the service document: the one YAML file with which
// an owning team describes its service, and the checks that it must pass.
package document

import (
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// Kind tells model services from plain ones.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Document describes one service. Durations are written as "1.6s". Every key
// that a comment gives a default for may be left out.
type Document struct {
	Service    string     `yaml:"service"`
	Kind       Kind       `yaml:"kind"`
	Owner      string     `yaml:"owner"`
	Models     []Model    `yaml:"models,omitempty"`
	Targets    []Target   `yaml:"targets"`
	Objectives Objectives `yaml:"objectives"`
	Limits     Limits     `yaml:"limits"`
	Retry      Retry      `yaml:"retry"`
	Once       Once       `yaml:"once,omitempty"`
	Roles      Roles      `yaml:"roles,omitempty"`
	Fair       Fair       `yaml:"fair,omitempty"`
}

// Model is a model that the service serves.
type Model struct {
	Name      string   `yaml:"name"`
	Version   string   `yaml:"version"`
	Adapters  []string `yaml:"adapters,omitempty"`
	MaxTokens int      `yaml:"max_tokens"` // prompt and output together
}

// Target is a model engine or a plain server.
type Target struct {
	Name        string    `yaml:"name"`
	Addr        string    `yaml:"addr"`                   // host:port
	Zone        string    `yaml:"zone"`                   // availability zone
	Model       string    `yaml:"model,omitempty"`        // the only model, when there is one
	Adapter     string    `yaml:"adapter,omitempty"`      // none
	Role        port.Role `yaml:"role,omitempty"`         // where it starts, the planner may change it; mixed
	Pinned      bool      `yaml:"pinned,omitempty"`       // the planner leaves its role alone
	ChecksFence bool      `yaml:"checks_fence,omitempty"` // refuses old fencing numbers
	Drain       bool      `yaml:"drain,omitempty"`        // gets no new work
}

// Objectives are the service levels that the burn report measures.
type Objectives struct {
	FirstToken    time.Duration `yaml:"first_token,omitempty"`    // models only; not measured by default
	BetweenTokens time.Duration `yaml:"between_tokens,omitempty"` // models only; not measured by default
	Answer        time.Duration `yaml:"answer"`                   // whole answer, and the default deadline
	Target        float64       `yaml:"target"`                   // share of requests that must meet them; 0.95
	Window        time.Duration `yaml:"window"`                   // over which the budget is counted; 720h
}

// Limits bound what one request or caller may use.
type Limits struct {
	BodyBytes        int64         `yaml:"body_bytes"`              // 1048576
	PromptTokens     int           `yaml:"prompt_tokens,omitempty"` // models only; the largest max_tokens
	OutputTokens     int           `yaml:"output_tokens,omitempty"` // models only; the largest max_tokens
	StreamsPerCaller int           `yaml:"streams_per_caller"`      // 64
	QueuePerTarget   int           `yaml:"queue_per_target"`        // requests in flight at one target; 64
	MaxDeadline      time.Duration `yaml:"max_deadline"`            // 4 times objectives.answer
}

// Retry bounds repeated attempts.
type Retry struct {
	Attempts int     `yaml:"attempts"` // in all, the first included; 3
	Budget   float64 `yaml:"budget"`   // retries a request, on average; 0.1
}

// Once describes calls that may not be repeated.
type Once struct {
	Paths  []string      `yaml:"paths,omitempty"`  // path prefixes of non-idempotent calls; none
	Window time.Duration `yaml:"window,omitempty"` // how long a key is remembered; 1h when there are paths
}

// Roles guides the role planner; models only.
type Roles struct {
	GoodputWeight float64       `yaml:"goodput_weight"` // 1: goodput only, 0: as few changes as can be; 0.5
	MinPrefill    int           `yaml:"min_prefill"`    // engines able to prefill, never fewer; 1
	MinDecode     int           `yaml:"min_decode"`     // engines able to decode, never fewer; 1
	MaxChanging   int           `yaml:"max_changing"`   // engines changing at once; 1
	ChangeTime    time.Duration `yaml:"change_time"`    // expected seconds away, until measured; 10s
	MinDwell      time.Duration `yaml:"min_dwell"`      // between changes of one engine; 1m
}

// Fair gives organisations weights; one that isn't named has weight 1.
type Fair struct {
	Weights map[string]float64 `yaml:"weights,omitempty"`
}
