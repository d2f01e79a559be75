package h1

import (
	"net/http"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Relation is how a response relates to the request that waits for it.
type Relation int

// The values of Relation.
const (
	Own     Relation = iota // it names the request
	Foreign                 // it names another request
	Unnamed                 // it names none
)

// maxConnRequests is the number of requests after which a connection isn't reused. It
// bounds the memory for the names of these requests.
const maxConnRequests = 1000

// history is what a connection has carried. It proves which send a response answers:
// targets may send a response once more, before that to a later request.
type history struct {
	requests int
	names    []uint32 // hashes of the names of the requests
	statuses []int    // statuses of the responses
	unnamed  bool     // some response named no request
}

// begin records a request.
func (h *history) begin(name string) {
	h.requests++
	if name != "" {
		h.names = append(h.names, hashName(name))
	}
}

// carried reports whether the connection has carried a request of that name. It is
// wrong for one in some million names that it hasn't carried.
func (h *history) carried(name string) bool {
	return name != "" && slices.Contains(h.names, hashName(name))
}

func hashName(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// answers reports whether a response answers the request that waits for it, and records
// the response. One that names no request may repeat any response with its status.
func (h *history) answers(status int, r Relation) bool {
	seen := slices.Contains(h.statuses, status)
	if !seen {
		h.statuses = append(h.statuses, status)
	}
	h.unnamed = h.unnamed || r == Unnamed
	return r == Own || r == Unnamed && !seen
}

// reusable reports whether later responses on the connection can be distinguished from
// copies of those so far.
func (h *history) reusable() bool { return !h.unnamed && h.requests < maxConnRequests }

// relation returns how a response relates to the request.
func (r *Request) relation(resp *http.Response) Relation {
	if r.Relate == nil {
		return Own
	}
	return r.Relate(resp.StatusCode, resp.Header)
}
