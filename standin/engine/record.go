package engine

import (
	"sync"
	"time"

	"github.com/pomelospool/pomelospool/port"
)

// RequestRecord is what the engine saw of one request id.
type RequestRecord struct {
	Starts    int `json:"starts"`
	Finishes  int `json:"finishes"`
	Cancelled int `json:"cancelled"` // by the caller or /v1/cancel
	Cut       int `json:"cut"`       // by a change or the end of the engine
	Tokens    int `json:"tokens"`    // made over all starts
}

// The outcomes of an order.
const (
	OrderAccepted = "accepted"
	OrderRepeated = "repeated" // its id was accepted before; no second effect
	OrderFenced   = "fenced"
	OrderBusy     = "busy"
)

// OrderRecord is one order as it came.
type OrderRecord struct {
	ID      string          `json:"id"`
	Fence   int64           `json:"fence"`
	Spec    port.EngineSpec `json:"spec"`
	At      time.Time       `json:"at"`
	Outcome string          `json:"outcome"`
	Done    bool            `json:"done"` // carried out
}

// Record is what the engine saw since its start.
type Record struct {
	Engine      string                   `json:"engine"`
	Incarnation string                   `json:"incarnation"`
	Requests    map[string]RequestRecord `json:"requests"`
	Tokens      int                      `json:"tokens"`
	Refused     int                      `json:"refused"` // requests that didn't run
	Orders      []OrderRecord            `json:"orders"`
	RoleChanges int                      `json:"role_changes"` // changes carried out
	// Overlapping counts orders that came while another one was running.
	Overlapping int `json:"overlapping"`
	// Stale counts orders that took effect under a fencing number lower than
	// the highest one seen.
	Stale int `json:"stale"`
}

// recorder collects the record. It is safe for concurrent use.
type recorder struct {
	mu  sync.Mutex
	rec Record
}

func (r *recorder) request(id string, f func(*RequestRecord)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.rec.Requests[id]
	f(&q)
	r.rec.Requests[id] = q
}

// finished notes the end of one start; made is the number of its tokens.
func (r *recorder) finished(id, reason string, made int) {
	r.request(id, func(q *RequestRecord) {
		q.Tokens += made
		switch reason {
		case endLength:
			q.Finishes++
		case endCancelled:
			q.Cancelled++
		default:
			q.Cut++
		}
	})
	r.update(func(rec *Record) { rec.Tokens += made })
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
