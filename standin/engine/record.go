package engine

import (
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// RequestRecord counts the runs of one request id.
type RequestRecord struct {
	Starts    int `json:"starts"`
	Finishes  int `json:"finishes"`
	Cancelled int `json:"cancelled"` // by the caller or /v1/cancel
	Cut       int `json:"cut"`       // by a change or the engine's stop
	Tokens    int `json:"tokens"`    // generated in all runs
}

// Outcomes of an order.
const (
	OrderAccepted = "accepted"
	OrderRepeated = "repeated" // an order with this id was accepted before; no further effect
	OrderFenced   = "fenced"
	OrderBusy     = "busy"
)

// OrderRecord is a received order and its outcome.
type OrderRecord struct {
	ID      string          `json:"id"`
	Fence   int64           `json:"fence"`
	Spec    port.EngineSpec `json:"spec"`
	At      time.Time       `json:"at"`
	Outcome string          `json:"outcome"`
	Done    bool            `json:"done"` // the change is complete
}

// Record counts the engine's requests and lists its orders since the start.
type Record struct {
	Engine      string                   `json:"engine"`
	Incarnation string                   `json:"incarnation"`
	Requests    map[string]RequestRecord `json:"requests"`
	Tokens      int                      `json:"tokens"`
	Refused     int                      `json:"refused"` // requests refused without a run
	Orders      []OrderRecord            `json:"orders"`
	RoleChanges int                      `json:"role_changes"` // completed changes of the spec
	// Overlapping counts orders received while another one was being carried
	// out.
	Overlapping int `json:"overlapping"`
	// Stale counts orders that took effect although their fencing number was
	// lower than the highest one received.
	Stale int `json:"stale"`
}

// recorder updates a Record. It is safe for concurrent use.
type recorder struct {
	mu  sync.Mutex
	rec Record
}

func (r *recorder) updateRequest(id string, f func(*RequestRecord)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.rec.Requests[id]
	f(&q)
	r.rec.Requests[id] = q
}

// recordEnd records the end of one run and the number of tokens it generated.
func (r *recorder) recordEnd(id, reason string, generated int) {
	r.updateRequest(id, func(q *RequestRecord) {
		q.Tokens += generated
		switch reason {
		case finishLength:
			q.Finishes++
		case finishCancelled:
			q.Cancelled++
		default:
			q.Cut++
		}
	})
	r.update(func(rec *Record) { rec.Tokens += generated })
}

func (r *recorder) update(f func(*Record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(&r.rec)
}

func (r *recorder) get() Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.rec
	c.Orders = append([]OrderRecord(nil), r.rec.Orders...)
	c.Requests = make(map[string]RequestRecord, len(r.rec.Requests))
	for id, q := range r.rec.Requests {
		c.Requests[id] = q
	}
	return c
}
