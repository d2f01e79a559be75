package entry

import (
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/version/document"
)

// slowRouter routes like leastLoaded but predicts a completion after any
// deadline.
type slowRouter struct {
	leastLoaded
	routed *int
}

func (s slowRouter) Route(r routing.Request, targets []routing.Target) (routing.Decision, error) {
	*s.routed++
	d, err := s.leastLoaded.Route(r, targets)
	d.TimeToCompletion = 24 * time.Hour
	return d, err
}

// Guards against counting a refused request twice. The planner reads the demand
// from this count. A refusal routes the request a second time to find out how
// an idle fleet would handle it, which must not count as more demand.
func TestRefusedModelRequestIsCountedOnce(t *testing.T) {
	counted, routed := 0, 0
	f := newFixture(t, []string{benchEngine(t)}, nil, func(o *Options, _ *document.Document) {
		o.Router = slowRouter{routed: &routed}
		o.OnModelRequest = func(model string, prompt, output int) {
			if model != testModel || prompt < 1 || output != 20 {
				t.Errorf("OnModelRequest called with %s, %d, %d", model, prompt, output)
			}
			counted++
		}
	})
	if r := f.do("POST", "/v1/completions", modelRequest("prompt", 20, true)); r.code() != "1002" {
		t.Fatalf("not refused: %+v", r)
	}
	if counted != 1 {
		t.Errorf("counted %d times, want once; routed %d times", counted, routed)
	}
}
