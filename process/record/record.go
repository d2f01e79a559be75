// Package record defines what pomelospool writes to the log service. The
// stream Control holds what every daemon folds; the streams named by
// OnceStream hold the at-most-once records of one shard each.
package record

import (
	"encoding/json"
	"fmt"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/port"
)

// Control is the stream that every daemon folds.
const Control = "control"

// OnceStream names the stream of one at-most-once shard.
func OnceStream(shard int) string { return fmt.Sprintf("once-%02d", shard) }

// Kind tells the records apart.
type Kind string

// The kinds of record.
const (
	KindDocument   Kind = "document"
	KindVerdict    Kind = "verdict"
	KindClaim      Kind = "claim"
	KindRelease    Kind = "release"
	KindOrder      Kind = "order"
	KindOrderDone  Kind = "order_done"
	KindCheckpoint Kind = "checkpoint"
	KindIntent     Kind = "intent"
	KindResult     Kind = "result"
	KindBurn       Kind = "burn"
)

// Envelope is the outer form of each record. ID is unique to one decision: a
// second append of the same decision carries the same id and has no effect.
type Envelope struct {
	ID     string          `json:"id"`
	Kind   Kind            `json:"kind"`
	Writer string          `json:"writer"` // incarnation of the writing process
	Body   json.RawMessage `json:"body"`
}

// Document proposes a new version of a service's document. The version of an
// accepted document is the offset of its record.
type Document struct {
	Service string `json:"service"`
	Base    int64  `json:"base"` // version it replaces, 0 for a new service
	YAML    string `json:"yaml"`
	Remove  bool   `json:"remove,omitempty"` // the service ends
}

// Verdict accepts or refuses a document. The first one counts for good.
type Verdict struct {
	Service string    `json:"service"`
	Version int64     `json:"version"` // offset of the document
	Accept  bool      `json:"accept"`
	Code    code.Code `json:"code,omitempty"`
	Detail  string    `json:"detail,omitempty"`
}

// Claim takes the lease on a group. Its offset is the fencing number.
type Claim struct {
	Group    string `json:"group"`
	Previous int64  `json:"previous"` // offset of the claim it follows, 0 for none
	Holder   string `json:"holder"`   // incarnation
	Addr     string `json:"addr"`     // peer address of the holder
}

// Release gives a lease back.
type Release struct {
	Group string `json:"group"`
	Claim int64  `json:"claim"`
}

// Order is logged before it is sent to the engine.
type Order struct {
	Group  string          `json:"group"`
	Claim  int64           `json:"claim"` // lease under which it was decided
	Engine string          `json:"engine"`
	Addr   string          `json:"addr"`
	Spec   port.EngineSpec `json:"spec"`
	After  int64           `json:"after"`          // offset of the record that ended the engine's order before, 0 for none
	Load   bool            `json:"load,omitempty"` // the engine reads from the weight store
	Reason string          `json:"reason"`
}

// OrderDone ends an order: carried out, refused, or overtaken by a restart.
type OrderDone struct {
	Group   string `json:"group"`   // of the writer
	Claim   int64  `json:"claim"`   // lease on Group under which it was decided
	Changed int64  `json:"changed"` // offset of the newest version in force then
	Engine  string `json:"engine"`
	Order   string `json:"order"` // envelope id of the order
	Detail  string `json:"detail,omitempty"`
}

// Checkpoint holds the folded state up to and including Covers.
type Checkpoint struct {
	Covers int64           `json:"covers"`
	State  json.RawMessage `json:"state"`
}

// Intent says that a process is about to run a non-idempotent request. The
// first open intent of a key in log order wins; only its writer may run it.
type Intent struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Attempt string `json:"attempt"` // unique to one try of one process
	Digest  uint64 `json:"digest"`  // of the content, to catch a reused key
	At      int64  `json:"at"`      // unix milliseconds at the writer
	Window  int64  `json:"window"`  // milliseconds for which the key is remembered
}

// Result closes an intent.
type Result struct {
	Service string    `json:"service"`
	Key     string    `json:"key"`
	Attempt string    `json:"attempt"`
	Code    code.Code `json:"code"` // OK, OutcomeUnknown, or a code with NotRun
	Status  int       `json:"status,omitempty"`
	Type    string    `json:"type,omitempty"` // content type of Body
	Body    []byte    `json:"body,omitempty"` // the answer, when small enough to keep
	Kept    bool      `json:"kept,omitempty"` // Body is the whole answer
	Digest  uint64    `json:"digest"`         // as in the intent
	Window  int64     `json:"window"`         // as in the intent
}

// Batch carries several at-most-once records in one append.
type Batch struct {
	Records []Envelope `json:"records"`
}
