// Package planner decides which engine has which role. Plan is a pure
// function of time, observations, the document in force and its own previous
// state: no clock, no I/O and no randomness, so that tests and simulations
// drive it with virtual time.
package planner

import (
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// Engine is what is known of one engine of the service.
type Engine struct {
	Name        string
	Group       string // lease group: who may order it
	Incarnation string
	Role        port.Role
	Live        bool // reachable, and neither leaving nor drained
	Changing    bool // carrying out an order
	Pinned      bool // the document keeps its role
	Load        port.Load
}

// Observation is what one process knows of all engines of one model, in its
// own group and in others, and of what callers ask of them. The counts grow
// over the life of the process; one that shrinks has begun anew.
type Observation struct {
	Group     string   // the group that this process may order; empty for all
	Groups    []string // instead of Group unless nil; none when empty
	Processes int      // among which callers spread evenly; the counts are this one's alone. 0 is 1
	Engines   []Engine
	Requests  float64 // requests that callers have sent, refused ones included
	Prefill   float64 // their prompt tokens, without those found cached
	Decode    float64 // their output tokens, by estimate
}

// Change asks for an engine's new role.
type Change struct {
	Engine string
	From   port.Role
	To     port.Role
	Reason string
	Gain   float64 // expected, in engine-seconds of work on time
}

// State is what Plan remembers. The zero value starts anew. It holds no
// pointer into an Observation, and Plan never writes to a State it was given.
type State struct {
	Started     time.Duration
	Last        time.Duration
	Changed     time.Duration // when the last change was ordered
	Demand      Demand
	Rates       Rates
	ChangeTime  time.Duration // measured time from an order to work in the new role
	Engines     []EngineState
	initialized bool
}

// EngineState is what is remembered of one engine.
type EngineState struct {
	Name        string
	Incarnation string
	Since       time.Duration
	Pending     port.Role // ordered and not seen yet, or empty
	Ordered     time.Duration
	Failures    int
	NotBefore   time.Duration // no order before, after a failed change
}
