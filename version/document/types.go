// Package document defines the service document, the YAML file in which the
// owning team describes its service. It decodes and checks such documents.
package document

import (
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// Kind is the kind of a service: model or plain.
type Kind string

// The kinds of service.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Document describes one service. Durations are written as "1.6s". A key is
// optional if the comment on its field names a default.
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

// Model is one model of the service.
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
	Model       string    `yaml:"model,omitempty"`        // default: the service's model, if it has only one
	Adapter     string    `yaml:"adapter,omitempty"`      // default: none
	Role        port.Role `yaml:"role,omitempty"`         // initial role, which the planner may change; default mixed
	Pinned      bool      `yaml:"pinned,omitempty"`       // the planner must not change the role
	ChecksFence bool      `yaml:"checks_fence,omitempty"` // the target refuses old fencing numbers
	Drain       bool      `yaml:"drain,omitempty"`        // the target gets no new work
}

// Objectives are the service levels that the burn report measures.
type Objectives struct {
	FirstToken    time.Duration `yaml:"first_token,omitempty"`    // models only; not measured by default
	BetweenTokens time.Duration `yaml:"between_tokens,omitempty"` // models only; not measured by default
	Answer        time.Duration `yaml:"answer"`                   // for the complete answer; also the default deadline
	Target        float64       `yaml:"target"`                   // share of requests that must meet them; default 0.95
	Window        time.Duration `yaml:"window"`                   // period of the error budget; default 720h
}

// Limits bound what one request or caller may use.
type Limits struct {
	BodyBytes        int64         `yaml:"body_bytes"`              // default 1048576
	PromptTokens     int           `yaml:"prompt_tokens,omitempty"` // models only; default: the largest max_tokens
	OutputTokens     int           `yaml:"output_tokens,omitempty"` // models only; default: the largest max_tokens
	StreamsPerCaller int           `yaml:"streams_per_caller"`      // default 64
	QueuePerTarget   int           `yaml:"queue_per_target"`        // requests in flight at one target; default 64
	MaxDeadline      time.Duration `yaml:"max_deadline"`            // default: 4 times objectives.answer
}

// Retry limits the attempts of a request.
type Retry struct {
	Attempts int     `yaml:"attempts"` // including the first; default 3
	Budget   float64 `yaml:"budget"`   // average number of retries per request; default 0.1
}

// Once configures requests that must run at most once.
type Once struct {
	Paths  []string      `yaml:"paths,omitempty"`  // path prefixes of non-idempotent requests; default: none
	Window time.Duration `yaml:"window,omitempty"` // how long a key is kept; default 1h if there are paths
}

// Roles configures the role planner; models only.
type Roles struct {
	GoodputWeight float64       `yaml:"goodput_weight"` // from 0, fewest role changes, to 1, goodput only; default 0.5
	MinPrefill    int           `yaml:"min_prefill"`    // minimum number of engines that can prefill; default 1
	MinDecode     int           `yaml:"min_decode"`     // minimum number of engines that can decode; default 1
	MaxChanging   int           `yaml:"max_changing"`   // maximum number of engines that change role at a time; default 1
	ChangeTime    time.Duration `yaml:"change_time"`    // expected duration of a role change, until measured; default 10s
	MinDwell      time.Duration `yaml:"min_dwell"`      // minimum time between role changes of one engine; default 1m
}

// Fair sets the weights of organisations for fair sharing. An organisation that
// is not listed has weight 1.
type Fair struct {
	Weights map[string]float64 `yaml:"weights,omitempty"`
}
