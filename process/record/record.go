// Package record defines the records that pomelospool writes to the log
// service. The stream Control holds the records that every daemon folds. Each
// stream named by OnceStream holds the at-most-once records of one shard.
package record

import (
	"encoding/json"
	"fmt"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/port"
)

// Control is the name of the control stream, which every daemon folds.
const Control = "control"

// Streams of the crashes and convictions that daemons save: of whole requests, and of parts
// of prompts.
const (
	RequestCrashes = "crashes"
	PartCrashes    = "part-crashes"
)

// OnceStream returns the name of the stream of one at-most-once shard.
func OnceStream(shard int) string { return fmt.Sprintf("once-%02d", shard) }

// Kind is the kind of a record. It determines the type of the body.
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
	KindSaved      Kind = "saved"
)

// Envelope wraps each record. ID is unique to one decision. A second append of
// the same decision has the same id and no effect.
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
	Base    int64  `json:"base"` // version that it replaces, 0 for a new service
	YAML    string `json:"yaml"`
	Remove  bool   `json:"remove,omitempty"` // removes the service
}

// Verdict accepts or refuses a document. The first verdict is final.
type Verdict struct {
	Service string    `json:"service"`
	Version int64     `json:"version"` // offset of the document
	Accept  bool      `json:"accept"`
	Code    code.Code `json:"code,omitempty"`
	Detail  string    `json:"detail,omitempty"`
}

// Claim acquires the lease on a group. Its offset is the fencing number.
type Claim struct {
	Group    string `json:"group"`
	Previous int64  `json:"previous"` // offset of the preceding claim, 0 for none
	Holder   string `json:"holder"`   // incarnation of the claiming process
	Addr     string `json:"addr"`     // peer address of the holder
}

// Release releases a lease.
type Release struct {
	Group string `json:"group"`
	Claim int64  `json:"claim"`
}

// Order is an order to an engine. It is logged before it is sent.
type Order struct {
	Group  string          `json:"group"`
	Claim  int64           `json:"claim"` // claim under which the order was decided
	Engine string          `json:"engine"`
	Addr   string          `json:"addr"`
	Spec   port.EngineSpec `json:"spec"`
	After  int64           `json:"after"`          // offset of the record that ended the engine's previous order, 0 for none
	Load   bool            `json:"load,omitempty"` // the engine loads from the weight store
	Reason string          `json:"reason"`
}

// OrderDone ends an order that was completed, refused, or superseded by a
// restart of the engine.
type OrderDone struct {
	Group   string `json:"group"`   // group whose lease the writer holds
	Claim   int64  `json:"claim"`   // claim on Group under which the end was decided
	Changed int64  `json:"changed"` // fold.State.Changed at that decision
	Engine  string `json:"engine"`
	Order   string `json:"order"` // envelope id of the order
	Detail  string `json:"detail,omitempty"`
}

// Checkpoint holds the folded state up to and including Covers.
type Checkpoint struct {
	Covers int64           `json:"covers"`
	State  json.RawMessage `json:"state"`
}

// Intent announces that a process is about to run a non-idempotent request. The
// first open intent of a key in log order wins, and only its writer may run the
// request.
type Intent struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Attempt string `json:"attempt"` // unique to one attempt of one process
	Digest  uint64 `json:"digest"`  // hash of the content, to detect a reused key
	At      int64  `json:"at"`      // Unix time in milliseconds at the writer
	Window  int64  `json:"window"`  // milliseconds for which the key is kept
}

// Result closes an intent with the result of the request.
type Result struct {
	Service string    `json:"service"`
	Key     string    `json:"key"`
	Attempt string    `json:"attempt"`
	Code    code.Code `json:"code"` // OK, OutcomeUnknown, or a code with NotRun
	Status  int       `json:"status,omitempty"`
	Type    string    `json:"type,omitempty"` // content type of Body
	Body    []byte    `json:"body,omitempty"` // the answer, if it is small enough to keep
	Kept    bool      `json:"kept,omitempty"` // Body is the complete answer
	Digest  uint64    `json:"digest"`         // as in the intent
	Window  int64     `json:"window"`         // as in the intent
}

// Batch carries several at-most-once records in one append.
type Batch struct {
	Records []Envelope `json:"records"`
}
