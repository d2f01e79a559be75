package entry

import (
	"net/http"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/uptrace/bunrouter"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/version/view"
)

// addresses answers with the addresses of the daemons to use. The query
// parameters zone and seed are optional. The seed defaults to a hash of the
// caller's address and port, so that callers that share an IP address are
// spread over the daemons too.
func (e *Entry) addresses(w http.ResponseWriter, req bunrouter.Request) error {
	q := req.URL.Query()
	seed := xxhash.Sum64String(req.RemoteAddr)
	if v, err := strconv.ParseUint(q.Get("seed"), 10, 64); err == nil {
		seed = v
	}
	zone := q.Get("zone")
	if zone == "" {
		zone = e.opts.Zone
	}
	return writeJSON(w, e.opts.Addresses.Answer(zone, seed))
}

// modelList is the list of configured models in the format of the OpenAI API.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (e *Entry) models(w http.ResponseWriter, _ bunrouter.Request) error {
	snap, err := e.snapshot()
	if err != nil {
		writeError(w, err)
		return nil
	}
	list := modelList{Object: "list", Data: []modelInfo{}}
	for name, svc := range snap.Models {
		list.Data = append(list.Data, modelInfo{ID: name, Object: "model", OwnedBy: svc.Doc.Owner})
	}
	slices.SortFunc(list.Data, func(a, b modelInfo) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return writeJSON(w, list)
}

func (e *Entry) snapshot() (*view.Snapshot, error) {
	if s := e.opts.View.Load(); s != nil {
		return s, nil
	}
	return nil, code.New(code.NoConfiguration, "").WithRetryAfter(retryAfter)
}
