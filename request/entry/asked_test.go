package entry

import (
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/version/document"
)

// neverInTime routes as leastLoaded does, with a finish after any deadline.
type neverInTime struct {
	leastLoaded
	routed *int
}

func (n neverInTime) Route(r routing.Request, targets []routing.Target) (routing.Decision, error) {
	*n.routed++
	d, err := n.leastLoaded.Route(r, targets)
	d.TimeToCompletion = 24 * time.Hour
	return d, err
}

// A site is overloaded and refuses much. The planner reads demand from this
// count; a refusal routes the request a second time to see what an idle fleet
// would do, and counted there it would look like twice the demand.
func TestRequestsAreCountedOnce(t *testing.T) {
	asked, routed := 0, 0
	f := newFixture(t, []string{benchEngine(t)}, nil, func(o *Options, _ *document.Document) {
		o.Router = neverInTime{routed: &routed}
		o.OnModelRequest = func(model string, prompt, output int) {
			if model != testModel || prompt < 1 || output != 20 {
				t.Errorf("asked %s, %d, %d", model, prompt, output)
			}
			asked++
		}
	})
	if r := f.do("POST", "/v1/completions", modelRequest("prompt", 20, true)); r.code() != "1002" {
		t.Fatalf("not refused: %+v", r)
	}
	if asked != 1 {
		t.Errorf("counted %d times, want once; routed %d times", asked, routed)
	}
}
