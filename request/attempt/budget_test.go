package attempt

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelospool/pomelospool/connection/pool"
	"github.com/pomelospool/pomelospool/internal/pipenet"
	"github.com/pomelospool/pomelospool/request/budget"
	"github.com/pomelospool/pomelospool/request/routing"
)

// Guards against daemons that each keep a reserve of retries, so that a large
// fleet retries without bound.
func TestRunnersTogetherKeepTheBudget(t *testing.T) {
	const (
		runners  = 20
		requests = 5 // of each
		slack    = 50.0
		ratio    = 0.1 // of the document
	)
	synctest.Test(t, func(t *testing.T) {
		net, received := &pipenet.Net{}, 0
		defer net.Close()
		var to staticTargets
		for i := range 3 {
			addr := fmt.Sprintf("t%d:1", i)
			net.Serve(addr, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				received++
				w.Header().Set(HeaderID, r.Header.Get(HeaderID))
				w.WriteHeader(http.StatusInternalServerError)
			}))
			to = append(to, routing.Target{Name: addr, Addr: addr, Live: true})
		}
		start := time.Now()
		p := pool.New(pool.Options{Dial: net.Dial})
		defer p.Close()
		var budgets []*budget.Fleet
		for range runners {
			b := budget.NewFleet(budget.FleetOptions{
				Slack: slack, Window: 10 * time.Second, Daemons: func() int { return runners }, Clock: func() time.Duration { return time.Since(start) },
			})
			b.NewCall("earlier")
			budgets = append(budgets, b)
		}
		time.Sleep(time.Minute) // a process that has just begun to serve has no part of the slack
		for _, b := range budgets {
			r := NewRunner(Options{Pool: p, Router: firstAvailable{}, Targets: to, Budget: b})
			for range requests {
				_, _ = r.Run(t.Context(), request(true), nil, &failingReceiver{})
			}
		}
		if extra, allowed := received-runners*requests, ratio*runners*requests+slack; float64(extra) > allowed || extra == 0 {
			t.Errorf("%d sends beyond the first ones, %.0f allowed", extra, allowed)
		}
	})
}

// failingReceiver reports each answer as a failure of the target.
type failingReceiver struct{ bodyReceiver }

func (*failingReceiver) Receive(Answer) error { return http.ErrAbortHandler }
