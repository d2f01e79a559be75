package ingress

import (
	"net/http"
	"testing"
	"time"

	"github.com/pomelospool/pomelospool/code"
	"github.com/pomelospool/pomelospool/platform/standin"
	"github.com/pomelospool/pomelospool/version/route"
)

// startKeyed starts a fixture with organisation o1, its key k1 and the given
// priority.
func startKeyed(t *testing.T, priority *int) *fixture {
	keys := route.NewKeys()
	keys.Add("k1", &route.Organisation{Name: "o1", Priority: priority})
	return startWith(t, keyedConfig(7, keys))
}

func headersWithKey(id, key string) http.Header {
	h := headers(id)
	if key != "" {
		standin.SetKey(h, key)
	}
	return h
}

// Guards against running a request without a valid key, and against forwarding
// the key to the target.
func TestKeys(t *testing.T) {
	for name, tc := range map[string]struct {
		path, key    string
		status       int
		organisation string
	}{
		"known key":               {"/p/x", "k1", 200, "o1"},
		"unknown key":             {"/p/x", "k2", 401, ""},
		"no key":                  {"/p/x", "", 401, ""},
		"public route":            {"/public/x", "", 200, ""},
		"public route, known key": {"/public/x", "k1", 200, "o1"},
		"public route, unknown":   {"/public/x", "k2", 200, ""},
		"no route":                {"/none/x", "k2", 404, ""},
	} {
		t.Run(name, func(t *testing.T) {
			f := startKeyed(t, nil)
			h := headersWithKey("r1", tc.key)
			standin.SetForbiddenHeaders(h)
			resp, _ := f.do(t, "POST", tc.path, "a.example", h, "")
			if resp.StatusCode != tc.status {
				t.Fatalf("status %d", resp.StatusCode)
			}
			if challenge := resp.Header.Get("WWW-Authenticate"); (challenge != "") != (tc.status == 401) {
				t.Errorf("WWW-Authenticate %q", challenge)
			}
			if tc.status != 200 {
				if n := len(f.plain.ReceivedRequests()); n > 0 {
					t.Errorf("%d requests reached the target", n)
				}
				return
			}
			if a := f.plain.ReceivedRequests()[0]; a.Organisation != tc.organisation || a.Key != "" {
				t.Errorf("the target saw %+v", a)
			}
		})
	}
}

func TestPriorityOfOrganisation(t *testing.T) {
	urgent := 0
	for name, tc := range map[string]struct {
		priority *int
		want     string
	}{
		"the organisation's": {&urgent, "0"},
		"the route's":        {nil, "3"},
	} {
		t.Run(name, func(t *testing.T) {
			f := startKeyed(t, tc.priority)
			h := standin.CallerHeaders("r1", 30*time.Second, "aa:10")
			standin.SetKey(h, "k1")
			if resp, _ := f.do(t, "POST", "/s/x", "a.example", h, ""); resp.StatusCode != 200 {
				t.Fatalf("status %d", resp.StatusCode)
			}
			if got := f.decode.ReceivedRequests()[0].Priority; got != tc.want {
				t.Errorf("priority %q, want %q", got, tc.want)
			}
		})
	}
}

// Guards against a caller that gives up because a daemon with an outdated
// configuration rejects its new key as unknown.
func TestUnknownKeyAtStaleDaemon(t *testing.T) {
	age := 3 * time.Second
	f := startKeyed(t, nil)
	f.o.ConfigAge = func() (time.Duration, bool) { return age, true }
	f.o.MaxConfigAge = 2 * time.Second
	resp, _ := f.do(t, "POST", "/p/x", "a.example", headersWithKey("r1", "k2"), "")
	if o := <-f.observations; resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || o.Code != code.StaleConfiguration {
		t.Errorf("stale: status %d, code %d", resp.StatusCode, o.Code)
	}
	age = time.Second
	if resp, _ := f.do(t, "POST", "/p/x", "a.example", headersWithKey("r2", "k2"), ""); resp.StatusCode != 401 {
		t.Errorf("current: status %d", resp.StatusCode)
	}
}
