// Package fold computes the state that all daemons agree on from the records
// of the control stream. It is a pure function of the records in log order,
// without clock, I/O or randomness, so that equal offsets mean equal states.
package fold

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/port"
)

// Format is the version of the layout of State in checkpoints. A change of the
// rules that gives a different state for the same records needs a new number.
const Format = 1

// Bounds of the state.
const (
	MaxPending  = 16   // documents per service that wait for a verdict
	MaxOutcomes = 32   // outcomes per service, kept for publishers and to detect duplicates
	MaxEngines  = 4096 // engines; beyond this, the oldest without an open order is dropped
	MaxRemoved  = 1024 // tombstones of removed services
)

// Errors of the package.
var (
	// ErrGap means that records before the given one are missing.
	ErrGap = errors.New("fold: gap before the record")
	// ErrFormat means that a checkpoint has a layout that this binary can't read.
	ErrFormat = errors.New("fold: unknown checkpoint format")
)

// State is the result of folding all records up to Applied. Values inside the
// maps are replaced and never modified, so Clone is a shallow copy and clones
// don't change.
type State struct {
	Format     int                     `json:"format"`
	Applied    int64                   `json:"applied"`  // offset of the newest record folded
	Changed    int64                   `json:"changed"`  // offset at which a version last came into force
	Versions   int64                   `json:"versions"` // number of versions that came into force so far
	Services   map[string]Service      `json:"services,omitempty"`
	Leases     map[string]Lease        `json:"leases,omitempty"`  // by group name
	Engines    map[string]EngineOrders `json:"engines,omitempty"` // by Order.Engine
	Checkpoint CheckpointPosition      `json:"checkpoint"`        // checkpoint with the highest Covers
}

// Service is the agreed state of one service.
type Service struct {
	Version  int64       `json:"version"` // offset of the accepted document, 0 before the first
	YAML     string      `json:"yaml,omitempty"`
	Removed  bool        `json:"removed,omitempty"` // the version in force removed the service
	Pending  []Candidate `json:"pending,omitempty"` // in log order; the next verdict is for the first
	Outcomes []Outcome   `json:"outcomes,omitempty"`
}

// Candidate is a document that waits for a verdict.
type Candidate struct {
	ID      string `json:"id"`      // of the envelope
	Version int64  `json:"version"` // offset of the document
	YAML    string `json:"yaml,omitempty"`
	Remove  bool   `json:"remove,omitempty"`
}

// Outcome is the result of a published document.
type Outcome struct {
	ID      string    `json:"id"`             // of the envelope
	Version int64     `json:"version"`        // offset of the document
	Code    code.Code `json:"code,omitempty"` // OK, BaseConflict or the verdict's code
	Winner  int64     `json:"winner"`         // version in force at the decision
	Detail  string    `json:"detail,omitempty"`
}

// Lease is the newest valid claim on a group.
type Lease struct {
	Claim            int64  `json:"claim"` // offset of the claim, used as the fencing number
	Holder           string `json:"holder"`
	Addr             string `json:"addr,omitempty"`
	Released         bool   `json:"released,omitempty"`
	PreviousReleased bool   `json:"clean,omitempty"` // the previous lease was released, not taken over
}

// EngineOrders holds the open and the last ended order of one engine.
type EngineOrders struct {
	Open *OpenOrder  `json:"open,omitempty"`
	Done *EndedOrder `json:"done,omitempty"` // the order that ended last
}

// OpenOrder is an order in the log that has not ended. It is read-only.
type OpenOrder struct {
	ID     string          `json:"id"` // of the envelope and of the order sent to the engine
	Group  string          `json:"group"`
	Claim  int64           `json:"claim"`
	Offset int64           `json:"offset"`
	Addr   string          `json:"addr"`
	Spec   port.EngineSpec `json:"spec"`
	Load   bool            `json:"load,omitempty"` // the engine loads from the weight store
	Reason string          `json:"reason,omitempty"`
}

// EndedOrder is an order that ended. It is read-only.
type EndedOrder struct {
	ID     string          `json:"id"`
	Offset int64           `json:"offset"` // of the record that ended it
	Spec   port.EngineSpec `json:"spec"`
	Detail string          `json:"detail,omitempty"`
}

// CheckpointPosition is the position of a checkpoint in the log.
type CheckpointPosition struct {
	At     int64 `json:"at"`
	Covers int64 `json:"covers"`
}

// New returns the state before the first record.
func New() *State {
	return &State{
		Format:   Format,
		Services: map[string]Service{},
		Leases:   map[string]Lease{},
		Engines:  map[string]EngineOrders{},
	}
}

// Clone returns a copy that is unaffected by later calls of s.Apply.
func (s *State) Clone() *State {
	c := *s
	c.Services = maps.Clone(s.Services)
	c.Leases = maps.Clone(s.Leases)
	c.Engines = maps.Clone(s.Engines)
	return &c
}

// Encode returns the JSON encoding for a checkpoint. Equal states give equal
// bytes.
func (s *State) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode decodes a state written by Encode. It returns ErrFormat for the layout
// of another binary; readers then ignore the checkpoint.
func Decode(data []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(data, s); err != nil {
		return nil, fmt.Errorf("fold: checkpoint: %w", err)
	}
	if s.Format != Format {
		return nil, fmt.Errorf("%w %d", ErrFormat, s.Format)
	}
	return s, nil
}

// LastEndedOrder returns the offset of the record that ended the engine's last
// order, or 0 if none has ended. The engine's next order names this offset.
func (s *State) LastEndedOrder(engine string) int64 {
	if d := s.Engines[engine].Done; d != nil {
		return d.Offset
	}
	return 0
}

// Outcome returns the outcome of the document with the envelope id.
func (s *State) Outcome(service, id string) (Outcome, bool) {
	for _, o := range s.Services[service].Outcomes {
		if o.ID == id {
			return o, true
		}
	}
	return Outcome{}, false
}
