// Package burnview merges the burn reports of all daemons, that is the rates at
// which services spend their error budgets. It shows them as a table and as a
// self-contained HTML page.
package burnview

import (
	"context"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/process/burn"
	"github.com/pomelospool/pomelospool/process/status"
)

// View is the merged burn report with the daemons that it lacks.
type View struct {
	Report  *burn.Report `json:"report"`
	Asked   int          `json:"asked"`
	Missing []Missing    `json:"missing"` // daemons whose samples aren't in the report
}

// Missing is a daemon that didn't answer.
type Missing struct {
	Addr  string    `json:"addr"`
	Code  code.Code `json:"code"`
	Error string    `json:"error"`
}

// Fetch queries every daemon and merges the answers. A daemon that is listed under
// two addresses counts once.
func Fetch(ctx context.Context, c *status.Client, addrs []string, timeout time.Duration) View {
	reports := make([]*burn.Report, len(addrs))
	errs := make([]error, len(addrs))
	c.ForEach(ctx, addrs, timeout, func(ctx context.Context, i int) {
		reports[i] = new(burn.Report)
		errs[i] = c.Get(ctx, addrs[i], burn.Path, reports[i])
	})
	v := View{Asked: len(addrs), Missing: []Missing{}}
	var answered []*burn.Report
	seen := make(map[string]bool)
	for i, r := range reports {
		if errs[i] != nil {
			v.Missing = append(v.Missing, Missing{addrs[i], code.Of(errs[i]), errs[i].Error()})
			continue
		}
		if len(r.Daemons) == 1 && seen[r.Daemons[0]] {
			continue
		}
		for _, d := range r.Daemons {
			seen[d] = true
		}
		answered = append(answered, r)
	}
	v.Report = burn.Merge(answered...)
	return v
}
