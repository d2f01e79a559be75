package entry

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/request/routing"
	"github.com/pomelospool/pomelospool/version/document"
	"github.com/pomelospool/pomelospool/version/view"
)

// versionTargets gives all targets one model version.
type versionTargets struct {
	docTargets
	version string
}

func (v versionTargets) Targets(svc *view.Service) []routing.Target {
	out := v.docTargets.Targets(svc)
	for i := range out {
		out[i].Version = v.version
	}
	return out
}

// Guards against an answer of two model versions that nothing shows: the caller of a
// stream learns its version, and a stream that is resumed at a stated version runs at no
// other one.
func TestCallerStatesTheModelVersionItResumes(t *testing.T) {
	e := newScriptedTarget(t, func(c *call) { c.head().tokens(2, 3, 4).finish(5) })
	f := newFixture(t, []string{e.Listener.Addr().String()}, nil, func(o *Options, _ *document.Document) {
		o.Targets = versionTargets{docTargets{o.Pool}, "b"}
	})
	for _, c := range []struct {
		resume string
		want   code.Code
	}{
		{`{"tokens":2}`, code.OK},
		{`{"tokens":2,"version":"b"}`, code.OK},
		{`{"tokens":2,"version":"a"}`, code.OriginGone},
	} {
		body := fmt.Sprintf(`{"model":%q,"prompt":"x","max_tokens":6,"stream":true,"resume":%s}`, testModel, c.resume)
		resp, err := http.Post(f.url+"/v1/completions", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		version := map[bool]string{true: "b"}[c.want == code.OK]
		if got := resp.Header.Get("X-Result-Code"); got != fmt.Sprint(int(c.want)) || resp.Header.Get(headerModelVersion) != version {
			t.Errorf("%s: code %s, model version %q", c.resume, got, resp.Header.Get(headerModelVersion))
		}
	}
}
