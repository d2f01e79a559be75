package ingress

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/version/route"
)

// Guards against a stream that is taken up at another service of its route's split
// than it began at, or refused since that service doesn't know it.
func TestStreamIsTakenUpAtItsService(t *testing.T) {
	split := []route.WeightedService{{Service: "app", Weight: 1}, {Service: "llm", Weight: 1}}
	routes := []*route.Route{{Name: "split", Host: "a.example", Prefix: "/split/", Kind: route.Stream, Resumable: true, Attempts: 1, Timeout: time.Minute, Split: split}}
	f := startWith(t, route.New(7, routes, []*route.Service{{Name: "app"}, {Name: "llm"}}, route.Limits{}, nil))
	f.plain.Set(func(b *standin.Behaviour) { b.Streamed = true })
	f.entries["llm"][0].Role = ""
	ranAt := func(id string) (names []string) {
		for _, target := range []*standin.Target{f.plain, f.decode} {
			if slices.Contains(target.Ran(), id) {
				names = append(names, target.ID)
			}
		}
		return names
	}
	services := make(map[string]bool)
	for i := range 20 {
		first, second := fmt.Sprint("first-", i), fmt.Sprint("second-", i)
		f.do(t, "POST", "/split/x", "a.example", headers(first), "")
		h := headers(second)
		standin.SetResumes(h, first, "1")
		resp, body := f.do(t, "POST", "/split/x", "a.example", h, "")
		if began, went := ranAt(first), ranAt(second); resp.StatusCode != 200 || !slices.Equal(began, went) {
			t.Errorf("began at %v, went on at %v: status %d, %q", began, went, resp.StatusCode, body)
		}
		services[fmt.Sprint(ranAt(first))] = true
	}
	if len(services) != 2 {
		t.Errorf("only %v ran streams", services)
	}
}
